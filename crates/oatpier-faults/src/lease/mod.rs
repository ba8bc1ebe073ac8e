//! The planner's lease and its plan: three entries that want to plan, one store.
//!
//! The lease keepers run as they are. Who holds the lease writes the plan again and again, by
//! compare-and-swap and only over a term that is not later than its own. Seen from outside: at
//! most one planner at a time, terms and plans that only rise, and plans again once the faults
//! are over.

mod bench;
mod store;

use crate::run::{RunOrder, RunReport};
use bench::LeaseBench;

/// Runs planners for a minute.
#[must_use]
pub fn run(order: &RunOrder) -> RunReport {
    LeaseBench::new(order).run()
}
