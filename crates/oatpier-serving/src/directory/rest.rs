//! Rest periods that endpoints ask this gateway for, and the ramp-up after them.
//!
//! If all requests that wait for the end of a rest period were sent at once, they would overload the
//! endpoint again. Therefore a single probe is sent first, and each accepted probe allows two more
//! requests, until the number of allowed requests reaches the number of slots of the endpoint.

use std::time::Duration;

use oatpier_types::clock::ClockTime;

/// Requests allowed for each one that the endpoint accepts after its rest period.
const REQUESTS_PER_ACCEPTED: u32 = 2;

/// Time without an answer to a probe after which another one is allowed.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The rest period of an endpoint and the ramp-up after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RestState {
    /// When the endpoint stopped taking requests at the normal rate.
    pub(super) since: ClockTime,
    until: ClockTime,
    /// Number of requests that may be sent now.
    allowance: u32,
    last_sent_at: ClockTime,
}

impl RestState {
    /// Returns the state for a rest period that ends at `until`, or at the end of the known one if that is
    /// later.
    pub(super) fn until(known: Option<Self>, until: ClockTime, now: ClockTime) -> Self {
        Self {
            since: known.map_or(now, |known| known.since),
            until: known.map_or(until, |known| known.until.max(until)),
            allowance: 1,
            last_sent_at: ClockTime::ZERO,
        }
    }

    /// Returns the time until the rest period ends.
    pub(super) fn remaining(&self, now: ClockTime) -> Duration {
        self.until.since(now)
    }

    /// Returns whether a request may be sent.
    pub(super) fn allows_request(&self, now: ClockTime) -> bool {
        let is_over = now >= self.until;
        is_over && (self.allowance > 0 || now.since(self.last_sent_at) >= PROBE_RETRY_DELAY)
    }

    /// Records that a request is sent.
    pub(super) fn note_sent(&mut self, now: ClockTime) {
        self.allowance = self.allowance.saturating_sub(1);
        self.last_sent_at = now;
    }

    /// Records that a request sent at `sent_at` was accepted, and returns whether the ramp-up is complete
    /// for an endpoint with `slots` slots.
    pub(super) fn note_accepted(&mut self, sent_at: ClockTime, slots: u32) -> bool {
        if sent_at >= self.until {
            self.allowance += REQUESTS_PER_ACCEPTED;
        }
        self.allowance >= slots.max(1)
    }
}
