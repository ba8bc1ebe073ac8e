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
//! - `requests`, `attempts`, `moves`, `faults`: what each event does.
//! - [`caller`]: what the callers saw, and so the figures.

pub mod agent;
mod attempts;
pub mod caller;
pub mod entry;
mod faults;
mod moves;
pub mod node;
pub mod queue;
mod requests;
pub mod world;
