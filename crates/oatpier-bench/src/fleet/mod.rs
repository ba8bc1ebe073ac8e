//! Simulation of a small fleet on one clock: the production decisions with small in-process engines.
//!
//! This module makes no decisions. It takes an event from the queue and passes it to the decisions of an entry, an
//! agent or the planner. The actions that they return become new events, delayed by the simulated latency. Equal seeds
//! give equal runs.
//!
//! - [`queue`]: the event queue, ordered by time.
//! - [`entry`], [`agent`]: request decisions of oatpier or of a baseline.
//! - [`node`]: one engine with its agent.
//! - [`world`]: the whole fleet and the event loop.
//! - `setup`: construction of the fleet; `step`: the kinds of events.
//! - `requests`, `attempts`, `moves`, `faults`: the event handlers.
//! - [`caller`]: outcomes as callers observe them; [`figures`]: figures of a run.

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
