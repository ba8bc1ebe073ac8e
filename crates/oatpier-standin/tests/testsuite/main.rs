//! Tests of what other tests rely on in the stand-ins.

mod engine_core;
mod engine_http;
mod orders;
mod service;
mod store;
mod support;
mod vms;
