//! Why a request is refused, and when the caller may retry.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The reason why an entry or an agent does not run a request.
///
/// A refused request has the verdict "not run", except for [`RefusalCause::Duplicate`] and
/// [`RefusalCause::KeyUsed`]: the earlier attempt or request may have run, and its verdict is sent
/// together with the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// The process or its endpoint is leaving.
    Leaving,
    /// The queue is full.
    QueueFull,
    /// The request cannot be answered before its deadline.
    TooLate,
    /// The weights are not ready at this endpoint.
    WeightsMissing,
    /// The endpoint does not respond.
    EndpointDown,
    /// The attempt was cancelled before it arrived.
    GivenUp,
    /// The attempt was already received. The verdict on its first copy is sent together with this cause.
    Duplicate,
    /// No known endpoint can run the request.
    NoEndpoint,
    /// The endpoints that could run the request have reached their limit of requests per second.
    RateLimited,
    /// The endpoints that could run the request have asked callers to pause.
    EndpointRests,
    /// The retry budget of the class is exhausted.
    RetriesSpent,
    /// The idempotency key was already used.
    KeyUsed,
    /// The idempotency key can't be claimed because the key-value service is unavailable.
    ClaimUnavailable,
    /// No such model, adapter, service or class is configured.
    Unknown,
    /// The request itself is malformed or over a limit.
    Invalid,
    /// No endpoint has the software version at which the stream began that the request takes up.
    VersionMissing,
    /// It is not known at which software version the stream began that the request takes up.
    StreamUnknown,
}

/// The refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// The cause of the refusal.
    pub cause: RefusalCause,
    /// Delay before a retry; `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
}

impl RefusalCause {
    /// Returns the name of the cause in responses, logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::QueueFull => "queue-full",
            Self::TooLate => "too-late",
            Self::WeightsMissing => "weights-missing",
            Self::EndpointDown => "endpoint-down",
            Self::GivenUp => "given-up",
            Self::Duplicate => "duplicate",
            Self::NoEndpoint => "no-endpoint",
            Self::RateLimited => "rate-limited",
            Self::EndpointRests => "endpoint-rests",
            Self::RetriesSpent => "retries-spent",
            Self::KeyUsed => "key-used",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::Unknown => "unknown",
            Self::Invalid => "invalid",
            Self::VersionMissing => "version-missing",
            Self::StreamUnknown => "stream-unknown",
        }
    }
}
