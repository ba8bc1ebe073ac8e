//! Engine orders, weight moves and version changes: three agents, their engines, and a store.
//!
//! The agents' real order keepers, release keepers and move steppers run unmodified. Three plans
//! follow each other: the second moves two models, removes a replica and changes a version; the
//! third reverts the moves, so that delayed orders of the second could cause damage. Engines check
//! order numbers with even seeds and ignore them with odd ones. If a fault is injected at
//! [`OrderIntent`](crate::step::StepName::OrderIntent) they never check them.

mod engine;
mod inject;
mod network;
mod scenario;
mod simulation;
mod view;

use crate::run::{RunReport, RunSpec};
use simulation::OrderSimulation;

/// Runs the three plans.
#[must_use]
pub fn run(run_spec: &RunSpec) -> RunReport {
    OrderSimulation::new(run_spec).run()
}
