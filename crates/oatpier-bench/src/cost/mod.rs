//! Cost bench: time and allocations of one decision, at three fleet sizes.
//!
//! Times depend on the machine and are only printed. Allocation counts and their growth are the same on every machine
//! and are checked against bounds. Only this module reads the system clock; the decisions never do.

mod fleet;
mod requests;
mod state;

use std::time::Instant;

use serde::Serialize;

use crate::report::bounds::MeasuredFigure;
use crate::report::table::TextTable;
use crate::units::{as_f64, size_f64};

pub use fleet::{CostFleet, FleetSize};

/// Fleet sizes: a present-day deployment, a tenth of the design target, and the design target.
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

/// Counts allocations.
///
/// The global allocator is set by the bench executable, which therefore passes in its counter.
pub trait AllocationCounter {
    /// Returns the number of allocations since a fixed point in time.
    fn allocations(&self) -> u64;
}

/// Cost of one operation at one fleet size.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct CostRow {
    /// Name of the operation.
    pub operation: String,
    /// Number of endpoints in the fleet.
    pub endpoints: usize,
    /// Number of models in the fleet.
    pub models: usize,
    /// Time of one operation on this machine, as the median over batches.
    pub nanoseconds: f64,
    /// Mean number of allocations of one operation.
    pub allocations: f64,
}

/// Report of the cost bench.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct CostReport {
    /// One row for each operation and fleet size.
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

/// Number of batches over which the median is taken.
const BATCHES: usize = 9;

struct CostMeter<'a> {
    counter: &'a dyn AllocationCounter,
    size: FleetSize,
    costs: &'a mut Vec<CostRow>,
}

impl CostMeter<'_> {
    /// Runs `work` in batches of `rounds` calls. The first batch is a warm-up and is not counted.
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

/// Formats the report as a table.
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

/// Returns the figures that can have bounds, which are the allocation counts only.
#[must_use]
pub fn figures(report: &CostReport) -> Vec<MeasuredFigure> {
    let rows = report.costs.iter();
    rows.map(|row| MeasuredFigure {
        name: format!("{}.{}.allocations", row.operation, row.endpoints),
        value: row.allocations,
    })
    .collect()
}
