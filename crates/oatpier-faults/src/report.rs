//! The matrix as text and as JSON.

use std::fmt::Write;

use serde::Serialize;

use crate::fault::FaultKind;
use crate::matrix::{CellOutcome, MatrixCell};
use crate::step::{StepName, StepPath};

/// The JSON document of a matrix run.
#[derive(Debug)]
#[derive(Serialize)]
pub struct MatrixDocument<'a> {
    /// All cells of the matrix and the pairs.
    pub cells: &'a [MatrixCell],
}

/// The number of cells by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OutcomeCounts {
    /// Cells that passed.
    pub passed: usize,
    /// Cells that failed.
    pub failed: usize,
    /// Cells that are not run yet.
    pub not_run: usize,
    /// Cells whose fault can't occur at the step.
    pub cannot_happen: usize,
}

impl OutcomeCounts {
    /// Counts the cells by outcome.
    #[must_use]
    pub fn of(cells: &[MatrixCell]) -> Self {
        let count = |outcome| cells.iter().filter(|cell| cell.outcome == outcome).count();
        Self {
            passed: count(CellOutcome::Passed),
            failed: count(CellOutcome::Failed),
            not_run: count(CellOutcome::NotRun),
            cannot_happen: count(CellOutcome::CannotHappen),
        }
    }
}

/// Renders the matrix as aligned text: a table for each path, the pairs of faults, the failures, then the cells
/// that are not run or cannot happen, with their reasons.
#[must_use]
pub fn render(cells: &[MatrixCell]) -> String {
    let mut text = String::new();
    for path in StepPath::ALL {
        render_path(&mut text, path, cells);
    }
    render_pairs(&mut text, cells);
    render_findings(&mut text, cells);
    render_list(&mut text, "not run", CellOutcome::NotRun, cells);
    render_list(&mut text, "cannot happen", CellOutcome::CannotHappen, cells);
    let counts = OutcomeCounts::of(cells);
    let runs: u64 = cells.iter().map(|cell| cell.runs).sum();
    let _ = writeln!(
        text,
        "{} cells: {} passed, {} failed, {} not run, {} cannot happen; {runs} runs",
        cells.len(),
        counts.passed,
        counts.failed,
        counts.not_run,
        counts.cannot_happen,
    );
    text
}

fn outcome_text(outcome: CellOutcome) -> &'static str {
    match outcome {
        CellOutcome::Passed => "passed",
        CellOutcome::Failed => "FAILED",
        CellOutcome::NotRun => "not-run",
        CellOutcome::CannotHappen => "-",
    }
}

fn render_path(text: &mut String, path: StepPath, cells: &[MatrixCell]) {
    let steps = StepName::ALL.iter().filter(|step| step.path() == path);
    let steps: Vec<StepName> = steps.copied().collect();
    let _ = write!(text, "{:<24}", path.as_str());
    for step in &steps {
        let _ = write!(text, " {:>13}", step.word());
    }
    text.push('\n');
    for fault in FaultKind::ALL {
        let _ = write!(text, "{:<24}", fault.as_str());
        for step in &steps {
            let name = step.to_string();
            let found = cells
                .iter()
                .find(|cell| cell.fault == fault.as_str() && cell.step == name);
            let outcome = found.map_or("MISSING", |cell| outcome_text(cell.outcome));
            let _ = write!(text, " {outcome:>13}");
        }
        text.push('\n');
    }
    text.push('\n');
}

fn render_pairs(text: &mut String, cells: &[MatrixCell]) {
    let _ = writeln!(text, "{:<50} {:<44} {:>8}", "two faults", "steps", "");
    for cell in cells.iter().filter(|cell| cell.fault.contains(" + ")) {
        let outcome = outcome_text(cell.outcome);
        let _ = writeln!(text, "{:<50} {:<44} {outcome:>8}", cell.fault, cell.step);
    }
    text.push('\n');
}

fn render_findings(text: &mut String, cells: &[MatrixCell]) {
    for cell in cells.iter().filter(|cell| !cell.findings.is_empty()) {
        let _ = writeln!(text, "failed: {} at {}", cell.fault, cell.step);
        for finding in cell.findings.iter().take(4) {
            let _ = writeln!(text, "    {finding}");
        }
    }
}

fn render_list(text: &mut String, title: &str, outcome: CellOutcome, cells: &[MatrixCell]) {
    let listed = cells.iter().filter(|cell| cell.outcome == outcome);
    let mut reasons: indexmap::IndexMap<(&str, &str), Vec<&str>> = indexmap::IndexMap::new();
    for cell in listed {
        let key = (cell.test.as_str(), cell.fault.as_str());
        reasons.entry(key).or_default().push(&cell.step);
    }
    for ((reason, fault), steps) in reasons {
        let _ = writeln!(text, "{title}: {fault} at {}: {reason}", steps.join(", "));
    }
    text.push('\n');
}
