//! What the duties of entries and agents share.
//!
//! A duty is an async function over its inputs. The binary gives each duty its own thread with a
//! current-thread runtime, and bounded rings join them; a test runs several duties in one paused
//! runtime. The duties hold no decisions of their own: they turn what arrives into events of the
//! decision packages and carry out the actions that come back.
//!
//! - [`duty`]: threads, stopping and bounded rings.
//! - [`settings`]: what a process is told at its start.
//! - [`observe`]: logs, metrics, traces, and the duty that shows them.
//! - [`placement`]: what an agent asks entries of the plan and of other holders.
//! - [`messages`]: the messages between daemons that more than one package needs to know.

pub mod duty;
pub mod messages;
pub mod observe;
pub mod placement;
pub mod settings;
