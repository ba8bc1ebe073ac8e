//! Why a request is refused, and when to come back.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Why an entry or an agent does not run a request. With the verdict "not run", but for
/// [`RefusalCause::Duplicate`] and [`RefusalCause::KeyUsed`]: what came before may have run, and the
/// verdict on it travels beside the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// The process or its endpoint is leaving.
    Leaving,
    /// The queue is at its bound.
    QueueFull,
    /// It could not be answered in time.
    TooLate,
    /// The weights are not ready here.
    WeightsMissing,
    /// The endpoint does not answer.
    EndpointDown,
    /// This attempt was given up before it came.
    GivenUp,
    /// This attempt is here already. The verdict on its first copy travels beside this cause.
    Duplicate,
    /// No endpoint is known that could run it.
    NoEndpoint,
    /// The endpoints that could run it take no more requests a second.
    RateLimited,
    /// The endpoints that could run it asked for rest.
    EndpointRests,
    /// The class has used up its retries.
    RetriesSpent,
    /// The idempotency key was used already.
    KeyUsed,
    /// The idempotency key can't be claimed, since the key-value service is away.
    ClaimUnavailable,
    /// No such model, adapter, service or class is configured.
    Unknown,
    /// The request itself is malformed or over a limit.
    Invalid,
}

/// A refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// When to come back; none where coming back is of no use.
    pub retry_after: Option<Duration>,
}

impl RefusalCause {
    /// The word that answers, logs and metrics use.
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
        }
    }
}
