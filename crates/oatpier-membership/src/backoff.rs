//! Retry delays with jitter, so that processes don't retry at the same time.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Returns a random duration between half of `span` and all of it.
pub fn jittered(span: Duration, generator: &mut ChaCha8Rng) -> Duration {
    span.mul_f64(generator.random_range(0.5..=1.0))
}

/// Exponential backoff with jitter and an upper bound.
#[derive(Debug, Clone)]
pub struct RetryBackoff {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl RetryBackoff {
    /// Creates a backoff that waits about `first` after the first failure and never more than
    /// `longest`.
    #[must_use]
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            failures: 0,
        }
    }

    /// Counts a failure and returns when to try again.
    pub fn record_failure(&mut self, now: ClockTime, generator: &mut ChaCha8Rng) -> ClockTime {
        let doubled = self.first.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        now + jittered(doubled.min(self.longest), generator)
    }

    /// Resets the count of failures.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failures since the last success.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
