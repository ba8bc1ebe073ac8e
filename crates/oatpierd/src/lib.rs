//! The daemon's duties, as a library, so that tests and the quickstart run them in one process.
//!
//! A duty is an async function over its inputs. The binary gives each duty its own thread with a
//! current-thread runtime, and bounded rings join them; a test runs several duties in one paused
//! runtime. The duties hold no decisions of their own: they turn what arrives into events of the
//! decision packages and carry out the actions that come back.
//!
//! - [`settings`]: what a process is told at its start.
//! - [`entry`]: the duties of an entry.
//! - [`agent`]: the duties of an agent.
//! - [`observe`]: logs, metrics, traces, and the duty that shows them.
//! - [`follow`]: the configuration in the platform's key-value service.
//! - [`duty`]: threads, stopping and bounded rings.

pub mod agent;
pub mod cli;
pub mod commands;
pub mod duty;
pub mod entry;
pub mod follow;
pub mod observe;
pub mod settings;
