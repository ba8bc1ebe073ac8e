//! The cost bench: time and allocations of one decision, at three sizes of the fleet.
//!
//! Times are of this machine and are printed only. Allocations, and how they grow, are the same
//! everywhere and are held to bounds. The clock of the machine is read here and in no decision.

mod fleet;
mod requests;
mod state;

use std::time::Instant;

use serde::Serialize;

use crate::report::bounds::MeasuredFigure;
use crate::report::table::TextTable;
use crate::units::{as_f64, size_f64};

pub use fleet::{CostFleet, FleetSize};

/// The sizes: of a deployment today, of a tenth of the fleet to design for, and of that fleet.
pub const SIZES: [FleetSize; 3] = [
    FleetSize {
        endpoints: 21,
        models: 40,
        zones: 3,
    },
    FleetSize {
        endpoints: 350,
        models: 490,
        zones: 8,
    },
    FleetSize {
        endpoints: 3_500,
        models: 490,
        zones: 8,
    },
];

/// Counts allocations. The counting allocator belongs to the program, so it is handed in.
pub trait AllocationCounter {
    /// The allocations since some fixed point.
    fn allocations(&self) -> u64;
}

/// What one operation costs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct CostRow {
    /// The operation.
    pub operation: String,
    /// Endpoints in the fleet.
    pub endpoints: usize,
    /// Models in the fleet.
    pub models: usize,
    /// Time of one operation on this machine, the median over batches.
    pub nanoseconds: f64,
    /// Allocations of one operation, on average.
    pub allocations: f64,
}

/// The whole report.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct CostReport {
    /// One row an operation and size.
    pub costs: Vec<CostRow>,
}

/// Measures every operation at every size.
#[must_use]
pub fn run(counter: &dyn AllocationCounter) -> CostReport {
    let mut costs = Vec::new();
    for size in SIZES {
        let fleet = CostFleet::new(size);
        let mut meter = CostMeter {
            counter,
            size,
            costs: &mut costs,
        };
        requests::measure(&fleet, &mut meter);
        state::measure(&fleet, &mut meter);
    }
    costs.sort_by(|left, right| {
        let left = (&left.operation, left.endpoints);
        left.cmp(&(&right.operation, right.endpoints))
    });
    CostReport { costs }
}

/// Batches that the median is taken over.
const BATCHES: usize = 9;

struct CostMeter<'a> {
    counter: &'a dyn AllocationCounter,
    size: FleetSize,
    costs: &'a mut Vec<CostRow>,
}

impl CostMeter<'_> {
    /// Runs `work` in batches of `rounds`, after one batch that does not count.
    fn measure(&mut self, operation: &str, rounds: u32, mut work: impl FnMut()) {
        let mut times = [0.0; BATCHES];
        let mut allocations = 0;
        for batch in 0..=BATCHES {
            let before = self.counter.allocations();
            let start = Instant::now();
            for _ in 0..rounds {
                work();
            }
            let nanoseconds = start.elapsed().as_secs_f64() * 1e9;
            if batch > 0 {
                times[batch - 1] = nanoseconds / f64::from(rounds);
                allocations += self.counter.allocations() - before;
            }
        }
        times.sort_by(f64::total_cmp);
        let all_rounds = f64::from(rounds) * size_f64(BATCHES);
        self.costs.push(CostRow {
            operation: operation.to_owned(),
            endpoints: self.size.endpoints,
            models: self.size.models,
            nanoseconds: times[BATCHES / 2],
            allocations: as_f64(allocations) / all_rounds,
        });
    }
}

/// The report as a table.
#[must_use]
pub fn table(report: &CostReport) -> TextTable {
    let mut table = TextTable::new(&["operation", "endpoints", "models", "ns", "allocations"]);
    for row in &report.costs {
        table.push(vec![
            row.operation.clone(),
            row.endpoints.to_string(),
            row.models.to_string(),
            format!("{:.0}", row.nanoseconds),
            format!("{:.3}", row.allocations),
        ]);
    }
    table
}

/// The figures that bounds may name: allocations alone.
#[must_use]
pub fn figures(report: &CostReport) -> Vec<MeasuredFigure> {
    let rows = report.costs.iter();
    rows.map(|row| MeasuredFigure {
        name: format!("{}.{}.allocations", row.operation, row.endpoints),
        value: row.allocations,
    })
    .collect()
}
