//! Queue of changes to the crash records in the store.

use std::collections::VecDeque;

use super::CrashRecord;
use super::prompt_parts::PartCrash;
use crate::call::PromptPartId;

/// Maximum number of queued changes, which bounds the memory during a long outage of the store. Above it, the oldest
/// changes are dropped. Gateways that received them as messages still know them.
const MAX_QUEUED_CHANGES: usize = 1_024;

/// Change to the crash records in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashChange {
    /// Adds the record of a crash.
    Put(CrashRecord),
    /// Removes the record of a crash that no longer counts.
    Remove(CrashRecord),
    /// Adds the record of a crash under a prompt part.
    PutPart(PartCrash),
    /// Removes the record of a crash under a prompt part.
    RemovePart(PartCrash),
    /// Drops the records of a prompt part that are not written yet, because another gateway has cleared the part.
    DropPart(PromptPartId),
}

impl CrashChange {
    /// Returns the fingerprint of the request or the prompt part, for log lines.
    #[must_use]
    pub fn subject(&self) -> String {
        match self {
            Self::Put(record) | Self::Remove(record) => record.fingerprint.to_string(),
            Self::PutPart(crash) | Self::RemovePart(crash) => format!("part:{}", crash.part),
            Self::DropPart(part) => format!("part:{part}"),
        }
    }

    /// Returns whether a change is about the same entry of the store.
    fn is_about_same(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Put(own) | Self::Remove(own), Self::Put(other) | Self::Remove(other)) => {
                own.fingerprint == other.fingerprint && own.site == other.site
            }
            (
                Self::PutPart(own) | Self::RemovePart(own),
                Self::PutPart(other) | Self::RemovePart(other),
            ) => own.part == other.part && own.site == other.site,
            _ => false,
        }
    }

    fn adds_part(&self, part: PromptPartId) -> bool {
        matches!(self, Self::PutPart(crash) if crash.part == part)
    }
}

/// Changes that wait to be written, in order.
#[derive(Debug, Default)]
pub struct ChangeQueue {
    queued: VecDeque<CrashChange>,
}

impl ChangeQueue {
    /// Adds a change, which replaces an earlier one for the same crash. Returns a change that was dropped because the
    /// queue was full.
    pub fn push(&mut self, change: CrashChange) -> Option<CrashChange> {
        if let CrashChange::DropPart(part) = change {
            self.queued.retain(|queued| !queued.adds_part(part));
            return None;
        }
        self.queued.retain(|queued| !queued.is_about_same(&change));
        self.queued.push_back(change);
        if self.queued.len() > MAX_QUEUED_CHANGES {
            return self.queued.pop_front();
        }
        None
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns the changes to write next, at most `limit`.
    #[must_use]
    pub fn batch(&self, limit: usize) -> Vec<CrashChange> {
        self.queued.iter().take(limit).cloned().collect()
    }

    /// Removes changes that the store has written. A change for the same crash that was queued meanwhile remains.
    pub fn remove_written(&mut self, written: &[CrashChange]) {
        self.queued.retain(|queued| !written.contains(queued));
    }
}
