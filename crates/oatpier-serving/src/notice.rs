//! State that endpoints report in the headers of their responses.
//!
//! The registry and sidecars report the same state seconds later, or not at all if a gateway is cut off from them. A
//! header is valid for the incarnation of the endpoint that sent it, from the time of the response on.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Thousandths of a request per second, the unit of [`RequestRate`].
const PER_MILLE: f64 = 1e3;

/// Lowest rate, in thousandths of a request per second. An endpoint whose limit is zero still gets requests at this
/// rate, because only a response can tell that the limit has ended.
const MIN_PER_MILLE: u32 = 50;

/// Highest rate, in thousandths of a request per second, above the throughput of any endpoint.
const MAX_PER_MILLE: u32 = 1_000_000_000;

/// Maximum length of a rest period. An endpoint that asks for more has ended by then, or can be tried again.
const MAX_REST: Duration = Duration::from_hours(1);

/// Number in a header that is out of range.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Error)]
#[error("`{value}` is not a valid {expected}")]
pub struct NoticeError {
    /// Invalid number.
    pub value: f64,
    /// Description of a valid number.
    pub expected: &'static str,
}

/// Value of a response header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum NoticeValue<T> {
    /// The response has no such header.
    #[default]
    Absent,
    /// The header has a value that cannot be parsed.
    Unusable,
    /// The header has this value.
    Given(T),
}

/// Number of requests per second that an endpoint accepts from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestRate {
    per_mille: u32,
}

impl RequestRate {
    /// Returns the rate in requests per second.
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
                expected: "rate; use a number of requests per second, not below zero",
            });
        }
        let per_mille = (value * PER_MILLE).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "within the bounds of a u32"
        )]
        let per_mille = per_mille.clamp(f64::from(MIN_PER_MILLE), f64::from(MAX_PER_MILLE)) as u32;
        Ok(Self { per_mille })
    }
}

/// Length of a rest period, during which an endpoint accepts no requests from the gateway whose request it rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RestSpan(Duration);

impl RestSpan {
    /// Length of a rest period whose header cannot be parsed.
    pub const FALLBACK: Self = Self(Duration::from_secs(1));

    /// Returns the length as a duration.
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
        let span = Duration::try_from_secs_f64(value).unwrap_or(MAX_REST);
        Ok(Self(span.min(MAX_REST)))
    }
}

/// State that an endpoint reports in the headers of one response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointNotice {
    /// Limit on the requests of all gateways.
    pub rate: NoticeValue<RequestRate>,
    /// Whether the endpoint is leaving.
    pub leaving: NoticeValue<bool>,
    /// Rest period that the endpoint asks for with a rejected request.
    pub rest: NoticeValue<RestSpan>,
}

/// Change of the known state of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeChange {
    /// The endpoint set a limit, or changed it.
    RateNamed(RequestRate),
    /// The endpoint no longer sets a limit.
    RateEnded,
    /// The endpoint sent a limit that cannot be parsed.
    RateUnusable,
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint sent a leaving header that cannot be parsed.
    LeavingUnusable,
    /// The endpoint asks this gateway for a rest period that is longer than the known one.
    Rests(RestSpan),
    /// The endpoint asks for a rest period whose length cannot be parsed.
    RestUnusable,
}

impl NoticeChange {
    /// Returns the name of the change in logs and metrics.
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
