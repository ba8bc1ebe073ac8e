//! Decisions of an entry about requests, as plain state machines. An entry is the process that
//! accepts requests from callers and sends them to endpoints.
//!
//! Each state machine maps `(event, now)` to actions, without I/O, clocks or `async`; randomness
//! comes from a seeded generator. The daemon, the policy bench and the fault tests each hold one
//! [`entry::EntryPolicy`] and drive it the same way. The safety of an endpoint does not depend on
//! this crate: an agent itself refuses what it must not run, however stale this entry's table is.
//!
//! - [`entry`]: the façade over all other modules; the only type that a driver needs.
//! - [`event`], [`action`]: the events of a request, and the actions that result.
//! - [`outcome`]: the final answer to a request.
//! - [`machine`]: the state machine of one request.
//! - [`table`]: the known state of endpoints, and which goals each can serve.
//! - [`router`]: selection of an endpoint from a small random sample.
//! - [`prefix`]: index of the endpoints that are expected to have a prompt's prefix cached.
//! - [`health`]: passive health checks, ejection and probes.
//! - [`retry`]: retry budgets, which keep a fault from multiplying the load.
//! - [`limit`]: admission control by an upper bound on concurrent requests, shared fairly.
//! - [`attainment`]: share of each class's requests that meet its target.

pub mod action;
pub mod attainment;
pub mod entry;
pub mod event;
pub mod health;
pub mod index;
pub mod limit;
pub mod machine;
pub mod outcome;
pub mod prefix;
pub mod retry;
pub mod router;
pub mod table;

mod units;
