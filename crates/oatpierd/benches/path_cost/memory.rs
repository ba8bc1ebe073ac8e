//! Samples the memory use of a fleet's processes.

use std::time::Duration;

use serde::Serialize;

use crate::support::fleet::Fleet;

/// Time between two memory samples under load.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// The resident memory of one process, in KiB.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct MemoryRow {
    /// The name of the process.
    pub name: String,
    /// Memory before the streams.
    pub idle_kib: u64,
    /// Maximum during the streams.
    pub loaded_kib: u64,
}

/// Samples the memory of all daemons periodically.
pub struct MemorySampler {
    processes: Vec<u32>,
    /// The results so far.
    pub rows: Vec<MemoryRow>,
}

impl MemorySampler {
    /// Takes the first sample, before the load.
    pub fn new(fleet: &Fleet) -> Self {
        let daemons = || fleet.entries.iter().chain(&fleet.agents);
        let row = |name: &str, process: u32| MemoryRow {
            name: name.to_owned(),
            idle_kib: resident_kib(process),
            loaded_kib: 0,
        };
        Self {
            processes: daemons().map(|daemon| daemon.process.child.id()).collect(),
            rows: daemons()
                .map(|daemon| row(&daemon.name, daemon.process.child.id()))
                .collect(),
        }
    }

    /// Samples until the future is dropped.
    pub async fn sample_forever(&mut self) {
        loop {
            for (row, process) in self.rows.iter_mut().zip(&self.processes) {
                row.loaded_kib = row.loaded_kib.max(resident_kib(*process));
            }
            tokio::time::sleep(SAMPLE_PERIOD).await;
        }
    }
}

fn resident_kib(process: u32) -> u64 {
    let path = format!("/proc/{process}/status");
    let text = std::fs::read_to_string(path).expect("the process runs");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .expect("/proc reports the resident memory of the process")
}
