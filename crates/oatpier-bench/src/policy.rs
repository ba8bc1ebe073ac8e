//! The policy bench: attainment per accelerator and moves, beside baselines in the same run.

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

use crate::fleet::entry::{EntryBrain, PlainChoice, PlainEntry};
use crate::fleet::figures::RunFigures;
use crate::fleet::world::{FleetBrains, FleetWorld};
use crate::load::demand::DemandMaker;
use crate::load::deployment::BenchDeployment;
use crate::load::scenario::{BenchCase, BenchScenario, COMPRESSION, FaultPlan};
use crate::report::bounds::MeasuredFigure;
use crate::report::table::TextTable;
use crate::units::as_f64;

/// Entries of each deployment.
const ENTRIES: usize = 3;
/// The seed of all runs.
const SEED: u64 = 20_261_202;

/// What serves the requests of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BenchPolicy {
    /// Everything.
    Oatpier,
    /// Oatpier's decisions about requests over a fixed placement.
    Static,
    /// Round robin over a greedy placement.
    RoundRobin,
    /// Least outstanding requests over a greedy placement.
    LeastOutstanding,
}

impl BenchPolicy {
    /// All, in the order of reports.
    pub const ALL: [Self; 4] = [
        Self::Oatpier,
        Self::Static,
        Self::RoundRobin,
        Self::LeastOutstanding,
    ];

    /// The word that reports use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Oatpier => "oatpier",
            Self::Static => "static",
            Self::RoundRobin => "round-robin",
            Self::LeastOutstanding => "least-outstanding",
        }
    }

    fn brains(self, deployment: &BenchDeployment) -> FleetBrains {
        let entries = (0..ENTRIES)
            .map(|index| self.entry(deployment, index))
            .collect();
        let planner: Box<dyn FleetPlanner> = match self {
            Self::Oatpier => Box::new(PlacementPlanner::new(planner_settings())),
            Self::Static => Box::new(StaticPlanner::default()),
            Self::RoundRobin | Self::LeastOutstanding => Box::new(GreedyPlanner::default()),
        };
        FleetBrains {
            entries,
            admission: matches!(self, Self::Oatpier | Self::Static),
            planner,
            replans: self != Self::Static,
        }
    }

    fn entry(self, deployment: &BenchDeployment, index: usize) -> Box<dyn EntryBrain> {
        let seed = SEED + index as u64;
        let choice = match self {
            Self::RoundRobin => PlainChoice::RoundRobin,
            Self::LeastOutstanding => PlainChoice::LeastOutstanding,
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
        Box::new(PlainEntry::new(choice, seed))
    }
}

/// The planner's settings for demand that moves [`COMPRESSION`] times as fast. The cost of a move
/// is in seconds and is weighed against the gain over the horizon, so it shrinks alike.
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

/// One run's line in the report.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct PolicyRun {
    /// The deployment.
    pub deployment: String,
    /// The scenario.
    pub scenario: String,
    /// What served the requests.
    pub policy: String,
    /// Requests of callers, after the warm-up.
    pub requests: u64,
    /// The share of them that was delivered once, whole and within target.
    pub attainment: f64,
    /// Accelerators that held weights, on average.
    pub accelerators_used: f64,
    /// Requests delivered once, whole and within target, a second and accelerator used.
    pub attainment_per_accelerator: f64,
    /// Loads, unloads and role changes.
    pub moves: u64,
    /// Breaches of what must always hold.
    pub breaches: Vec<String>,
    /// Answers that were not whole, by cause.
    pub refusals: IndexMap<String, u32>,
}

/// The whole report.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct PolicyReport {
    /// All runs.
    pub runs: Vec<PolicyRun>,
}

/// One cell of the report.
#[derive(Debug, Clone, Copy)]
pub struct PolicyCell<'a> {
    /// What it is about.
    pub case: BenchCase<'a>,
    /// What serves the requests.
    pub policy: BenchPolicy,
}

/// Runs cells side by side. Each runs alone on its own clock, so the figures don't depend on how
/// many run at once.
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
    line(cell, run_figures(cell))
}

/// What one cell's run showed, in full.
#[must_use]
pub fn run_figures(cell: &PolicyCell<'_>) -> RunFigures {
    let PolicyCell { case, policy } = *cell;
    let arrivals = DemandMaker::new(case, SEED).arrivals(ENTRIES);
    FleetWorld::new(case, &arrivals, policy.brains(case.deployment)).run()
}

/// Runs oatpier on a case with other faults than its scenario's.
#[must_use]
pub fn run_with_faults(case: BenchCase<'_>, faults: Vec<FaultPlan>) -> RunFigures {
    let arrivals = DemandMaker::new(case, SEED).arrivals(ENTRIES);
    let brains = BenchPolicy::Oatpier.brains(case.deployment);
    FleetWorld::new(case, &arrivals, brains)
        .with_faults(faults)
        .run()
}

fn line(cell: &PolicyCell<'_>, figures: RunFigures) -> PolicyRun {
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

/// The report as a table.
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

/// The figures that bounds may name: oatpier's own, and how they stand to the baselines.
#[must_use]
pub fn figures(report: &PolicyReport) -> Vec<MeasuredFigure> {
    let own = report
        .runs
        .iter()
        .filter(|run| run.policy == BenchPolicy::Oatpier.as_str());
    let mut figures = Vec::new();
    for run in own {
        let name = format!("{}.{}", run.deployment, run.scenario);
        let mut push = |what: &str, value: f64| {
            let name = format!("{name}.{what}");
            figures.push(MeasuredFigure { name, value });
        };
        push("attainment", run.attainment);
        push("attainment_per_accelerator", run.attainment_per_accelerator);
        push("moves", as_f64(run.moves));
        push("breaches", as_f64(run.breaches.len() as u64));
        push("against_best_baseline", against_best(report, run));
        if run.scenario == BenchScenario::Overload.as_str() {
            push("goodput_against_full", against_full(report, run));
        }
    }
    figures
}

/// Attainment per accelerator over that of the best baseline in the same scenario.
fn against_best(report: &PolicyReport, own: &PolicyRun) -> f64 {
    let same = report.runs.iter().filter(|run| {
        run.policy != own.policy && run.deployment == own.deployment && run.scenario == own.scenario
    });
    let best = same
        .map(|run| run.attainment_per_accelerator)
        .fold(0.0, f64::max);
    own.attainment_per_accelerator / best
}

/// Requests within target at twice what the deployment can serve, over those at once that.
fn against_full(report: &PolicyReport, own: &PolicyRun) -> f64 {
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
