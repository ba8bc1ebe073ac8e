//! A small fleet on one clock: the real decisions around small in-process engines.
//!
//! Nothing here decides. An event is taken from the queue, given to the decisions of an entry, an
//! agent or the planner, and what they ask for becomes new events, later by the latency of the
//! brief. Equal seeds give equal runs.
//!
//! - [`queue`]: events by time.
//! - [`entry`], [`agent`]: decisions about requests, oatpier's or a baseline's.
//! - [`node`]: one engine with its agent.
//! - [`world`]: the whole fleet, and the loop.
//! - `setup`: how it is put together; `step`: the kinds of events.
//! - `requests`, `attempts`, `moves`, `faults`: what each event does.
//! - [`caller`]: what the callers saw; [`figures`]: what a run showed.

pub mod agent;
mod attempts;
pub mod caller;
pub mod entry;
mod faults;
pub mod figures;
mod moves;
pub mod node;
pub mod queue;
mod requests;
mod setup;
mod step;
pub mod world;
