//! Decisions about configuration, membership and leases, as plain state machines.
//!
//! Every machine takes `(event, now)` and returns actions. Nothing here does I/O, reads a clock
//! or waits; randomness comes from a seeded generator that the owner hands in. The daemon, the
//! benches and the fault tests drive the same machines.
//!
//! Nothing here is needed for safety: an agent refuses what it can't run however old an entry's
//! table is. What these machines decide serves reachability and speed.
//!
//! - [`entry`]: everything below put together for an entry.
//! - [`agent`]: the same for an agent.
//! - [`messages`]: what processes say to each other.
//! - [`generation`]: the configuration in force in one process; its generation only rises.
//! - [`spread`]: how an entry learns a configuration and passes it on.
//! - [`members`]: the table of entries and agents.
//! - [`registrar`]: heartbeats, on the agent's side and on the entry's.
//! - [`exchange`]: deltas within a group of entries, summaries between availability zones.
//! - [`summary`]: the rows of these summaries.
//! - [`lease`]: the planner's lease.
//! - [`budget`]: how many calls to the store a process makes.
//! - [`stops`]: planned stops.
//! - [`rendezvous`]: which few of many names have a duty.
//! - [`backoff`]: retries that don't come all at once.

pub mod agent;
pub mod backoff;
pub mod budget;
pub mod entry;
pub mod exchange;
pub mod generation;
pub mod lease;
pub mod members;
pub mod messages;
mod payload;
pub mod registrar;
pub mod rendezvous;
pub mod spread;
pub mod stops;
pub mod summary;
