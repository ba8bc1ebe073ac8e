//! Memory of the processes of a fleet.

use std::time::Duration;

use serde::Serialize;

use crate::support::fleet::Fleet;

/// How often memory is looked at under load.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// The resident memory of one process, in KiB.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct MemoryRow {
    /// The process.
    pub name: String,
    /// Before the streams.
    pub idle_kib: u64,
    /// The most that was seen while they ran.
    pub loaded_kib: u64,
}

/// Looks at the memory of all daemons again and again.
pub struct MemoryWatch {
    processes: Vec<u32>,
    /// What was seen so far.
    pub rows: Vec<MemoryRow>,
}

impl MemoryWatch {
    /// Looks for the first time, before the load.
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

    /// Looks until it is dropped.
    pub async fn look_for_ever(&mut self) {
        loop {
            for (row, process) in self.rows.iter_mut().zip(&self.processes) {
                row.loaded_kib = row.loaded_kib.max(resident_kib(*process));
            }
            tokio::time::sleep(LOOK_PERIOD).await;
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
        .expect("the system says how much memory a process has")
}
