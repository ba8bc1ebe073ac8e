//! How many requests a gateway may send a second time.
//!
//! The platform bounds second sends over all gateways: a share of the requests, and a fixed number
//! in a window. Gateways do not ask each other; each takes its own requests' share and its part of
//! the fixed number. The sum then stays within the bound however the fleet is cut.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::PoolName;

/// The part of the bound that is used. The rest covers requests counted in another window, and
/// gateways that were not heard of yet.
const USED_SHARE: f64 = 0.7;

/// Second sends of one service.
#[derive(Debug, Clone, Copy)]
struct ServiceBucket {
    tokens: f64,
    at: ClockTime,
}

/// Second sends that are left, for each service.
#[derive(Debug)]
pub struct RetryAllowance {
    ratio: f64,
    slack: f64,
    window: Duration,
    gateways: f64,
    buckets: HashMap<PoolName, ServiceBucket>,
}

impl RetryAllowance {
    /// An allowance of `ratio` second sends for each request and `slack` more in each `window`,
    /// over all gateways.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio: ratio * USED_SHARE,
            slack: slack * USED_SHARE,
            window,
            gateways: 1.0,
            buckets: HashMap::new(),
        }
    }

    /// Takes new bounds over.
    pub fn set_bounds(&mut self, ratio: f64, slack: f64, window: Duration) {
        self.ratio = ratio * USED_SHARE;
        self.slack = slack * USED_SHARE;
        self.window = window;
    }

    /// How many gateways share the fixed number.
    pub fn share_among(&mut self, gateways: usize) {
        self.gateways = f64::from(u32::try_from(gateways.max(1)).unwrap_or(u32::MAX));
    }

    /// A request for the service came in.
    pub fn note_request(&mut self, service: &PoolName, now: ClockTime) {
        let ratio = self.ratio;
        let most = self.own_slack();
        let bucket = self.bucket(service, now);
        bucket.tokens = (bucket.tokens + ratio).min(most.max(1.0));
    }

    /// Takes one second send; false if none is left.
    pub fn take(&mut self, service: &PoolName, now: ClockTime) -> bool {
        let bucket = self.bucket(service, now);
        let allowed = bucket.tokens >= 1.0;
        if allowed {
            bucket.tokens -= 1.0;
        }
        allowed
    }

    fn own_slack(&self) -> f64 {
        self.slack / self.gateways
    }

    /// The fixed part comes back evenly over a window.
    fn bucket(&mut self, service: &PoolName, now: ClockTime) -> &mut ServiceBucket {
        let most = self.own_slack().max(1.0);
        // Half of the fixed part may stand in the bucket, and half flows in during a window.
        let full = most / 2.0;
        let pace = full / self.window.as_secs_f64();
        let bucket = self
            .buckets
            .entry(service.clone())
            .or_insert(ServiceBucket {
                tokens: full,
                at: now,
            });
        let gained = now.since(bucket.at).as_secs_f64() * pace;
        bucket.tokens = (bucket.tokens + gained).min(most);
        bucket.at = now;
        bucket
    }
}
