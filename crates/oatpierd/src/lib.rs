//! The daemon as a library, so that tests and the quickstart can run its parts in one process.
//!
//! - [`cli`], [`commands`]: the command line.
//! - [`entry`]: the implementation of an entry.
//! - [`agent`]: the implementation of an agent.
//! - [`duty`], [`observe`], [`settings`]: code that both share.

pub mod cli;
pub mod commands;

pub use oatpier_agent as agent;
pub use oatpier_duty::{duty, observe, settings};
pub use oatpier_entry as entry;
