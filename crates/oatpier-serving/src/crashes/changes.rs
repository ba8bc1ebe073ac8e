//! Queue of changes to the crash records in the store.

use std::collections::VecDeque;

use super::CrashRecord;

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
}

impl CrashChange {
    /// Returns the record that is added or removed.
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
    queued: VecDeque<CrashChange>,
}

impl ChangeQueue {
    /// Adds a change, which replaces an earlier one for the same crash. Returns a change that was dropped because the
    /// queue was full.
    pub fn push(&mut self, change: CrashChange) -> Option<CrashChange> {
        self.queued
            .retain(|queued| !queued.is_about(change.record()));
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
