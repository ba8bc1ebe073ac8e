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
use crate::fleet::world::{FleetBrains, FleetWorld, RunFigures};
use crate::load::demand::DemandMaker;
use crate::load::deployment::BenchDeployment;
use crate::load::scenario::{BenchScenario, RUN_LENGTH, WARM_UP};
use crate::report::table::TextTable;

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
            Self::Oatpier => Box::new(PlacementPlanner::new(PlannerSettings::default())),
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

/// One run's line in the report.
#[derive(Debug, Clone, PartialEq, Serialize)]
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
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyReport {
    /// All runs.
    pub runs: Vec<PolicyRun>,
}

/// One cell of the report.
#[derive(Debug, Clone, Copy)]
pub struct PolicyCell<'a> {
    /// The deployment.
    pub deployment: &'a BenchDeployment,
    /// The scenario.
    pub scenario: BenchScenario,
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
    let PolicyCell {
        deployment,
        scenario,
        policy,
    } = *cell;
    let arrivals = DemandMaker::new(deployment, scenario, SEED).arrivals(ENTRIES);
    let world = FleetWorld::new(deployment, scenario, &arrivals, policy.brains(deployment));
    line(cell, world.run())
}

fn line(cell: &PolicyCell<'_>, figures: RunFigures) -> PolicyRun {
    let seconds = (RUN_LENGTH - WARM_UP).as_secs_f64();
    PolicyRun {
        deployment: cell.deployment.name.to_owned(),
        scenario: cell.scenario.as_str().to_owned(),
        policy: cell.policy.as_str().to_owned(),
        requests: figures.requests,
        attainment: as_f64(figures.delivered) / as_f64(figures.requests.max(1)),
        accelerators_used: figures.accelerators_used,
        attainment_per_accelerator: as_f64(figures.delivered)
            / seconds
            / figures.accelerators_used.max(1.0),
        moves: figures.moves,
        breaches: figures.breaches,
        refusals: figures.refusals,
    }
}

/// Counts here are far below 2^52.
#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
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
