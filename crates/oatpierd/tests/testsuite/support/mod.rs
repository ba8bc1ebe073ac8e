//! Support code to run a small fleet of separate processes.

pub mod calls;
pub mod config;
pub mod fleet;
pub mod http;
pub mod process;
pub mod raw;
