//! A small fleet of separate processes.

pub mod fleet;
pub mod http;
pub mod process;
