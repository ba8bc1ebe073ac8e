//! Endpoints that have left or been replaced, so that older entries and status updates do not bring them back.
//!
//! When the store is restored from an older copy, it may list an endpoint as ready that has left since.
//! That endpoint would receive work until its entry expires, although every gateway had acknowledged that
//! it was leaving. An endpoint that the registry has ceased to list may still run, and be named by its
//! sidecar, for a while. An endpoint that crashed is listed for a few more heartbeats, beside its successor.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

use super::EndpointRecord;
use crate::engine::StartTime;
use crate::reads::RemovedEndpoint;

/// Time for which an endpoint that has left is remembered after it was last named. A copy of the store is some
/// seconds old.
const DEPARTURE_RETENTION: Duration = Duration::from_mins(1);

/// Time after the store's recovery for which an endpoint that had left is excluded. The entry of a dead
/// endpoint expires earlier, after three heartbeats of about 1.2 s each.
const RESTORE_EXCLUSION: Duration = Duration::from_secs(5);

/// Why an endpoint is no longer used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DepartureCause {
    /// The registry does not list it.
    Unlisted,
    /// A successor at its address has replaced it, while the registry may still list it.
    Replaced,
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    start: Option<StartTime>,
    was_draining: bool,
    cause: DepartureCause,
    at: ClockTime,
    /// When the registry or a status update last named it.
    named_at: ClockTime,
}

impl Departure {
    fn is_remembered(&self, now: ClockTime) -> bool {
        now.since(self.named_at) < DEPARTURE_RETENTION
    }
}

/// Endpoints that have left recently.
#[derive(Debug, Default)]
pub(super) struct DepartedEndpoints {
    departed: HashMap<EndpointName, Departure>,
    restored_at: Option<ClockTime>,
}

impl DepartedEndpoints {
    /// Records that an endpoint is no longer used.
    pub(super) fn record(
        &mut self,
        record: &EndpointRecord,
        cause: DepartureCause,
        now: ClockTime,
    ) {
        self.departed
            .retain(|_, departure| departure.is_remembered(now));
        let departure = Departure {
            start: record.start,
            was_draining: record.draining,
            cause,
            at: now,
            named_at: now,
        };
        self.departed.insert(record.name.clone(), departure);
    }

    /// Records that another gateway has seen the registry cease to list an incarnation that is not used here.
    pub(super) fn record_removed(&mut self, removed: &RemovedEndpoint, now: ClockTime) {
        let known = self.departed.get(&removed.name);
        if known.is_some_and(|departure| departure.is_remembered(now)) {
            return;
        }
        let departure = Departure {
            start: removed.start,
            was_draining: false,
            cause: DepartureCause::Unlisted,
            at: now,
            named_at: now,
        };
        self.departed.insert(removed.name.clone(), departure);
    }

    /// Removes an endpoint that is used again.
    pub(super) fn forget(&mut self, name: &EndpointName) {
        self.departed.remove(name);
    }

    /// Returns whether an endpoint that a status update or a response names has left: the registry has ceased to list
    /// it, or did not list it in time.
    pub(super) fn has_left(&mut self, name: &EndpointName, now: ClockTime) -> bool {
        let departure = self.departed.get_mut(name);
        let Some(departure) = departure.filter(|departure| departure.is_remembered(now)) else {
            return false;
        };
        departure.named_at = now;
        departure.cause == DepartureCause::Unlisted
    }

    /// Records that the store was restored from an older copy.
    pub(super) fn note_store_return(&mut self, now: ClockTime) {
        self.restored_at = Some(now);
    }

    /// Returns whether an entry belongs to an incarnation that has left or been replaced, and must not be added again.
    pub(super) fn is_excluded(&mut self, record: &EndpointRecord, now: ClockTime) -> bool {
        let restored_at = self.restored_at;
        let Some(departure) = self.departed.get_mut(&record.name) else {
            return false;
        };
        if departure.start != record.start || !departure.is_remembered(now) {
            return false;
        }
        departure.named_at = now;
        let is_recently_restored =
            restored_at.is_some_and(|at| at >= departure.at && now.since(at) < RESTORE_EXCLUSION);
        let is_replaced = departure.cause == DepartureCause::Replaced;
        is_replaced || departure.was_draining || is_recently_restored
    }
}
