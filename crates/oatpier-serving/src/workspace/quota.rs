//! What a workspace may use, over all gateways.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::call::CallerRequest;

/// The largest rate and burst. Far above what any fleet serves, and exact in a float.
const MOST_UNITS: f64 = 1e12;

/// Why a quota can't be used.
#[derive(Debug, Clone, PartialEq)]
#[derive(Error)]
#[error("its {field} can't be {value}; use a number from 0 to {MOST_UNITS:e}")]
pub struct QuotaError {
    /// Which of its numbers.
    pub field: &'static str,
    /// What it is.
    pub value: f64,
}

/// What a request counts as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum QuotaUnit {
    /// One.
    Requests,
    /// Its tokens.
    Tokens {
        /// What a request without tokens counts as.
        plain: u32,
    },
}

/// A quota as the operator declares it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeclaredQuota {
    /// Units a second; 0 for no limit.
    pub rate: f64,
    /// Units that may come at once beyond the rate.
    pub burst: f64,
    /// What is counted.
    pub unit: QuotaUnit,
}

/// A limit on what a workspace uses.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QuotaRule {
    /// Units a second, above zero.
    pub rate: f64,
    /// Units that may come at once beyond the rate.
    pub burst: f64,
    /// What is counted.
    pub unit: QuotaUnit,
}

impl QuotaRule {
    /// The limit that was declared; none where the rate is 0.
    ///
    /// # Errors
    ///
    /// Names the number that can't be used.
    pub fn declared(quota: &DeclaredQuota) -> Result<Option<Self>, QuotaError> {
        for (field, value) in [("rate", quota.rate), ("burst", quota.burst)] {
            if !(0.0..=MOST_UNITS).contains(&value) {
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

    /// What a request counts as.
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
