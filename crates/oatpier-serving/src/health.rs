//! Health of endpoints as observed on the data path.
//!
//! [`HealthTracker`] detects endpoints that are dead, frozen, slow or break off every response. An endpoint
//! that fails a part of its requests and answers the rest passes these checks, because its failures are not
//! consecutive. [`FailureShare`] detects it by its share of failures, and [`DurationEstimate`] estimates
//! how long its responses take.

use std::time::Duration;

use oatpier_types::clock::ClockTime;

pub use oatpier_policy::health::{
    AttemptEvidence, EndpointFault, HealthChange, HealthSettings, HealthTracker,
};

/// Weight of a new result in [`FailureShare`]: about the last eight results count.
const RESULT_WEIGHT: f64 = 0.12;

/// Time without requests after which the failure share of an endpoint is halved, so that an endpoint that
/// has recovered receives requests again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// The share of an endpoint's requests that have failed recently.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureShare {
    share: f64,
    at: ClockTime,
}

impl FailureShare {
    /// Adds the result of a request; `blame` is 0 for a success and 1 for a failure certainly caused by the
    /// endpoint.
    pub fn note(&mut self, blame: f64, now: ClockTime) {
        let share = self.at(now);
        self.share = share + (blame - share) * RESULT_WEIGHT;
        self.at = now;
    }

    /// Returns the share at `now`, from 0 to 1.
    #[must_use]
    pub fn at(&self, now: ClockTime) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.share * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }
}

/// Weight of a new duration in [`DurationEstimate`].
const DURATION_WEIGHT: f64 = 0.1;

/// An exponentially weighted mean of durations.
#[derive(Debug, Clone, Copy)]
pub struct DurationEstimate {
    mean_ms: f64,
}

impl DurationEstimate {
    /// Creates a mean with an initial estimate in milliseconds.
    #[must_use]
    pub const fn starting_at(mean_ms: f64) -> Self {
        Self { mean_ms }
    }

    /// Adds a duration to the mean.
    pub fn note(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1e3;
        self.mean_ms += (took_ms - self.mean_ms) * DURATION_WEIGHT;
    }

    /// Returns the mean in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}
