//! Decisions about configuration, membership and leases, as plain state machines.
//!
//! Every state machine takes `(event, now)` and returns actions. Nothing here does I/O, reads a
//! clock or waits; randomness comes from a seeded generator that the caller passes in. The daemon,
//! the benchmarks and the fault tests drive the same state machines.
//!
//! Safety does not depend on this package: an agent refuses what it can't run, however stale an
//! entry's table is. The decisions made here serve availability and latency.
//!
//! - [`entry`]: the combined state machine of an entry.
//! - [`agent`]: the combined state machine of an agent.
//! - [`messages`]: messages between processes.
//! - [`generation`]: the configuration in force in one process, whose generation never decreases.
//! - [`spread`]: how an entry obtains a configuration and distributes it.
//! - [`members`]: the table of entries and agents.
//! - [`registrar`]: heartbeats, on the agent's side and on the entry's side.
//! - [`exchange`]: gossip within a group of entries, summaries between availability zones.
//! - [`summary`]: the rows of these summaries.
//! - [`lease`]: the planner's lease.
//! - [`budget`]: the per-process budget of calls to the store.
//! - [`stops`]: planned stops.
//! - [`rendezvous`]: rendezvous hashing, which assigns duties to names.
//! - [`backoff`]: retry delays with jitter.

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
