//! `cargo bench-cost`: time and allocations of one decision, at three fleet sizes.

use std::alloc::System;
use std::process::ExitCode;

use oatpier_bench::cost::{self, AllocationCounter};
use oatpier_bench::report::{self, cli};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Counts the allocations of the whole process, which has a single thread.
struct ProgramCounter;

impl AllocationCounter for ProgramCounter {
    fn allocations(&self) -> u64 {
        let stats = GLOBAL.stats();
        (stats.allocations + stats.reallocations) as u64
    }
}

fn main() -> ExitCode {
    let matches = cli::command("bench-cost", "Time and allocations of one decision").get_matches();
    let costs = cost::run(&ProgramCounter);
    report::print(&costs, matches.get_flag("json"), cost::table);
    cli::finish(&matches, "cost", &cost::figures(&costs))
}
