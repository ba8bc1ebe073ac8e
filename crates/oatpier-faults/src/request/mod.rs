//! Requests: two entries, two engines, two plain services, callers who ask again.
//!
//! The entries' and agents' decisions and the claims run as they are; connections, endpoints, the
//! store and the callers are modelled, with what a transport does: the parts of one answer keep
//! their order, and what is lost ends its connection sooner or later.

mod agent;
mod caller;
mod claims;
mod entry;
mod fleet;
mod inflict;
mod message;
mod network;
mod service;
mod stop;
mod world;

use crate::run::{RunOrder, RunReport};
pub(crate) use fleet::{name, weights};
use world::RequestWorld;

/// Runs requests, and a planned stop if a fault is to strike one.
#[must_use]
pub fn run(order: &RunOrder) -> RunReport {
    RequestWorld::new(order).run()
}
