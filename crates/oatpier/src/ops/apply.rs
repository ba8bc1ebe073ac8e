//! Applies a change of the configuration: reads, merges and writes by compare-and-swap, with retries.

use std::time::Duration;

use bytes::Bytes;
use oatpier_ports::store::{KeyStore, StoreError};
use oatpier_types::config::FleetConfig;
use oatpier_types::config::record::merge::{ChangeProposal, MergeOutcome};
use oatpier_types::config::record::{CONFIG_KEY, ConfigRecord};
use oatpier_types::ids::{ChangeId, Generation};
use serde::Serialize;
use tokio::time::Instant;

use super::record_store::{ReadError, ReadRecord, read_record};
use crate::error::CommandError;

/// Delay before the first retry; each further retry doubles it.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Upper bound of the delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
const ACTION: &str = "changing the configuration";

/// A change that an operator requests.
#[derive(Debug, Clone)]
pub struct ChangeRequest {
    /// The id of the change, the same for each attempt.
    pub change: ChangeId,
    /// Whether an earlier command used this id and ended without knowing the outcome.
    pub is_retry: bool,
    /// The generation that the operator edited; `None` means the newest one when the command starts.
    pub base: Option<Generation>,
    /// The complete wanted configuration.
    pub wanted: FleetConfig,
    /// The operator's name.
    pub operator: String,
    /// Time of the change, in seconds since 1970.
    pub at: u64,
    /// The reason for the change.
    pub summary: String,
}

/// The outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ApplyOutcome {
    /// The id of the change.
    pub change: String,
    /// The generation that the change made, or the current one if it changes nothing.
    pub generation: Generation,
    /// The generation that the edits are based on.
    pub base: Generation,
    /// Whether the change made a new generation.
    pub changed: bool,
    /// Number of items that the change edits.
    pub edits: usize,
    /// Changes of other operators since the base, which remain in effect.
    #[serde(rename = "beside")]
    pub concurrent: Vec<String>,
}

/// Applies a change, and retries for at most `limit` while the store is unavailable or other writes come first.
///
/// # Errors
///
/// Returns an error if the change is refused, conflicts with another one, or the store does not answer in time. Only
/// [`CommandError::Uncertain`] leaves open whether the change was accepted.
pub async fn apply_change(
    store: &dyn KeyStore,
    request: &ChangeRequest,
    limit: Duration,
) -> Result<ApplyOutcome, CommandError> {
    let mut run = ApplyRun {
        store,
        change: request.change,
        base: Generation::default(),
        deadline: Instant::now() + limit,
        retry_delay: FIRST_RETRY_DELAY,
        unanswered: None,
    };
    let first = run.read().await?;
    let mut proposal = propose(&first.record, request)?;
    run.base = proposal.base;
    let mut read = first;
    loop {
        let step = read.record.merge(&proposal);
        match step.map_err(|source| CommandError::Merge { source })? {
            MergeOutcome::Accepted { generation } => {
                return Ok(outcome(&proposal, generation, true, &[]));
            }
            MergeOutcome::Unchanged { generation } => {
                return Ok(outcome(&proposal, generation, false, &[]));
            }
            MergeOutcome::Write { record, concurrent } => {
                let generation = record.generation;
                if run.write(&record, &read, &mut proposal).await? {
                    return Ok(outcome(&proposal, generation, true, &concurrent));
                }
            }
        }
        read = run.read().await?;
    }
}

fn propose(record: &ConfigRecord, request: &ChangeRequest) -> Result<ChangeProposal, CommandError> {
    let base = request.base.unwrap_or(record.generation);
    let accepted = record
        .recent
        .iter()
        .any(|accepted_change| accepted_change.change == request.change);
    let edits = if accepted {
        // The id alone tells that it was accepted. Its base may no longer be in the history.
        Vec::new()
    } else {
        let edits = record.edits_from(base, &request.wanted);
        edits.map_err(|source| CommandError::History {
            wanted: base,
            source,
        })?
    };
    Ok(ChangeProposal {
        change: request.change,
        base,
        edits,
        operator: request.operator.clone(),
        at: request.at,
        summary: request.summary.clone(),
        unanswered: request.is_retry.then(|| base.next()),
    })
}

fn outcome(
    proposal: &ChangeProposal,
    generation: Generation,
    changed: bool,
    concurrent: &[ChangeId],
) -> ApplyOutcome {
    ApplyOutcome {
        change: proposal.change.to_string(),
        generation,
        base: proposal.base,
        changed,
        edits: proposal.edits.len(),
        concurrent: concurrent.iter().map(ToString::to_string).collect(),
    }
}

/// The attempts to apply one change.
struct ApplyRun<'a> {
    store: &'a dyn KeyStore,
    change: ChangeId,
    base: Generation,
    deadline: Instant,
    retry_delay: Duration,
    /// The last write that got no answer, if any.
    unanswered: Option<StoreError>,
}

impl ApplyRun<'_> {
    async fn read(&mut self) -> Result<ReadRecord, CommandError> {
        loop {
            match read_record(self.store).await {
                Ok(read) => return Ok(read),
                Err(ReadError::Record(source)) => return Err(CommandError::Record { source }),
                Err(ReadError::Store(source)) => self.wait_before_retry(source).await?,
            }
        }
    }

    /// Replaces the record that was read. Returns whether the write is known to have succeeded.
    async fn write(
        &mut self,
        record: &ConfigRecord,
        read: &ReadRecord,
        proposal: &mut ChangeProposal,
    ) -> Result<bool, CommandError> {
        let bytes = record.encode();
        let bytes = bytes.map_err(|source| CommandError::Record { source })?;
        let put = self
            .store
            .put(CONFIG_KEY, Bytes::from(bytes), read.expected, None);
        match put.await {
            Ok(_) => return Ok(true),
            Err(StoreError::Conflict { .. }) => {
                let cause = "other operators keep changing the configuration".to_owned();
                self.wait_before_retry(StoreError::Unavailable { cause })
                    .await?;
            }
            Err(error @ StoreError::AnswerLost { .. }) => {
                // The write may have taken effect, or may still do so. The next read looks for the change's id,
                // and a further write expects the same revision, so that only one of the two can take effect.
                proposal.unanswered = proposal.unanswered.max(Some(record.generation));
                self.unanswered = Some(error.clone());
                self.wait_before_retry(error).await?;
            }
            Err(error @ StoreError::Unavailable { .. }) => self.wait_before_retry(error).await?,
            Err(source) => {
                return Err(CommandError::Store {
                    action: ACTION,
                    source,
                });
            }
        }
        Ok(false)
    }

    /// Waits before a retry. The delay grows exponentially with random jitter, so that operators whose writes
    /// conflicted do not retry at the same time again.
    async fn wait_before_retry(&mut self, cause: StoreError) -> Result<(), CommandError> {
        let delay = self.retry_delay.mul_f64(rand::random_range(0.5..1.0));
        if Instant::now() + delay >= self.deadline {
            return Err(self.give_up(cause));
        }
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        tokio::time::sleep(delay).await;
        Ok(())
    }

    fn give_up(&self, cause: StoreError) -> CommandError {
        match &self.unanswered {
            Some(lost) => CommandError::Uncertain {
                action: ACTION,
                change: Some((self.change, self.base)),
                source: lost.clone(),
            },
            None => CommandError::Store {
                action: ACTION,
                source: cause,
            },
        }
    }
}
