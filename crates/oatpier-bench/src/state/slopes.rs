//! Cost of the control plane per process: store calls, bytes and processor time, and how they grow with the fleet.
//!
//! Each slope is the difference between two runs of the membership state machines that differ in one count only. Bytes
//! include message bodies and an allowance for HTTP headers, sent and received together. Processor time depends on the
//! machine and includes the message loop itself, so it is printed and never checked against a bound.

use std::time::{Duration, Instant};

use oatpier_membership::members::TableLimits;
use serde::Serialize;

use super::spread::{MODELS, SpreadSize, run_with_reports, settled_fleet};
use crate::units::{as_f64, size_f64};

/// Length of the measured period, in which the configuration changes once.
const MEASURED_TIME: Duration = Duration::from_secs(16);

/// Row of the report for one cost.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct SlopeRow {
    /// Process with the cost: `entry`, `agent`, `process` (mean of all) or `fleet` (all processes together).
    pub role: String,
    /// Resource that is used.
    pub resource: String,
    /// Reference of the value: the base size as a whole, or one additional daemon, endpoint or model.
    pub per: String,
    /// Value of the cost.
    pub value: f64,
    /// Unit of the value.
    pub unit: String,
}

/// Cost of one run per second.
#[derive(Debug, Clone, Copy)]
struct FleetCost {
    entry_bytes: f64,
    agent_bytes: f64,
    store_calls: f64,
    /// Mean processor time of one process, in microseconds per second.
    processor_us: f64,
}

/// Returns the base size of the slopes, which is a tenth of the design target.
fn base() -> SpreadSize {
    SpreadSize {
        entries: 34,
        agents: 350,
        zones_by_region: vec![2; 4],
        models: MODELS,
    }
}

pub(super) fn run() -> Vec<SlopeRow> {
    let start = base();
    let first = cost(&start);
    let mut rows = base_rows(&first);
    let variants = [
        (
            "daemon",
            SpreadSize {
                entries: 68,
                ..start.clone()
            },
            34.0,
        ),
        (
            "endpoint",
            SpreadSize {
                agents: 700,
                ..start.clone()
            },
            350.0,
        ),
        (
            "model",
            SpreadSize {
                models: 2 * MODELS,
                ..start
            },
            size_f64(MODELS),
        ),
    ];
    for (per, size, added) in variants {
        rows.extend(slope(per, added, first, cost(&size)));
    }
    rows
}

fn cost(size: &SpreadSize) -> FleetCost {
    let mut fleet = settled_fleet(size, 0.0, TableLimits::default());
    fleet.measure = true;
    fleet.store.calls = 0;
    let started = Instant::now();
    let half = MEASURED_TIME / 2;
    run_with_reports(&mut fleet, half, &mut 2);
    fleet.accept(1, "an endpoint or a model with another setting");
    run_with_reports(&mut fleet, half, &mut 1_000);
    let elapsed = started.elapsed();
    let seconds = MEASURED_TIME.as_secs_f64();
    let mean = |from: usize, to: usize| {
        let bytes: u64 = fleet.processes[from..to].iter().map(|one| one.bytes).sum();
        as_f64(bytes) / size_f64(to - from) / seconds
    };
    let all = fleet.processes.len();
    FleetCost {
        entry_bytes: mean(0, size.entries),
        agent_bytes: mean(size.entries, all),
        store_calls: as_f64(fleet.store.calls) / seconds,
        processor_us: elapsed.as_secs_f64() * 1e6 / size_f64(all) / seconds,
    }
}

fn base_rows(cost: &FleetCost) -> Vec<SlopeRow> {
    rows("34 entries, 350 endpoints, 490 models", |get| get(cost))
}

fn slope(per: &str, added: f64, from: FleetCost, to: FleetCost) -> Vec<SlopeRow> {
    rows(per, |get| (get(&to) - get(&from)) / added)
}

type CostGetter = fn(&FleetCost) -> f64;

fn rows(per: &str, value: impl Fn(CostGetter) -> f64) -> Vec<SlopeRow> {
    let parts: [(&str, &str, &str, CostGetter); 4] = [
        ("entry", "network", "bytes/s", |cost| cost.entry_bytes),
        ("agent", "network", "bytes/s", |cost| cost.agent_bytes),
        ("fleet", "store calls", "calls/s", |cost| cost.store_calls),
        ("process", "processor time", "us/s", |cost| {
            cost.processor_us
        }),
    ];
    parts
        .into_iter()
        .map(|(role, resource, unit, get)| SlopeRow {
            role: role.to_owned(),
            resource: resource.to_owned(),
            per: per.to_owned(),
            value: value(get),
            unit: unit.to_owned(),
        })
        .collect()
}
