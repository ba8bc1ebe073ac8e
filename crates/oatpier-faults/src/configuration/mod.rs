//! Changes of the configuration: two operators against one store.
//!
//! Each operator reads the record, merges its change, and writes by compare-and-swap until it
//! knows; the merge is the real one. Seen from outside: generations that rise one by one, each
//! accepted change in them exactly once, a clash that names the other, and no accepted change
//! undone by another.

mod operators;
mod store;

use crate::run::{RunOrder, RunReport};
use operators::OperatorBench;

/// Runs two operators, each with two changes.
#[must_use]
pub fn run(order: &RunOrder) -> RunReport {
    OperatorBench::new(order).run()
}
