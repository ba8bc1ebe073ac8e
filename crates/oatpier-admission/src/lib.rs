//! Request admission of an agent, as deterministic state machines.
//!
//! The agent is the only way to its endpoint, so a request that it refuses has not run, and an
//! attempt that it has recorded runs at most once. The safety of requests depends on this package
//! alone; the endpoint state that entries keep only improves their routing. Nothing here does I/O,
//! is `async` or reads a clock: the daemon, the policy benchmark and the fault tests all drive the
//! same `(event, now) -> actions` function.
//!
//! - [`policy`]: [`policy::AgentPolicy`], which combines the parts below.
//! - [`event`]: events and actions of the policy.
//! - [`queue`]: the order of waiting attempts.
//! - [`estimate`]: service time estimates, which tell what can't meet its deadline.
//! - [`attempts`]: records of the attempts that arrived and their verdicts.
//! - [`need`]: the share of each class that meets its target.
//! - [`weights`]: the weights that are ready or loading.
//! - [`drain`]: graceful shutdown.

pub mod attempts;
pub mod drain;
pub mod estimate;
pub mod event;
pub mod need;
pub mod policy;
pub mod queue;
mod running;
pub mod weights;
