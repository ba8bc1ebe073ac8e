//! Endpoints that have left, so that entries which reappear in the store do not bring them back.
//!
//! When the store is restored from an older copy, it may list an endpoint as ready that has left since.
//! That endpoint would receive work until its entry expires, although every gateway had acknowledged that
//! it was leaving.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

use super::EndpointRecord;
use crate::engine::StartTime;

/// Time for which an endpoint that has left is remembered. A copy of the store is some seconds old.
const DEPARTURE_RETENTION: Duration = Duration::from_mins(1);

/// Time after the store's recovery for which an endpoint that had left is excluded. The entry of a dead
/// endpoint expires earlier, after three heartbeats of about 1.2 s each.
const RESTORE_EXCLUSION: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct Departure {
    start: Option<StartTime>,
    was_draining: bool,
    at: ClockTime,
}

/// Endpoints that have left recently.
#[derive(Debug, Default)]
pub(super) struct DepartedEndpoints {
    departed: HashMap<EndpointName, Departure>,
    restored_at: Option<ClockTime>,
}

impl DepartedEndpoints {
    /// Records that an endpoint is no longer listed.
    pub(super) fn record(&mut self, record: &EndpointRecord, now: ClockTime) {
        self.departed
            .retain(|_, departure| now.since(departure.at) < DEPARTURE_RETENTION);
        let departure = Departure {
            start: record.start,
            was_draining: record.draining,
            at: now,
        };
        self.departed.insert(record.name.clone(), departure);
    }

    /// Records that the store was restored from an older copy.
    pub(super) fn note_store_return(&mut self, now: ClockTime) {
        self.restored_at = Some(now);
    }

    /// Returns whether an entry belongs to an incarnation that has left and must not be added again.
    pub(super) fn is_excluded(&self, record: &EndpointRecord, now: ClockTime) -> bool {
        let Some(departure) = self.departed.get(&record.name) else {
            return false;
        };
        if departure.start != record.start || now.since(departure.at) >= DEPARTURE_RETENTION {
            return false;
        }
        let is_recently_restored = self
            .restored_at
            .is_some_and(|at| at >= departure.at && now.since(at) < RESTORE_EXCLUSION);
        departure.was_draining || is_recently_restored
    }
}
