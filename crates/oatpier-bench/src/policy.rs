//! Policy bench: attainment per accelerator and moves, compared with baselines in the same report.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use indexmap::IndexMap;
use oatpier_placement::planner::{
    FleetPlanner, GreedyPlanner, PlacementPlanner, PlannerSettings, StaticPlanner,
};
use oatpier_policy::entry::{EntryPolicy, EntrySettings};
use serde::Serialize;

use crate::fleet::entry::{BaselineChoice, BaselineEntry, EntryDecider};
use crate::fleet::figures::RunFigures;
use crate::fleet::world::{FleetDeciders, FleetWorld};
use crate::load::demand::DemandGenerator;
use crate::load::deployment::BenchDeployment;
use crate::load::scenario::{BenchCase, BenchScenario, COMPRESSION, FaultPlan};
use crate::report::bounds::MeasuredFigure;
use crate::report::table::TextTable;
use crate::units::as_f64;

/// Number of entries of each deployment.
const ENTRIES: usize = 3;
/// Seed of all runs.
const SEED: u64 = 20_261_202;

/// Policy that serves the requests of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BenchPolicy {
    /// All of oatpier's decisions: requests, admission and placement.
    Oatpier,
    /// Oatpier's request decisions with a fixed placement.
    Static,
    /// Round robin with a greedy placement.
    RoundRobin,
    /// Least outstanding requests with a greedy placement.
    LeastOutstanding,
}

impl BenchPolicy {
    /// All policies, in the order in which reports list them.
    pub const ALL: [Self; 4] = [
        Self::Oatpier,
        Self::Static,
        Self::RoundRobin,
        Self::LeastOutstanding,
    ];

    /// Returns the name that reports use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Oatpier => "oatpier",
            Self::Static => "static",
            Self::RoundRobin => "round-robin",
            Self::LeastOutstanding => "least-outstanding",
        }
    }

    fn deciders(self, deployment: &BenchDeployment) -> FleetDeciders {
        let entries = (0..ENTRIES)
            .map(|index| self.entry(deployment, index))
            .collect();
        let planner: Box<dyn FleetPlanner> = match self {
            Self::Oatpier => Box::new(PlacementPlanner::new(planner_settings())),
            Self::Static => Box::new(StaticPlanner::default()),
            Self::RoundRobin | Self::LeastOutstanding => Box::new(GreedyPlanner::default()),
        };
        FleetDeciders {
            entries,
            admission: matches!(self, Self::Oatpier | Self::Static),
            planner,
            replans: self != Self::Static,
        }
    }

    fn entry(self, deployment: &BenchDeployment, index: usize) -> Box<dyn EntryDecider> {
        let seed = SEED + index as u64;
        let choice = match self {
            Self::RoundRobin => BaselineChoice::RoundRobin,
            Self::LeastOutstanding => BaselineChoice::LeastOutstanding,
            Self::Oatpier | Self::Static => {
                let zones: Vec<_> = deployment
                    .config
                    .regions
                    .values()
                    .flat_map(|region| region.zones.iter())
                    .collect();
                let zone = zones[index % zones.len()].clone();
                let mut policy = EntryPolicy::new(EntrySettings::default(), zone, seed);
                policy.apply_config(&deployment.config);
                return Box::new(policy);
            }
        };
        Box::new(BaselineEntry::new(choice, seed))
    }
}

/// Returns planner settings for demand that changes [`COMPRESSION`] times as fast.
///
/// The cost of a move is in seconds and is compared with the gain over the horizon, so it is divided by the same
/// factor.
#[must_use]
pub fn planner_settings() -> PlannerSettings {
    let settings = PlannerSettings::default();
    PlannerSettings {
        horizon: settings.horizon / COMPRESSION,
        move_cost: settings.move_cost / f64::from(COMPRESSION),
        dwell: settings.dwell / COMPRESSION,
        emptying_interval: settings.emptying_interval / COMPRESSION,
        ..settings
    }
}

/// Row of the report for one run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct PolicyRun {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Number of requests that callers sent after the warm-up.
    pub requests: u64,
    /// Share of these that was delivered once, completely and within target.
    pub attainment: f64,
    /// Mean number of accelerators that held weights.
    pub accelerators_used: f64,
    /// Requests delivered once, completely and within target, per second and per accelerator used.
    pub attainment_per_accelerator: f64,
    /// Number of loads, unloads and role changes.
    pub moves: u64,
    /// Violations of invariants.
    pub breaches: Vec<String>,
    /// Number of incomplete answers by cause.
    pub refusals: IndexMap<String, u32>,
}

/// Report of the policy bench.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct PolicyReport {
    /// Rows of all runs.
    pub runs: Vec<PolicyRun>,
}

/// Case and policy of one run in the report.
#[derive(Debug, Clone, Copy)]
pub struct PolicyCell<'a> {
    /// Deployment, scenario and duration.
    pub case: BenchCase<'a>,
    /// Policy that serves the requests.
    pub policy: BenchPolicy,
}

/// Runs cells in parallel and returns their rows in the order of `cells`.
///
/// Each run has its own simulated clock, so the figures do not depend on the number of concurrent runs.
///
/// # Panics
///
/// If a run panics.
#[must_use]
pub fn run_cells(cells: &[PolicyCell<'_>]) -> Vec<PolicyRun> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(BTreeMap::new());
    let workers = thread::available_parallelism().map_or(1, usize::from) / 2;
    thread::scope(|scope| {
        for _ in 0..workers.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(cell) = cells.get(index) else {
                        return;
                    };
                    let run = run_cell(cell);
                    done.lock().expect("no run panicked").insert(index, run);
                }
            });
        }
    });
    let runs = done.into_inner().expect("no run panicked");
    runs.into_values().collect()
}

/// Runs one cell of the report.
#[must_use]
pub fn run_cell(cell: &PolicyCell<'_>) -> PolicyRun {
    to_row(cell, run_figures(cell))
}

/// Runs one cell and returns all figures of the run.
#[must_use]
pub fn run_figures(cell: &PolicyCell<'_>) -> RunFigures {
    let PolicyCell { case, policy } = *cell;
    let arrivals = DemandGenerator::new(case, SEED).arrivals(ENTRIES);
    FleetWorld::new(case, &arrivals, policy.deciders(case.deployment)).run()
}

/// Runs oatpier on a case with the given faults instead of those of its scenario.
#[must_use]
pub fn run_with_faults(case: BenchCase<'_>, faults: Vec<FaultPlan>) -> RunFigures {
    let arrivals = DemandGenerator::new(case, SEED).arrivals(ENTRIES);
    let deciders = BenchPolicy::Oatpier.deciders(case.deployment);
    FleetWorld::new(case, &arrivals, deciders)
        .with_faults(faults)
        .run()
}

fn to_row(cell: &PolicyCell<'_>, figures: RunFigures) -> PolicyRun {
    let case = cell.case;
    PolicyRun {
        deployment: case.deployment.name.to_owned(),
        scenario: case.scenario.as_str().to_owned(),
        policy: cell.policy.as_str().to_owned(),
        requests: figures.requests,
        attainment: as_f64(figures.delivered) / as_f64(figures.requests.max(1)),
        accelerators_used: figures.accelerators_used,
        attainment_per_accelerator: as_f64(figures.delivered)
            / case.span.counted_seconds()
            / figures.accelerators_used.max(1.0),
        moves: figures.moves,
        breaches: figures.breaches,
        refusals: figures.refusals,
    }
}

/// Formats the report as a table.
#[must_use]
pub fn table(report: &PolicyReport) -> TextTable {
    let mut table = TextTable::new(&[
        "deployment",
        "scenario",
        "policy",
        "requests",
        "attainment",
        "accelerators",
        "per accelerator",
        "moves",
        "breaches",
    ]);
    for run in &report.runs {
        table.push(vec![
            run.deployment.clone(),
            run.scenario.clone(),
            run.policy.clone(),
            run.requests.to_string(),
            format!("{:.4}", run.attainment),
            format!("{:.1}", run.accelerators_used),
            format!("{:.3}", run.attainment_per_accelerator),
            run.moves.to_string(),
            run.breaches.len().to_string(),
        ]);
    }
    table
}

/// Returns the figures that can have bounds: those of oatpier and their ratios to the baselines.
#[must_use]
pub fn figures(report: &PolicyReport) -> Vec<MeasuredFigure> {
    let own = report
        .runs
        .iter()
        .filter(|run| run.policy == BenchPolicy::Oatpier.as_str());
    let mut figures = Vec::new();
    for run in own {
        let name = format!("{}.{}", run.deployment, run.scenario);
        let mut push = |figure: &str, value: f64| {
            let name = format!("{name}.{figure}");
            figures.push(MeasuredFigure { name, value });
        };
        push("attainment", run.attainment);
        push("attainment_per_accelerator", run.attainment_per_accelerator);
        push("moves", as_f64(run.moves));
        push("breaches", as_f64(run.breaches.len() as u64));
        push("against_best_baseline", ratio_to_best_baseline(report, run));
        if run.scenario == BenchScenario::Overload.as_str() {
            push("goodput_against_full", ratio_to_full_load(report, run));
        }
    }
    figures
}

/// Returns the ratio of the attainment per accelerator to that of the best baseline in the same scenario.
fn ratio_to_best_baseline(report: &PolicyReport, own: &PolicyRun) -> f64 {
    let same = report.runs.iter().filter(|run| {
        run.policy != own.policy && run.deployment == own.deployment && run.scenario == own.scenario
    });
    let best = same
        .map(|run| run.attainment_per_accelerator)
        .fold(0.0, f64::max);
    own.attainment_per_accelerator / best
}

/// Returns the ratio of the goodput at twice the capacity of the deployment to the goodput at its capacity.
fn ratio_to_full_load(report: &PolicyReport, own: &PolicyRun) -> f64 {
    let full = report.runs.iter().find(|run| {
        run.policy == own.policy
            && run.deployment == own.deployment
            && run.scenario == BenchScenario::Full.as_str()
    });
    full.map_or(f64::NAN, |full| goodput(own) / goodput(full))
}

fn goodput(run: &PolicyRun) -> f64 {
    run.attainment_per_accelerator * run.accelerators_used
}
