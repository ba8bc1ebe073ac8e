//! Number of retries that a gateway may send.
//!
//! The platform limits retries over all gateways to a fraction of the requests, and a fixed number in each window.
//! Gateways do not coordinate. Each uses the fraction of its own requests and an equal share of the fixed number, so
//! that the sum stays within the limit in any network partition.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::PoolName;

/// Fraction of the limit that is used. The rest covers requests counted in another window, and gateways that are not
/// known yet.
const USED_FRACTION: f64 = 0.7;

/// Available retries of one service.
#[derive(Debug, Clone, Copy)]
struct ServiceBucket {
    tokens: f64,
    refilled_at: ClockTime,
}

/// Available retries of all services.
#[derive(Debug)]
pub struct RetryAllowance {
    ratio: f64,
    slack: f64,
    window: Duration,
    gateways: f64,
    buckets: HashMap<PoolName, ServiceBucket>,
}

impl RetryAllowance {
    /// Creates an allowance of `ratio` retries per request and `slack` more in each `window`, over all gateways.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio: ratio * USED_FRACTION,
            slack: slack * USED_FRACTION,
            window,
            gateways: 1.0,
            buckets: HashMap::new(),
        }
    }

    /// Replaces the limits.
    pub fn set_bounds(&mut self, ratio: f64, slack: f64, window: Duration) {
        self.ratio = ratio * USED_FRACTION;
        self.slack = slack * USED_FRACTION;
        self.window = window;
    }

    /// Sets the number of gateways that share the fixed number.
    pub fn set_gateways(&mut self, gateways: usize) {
        self.gateways = f64::from(u32::try_from(gateways.max(1)).unwrap_or(u32::MAX));
    }

    /// Records a request for the service.
    pub fn note_request(&mut self, service: &PoolName, now: ClockTime) {
        let ratio = self.ratio;
        let max_tokens = self.slack_share();
        let bucket = self.bucket(service, now);
        bucket.tokens = (bucket.tokens + ratio).min(max_tokens.max(1.0));
    }

    /// Takes one retry. Returns false if none is left.
    pub fn take(&mut self, service: &PoolName, now: ClockTime) -> bool {
        let bucket = self.bucket(service, now);
        let allowed = bucket.tokens >= 1.0;
        if allowed {
            bucket.tokens -= 1.0;
        }
        allowed
    }

    fn slack_share(&self) -> f64 {
        self.slack / self.gateways
    }

    /// Returns the bucket of a service, refilled up to `now`. The refill is spread evenly over a window.
    fn bucket(&mut self, service: &PoolName, now: ClockTime) -> &mut ServiceBucket {
        let max_tokens = self.slack_share().max(1.0);
        // The bucket starts with half of the fixed number, and gains another half during a window.
        let half = max_tokens / 2.0;
        let rate = half / self.window.as_secs_f64();
        let bucket = self
            .buckets
            .entry(service.clone())
            .or_insert(ServiceBucket {
                tokens: half,
                refilled_at: now,
            });
        let gained = now.since(bucket.refilled_at).as_secs_f64() * rate;
        bucket.tokens = (bucket.tokens + gained).min(max_tokens);
        bucket.refilled_at = now;
        bucket
    }
}
