//! Rest that an endpoint asked this gateway for.
//!
//! What waits for the end of a rest would all be sent in its first millisecond, and be the next overload. So one request
//! is sent first, and each that is taken lets two more be sent, until there are as many as the endpoint has slots.

use std::time::Duration;

use oatpier_types::clock::ClockTime;

/// Requests that may follow each one that an endpoint took after its rest.
const TRIES_EACH: u32 = 2;

/// After a request without an answer the next one is sent this much later.
const TRY_AGAIN: Duration = Duration::from_millis(500);

/// An endpoint that asked for rest, until it serves as before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RestState {
    /// Since when it has taken nothing but tries.
    pub(super) since: ClockTime,
    until: ClockTime,
    /// Requests that may be sent now.
    tries: u32,
    tried_at: ClockTime,
}

impl RestState {
    /// A rest that ends at a moment; a longer one that is known goes on.
    pub(super) fn until(known: Option<Self>, until: ClockTime, now: ClockTime) -> Self {
        Self {
            since: known.map_or(now, |known| known.since),
            until: known.map_or(until, |known| known.until.max(until)),
            tries: 1,
            tried_at: ClockTime::ZERO,
        }
    }

    /// How long it lasts.
    pub(super) fn left(&self, now: ClockTime) -> Duration {
        self.until.since(now)
    }

    /// Whether a request may be sent.
    pub(super) fn may_try(&self, now: ClockTime) -> bool {
        let is_over = now >= self.until;
        is_over && (self.tries > 0 || now.since(self.tried_at) >= TRY_AGAIN)
    }

    /// A request is sent.
    pub(super) fn note_sent(&mut self, now: ClockTime) {
        self.tries = self.tries.saturating_sub(1);
        self.tried_at = now;
    }

    /// A request that was sent at `sent_at` was taken; says whether the endpoint with so many slots serves as before.
    pub(super) fn note_taken(&mut self, sent_at: ClockTime, slots: u32) -> bool {
        if sent_at >= self.until {
            self.tries += TRIES_EACH;
        }
        self.tries >= slots.max(1)
    }
}
