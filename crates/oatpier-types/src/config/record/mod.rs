//! What the store keeps of the configuration, and how a change is merged into it.
//!
//! One value under [`CONFIG_KEY`], changed by compare-and-swap only. It holds the content, its
//! generation and the last changes with their edits: that settles a lost answer (the change is
//! found again by its id), a race (the other change is named), and an audit (who, when, what).

pub mod merge;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::FleetConfig;
use super::diff::{ConfigEdit, apply, diff};
use crate::ids::{ChangeId, Generation};

/// Where the store keeps the record.
pub const CONFIG_KEY: &str = "config/current";
/// How many changes the record remembers.
pub const MAX_RECENT_CHANGES: usize = 50;
/// The largest encoded record, in bytes. The store takes a megabyte; the rest is a margin.
pub const MAX_RECORD_BYTES: usize = 900_000;

/// The configuration in force, with its last changes.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Counts up by one with each accepted change. Never goes back.
    pub generation: Generation,
    /// The configuration.
    pub content: FleetConfig,
    /// The last changes, oldest first.
    pub recent: Vec<ConfigChange>,
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigChange {
    /// Its id, chosen by the operator's process.
    #[serde(with = "hex_id")]
    pub change: ChangeId,
    /// The generation that it made.
    pub generation: Generation,
    /// Who made it.
    pub operator: String,
    /// When, in seconds since 1970 on the operator's wall clock.
    pub at: u64,
    /// What it is for, in the operator's words.
    pub summary: String,
    /// What it changed; none if dropped to keep the record small.
    pub edits: Option<Vec<ConfigEdit>>,
}

/// Why a generation's content cannot be told.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum HistoryError {
    /// It is not made yet.
    #[error("generation {wanted} is not there yet; the newest is {newest}")]
    Future {
        /// The generation that was asked for.
        wanted: Generation,
        /// The newest.
        newest: Generation,
    },
    /// The record no longer remembers the changes since.
    #[error("generation {wanted} is no longer remembered; the oldest that is, is {oldest}")]
    Forgotten {
        /// The generation that was asked for.
        wanted: Generation,
        /// The oldest that is remembered.
        oldest: Generation,
    },
}

/// Why bytes are not a record.
#[derive(Debug)]
#[derive(Error)]
#[error("the value under `{CONFIG_KEY}` is not a configuration record")]
pub struct RecordError {
    /// What the reader says.
    #[from]
    source: serde_json::Error,
}

impl ConfigRecord {
    /// The record as the store keeps it: JSON, which auditors can read without a tool of ours.
    ///
    /// # Errors
    ///
    /// Never in practice: a record always has a form in JSON.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        serde_json::to_vec(self).map_err(RecordError::from)
    }

    /// The record that the store keeps.
    ///
    /// # Errors
    ///
    /// The bytes are not a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        serde_json::from_slice(bytes).map_err(RecordError::from)
    }

    /// The oldest generation whose content can be told.
    #[must_use]
    pub fn oldest(&self) -> Generation {
        let known = self.recent.iter().rev();
        let known = known.take_while(|change| change.edits.is_some()).count();
        Generation(self.generation.0.saturating_sub(known as u64))
    }

    /// The content of a generation, the present or a former one.
    ///
    /// # Errors
    ///
    /// The generation is not there yet, or no longer remembered.
    pub fn content_at(&self, wanted: Generation) -> Result<FleetConfig, HistoryError> {
        let newest = self.generation;
        if wanted > newest {
            return Err(HistoryError::Future { wanted, newest });
        }
        let oldest = self.oldest();
        if wanted < oldest {
            return Err(HistoryError::Forgotten { wanted, oldest });
        }
        let later = self.recent.iter().rev();
        let later = later.take_while(|change| change.generation > wanted);
        let content = later.fold(self.content.clone(), |content, change| {
            let edits = change.edits.iter().flatten().rev();
            let undone = edits.map(ConfigEdit::undo).collect::<Vec<_>>();
            apply(&content, &undone)
        });
        Ok(content)
    }

    /// The edits that lead from a generation to `wanted`: what an operator who saw that
    /// generation and wrote `wanted` has changed.
    ///
    /// # Errors
    ///
    /// The generation is not there yet, or no longer remembered.
    pub fn edits_from(
        &self,
        base: Generation,
        wanted: &FleetConfig,
    ) -> Result<Vec<ConfigEdit>, HistoryError> {
        let before = self.content_at(base)?;
        Ok(diff(&before, wanted))
    }
}

/// Change ids as 32 hex digits: JSON readers lose the low digits of a number of 128 bits.
mod hex_id {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    use crate::ids::ChangeId;

    pub(super) fn serialize<S: Serializer>(
        id: &ChangeId,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(id)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<ChangeId, D::Error> {
        let text = String::deserialize(from)?;
        let number = u128::from_str_radix(&text, 16);
        number
            .map(ChangeId)
            .map_err(|_| D::Error::custom(format!("`{text}` is not a change id of 32 hex digits")))
    }
}
