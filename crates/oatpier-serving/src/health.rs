//! Which endpoints are to be avoided, on evidence of the data path.
//!
//! [`HealthTracker`] finds endpoints that are dead, frozen, slow or cut everything. An endpoint
//! that fails a part of its requests and answers the rest passes all of those: its failures are
//! never in a row. [`FailureShare`] sees it by the share of failures, and [`PaceEstimate`] tells
//! how long its answers take.

use std::time::Duration;

use oatpier_types::clock::ClockTime;

pub use oatpier_policy::health::{
    AttemptEvidence, EndpointFault, HealthChange, HealthSettings, HealthTracker,
};

/// The weight of one more result in [`FailureShare`]: about the last eight count.
const RESULT_WEIGHT: f64 = 0.12;

/// An endpoint that got no requests for this long is thought half as bad, so that one that has
/// recovered gets some again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// The share of an endpoint's requests that failed lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureShare {
    share: f64,
    at: ClockTime,
}

impl FailureShare {
    /// A request came to its end; `blame` is 0 for a good end and 1 for a failure that is
    /// certainly the endpoint's.
    pub fn note(&mut self, blame: f64, now: ClockTime) {
        let share = self.at(now);
        self.share = share + (blame - share) * RESULT_WEIGHT;
        self.at = now;
    }

    /// The share now, from 0 to 1.
    #[must_use]
    pub fn at(&self, now: ClockTime) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.share * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }
}

/// The weight of one more time in [`PaceEstimate`].
const PACE_WEIGHT: f64 = 0.1;

/// A running mean of times.
#[derive(Debug, Clone, Copy)]
pub struct PaceEstimate {
    mean_ms: f64,
}

impl PaceEstimate {
    /// A mean that starts from a guess, in milliseconds.
    #[must_use]
    pub const fn starting_at(mean_ms: f64) -> Self {
        Self { mean_ms }
    }

    /// Takes one more time in.
    pub fn note(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1e3;
        self.mean_ms += (took_ms - self.mean_ms) * PACE_WEIGHT;
    }

    /// The mean, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}
