//! How a change is merged into the record: a pure decision.

use std::collections::HashSet;

use serde::Serialize;
use thiserror::Error;

use super::{ConfigChange, ConfigRecord, MAX_RECENT_CHANGES, MAX_RECORD_BYTES};
use crate::config::FleetConfig;
use crate::config::diff::{ConfigEdit, EditFit, apply, diff};
use crate::config::fault::{ConfigFault, ItemRef};
use crate::config::reach::{ReachReport, check_reach};
use crate::config::verify::verify;
use crate::ids::{ChangeId, Generation};

/// A change that is to be accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeProposal {
    /// Its id: the same for each try.
    pub change: ChangeId,
    /// The generation that the edits were made from.
    pub base: Generation,
    /// What it changes.
    pub edits: Vec<ConfigEdit>,
    /// Who makes it.
    pub operator: String,
    /// When, in seconds since 1970.
    pub at: u64,
    /// What it is for.
    pub summary: String,
    /// The highest generation that a try without an answer may have made.
    pub unanswered: Option<Generation>,
}

/// What to do with a proposal, given the record that is there.
#[derive(Debug, Clone, PartialEq)]
pub enum MergeStep {
    /// It was accepted already, by an earlier try.
    Accepted {
        /// The generation that it made.
        generation: Generation,
    },
    /// What it wants is so already.
    Unchanged {
        /// The generation that is in force.
        generation: Generation,
    },
    /// Write this record in place of the one that is there.
    Write {
        /// The record to write.
        record: Box<ConfigRecord>,
        /// Changes of others since the base, which stand beside it.
        beside: Vec<ChangeId>,
    },
}

/// Another operator's change that stands against a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OtherChange {
    /// Its id.
    pub change: ChangeId,
    /// The generation that it made.
    pub generation: Generation,
    /// Who made it.
    pub operator: String,
}

/// Why a proposal cannot be accepted. Nothing was written.
#[derive(Debug, Clone, PartialEq)]
#[derive(Error)]
pub enum MergeError {
    /// Another change since the base wants the same items differently.
    #[error("{} changed since generation {base}{}", item_list(items), by_whom(other.as_ref()))]
    Clash {
        /// The generation that the proposal was made from.
        base: Generation,
        /// The items.
        items: Vec<ItemRef>,
        /// The last change to one of them, if it is still remembered.
        other: Option<OtherChange>,
    },
    /// Each change is right by itself, and both together are not.
    #[error(
        "together with the changes since generation {base}{} it is not valid: {}",
        by_whom(other.as_ref()),
        fault_list(faults)
    )]
    Together {
        /// The generation that the proposal was made from.
        base: Generation,
        /// What is wrong.
        faults: Vec<ConfigFault>,
        /// The last change.
        other: Option<OtherChange>,
    },
    /// Not everything would be reachable.
    #[error("the memory there is cannot keep every model reachable")]
    Unreachable {
        /// The figures.
        report: ReachReport,
        /// The last change, if the proposal was made from an older generation.
        other: Option<OtherChange>,
    },
    /// A try without an answer may have been accepted and then forgotten: too many changes came
    /// since.
    #[error("it cannot be told whether an earlier try of change {change} was accepted")]
    OutcomeUnknown {
        /// The change.
        change: ChangeId,
    },
    /// The record does not fit into the store.
    #[error("the configuration takes {bytes} bytes, more than {MAX_RECORD_BYTES}")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
}

impl ConfigRecord {
    /// Decides what to do with a proposal. Reads no clock and no store: the caller reads the
    /// record, asks, and writes the answer by compare-and-swap; when that fails it begins again.
    ///
    /// # Errors
    ///
    /// Why the proposal cannot be accepted.
    pub fn merge(&self, proposal: &ChangeProposal) -> Result<MergeStep, MergeError> {
        // Comes first: the answer of an earlier try may have been lost after its write took
        // effect. Without this the change would be made twice, or clash with itself.
        if let Some(done) = self
            .recent
            .iter()
            .find(|done| done.change == proposal.change)
        {
            return Ok(MergeStep::Accepted {
                generation: done.generation,
            });
        }
        self.remembers_tries_of(proposal)?;
        let open = self.open_edits(proposal)?;
        if open.is_empty() {
            return Ok(MergeStep::Unchanged {
                generation: self.generation,
            });
        }
        let content = apply(&self.content, &open);
        self.check_effect(&content, &open, proposal)?;
        self.check_merged(&content, proposal)?;
        let record = self.followed_by(content, open, proposal)?;
        Ok(MergeStep::Write {
            record: Box::new(record),
            beside: self.since(proposal.base).map(|done| done.change).collect(),
        })
    }

    /// A try without an answer, whose generation is older than all that is remembered, may have
    /// been accepted: to try again could make it twice.
    fn remembers_tries_of(&self, proposal: &ChangeProposal) -> Result<(), MergeError> {
        let Some(unanswered) = proposal.unanswered else {
            return Ok(());
        };
        let oldest = self.recent.first().map(|done| done.generation);
        if oldest.is_some_and(|oldest| oldest > unanswered) {
            return Err(MergeError::OutcomeUnknown {
                change: proposal.change,
            });
        }
        Ok(())
    }

    /// The edits that are not so already, if none clashes.
    fn open_edits(&self, proposal: &ChangeProposal) -> Result<Vec<ConfigEdit>, MergeError> {
        let fits = proposal.edits.iter();
        let fits = fits.map(|edit| (edit, edit.fit(&self.content)));
        let fits = fits.collect::<Vec<_>>();
        let clashing = fits.iter().filter(|(_, fit)| *fit == EditFit::Clashes);
        let items = clashing.map(|(edit, _)| edit.item()).collect::<Vec<_>>();
        if !items.is_empty() {
            let other = self.last_change_to(&items, proposal.base);
            return Err(MergeError::Clash {
                base: proposal.base,
                items,
                other,
            });
        }
        let open = fits.into_iter().filter(|(_, fit)| *fit == EditFit::Applies);
        Ok(open.map(|(edit, _)| edit.clone()).collect())
    }

    /// The edits must do what they say and no more. A pool that is removed takes endpoints with
    /// it that another operator has put there since, and an endpoint finds no place in a pool
    /// that another has removed: both would undo a change unseen.
    fn check_effect(
        &self,
        content: &FleetConfig,
        open: &[ConfigEdit],
        proposal: &ChangeProposal,
    ) -> Result<(), MergeError> {
        let wanted = open.iter().map(ConfigEdit::item).collect::<HashSet<_>>();
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
        Err(MergeError::Clash {
            base: proposal.base,
            other: self.last_change_to(&items, proposal.base),
            items,
        })
    }

    fn check_merged(
        &self,
        content: &FleetConfig,
        proposal: &ChangeProposal,
    ) -> Result<(), MergeError> {
        let other = self.since(proposal.base).last().map(OtherChange::from);
        let faults = verify(content);
        if !faults.is_empty() {
            return Err(MergeError::Together {
                base: proposal.base,
                faults,
                other,
            });
        }
        let report = check_reach(content);
        if !report.fits() {
            return Err(MergeError::Unreachable { report, other });
        }
        Ok(())
    }

    fn followed_by(
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

    /// Drops the edits of the oldest changes until the record fits into the store. Their ids
    /// stay, so that lost answers are still settled.
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

    fn since(&self, base: Generation) -> impl Iterator<Item = &ConfigChange> {
        let recent = self.recent.iter();
        recent.filter(move |change| change.generation > base)
    }

    fn last_change_to(&self, items: &[ItemRef], base: Generation) -> Option<OtherChange> {
        let touches = |change: &&ConfigChange| {
            let mut edits = change.edits.iter().flatten();
            edits.any(|edit| items.contains(&edit.item()))
        };
        self.since(base)
            .filter(touches)
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

fn item_list(items: &[ItemRef]) -> String {
    const SHOWN: usize = 3;
    let shown = items.iter().take(SHOWN).map(ToString::to_string);
    let shown = shown.collect::<Vec<_>>().join(", ");
    match items.len().saturating_sub(SHOWN) {
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}

fn fault_list(faults: &[ConfigFault]) -> String {
    let faults = faults.iter().map(ToString::to_string);
    faults.collect::<Vec<_>>().join("; ")
}

fn by_whom(other: Option<&OtherChange>) -> String {
    other.map_or_else(String::new, |other| {
        format!(
            " by {} (change {}, generation {})",
            other.operator, other.change, other.generation
        )
    })
}
