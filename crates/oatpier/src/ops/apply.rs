//! Making a change of the configuration: read, merge, write by compare-and-swap, again if needed.

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

/// The first wait before a further try, doubled with each.
const FIRST_WAIT: Duration = Duration::from_millis(25);
/// The longest wait before a further try.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
const ACTION: &str = "changing the configuration";

/// A change that an operator asks for.
#[derive(Debug, Clone)]
pub struct ChangeRequest {
    /// Its id, the same for each try.
    pub change: ChangeId,
    /// Whether the id was tried before, by a command that ended without knowing.
    pub tried: bool,
    /// The generation that the operator saw; none: the one that is in force when it begins.
    pub base: Option<Generation>,
    /// The whole configuration that is wanted.
    pub wanted: FleetConfig,
    /// Who asks.
    pub operator: String,
    /// When, in seconds since 1970.
    pub at: u64,
    /// What it is for.
    pub summary: String,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ApplyOutcome {
    /// The change.
    pub change: String,
    /// The generation that it made, or that is in force if it changes nothing.
    pub generation: Generation,
    /// The generation that its edits were made from.
    pub base: Generation,
    /// Whether it made a generation.
    pub changed: bool,
    /// Items that it changes.
    pub edits: usize,
    /// Changes of other operators since its base, which stand beside it.
    pub beside: Vec<String>,
}

/// Makes a change, and tries for at most `limit` while the store is away or others are faster.
///
/// # Errors
///
/// The change is refused, clashes, or the store did not answer in time. Only
/// [`CommandError::Uncertain`] leaves open whether it was accepted.
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
        wait: FIRST_WAIT,
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
        .any(|done| done.change == request.change);
    let edits = if accepted {
        // Settled by its id; its base may be forgotten already.
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
        unanswered: request.tried.then(|| base.next()),
    })
}

fn outcome(
    proposal: &ChangeProposal,
    generation: Generation,
    changed: bool,
    beside: &[ChangeId],
) -> ApplyOutcome {
    ApplyOutcome {
        change: proposal.change.to_string(),
        generation,
        base: proposal.base,
        changed,
        edits: proposal.edits.len(),
        beside: beside.iter().map(ToString::to_string).collect(),
    }
}

/// The tries of one change.
struct ApplyRun<'a> {
    store: &'a dyn KeyStore,
    change: ChangeId,
    base: Generation,
    deadline: Instant,
    wait: Duration,
    /// The last write that got no answer, if any.
    unanswered: Option<StoreError>,
}

impl ApplyRun<'_> {
    async fn read(&mut self) -> Result<ReadRecord, CommandError> {
        loop {
            match read_record(self.store).await {
                Ok(read) => return Ok(read),
                Err(ReadError::Record(source)) => return Err(CommandError::Record { source }),
                Err(ReadError::Store(source)) => self.pause(source).await?,
            }
        }
    }

    /// Writes the record in place of what was read; tells whether it is known to be written.
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
                let cause = "others change the configuration all the time".to_owned();
                self.pause(StoreError::Unavailable { cause }).await?;
            }
            Err(error @ StoreError::AnswerLost { .. }) => {
                // The write may have taken effect, or may still: the next read looks for the
                // change's id, and a further write expects the same revision, so that only one
                // of the two can take effect.
                proposal.unanswered = proposal.unanswered.max(Some(record.generation));
                self.unanswered = Some(error.clone());
                self.pause(error).await?;
            }
            Err(error @ StoreError::Unavailable { .. }) => self.pause(error).await?,
            Err(source) => {
                return Err(CommandError::Store {
                    action: ACTION,
                    source,
                });
            }
        }
        Ok(false)
    }

    /// Waits before a further try, for a drawn share of a growing wait, so that operators who
    /// raced do not race again in step.
    async fn pause(&mut self, cause: StoreError) -> Result<(), CommandError> {
        let wait = self.wait.mul_f64(rand::random_range(0.5..1.0));
        if Instant::now() + wait >= self.deadline {
            return Err(self.give_up(cause));
        }
        self.wait = (self.wait * 2).min(LONGEST_WAIT);
        tokio::time::sleep(wait).await;
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
