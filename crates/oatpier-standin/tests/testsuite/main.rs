//! Tests of the behaviour of the stand-ins that other tests rely on.

mod engine_core;
mod engine_http;
mod orders;
mod service;
mod store;
mod support;
mod vms;
