//! Retry budgets, which keep a fault from multiplying the load.
//!
//! While endpoints fail, each request would be sent several times, and the retries would consume
//! the remaining capacity. Each class therefore has a leaky bucket of outstanding retries, which
//! its successes drain: when nothing succeeds, retries soon stop, and requests are refused at once.
//!
//! The capacity of the bucket scales with the requests in flight. When an endpoint dies, all its
//! requests fail at one moment, and each needs one retry; a fixed capacity would fail some of them
//! although the other endpoints have room. One retry of each request in flight is no more load than
//! the fleet had a moment before. Requests that fail again, or that arrive while nothing succeeds,
//! are not retried.

use serde::{Deserialize, Serialize};

use crate::index::ClassIndex;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries permitted per hundred successes.
    pub percent: u32,
    /// Outstanding retries that a class may always have, however few of its requests are in flight.
    pub burst: u32,
    /// Outstanding retries that a class may have per hundred of its requests in flight, if that is
    /// more than `burst`.
    pub in_flight_percent: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            percent: 20,
            burst: 20,
            in_flight_percent: 100,
        }
    }
}

/// Units per retry; the bucket counts hundredths of a retry.
const UNITS_PER_RETRY: u32 = 100;

#[derive(Debug, Clone, Copy, Default)]
struct ClassBucket {
    /// Number of requests without a final answer.
    in_flight: u32,
    /// Retries taken and not yet drained by successes, in hundredths.
    outstanding: u32,
}

/// A leaky bucket of retries for each class, drained by the class's successes.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    buckets: Vec<ClassBucket>,
    refused: u64,
}

impl RetryBudget {
    /// Creates a budget without outstanding retries.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            buckets: Vec::new(),
            refused: 0,
        }
    }

    /// Records that a request of the class was admitted.
    pub fn record_started(&mut self, class: ClassIndex) {
        self.bucket(class).in_flight += 1;
    }

    /// Records that a request of the class got its final answer.
    pub fn record_ended(&mut self, class: ClassIndex) {
        let bucket = self.bucket(class);
        bucket.in_flight = bucket.in_flight.saturating_sub(1);
    }

    /// Records that a request of the class got a complete answer.
    pub fn record_success(&mut self, class: ClassIndex) {
        let drained = self.settings.percent;
        let bucket = self.bucket(class);
        bucket.outstanding = bucket.outstanding.saturating_sub(drained);
    }

    /// Takes one retry from the class's budget. Returns `false` if the budget is spent.
    pub fn take(&mut self, class: ClassIndex) -> bool {
        let settings = self.settings;
        let bucket = self.bucket(class);
        let capacity = bucket_capacity(&settings, bucket.in_flight);
        let outstanding = bucket.outstanding.saturating_add(UNITS_PER_RETRY);
        if outstanding <= capacity {
            bucket.outstanding = outstanding;
            return true;
        }
        self.refused += 1;
        false
    }

    /// Returns the number of refused retries.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    fn bucket(&mut self, class: ClassIndex) -> &mut ClassBucket {
        if self.buckets.len() <= class.as_usize() {
            self.buckets
                .resize(class.as_usize() + 1, ClassBucket::default());
        }
        &mut self.buckets[class.as_usize()]
    }
}

/// Returns the capacity of a class's bucket, in hundredths of a retry.
fn bucket_capacity(settings: &RetrySettings, in_flight: u32) -> u32 {
    let fixed = settings.burst.saturating_mul(UNITS_PER_RETRY);
    fixed.max(in_flight.saturating_mul(settings.in_flight_percent))
}
