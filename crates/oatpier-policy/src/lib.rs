//! Decisions of an entry about requests, as plain state machines.
//!
//! Everything here goes from `(event, now)` to actions, without I/O, clocks or `async`; what is
//! random comes from a seeded generator. The daemon, the policy bench and the fault tests hold
//! one [`entry::EntryPolicy`] each and drive it the same way. Nothing here is needed for safety
//! at an endpoint: an agent refuses by itself what it must not run, however old this entry's
//! table is.
//!
//! - [`entry`]: the façade over all that follows; the one thing that a caller holds.
//! - [`event`], [`action`]: what happens to a request, and what is to be done about it.
//! - [`outcome`]: the final answer to a request.
//! - [`machine`]: the life of one request at its entry.
//! - [`table`]: what is known of endpoints, and who can serve what.
//! - [`router`]: the choice of an endpoint from a short sample.
//! - [`prefix`]: who is expected to have a prompt's prefix cached.
//! - [`health`]: ejection on evidence of the data path, and probes back.
//! - [`retry`]: retry budgets, so that a fault does not multiply load.
//! - [`limit`]: the bound on concurrent requests, shared fairly.
//! - [`attainment`]: the attained share of each class.

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
