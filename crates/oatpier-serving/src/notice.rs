//! What endpoints say of themselves in the heads of their answers.
//!
//! The registry and sidecars tell the same seconds later, or not at all where a gateway is cut off from them. What an
//! answer says is true of the start that gave it, from that moment on.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Thousandths of a request a second, the unit of [`RequestRate`].
const PER_MILLE: f64 = 1e3;

/// The lowest rate, in thousandths of a request a second. An endpoint whose limit is zero is sent a request this often,
/// since only an answer can tell that the limit is over.
const LEAST_PER_MILLE: u32 = 50;

/// The highest rate, in thousandths of a request a second: more than any endpoint serves.
const MOST_PER_MILLE: u32 = 1_000_000_000;

/// The longest rest that is kept. An endpoint that asks for more has gone by then, or is asked again.
const MOST_REST: Duration = Duration::from_hours(1);

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

/// How long an endpoint wants no requests from the gateway that it turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RestSpan(Duration);

impl RestSpan {
    /// What is taken for a rest whose length can't be read.
    pub const UNREADABLE: Self = Self(Duration::from_secs(1));

    /// The span.
    #[must_use]
    pub fn duration(self) -> Duration {
        self.0
    }
}

impl TryFrom<f64> for RestSpan {
    type Error = NoticeError;

    fn try_from(value: f64) -> Result<Self, NoticeError> {
        if !value.is_finite() || value < 0.0 {
            return Err(NoticeError {
                value,
                expected: "rest; use a number of seconds, not below zero",
            });
        }
        let span = Duration::try_from_secs_f64(value).unwrap_or(MOST_REST);
        Ok(Self(span.min(MOST_REST)))
    }
}

/// What the head of one answer says of the endpoint that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointNotice {
    /// Its limit on the requests of all gateways.
    pub rate: NoticeValue<RequestRate>,
    /// Whether it leaves.
    pub leaving: NoticeValue<bool>,
    /// The rest that it wants, where it turned the request away.
    pub rest: NoticeValue<RestSpan>,
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
    /// It leaves.
    Leaving,
    /// It said in a way that can't be read whether it leaves.
    LeavingUnusable,
    /// It wants rest from this gateway, for longer than was known.
    Rests(RestSpan),
    /// It wants rest for a time that can't be read.
    RestUnusable,
}

impl NoticeChange {
    /// The word that logs and metrics use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RateNamed(_) => "limit-named",
            Self::RateEnded => "limit-ended",
            Self::RateUnusable => "limit-unusable",
            Self::Leaving => "leaving",
            Self::LeavingUnusable => "leaving-unusable",
            Self::Rests(_) => "rests",
            Self::RestUnusable => "rest-unusable",
        }
    }
}
