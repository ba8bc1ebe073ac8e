//! The share of an engine's requests that fail, over all gateways.
//!
//! Consider 24 gateways and 50 engines, half of which lose a fifth of their responses for some seconds. A
//! gateway sends each engine one request per second. From its own requests it would learn of the failures
//! only when they are over. The engine's sidecar grants the permits for all gateways' requests and is told
//! of each failure, so it knows within half a second. Its status updates report the share to all gateways.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use serde::{Deserialize, Serialize};

/// Half-life of the counts. Engines fail for seconds and are to be used again soon afterwards.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Minimum number of requests that the share is computed from, because fewer requests are not significant.
const MIN_REQUESTS: f64 = 8.0;

/// The way in which a request failed at an engine that had granted a permit for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EngineFailure {
    /// The response broke off or was corrupt.
    Broken,
    /// The engine responded with a server error.
    ServerError,
}

impl EngineFailure {
    /// Returns the weight of the failure: some classes of requests fail regardless of the engine.
    fn weight(self) -> f64 {
        match self {
            Self::Broken => 1.0,
            Self::ServerError => 0.7,
        }
    }
}

/// A count that decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingCount {
    count: f64,
    at: ClockTime,
}

impl DecayingCount {
    fn at(&self, now: ClockTime) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.count * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn add(&mut self, more: f64, now: ClockTime) {
        self.count = self.at(now) + more;
        self.at = now;
    }
}

/// Counts of the requests and failures of one engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureCount {
    requests: DecayingCount,
    failures: DecayingCount,
}

impl FailureCount {
    /// Records that a request was granted a permit.
    pub fn note_request(&mut self, now: ClockTime) {
        self.requests.add(1.0, now);
    }

    /// Records that a request failed.
    pub fn note_failure(&mut self, failure: EngineFailure, now: ClockTime) {
        self.failures.add(failure.weight(), now);
    }

    /// Returns the share of failures in steps of 5 percentage points, so that small changes cause no status
    /// updates.
    #[must_use]
    pub fn share_percent(&self, now: ClockTime) -> u8 {
        let requests = self.requests.at(now).max(MIN_REQUESTS);
        let share = (self.failures.at(now) / requests).min(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share from 0 to 1"
        )]
        let steps = (share * 20.0) as u8;
        steps * 5
    }
}
