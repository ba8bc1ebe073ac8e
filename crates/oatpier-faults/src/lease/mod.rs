//! The planner's lease and its plan: three entries that compete for the lease, and one store.
//!
//! The real lease keepers run unmodified. The lease holder writes the plan periodically, by
//! compare-and-swap and only over a term that is not later than its own. The checks: at most one
//! planner at a time, terms and plans that only increase, and new plans once the faults have
//! ended.

mod simulation;
mod store;

use crate::run::{RunReport, RunSpec};
use simulation::LeaseSimulation;

/// Runs the planners for one minute of simulated time.
#[must_use]
pub fn run(run_spec: &RunSpec) -> RunReport {
    LeaseSimulation::new(run_spec).run()
}
