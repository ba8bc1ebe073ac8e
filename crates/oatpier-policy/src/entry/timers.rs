//! When each request's timer is due.

use std::collections::BTreeSet;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::RequestId;

/// Armed timers in order of time. A request has one; it may be earlier than needed, since a
/// stream's stall timer moves on with each piece and is not rearmed until it fires.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    armed: BTreeSet<(ClockTime, RequestId)>,
}

impl TimerQueue {
    pub(super) fn next(&self) -> Option<ClockTime> {
        self.armed.first().map(|(at, _)| *at)
    }

    /// Moves a request's timer from `old` to `new`; `NEVER` stands for none.
    pub(super) fn rearm(&mut self, request: RequestId, old: ClockTime, new: ClockTime) {
        self.armed.remove(&(old, request));
        if new != ClockTime::NEVER {
            self.armed.insert((new, request));
        }
    }

    /// Takes the first timer that is due.
    pub(super) fn take_due(&mut self, now: ClockTime) -> Option<RequestId> {
        let (at, request) = *self.armed.first()?;
        if at > now {
            return None;
        }
        self.armed.pop_first();
        Some(request)
    }
}
