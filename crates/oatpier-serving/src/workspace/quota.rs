//! Limits on what a workspace uses over all gateways.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::call::CallerRequest;

/// Largest rate and burst. It is far above the throughput of any fleet, and exact in a float.
const MAX_UNITS: f64 = 1e12;

/// Reason why a quota is invalid.
#[derive(Debug, Clone, PartialEq)]
#[derive(Error)]
#[error("its {field} can't be {value}; use a number from 0 to {MAX_UNITS:e}")]
pub struct QuotaError {
    /// Name of the invalid number.
    pub field: &'static str,
    /// Value of the invalid number.
    pub value: f64,
}

/// Unit in which requests are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request counts as one unit.
    Requests,
    /// Each request counts as many units as it has tokens.
    Tokens {
        /// Units of a request without tokens.
        plain: u32,
    },
}

/// Quota as the operator declares it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeclaredQuota {
    /// Units per second; 0 for no limit.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// Unit in which requests are counted.
    pub unit: QuotaUnit,
}

/// Limit on what a workspace uses.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QuotaRule {
    /// Units per second, above zero.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// Unit in which requests are counted.
    pub unit: QuotaUnit,
}

impl QuotaRule {
    /// Validates a declared quota. Returns `None` if the rate is 0, which means no limit.
    ///
    /// # Errors
    ///
    /// Returns an error for the first number that is out of range.
    pub fn declared(quota: &DeclaredQuota) -> Result<Option<Self>, QuotaError> {
        for (field, value) in [("rate", quota.rate), ("burst", quota.burst)] {
            if !(0.0..=MAX_UNITS).contains(&value) {
                return Err(QuotaError { field, value });
            }
        }
        let rule = Self {
            rate: quota.rate,
            burst: quota.burst,
            unit: quota.unit,
        };
        Ok((quota.rate > 0.0).then_some(rule))
    }

    /// Returns the number of units that a request counts as.
    #[must_use]
    pub fn cost(&self, request: &CallerRequest) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => match request.memory_tokens() {
                0 => u64::from(plain),
                tokens => tokens,
            },
        }
    }
}
