//! Timers of requests.

use std::collections::BTreeSet;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::RequestId;

/// Armed timers in order of time, at most one per request.
///
/// A timer may fire earlier than needed: the stall timer of a stream moves with each piece, and is
/// rearmed only when it fires.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    armed: BTreeSet<(ClockTime, RequestId)>,
}

impl TimerQueue {
    pub(super) fn next(&self) -> Option<ClockTime> {
        self.armed.first().map(|(at, _)| *at)
    }

    /// Moves a request's timer from `old` to `new`; `NEVER` means no timer.
    pub(super) fn rearm(&mut self, request: RequestId, old: ClockTime, new: ClockTime) {
        self.armed.remove(&(old, request));
        if new != ClockTime::NEVER {
            self.armed.insert((new, request));
        }
    }

    /// Removes the first timer that is due and returns its request.
    pub(super) fn take_due(&mut self, now: ClockTime) -> Option<RequestId> {
        let (at, request) = *self.armed.first()?;
        if at > now {
            return None;
        }
        self.armed.pop_first();
        Some(request)
    }
}
