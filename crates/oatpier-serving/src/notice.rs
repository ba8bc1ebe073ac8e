//! What endpoints say of themselves in the heads of their answers.
//!
//! The registry and sidecars tell the same seconds later, or not at all where a gateway is cut off from them. What an
//! answer says is true of the start that gave it, from that moment on.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Thousandths of a request a second, the unit of [`RequestRate`].
const PER_MILLE: f64 = 1e3;

/// The lowest rate, in thousandths of a request a second. An endpoint whose limit is zero is sent a request this often,
/// since only an answer can tell that the limit is over.
const LEAST_PER_MILLE: u32 = 50;

/// The highest rate, in thousandths of a request a second: more than any endpoint serves.
const MOST_PER_MILLE: u32 = 1_000_000_000;

/// A number that can't be used for what a header says.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Error)]
#[error("`{value}` is no {expected}")]
pub struct NoticeError {
    /// The number.
    pub value: f64,
    /// What it should be.
    pub expected: &'static str,
}

/// A header of an answer, as far as it can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum NoticeValue<T> {
    /// The answer has no such header.
    #[default]
    Absent,
    /// It has one whose value can't be read.
    Unusable,
    /// It says this.
    Given(T),
}

/// Requests a second that an endpoint takes from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestRate {
    per_mille: u32,
}

impl RequestRate {
    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.per_mille) / PER_MILLE
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = NoticeError;

    fn try_from(value: f64) -> Result<Self, NoticeError> {
        if !value.is_finite() || value < 0.0 {
            return Err(NoticeError {
                value,
                expected: "rate; use a number of requests a second, not below zero",
            });
        }
        let per_mille = (value * PER_MILLE).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "within the bounds of a u32"
        )]
        let per_mille =
            per_mille.clamp(f64::from(LEAST_PER_MILLE), f64::from(MOST_PER_MILLE)) as u32;
        Ok(Self { per_mille })
    }
}

/// What the head of one answer says of the endpoint that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointNotice {
    /// Its limit on the requests of all gateways.
    pub rate: NoticeValue<RequestRate>,
}

/// What changed in what is believed of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeChange {
    /// It named a limit, or another one than before.
    RateNamed(RequestRate),
    /// It no longer names one.
    RateEnded,
    /// It named a limit that can't be read.
    RateUnusable,
}

impl NoticeChange {
    /// The word that logs and metrics use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RateNamed(_) => "limit-named",
            Self::RateEnded => "limit-ended",
            Self::RateUnusable => "limit-unusable",
        }
    }
}
