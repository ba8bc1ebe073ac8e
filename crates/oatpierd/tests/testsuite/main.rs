//! Tests of the daemon.

mod load;
mod path;
mod settings;
mod stop;
mod support;
mod trace;
