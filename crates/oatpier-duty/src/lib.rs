//! Code shared by the duties of entries and agents.
//!
//! A duty is a long-running task, written as an async function over its inputs. The binary runs each duty on a
//! separate thread with a current-thread runtime, and connects duties by bounded rings; a test runs several duties in
//! one paused runtime. Duties make no decisions themselves: they convert inputs to events of the decision packages
//! and execute the resulting actions.
//!
//! - [`duty`]: threads, shutdown and bounded rings.
//! - [`settings`]: the settings that a process reads at startup.
//! - [`observe`]: logs, metrics, traces, and the duty that exports them.
//! - [`placement`]: queries from agents to entries about the plan and other holders of weights.
//! - [`messages`]: the messages between daemons that more than one package uses.

pub mod duty;
pub mod messages;
pub mod observe;
pub mod placement;
pub mod settings;
