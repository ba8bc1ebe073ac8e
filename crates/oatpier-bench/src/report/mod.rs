//! Output of the benches as a JSON document or an aligned table, and the check of committed bounds.

pub mod bounds;
pub mod cli;
pub mod table;

use serde::Serialize;

/// Prints a report as JSON, or as the table that `rows` returns.
///
/// # Panics
///
/// Never: serializing a report to JSON cannot fail.
pub fn print<R: Serialize>(report: &R, json: bool, rows: impl FnOnce(&R) -> table::TextTable) {
    if json {
        let text = serde_json::to_string_pretty(report).expect("reports serialize to JSON");
        println!("{text}");
    } else {
        print!("{}", rows(report));
    }
}
