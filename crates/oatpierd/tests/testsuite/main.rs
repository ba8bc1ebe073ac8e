//! Tests of the daemon.

mod callers;
mod command;
mod config;
mod idempotency_keys;
mod kill;
mod limits;
mod load;
mod path;
mod pause;
mod settings;
mod soak;
mod start;
mod stop;
mod store;
mod support;
mod trace;
