//! The live attempt of a request.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::AttemptId;

use crate::index::EndpointIndex;
use crate::router::RouteChoice;

/// Whether the agent was asked to seal the attempt, and the result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SealState {
    /// No seal was requested.
    NotRequested,
    /// A seal was requested; the answer is awaited until `until`.
    Requested { until: ClockTime },
    /// The answer did not arrive in time. A late answer is still accepted.
    TimedOut,
    /// The agent answered that the attempt runs or may have run.
    Refused,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct LiveAttempt {
    pub attempt: AttemptId,
    pub endpoint: EndpointIndex,
    pub sent_at: ClockTime,
    pub predicted: Duration,
    pub queue: Duration,
    /// Whether any part of the answer arrived.
    pub has_first_frame: bool,
    /// Time at which the attempt was sent or its last piece arrived.
    pub last_activity: ClockTime,
    /// Time from which the attempt counts as silent.
    pub silent_at: ClockTime,
    pub seal: SealState,
}

impl LiveAttempt {
    pub(super) fn new(
        attempt: AttemptId,
        choice: &RouteChoice,
        timeout: Duration,
        now: ClockTime,
    ) -> Self {
        Self {
            attempt,
            endpoint: choice.endpoint,
            sent_at: now,
            predicted: choice.predicted,
            queue: choice.queue,
            has_first_frame: false,
            last_activity: now,
            silent_at: now + timeout,
            seal: SealState::NotRequested,
        }
    }

    /// Returns the time of the attempt's next timeout.
    pub(super) fn timer(&self) -> ClockTime {
        match self.seal {
            SealState::Requested { until } => until.min(self.silent_at),
            _ => self.silent_at,
        }
    }

    /// Returns how long the attempt ran at its endpoint, estimated by subtracting the predicted
    /// queue time.
    pub(super) fn run_time(&self, now: ClockTime) -> Duration {
        now.since(self.sent_at).saturating_sub(self.queue)
    }
}
