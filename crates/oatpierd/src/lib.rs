//! The daemon, as a library, so that tests and the quickstart run its parts in one process.
//!
//! - [`cli`], [`commands`]: the command line.
//! - [`entry`]: the duties of an entry.
//! - [`agent`]: the duties of an agent.
//! - [`duty`], [`observe`], [`settings`]: what they share.

pub mod cli;
pub mod commands;

pub use oatpier_agent as agent;
pub use oatpier_duty::{duty, observe, settings};
pub use oatpier_entry as entry;
