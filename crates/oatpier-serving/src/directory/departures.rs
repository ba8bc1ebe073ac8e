//! Endpoints that have left, for a store that lists them again.
//!
//! The failure: the store comes back from an older copy, in which an endpoint that has left is ready. It would get
//! work until its entry lapses, though every gateway had acknowledged that it was leaving.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

use super::EndpointRecord;
use crate::engine::StartTime;

/// An endpoint that left is remembered for this long. A copy of the store is some seconds old.
const REMEMBERED: Duration = Duration::from_mins(1);

/// After the store's return an endpoint that had left is kept out for this long. Its entry lapses before that, after
/// three heartbeats at some 1.2 s each, unless it lives.
const HELD_OUT: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct Departure {
    start: Option<StartTime>,
    was_draining: bool,
    at: ClockTime,
}

/// Endpoints that have left lately.
#[derive(Debug, Default)]
pub(super) struct Departures {
    departed: HashMap<EndpointName, Departure>,
    returned_at: Option<ClockTime>,
}

impl Departures {
    /// An endpoint is no longer listed.
    pub(super) fn note(&mut self, record: &EndpointRecord, now: ClockTime) {
        self.departed
            .retain(|_, departure| now.since(departure.at) < REMEMBERED);
        let departure = Departure {
            start: record.start,
            was_draining: record.draining,
            at: now,
        };
        self.departed.insert(record.name.clone(), departure);
    }

    /// The store came back from an older copy.
    pub(super) fn note_store_return(&mut self, now: ClockTime) {
        self.returned_at = Some(now);
    }

    /// Whether an entry is of a start that has left and is not to be taken for there again.
    pub(super) fn hold(&self, record: &EndpointRecord, now: ClockTime) -> bool {
        let Some(departure) = self.departed.get(&record.name) else {
            return false;
        };
        if departure.start != record.start || now.since(departure.at) >= REMEMBERED {
            return false;
        }
        let held_out = self
            .returned_at
            .is_some_and(|at| at >= departure.at && now.since(at) < HELD_OUT);
        departure.was_draining || held_out
    }
}
