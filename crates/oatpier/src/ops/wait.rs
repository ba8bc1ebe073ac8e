//! Waits until a generation is in force everywhere.

use std::time::Duration;

use oatpier_types::ids::Generation;
use oatpier_types::operator::{ConfigAnswer, DaemonState};
use serde::Serialize;
use tokio::time::Instant;

use super::entries::EntryClient;
use crate::error::CommandError;

/// Time between two polls of an entry.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The processes that have reached a generation, and those that have not.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RolloutReport {
    /// The awaited generation.
    pub wanted: Generation,
    /// Number of processes on this or a later generation.
    pub reached: usize,
    /// Processes on an earlier generation.
    pub behind: Vec<String>,
    /// Processes without recent contact. They are not waited for: a process that is permanently gone would block every
    /// wait, and a process that returns gets the newest generation before it serves requests.
    pub silent: Vec<String>,
}

impl RolloutReport {
    /// Builds the report from an entry's answer.
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

    /// Returns whether all processes in contact have reached the generation, and there is at least one.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.behind.is_empty() && self.reached > 0
    }
}

/// Waits until `wanted` is in force everywhere, for at most `limit`.
///
/// # Errors
///
/// Returns an error if the limit passes first, or no entry has answered until then.
pub async fn wait_in_force(
    entries: &EntryClient,
    wanted: Generation,
    limit: Duration,
) -> Result<RolloutReport, CommandError> {
    let deadline = Instant::now() + limit;
    let mut latest = None;
    loop {
        let answer = entries.config().await;
        match answer.map(|answer| RolloutReport::new(wanted, &answer)) {
            Ok(report) if report.is_complete() => return Ok(report),
            // An earlier answer says more than a failed call.
            Err(_) if matches!(latest, Some(Ok(_))) => {}
            outcome => latest = Some(outcome),
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            let report: Option<RolloutReport> = latest.transpose()?;
            let behind = report.map(|report| report.behind).unwrap_or_default();
            return Err(CommandError::NotInForce { wanted, behind });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
