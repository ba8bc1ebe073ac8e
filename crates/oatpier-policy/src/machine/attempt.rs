//! The one attempt of a request that is live.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::AttemptId;

use crate::index::EndpointIndex;
use crate::router::RouteChoice;

/// Whether the attempt was asked to be sealed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SealState {
    /// No.
    Unasked,
    /// Yes; its answer is awaited until then.
    Asked { until: ClockTime },
    /// Yes; no answer in time. A late one still counts.
    Overdue,
    /// Yes; it runs, or may.
    Refused,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct LiveAttempt {
    pub attempt: AttemptId,
    pub endpoint: EndpointIndex,
    pub sent_at: ClockTime,
    pub predicted: Duration,
    pub queue: Duration,
    /// Whether anything of its answer came.
    pub framed: bool,
    /// When it was sent, or its last piece came.
    pub last_sign: ClockTime,
    /// When it counts as silent.
    pub silent_at: ClockTime,
    pub seal: SealState,
}

impl LiveAttempt {
    pub(super) fn new(
        attempt: AttemptId,
        choice: &RouteChoice,
        silence: Duration,
        now: ClockTime,
    ) -> Self {
        Self {
            attempt,
            endpoint: choice.endpoint,
            sent_at: now,
            predicted: choice.predicted,
            queue: choice.queue,
            framed: false,
            last_sign: now,
            silent_at: now + silence,
            seal: SealState::Unasked,
        }
    }

    /// The next point at which something is due of the attempt by itself.
    pub(super) fn timer(&self) -> ClockTime {
        match self.seal {
            SealState::Asked { until } => until.min(self.silent_at),
            _ => self.silent_at,
        }
    }

    /// How long it ran at its endpoint, as far as can be told from here.
    pub(super) fn ran(&self, now: ClockTime) -> Duration {
        now.since(self.sent_at).saturating_sub(self.queue)
    }
}
