//! Tests of the daemon.

mod callers;
mod command;
mod config;
mod kill;
mod limits;
mod load;
mod once;
mod path;
mod pause;
mod settings;
mod soak;
mod start;
mod stop;
mod store;
mod support;
mod trace;
