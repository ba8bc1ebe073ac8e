//! Merges a change into the record, as a pure function without I/O.

use std::collections::HashSet;

use serde::Serialize;
use thiserror::Error;

use super::{ConfigChange, ConfigRecord, MAX_RECENT_CHANGES, MAX_RECORD_BYTES};
use crate::config::FleetConfig;
use crate::config::capacity::{CapacityReport, check_capacity};
use crate::config::diff::{ConfigEdit, EditStatus, apply, diff};
use crate::config::error::{ConfigError, ItemRef};
use crate::config::verify::verify;
use crate::ids::{ChangeId, Generation};

/// A change that an operator submits for acceptance.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeProposal {
    /// The id of the change, the same for every attempt.
    pub change: ChangeId,
    /// The generation that the edits are based on.
    pub base: Generation,
    /// The edits of the change.
    pub edits: Vec<ConfigEdit>,
    /// The operator who makes the change.
    pub operator: String,
    /// Time of the change, in seconds since the Unix epoch.
    pub at: u64,
    /// A description of the change.
    pub summary: String,
    /// The highest generation that an earlier attempt without a response may have created.
    pub unanswered: Option<Generation>,
}

/// The action to take for a proposal, given the current record.
#[derive(Debug, Clone, PartialEq)]
pub enum MergeOutcome {
    /// The change was already accepted in an earlier attempt.
    Accepted {
        /// The generation that the change created.
        generation: Generation,
    },
    /// The record already contains all edits of the change.
    Unchanged {
        /// The current generation.
        generation: Generation,
    },
    /// The current record must be replaced by this one.
    Write {
        /// The record to write.
        record: Box<ConfigRecord>,
        /// Changes by others since the base generation, which are kept.
        concurrent: Vec<ChangeId>,
    },
}

/// A change by another operator that a proposal conflicts with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OtherChange {
    /// The id of the change.
    pub change: ChangeId,
    /// The generation that the change created.
    pub generation: Generation,
    /// The operator who made the change.
    pub operator: String,
}

/// The reason why a proposal is rejected. Nothing was written.
#[derive(Debug, Clone, PartialEq)]
#[derive(Error)]
pub enum MergeError {
    /// Another change since the base generation changed the same items differently.
    #[error("{} changed since generation {base}{}", format_items(items), format_author(other.as_ref()))]
    Conflict {
        /// The generation that the proposal is based on.
        base: Generation,
        /// The conflicting items.
        items: Vec<ItemRef>,
        /// The last change to one of these items, if it is still in the record.
        other: Option<OtherChange>,
    },
    /// Each change is valid on its own, but the merged configuration is invalid.
    #[error(
        "the configuration is invalid when merged with the changes since generation {base}{}: {}",
        format_author(other.as_ref()),
        format_errors(errors)
    )]
    InvalidMerge {
        /// The generation that the proposal is based on.
        base: Generation,
        /// The errors in the merged configuration.
        errors: Vec<ConfigError>,
        /// The last change since the base generation.
        other: Option<OtherChange>,
    },
    /// The pools have too little memory to keep every model reachable.
    #[error("there is not enough memory to keep every model reachable")]
    InsufficientMemory {
        /// The required and available memory per pool.
        report: CapacityReport,
        /// The last change, if the proposal is based on an older generation.
        other: Option<OtherChange>,
    },
    /// An earlier attempt without a response may have been accepted, but so many changes followed
    /// that the record no longer shows it.
    #[error("cannot determine whether an earlier attempt of change {change} was accepted")]
    OutcomeUnknown {
        /// The id of the change.
        change: ChangeId,
    },
    /// The record exceeds the size limit of the store.
    #[error("the configuration record has {bytes} bytes; the maximum is {MAX_RECORD_BYTES}")]
    TooLarge {
        /// The size of the record.
        bytes: usize,
    },
}

impl ConfigRecord {
    /// Merges a proposal into the record.
    ///
    /// Accesses neither a clock nor the store. The caller reads the record, calls this method, and
    /// writes the result with compare-and-swap. If that fails, the caller starts over.
    ///
    /// # Errors
    ///
    /// Returns the reason why the proposal is rejected.
    pub fn merge(&self, proposal: &ChangeProposal) -> Result<MergeOutcome, MergeError> {
        // This check must come first: the response to an earlier attempt may have been lost after
        // its write took effect. Without the check, the change would be applied twice, or conflict
        // with itself.
        if let Some(change) = self
            .recent
            .iter()
            .find(|change| change.change == proposal.change)
        {
            return Ok(MergeOutcome::Accepted {
                generation: change.generation,
            });
        }
        self.check_earlier_attempt(proposal)?;
        let pending = self.pending_edits(proposal)?;
        if pending.is_empty() {
            return Ok(MergeOutcome::Unchanged {
                generation: self.generation,
            });
        }
        let content = apply(&self.content, &pending);
        self.check_effect(&content, &pending, proposal)?;
        self.validate_merged(&content, proposal)?;
        let record = self.next_record(content, pending, proposal)?;
        Ok(MergeOutcome::Write {
            record: Box::new(record),
            concurrent: self
                .changes_since(proposal.base)
                .map(|change| change.change)
                .collect(),
        })
    }

    /// Rejects the proposal if an earlier attempt without a response may have been accepted.
    ///
    /// If its generation is older than all changes in the record, the record cannot show whether
    /// it was accepted, and another attempt could apply the change twice.
    fn check_earlier_attempt(&self, proposal: &ChangeProposal) -> Result<(), MergeError> {
        let Some(unanswered) = proposal.unanswered else {
            return Ok(());
        };
        let oldest = self.recent.first().map(|change| change.generation);
        if oldest.is_some_and(|oldest| oldest > unanswered) {
            return Err(MergeError::OutcomeUnknown {
                change: proposal.change,
            });
        }
        Ok(())
    }

    /// Returns the edits that are not applied yet, or an error if any of them conflicts.
    fn pending_edits(&self, proposal: &ChangeProposal) -> Result<Vec<ConfigEdit>, MergeError> {
        let statuses = proposal.edits.iter();
        let statuses = statuses.map(|edit| (edit, edit.status_in(&self.content)));
        let statuses = statuses.collect::<Vec<_>>();
        let conflicting = statuses
            .iter()
            .filter(|(_, status)| *status == EditStatus::Conflicts);
        let items = conflicting.map(|(edit, _)| edit.item()).collect::<Vec<_>>();
        if !items.is_empty() {
            let other = self.last_change_to(&items, proposal.base);
            return Err(MergeError::Conflict {
                base: proposal.base,
                items,
                other,
            });
        }
        let pending = statuses
            .into_iter()
            .filter(|(_, status)| *status == EditStatus::Applies);
        Ok(pending.map(|(edit, _)| edit.clone()).collect())
    }

    /// Checks that the edits have exactly their intended effect.
    ///
    /// Removing a pool also removes endpoints that another operator has added to it since, and an
    /// endpoint cannot be added to a pool that another operator has removed. Both would silently
    /// revert a change.
    fn check_effect(
        &self,
        content: &FleetConfig,
        pending: &[ConfigEdit],
        proposal: &ChangeProposal,
    ) -> Result<(), MergeError> {
        let wanted = pending.iter().map(ConfigEdit::item).collect::<HashSet<_>>();
        let effect = diff(&self.content, content);
        let effect = effect.iter().map(ConfigEdit::item).collect::<HashSet<_>>();
        let mut items = wanted
            .symmetric_difference(&effect)
            .cloned()
            .collect::<Vec<_>>();
        if items.is_empty() {
            return Ok(());
        }
        items.sort_unstable();
        Err(MergeError::Conflict {
            base: proposal.base,
            other: self.last_change_to(&items, proposal.base),
            items,
        })
    }

    fn validate_merged(
        &self,
        content: &FleetConfig,
        proposal: &ChangeProposal,
    ) -> Result<(), MergeError> {
        let other = self
            .changes_since(proposal.base)
            .last()
            .map(OtherChange::from);
        let errors = verify(content);
        if !errors.is_empty() {
            return Err(MergeError::InvalidMerge {
                base: proposal.base,
                errors,
                other,
            });
        }
        let report = check_capacity(content);
        if !report.fits() {
            return Err(MergeError::InsufficientMemory { report, other });
        }
        Ok(())
    }

    fn next_record(
        &self,
        content: FleetConfig,
        edits: Vec<ConfigEdit>,
        proposal: &ChangeProposal,
    ) -> Result<Self, MergeError> {
        let generation = self.generation.next();
        let mut recent = self.recent.clone();
        recent.push(ConfigChange {
            change: proposal.change,
            generation,
            operator: proposal.operator.clone(),
            at: proposal.at,
            summary: proposal.summary.clone(),
            edits: Some(edits),
        });
        let surplus = recent.len().saturating_sub(MAX_RECENT_CHANGES);
        recent.drain(..surplus);
        let mut record = Self {
            generation,
            content,
            recent,
        };
        record.trim()?;
        Ok(record)
    }

    /// Drops the edits of the oldest changes until the record fits into the store.
    ///
    /// The ids of these changes are kept, so that attempts with a lost response are still recognized.
    fn trim(&mut self) -> Result<(), MergeError> {
        let mut bytes = encoded_size(self);
        for index in 0..self.recent.len() {
            if bytes <= MAX_RECORD_BYTES {
                break;
            }
            let edits = self.recent[index].edits.take();
            bytes = bytes.saturating_sub(encoded_size(&edits));
        }
        if bytes > MAX_RECORD_BYTES {
            return Err(MergeError::TooLarge { bytes });
        }
        Ok(())
    }

    fn changes_since(&self, base: Generation) -> impl Iterator<Item = &ConfigChange> {
        let recent = self.recent.iter();
        recent.filter(move |change| change.generation > base)
    }

    fn last_change_to(&self, items: &[ItemRef], base: Generation) -> Option<OtherChange> {
        let changes_items = |change: &&ConfigChange| {
            let mut edits = change.edits.iter().flatten();
            edits.any(|edit| items.contains(&edit.item()))
        };
        self.changes_since(base)
            .filter(changes_items)
            .last()
            .map(OtherChange::from)
    }
}

impl From<&ConfigChange> for OtherChange {
    fn from(change: &ConfigChange) -> Self {
        Self {
            change: change.change,
            generation: change.generation,
            operator: change.operator.clone(),
        }
    }
}

fn encoded_size<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |bytes| bytes.len())
}

fn format_items(items: &[ItemRef]) -> String {
    const MAX_SHOWN_ITEMS: usize = 3;
    let shown = items.iter().take(MAX_SHOWN_ITEMS).map(ToString::to_string);
    let shown = shown.collect::<Vec<_>>().join(", ");
    match items.len().saturating_sub(MAX_SHOWN_ITEMS) {
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}

fn format_errors(errors: &[ConfigError]) -> String {
    let errors = errors.iter().map(ToString::to_string);
    errors.collect::<Vec<_>>().join("; ")
}

fn format_author(other: Option<&OtherChange>) -> String {
    other.map_or_else(String::new, |other| {
        format!(
            " by {} (change {}, generation {})",
            other.operator, other.change, other.generation
        )
    })
}
