//! Orders, moves and versions: three agents, their engines, a store.
//!
//! The agents' order keepers, release keepers and move steppers run as they are. Three plans
//! follow each other: the second moves two models, takes a replica away and changes a version;
//! the third takes the moves back, so that late orders of the second could do harm. Engines check
//! order numbers with even seeds and ignore them with odd ones.

mod engine;
mod inflict;
mod network;
mod scenario;
mod view;
mod world;

use crate::run::{RunOrder, RunReport};
use world::OrderWorld;

/// Runs the plans.
#[must_use]
pub fn run(order: &RunOrder) -> RunReport {
    OrderWorld::new(order).run()
}
