//! How far use may exceed a limit, and what follows for each part of it.

use std::time::Duration;

use super::PARTS;
use crate::workspace::quota::QuotaRule;

/// Share of the fixed allowance that the parts may grant as debt. The rest covers requests in transit, whose units were
/// granted before a window began and which arrive within it.
const DEBT_FRACTION: f64 = 0.5;

/// Minimum lifetime of granted units. It covers the transit from the holder to the gateway and on to the endpoint.
const MIN_GRANT_LIFETIME: Duration = Duration::from_millis(50);

/// Maximum lifetime of granted units. Units that are not used within their lifetime are lost to their workspace.
const MAX_GRANT_LIFETIME: Duration = Duration::from_millis(800);

/// Tolerance with which limits are enforced. In any window of this length, a workspace may use `(rate x window + burst)
/// x (1 + overage) + slack` units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window over which use is counted.
    pub window: Duration,
    /// Fraction by which use within a window may exceed the limit.
    pub overage: f64,
    /// Units by which use within a window may exceed the limit in addition to `overage`.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns how long granted units stay valid after they were requested.
    ///
    /// Units that arrive in a window were granted within the window or up to one lifetime before it. Their sum is at
    /// most `rate x (window + lifetime) + burst`, and the overage covers `rate x lifetime`.
    #[must_use]
    pub fn grant_lifetime(&self) -> Duration {
        let lifetime = self.window.mul_f64(self.overage.clamp(0.0, 1.0));
        lifetime.clamp(MIN_GRANT_LIFETIME, MAX_GRANT_LIFETIME)
    }

    /// Returns the token bucket parameters of one part of a limit.
    #[must_use]
    pub fn bucket_params(&self, rule: &QuotaRule) -> BucketParams {
        let parts = f64::from(PARTS);
        BucketParams {
            rate: rule.rate / parts,
            capacity: rule.burst / parts,
            max_debt: self.slack * DEBT_FRACTION / parts,
        }
    }
}

/// Token bucket parameters of one part of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketParams {
    /// Units added per second.
    pub rate: f64,
    /// Maximum number of units that the bucket holds.
    pub capacity: f64,
    /// Maximum number of units that are granted before they have accrued.
    pub max_debt: f64,
}
