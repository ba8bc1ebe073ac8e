//! Waiting until a generation is in force everywhere.

use std::time::Duration;

use oatpier_types::ids::Generation;
use oatpier_types::operator::{ConfigAnswer, DaemonState};
use serde::Serialize;
use tokio::time::Instant;

use super::entries::EntryClient;
use crate::error::CommandError;

/// The time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Who is on which generation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct SpreadReport {
    /// The generation that is waited for.
    pub wanted: Generation,
    /// Processes that are on it or on a later one.
    pub reached: usize,
    /// Processes that are not.
    pub behind: Vec<String>,
    /// Processes that have not been heard of lately. They are not waited for: one that is gone
    /// for good would hold up every wait, and one that comes back learns the newest generation
    /// before it serves.
    pub silent: Vec<String>,
}

impl SpreadReport {
    /// Reads it from an entry's answer.
    #[must_use]
    pub fn new(wanted: Generation, answer: &ConfigAnswer) -> Self {
        let is_silent = |state| state == DaemonState::Silent;
        let heard = answer.daemons.iter().filter(|row| !is_silent(row.state));
        let (reached, behind): (Vec<_>, Vec<_>) = heard.partition(|row| row.generation >= wanted);
        let silent = answer.daemons.iter().filter(|row| is_silent(row.state));
        Self {
            wanted,
            reached: reached.len(),
            behind: behind
                .iter()
                .map(|row| format!("{} ({})", row.name, row.generation))
                .collect(),
            silent: silent.map(|row| row.name.to_string()).collect(),
        }
    }

    /// Whether everyone who is there is on it.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.behind.is_empty() && self.reached > 0
    }
}

/// Waits until `wanted` is in force everywhere, for at most `limit`.
///
/// # Errors
///
/// Not in time, or no entry answered.
pub async fn wait_in_force(
    entries: &EntryClient,
    wanted: Generation,
    limit: Duration,
) -> Result<SpreadReport, CommandError> {
    let deadline = Instant::now() + limit;
    loop {
        let looked = entries.config().await;
        let report = looked.map(|answer| SpreadReport::new(wanted, &answer));
        if let Ok(report) = &report
            && report.complete()
        {
            return Ok(report.clone());
        }
        if Instant::now() + LOOK_INTERVAL >= deadline {
            let behind = report?.behind;
            return Err(CommandError::WaitedOut { wanted, behind });
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
