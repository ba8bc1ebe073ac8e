//! Time until an accepted change is in force on all processes.

use std::collections::BTreeMap;
use std::time::Duration;

use oatpier_membership::agent::AgentEvent;
use oatpier_membership::exchange::ExchangeScope;
use oatpier_membership::members::TableLimits;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Generation};
use serde::Serialize;

use super::support::fleet::{Fleet, Shape};
use super::support::payload::TestConfig;
use super::support::queue_report;

const SEED: u64 = 11;
const LOSS: f64 = 0.1;
const WARM_UP: Duration = Duration::from_secs(12);
/// Time for which a change is observed, which is a little more than it may take.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);
/// Time for which an availability zone is partitioned from the others.
const CUT_TIME: Duration = Duration::from_secs(5);
/// Number of changes before, during and after the partition.
const CHANGES: [u32; 3] = [1, 1, 1];
/// Number of models in the configuration. Each model is a row, as is each endpoint.
pub(super) const MODELS: usize = 490;

/// Number of processes and their distribution over availability zones.
#[derive(Debug, Clone)]
pub struct SpreadSize {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Number of availability zones in each region.
    pub zones_by_region: Vec<usize>,
    /// Number of models in the configuration.
    pub models: usize,
}

/// Row of the report for one fleet size and network state.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct SpreadRow {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Share of messages that are lost.
    pub loss: f64,
    /// State of the network when the change was accepted: `whole`, `cut` (one availability zone was partitioned; the
    /// times of its processes start when the partition ends) or `healed` (after the partition).
    pub network: String,
    /// Median time until a process had the change in force, in seconds.
    pub p50_s: f64,
    /// 99th percentile of that time, in seconds.
    pub p99_s: f64,
    /// Maximum of that time, in seconds.
    pub max_s: f64,
    /// Time of each process in ascending order, for plots.
    #[serde(skip)]
    pub times_s: Vec<f64>,
}

/// Returns the fleet sizes of the report.
#[must_use]
pub fn sizes() -> [SpreadSize; 3] {
    let size = |entries, agents, zones_by_region| SpreadSize {
        entries,
        agents,
        zones_by_region,
        models: MODELS,
    };
    [
        size(3, 21, vec![3]),
        size(34, 350, vec![2; 4]),
        size(340, 3_500, vec![2; 4]),
    ]
}

/// Creates a fleet and runs it until a configuration is in force.
pub(super) fn settled_fleet(size: &SpreadSize, loss: f64, limits: TableLimits) -> Fleet {
    let shape = Shape {
        zones_by_region: size.zones_by_region.clone(),
        entries: size.entries,
        agents: size.agents,
        scope: ExchangeScope::for_fleet(size.agents),
        limits,
    };
    let mut fleet = Fleet::new(shape, SEED);
    let rows = u32::try_from(size.agents + size.models).unwrap_or(u32::MAX);
    let rows: BTreeMap<u32, String> = (0..rows).map(|row| (row, row_text(row))).collect();
    fleet.accept_value(TestConfig { rows });
    fleet.network.loss = loss;
    fleet.run_for(WARM_UP);
    fleet
}

fn row_text(row: u32) -> String {
    format!("an endpoint or a model with its settings {row:05}")
}

/// Runs for whole seconds and sends a new queue report of each agent in every second.
pub(super) fn run_with_reports(fleet: &mut Fleet, span: Duration, sequence: &mut u64) {
    for _ in 0..span.as_secs() {
        *sequence += 1;
        for index in fleet.entries..fleet.processes.len() {
            let boot = BootId(index as u128 + 1);
            fleet.agent_event(
                index,
                AgentEvent::QueueReport(queue_report(boot, *sequence)),
            );
        }
        fleet.run_for(Duration::from_secs(1));
    }
}

/// Measures the spread of changes at one fleet size.
#[must_use]
pub fn run(size: &SpreadSize) -> Vec<SpreadRow> {
    let mut fleet = settled_fleet(size, LOSS, TableLimits::default());
    let mut key = 0;
    let mut change = |fleet: &mut Fleet, cut: bool| {
        key += 1;
        let zone = fleet.zones[0].clone();
        if cut {
            fleet.network.cut_zone(&zone);
        }
        let generation = fleet.accept(key, "an endpoint or a model with another setting");
        let accepted = fleet.now;
        let mut healed = accepted;
        if cut {
            fleet.run_for(CUT_TIME);
            fleet.network.cuts.clear();
            healed = fleet.now;
        }
        fleet.run_for(OBSERVATION_TIME);
        times(fleet, generation, |index| {
            let inside = fleet.processes[index].contact.zone == zone;
            if inside { healed } else { accepted }
        })
    };
    let mut rows = Vec::new();
    for (network, changes) in ["whole", "cut", "healed"].into_iter().zip(CHANGES) {
        let taken = (0..changes).flat_map(|_| change(&mut fleet, network == "cut"));
        let taken: Vec<Duration> = taken.collect();
        rows.push(row(size, network, taken));
    }
    rows
}

fn times(
    fleet: &Fleet,
    generation: Generation,
    since: impl Fn(usize) -> ClockTime,
) -> Vec<Duration> {
    let processes = fleet.processes.iter().enumerate();
    let taken = processes.map(|(index, process)| {
        let mut log = process.in_force.iter();
        let first = log.find(|(_, held, _)| *held >= generation);
        first.map_or(Duration::MAX, |(at, _, _)| at.since(since(index)))
    });
    taken.collect()
}

fn row(size: &SpreadSize, network: &str, mut taken: Vec<Duration>) -> SpreadRow {
    taken.sort();
    let at = |percent: usize| taken[(taken.len() - 1) * percent / 100].as_secs_f64();
    SpreadRow {
        entries: size.entries,
        agents: size.agents,
        loss: LOSS,
        network: network.to_owned(),
        p50_s: at(50),
        p99_s: at(99),
        max_s: at(100),
        times_s: taken.iter().map(Duration::as_secs_f64).collect(),
    }
}
