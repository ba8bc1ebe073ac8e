//! Which share of an engine's requests fails, over all gateways.
//!
//! The load: two dozen gateways before fifty engines, half of which lose a fifth of their answers for some seconds.
//! A gateway sends each engine a request a second, so by its own requests it finds out when that is over. The
//! engine's sidecar gives permits for all of them: told of each failure, it knows within half a second, and its
//! pulses tell everybody.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use serde::{Deserialize, Serialize};

/// After this long what was counted counts half: engines fail for seconds, and are to be used again soon after.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Fewer requests than this say too little: the share is taken of this many.
const LEAST_REQUESTS: f64 = 8.0;

/// How a request failed at an engine that had a permit for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EngineFailure {
    /// Its answer broke off, or was spoilt.
    Broken,
    /// The engine answered with an error of its own.
    ServerError,
}

impl EngineFailure {
    /// How much of it is held against the engine: some classes of requests fail by themselves.
    fn blame(self) -> f64 {
        match self {
            Self::Broken => 1.0,
            Self::ServerError => 0.7,
        }
    }
}

/// A count that fades.
#[derive(Debug, Clone, Copy, Default)]
struct FadingCount {
    count: f64,
    at: ClockTime,
}

impl FadingCount {
    fn at(&self, now: ClockTime) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.count * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn add(&mut self, more: f64, now: ClockTime) {
        self.count = self.at(now) + more;
        self.at = now;
    }
}

/// The requests of one engine and those that failed.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureCount {
    requests: FadingCount,
    failures: FadingCount,
}

impl FailureCount {
    /// A request got a permit.
    pub fn note_request(&mut self, now: ClockTime) {
        self.requests.add(1.0, now);
    }

    /// A request failed.
    pub fn note_failure(&mut self, failure: EngineFailure, now: ClockTime) {
        self.failures.add(failure.blame(), now);
    }

    /// The share that fails, in steps of five hundredths so that pulses need not tell each change.
    #[must_use]
    pub fn share_percent(&self, now: ClockTime) -> u8 {
        let requests = self.requests.at(now).max(LEAST_REQUESTS);
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
