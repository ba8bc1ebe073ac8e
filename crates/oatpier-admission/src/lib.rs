//! Decisions of an agent about requests, as plain state machines.
//!
//! The agent is the only way to its endpoint, so what it refuses has not run, and what it has
//! recorded runs once. All safety of requests rests on this package alone; what entries believe
//! of an endpoint only makes their choices better. Nothing here does I/O, is `async` or reads a
//! clock: the daemon, the policy bench and the fault tests drive the same
//! `(event, now) -> actions`.
//!
//! - [`policy`]: [`policy::AgentPolicy`], the whole, which drives the parts below.
//! - [`event`]: what happens to it and what it asks for.
//! - [`queue`]: who goes next.
//! - [`estimate`]: how long things take, and so what can't be in time.
//! - [`attempts`]: which attempts came, and what became of them.
//! - [`need`]: the share of each class that is within its target.
//! - [`weights`]: which weights are ready or soon will be.
//! - [`drain`]: a planned stop.

pub mod attempts;
pub mod drain;
pub mod estimate;
pub mod event;
pub mod need;
pub mod policy;
pub mod queue;
mod running;
pub mod weights;
