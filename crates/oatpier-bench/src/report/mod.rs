//! What the benches print: one JSON document or an aligned table, and the committed bounds.

pub mod bounds;
pub mod cli;
pub mod table;

use serde::Serialize;

/// Prints a report as JSON or as the table that `rows` makes.
///
/// # Panics
///
/// Never: reports are plain data.
pub fn print<R: Serialize>(report: &R, json: bool, rows: impl FnOnce(&R) -> table::TextTable) {
    if json {
        let text = serde_json::to_string_pretty(report).expect("a report is plain data");
        println!("{text}");
    } else {
        print!("{}", rows(report));
    }
}
