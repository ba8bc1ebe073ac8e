//! Configuration changes: two operators write to one store.
//!
//! Each operator reads the record, merges its change, and writes it by compare-and-swap until the
//! outcome is known; the merge is the real one. The checks: generations increase one by one, each
//! accepted change is in exactly one of them, a conflict names the other change, and no accepted
//! change is undone by another.

mod operators;
mod store;

use crate::run::{RunReport, RunSpec};
use operators::OperatorSimulation;

/// Runs two operators, each with three changes.
#[must_use]
pub fn run(run_spec: &RunSpec) -> RunReport {
    OperatorSimulation::new(run_spec).run()
}
