//! Changes to what the store holds on crashes, until the store has taken them.

use std::collections::VecDeque;

use super::CrashRecord;

/// Changes that wait. A store that is away for long must not cost a gateway its memory: beyond this the oldest are
/// dropped, and what they said is known to the gateways that were told.
const MOST_WAITING: usize = 1_024;

/// A change to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashChange {
    /// A request was at an endpoint that ended.
    Put(CrashRecord),
    /// That no longer counts.
    Remove(CrashRecord),
}

impl CrashChange {
    /// What it is about.
    #[must_use]
    pub fn record(&self) -> &CrashRecord {
        match self {
            Self::Put(record) | Self::Remove(record) => record,
        }
    }

    fn is_about(&self, record: &CrashRecord) -> bool {
        let own = self.record();
        own.fingerprint == record.fingerprint && own.site == record.site
    }
}

/// Changes that wait to be written, in order.
#[derive(Debug, Default)]
pub struct ChangeQueue {
    waiting: VecDeque<CrashChange>,
}

impl ChangeQueue {
    /// Adds a change, which takes the place of an earlier one on the same crash. Gives back one that was dropped
    /// for want of room.
    pub fn push(&mut self, change: CrashChange) -> Option<CrashChange> {
        self.waiting
            .retain(|waiting| !waiting.is_about(change.record()));
        self.waiting.push_back(change);
        if self.waiting.len() > MOST_WAITING {
            return self.waiting.pop_front();
        }
        None
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The changes that are written next, at most `most`.
    #[must_use]
    pub fn batch(&self, most: usize) -> Vec<CrashChange> {
        self.waiting.iter().take(most).cloned().collect()
    }

    /// The store has taken these. One that was added since on the same crash still waits.
    pub fn settle(&mut self, written: &[CrashChange]) {
        self.waiting.retain(|waiting| !written.contains(waiting));
    }
}
