//! Formats the hops of a trace as an indented tree.

use std::fmt::Write;

use crate::capture::HopLine;

/// Returns the hops as text, each indented below its parent.
pub fn tree_text(hops: &[HopLine]) -> String {
    let mut ordered: Vec<_> = hops.iter().collect();
    ordered.sort_by_key(|hop| hop.start_us);
    let is_root = |hop: &HopLine| ordered.iter().all(|other| other.span_id != hop.parent_id);
    let mut text = String::new();
    for root in ordered.iter().filter(|hop| is_root(hop)) {
        add_hop(&mut text, &ordered, root, root.start_us, 1);
    }
    text
}

fn add_hop(text: &mut String, hops: &[&HopLine], hop: &HopLine, start_us: u64, depth: usize) {
    let name = format!("{:indent$}{}", "", hop.span, indent = 2 * depth);
    let after = millis(hop.start_us.saturating_sub(start_us));
    let took = millis(hop.duration_us);
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "{name:<24} {:<18} at {after:>7} ms, took {took:>7} ms",
        hop.daemon
    );
    for below in hops.iter().filter(|below| below.parent_id == hop.span_id) {
        add_hop(text, hops, below, start_us, depth + 1);
    }
}

/// Formats microseconds as milliseconds with two decimal places.
fn millis(micros: u64) -> String {
    format!("{}.{:02}", micros / 1000, micros % 1000 / 10)
}
