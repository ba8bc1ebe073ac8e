//! State bench: spread of changes, recovery, moves, lost registrars and slopes of cost.

pub mod day;
pub mod recovery;
pub mod registrars;
pub mod slopes;
pub mod spread;

mod support;

use std::thread;

use serde::Serialize;

use crate::load::deployment::{BenchDeployment, all};
use crate::report::bounds::MeasuredFigure;
use crate::report::table::TextTable;
use crate::units::{as_f64, size_f64};

use day::DayRow;
use recovery::RecoveryRow;
use registrars::RegistrarRow;
use slopes::SlopeRow;
use spread::SpreadRow;

/// Report of the state bench.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct StateReport {
    /// Time until an accepted change is in force on all processes.
    pub spread: Vec<SpreadRow>,
    /// Time for which a model is unavailable after the endpoint with its only replica fails.
    pub recovery: Vec<RecoveryRow>,
    /// A day of demand with each planner.
    pub moves: Vec<DayRow>,
    /// Effect of the failure of a registrar.
    pub registrars: Vec<RegistrarRow>,
    /// Cost of the control plane per process.
    pub slopes: Vec<SlopeRow>,
}

/// Names of the parts of the report.
pub const PARTS: [&str; 5] = ["spread", "recovery", "moves", "registrars", "slopes"];

/// Runs the parts for which `wanted` returns true.
///
/// The parts run in parallel, except `slopes`, which measures processor time.
///
/// # Panics
///
/// If a run panics.
#[must_use]
pub fn run(wanted: impl Fn(&str) -> bool) -> StateReport {
    let deployments = all();
    let mut report = StateReport::default();
    thread::scope(|scope| {
        let spread = wanted("spread").then(|| scope.spawn(run_spread));
        let each = &deployments;
        let recovery = wanted("recovery")
            .then(|| scope.spawn(|| run_each(each, |one| vec![recovery::run(one)])));
        let moves = wanted("moves").then(|| scope.spawn(|| run_each(each, day::run)));
        let registrars =
            wanted("registrars").then(|| scope.spawn(|| run_each(each, registrars::run)));
        let join = "no run panicked";
        report.spread = spread
            .map(|run| run.join().expect(join))
            .unwrap_or_default();
        report.recovery = recovery
            .map(|run| run.join().expect(join))
            .unwrap_or_default();
        report.moves = moves.map(|run| run.join().expect(join)).unwrap_or_default();
        report.registrars = registrars
            .map(|run| run.join().expect(join))
            .unwrap_or_default();
    });
    if wanted("slopes") {
        report.slopes = slopes::run();
    }
    report
}

fn run_spread() -> Vec<SpreadRow> {
    spread::sizes().iter().flat_map(spread::run).collect()
}

fn run_each<R>(
    deployments: &[BenchDeployment],
    run: impl Fn(&BenchDeployment) -> Vec<R>,
) -> Vec<R> {
    deployments.iter().flat_map(run).collect()
}

/// Formats the parts of the report, one after the other.
#[must_use]
pub fn table(report: &StateReport) -> TextTable {
    let mut table = TextTable::default();
    push_spread(&mut table, &report.spread);
    push_recovery(&mut table, &report.recovery);
    push_moves(&mut table, &report.moves);
    push_registrars(&mut table, &report.registrars);
    push_slopes(&mut table, &report.slopes);
    table
}

fn push_spread(table: &mut TextTable, rows: &[SpreadRow]) {
    if rows.is_empty() {
        return;
    }
    table.push(titles(&[
        "spread: entries",
        "agents",
        "loss",
        "network",
        "p50 s",
        "p99 s",
        "max s",
    ]));
    for row in rows {
        table.push(vec![
            row.entries.to_string(),
            row.agents.to_string(),
            row.loss.to_string(),
            row.network.clone(),
            format!("{:.3}", row.p50_s),
            format!("{:.3}", row.p99_s),
            format!("{:.3}", row.max_s),
        ]);
    }
}

fn push_recovery(table: &mut TextTable, rows: &[RecoveryRow]) {
    if rows.is_empty() {
        return;
    }
    table.push(titles(&[
        "recovery: deployment",
        "models",
        "lost",
        "mean s",
        "max s",
        "silence s",
    ]));
    for row in rows {
        table.push(vec![
            row.deployment.clone(),
            row.models.to_string(),
            row.lost.to_string(),
            format!("{:.2}", row.mean_s),
            format!("{:.2}", row.max_s),
            format!("{:.1}", row.silence_s),
        ]);
    }
}

fn push_moves(table: &mut TextTable, rows: &[DayRow]) {
    if rows.is_empty() {
        return;
    }
    table.push(titles(&[
        "a day: deployment",
        "planner",
        "attainment",
        "accelerators",
        "per accelerator",
        "moves",
    ]));
    for row in rows {
        table.push(vec![
            row.deployment.clone(),
            row.planner.clone(),
            format!("{:.4}", row.attainment),
            format!("{:.1}", row.accelerators_used),
            format!("{:.5}", row.attainment_per_accelerator),
            row.moves.to_string(),
        ]);
    }
}

fn push_registrars(table: &mut TextTable, rows: &[RegistrarRow]) {
    if rows.is_empty() {
        return;
    }
    table.push(titles(&[
        "lost registrar: deployment",
        "rows",
        "agents gone",
        "longest s",
        "attainment",
        "moves",
    ]));
    for row in rows {
        table.push(vec![
            row.deployment.clone(),
            row.lost_registrar.clone(),
            row.agents_gone.to_string(),
            format!("{:.2}", row.longest_s),
            format!("{:.4}", row.attainment),
            row.moves.to_string(),
        ]);
    }
}

fn push_slopes(table: &mut TextTable, rows: &[SlopeRow]) {
    if rows.is_empty() {
        return;
    }
    table.push(titles(&["cost: role", "resource", "per", "value", "unit"]));
    for row in rows {
        table.push(vec![
            row.role.clone(),
            row.resource.clone(),
            row.per.clone(),
            format!("{:.4}", row.value),
            row.unit.clone(),
        ]);
    }
}

fn titles(words: &[&str]) -> Vec<String> {
    words.iter().map(ToString::to_string).collect()
}

/// Returns the figures that can have bounds. Processor time is excluded because it depends on the machine.
#[must_use]
pub fn figures(report: &StateReport) -> Vec<MeasuredFigure> {
    let spread = report.spread.iter().flat_map(|row| {
        let name = format!("spread.{}.{}", row.entries, row.network);
        [
            (format!("{name}.p99_s"), row.p99_s),
            (format!("{name}.max_s"), row.max_s),
        ]
    });
    let recovery = report.recovery.iter().flat_map(|row| {
        let name = format!("recovery.{}", row.deployment);
        [
            (format!("{name}.lost"), size_f64(row.lost)),
            (format!("{name}.max_s"), row.max_s),
        ]
    });
    let moves = report.moves.iter().flat_map(|row| {
        let name = format!("moves.{}.{}", row.deployment, row.planner);
        [
            (format!("{name}.moves"), f64::from(row.moves)),
            (format!("{name}.attainment"), row.attainment),
        ]
    });
    let registrars = report.registrars.iter().flat_map(|row| {
        let name = format!("registrars.{}.{}", row.deployment, row.lost_registrar);
        [
            (format!("{name}.moves"), as_f64(row.moves)),
            (format!("{name}.attainment"), row.attainment),
        ]
    });
    let slopes = report
        .slopes
        .iter()
        .filter(|row| row.resource != "processor time");
    let slopes = slopes.map(|row| {
        let name = format!("slopes.{}.{}.per {}", row.role, row.resource, row.per);
        (name, row.value)
    });
    let all = spread
        .chain(recovery)
        .chain(moves)
        .chain(registrars)
        .chain(slopes);
    all.map(|(name, value)| MeasuredFigure { name, value })
        .collect()
}
