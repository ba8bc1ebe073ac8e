//! Why an attempt failed, and what that says about its request.

use oatpier_serving::directory::RequestOutcome;
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::client;

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be established.
    Unreachable,
    /// A connection was established, but no byte was written to it.
    Unsent,
    /// The endpoint reported that it did not run the request.
    Refused,
    /// After the request was placed, the endpoint reported that it does not accept it now: it is leaving, in a
    /// rest period, or has a rate limit.
    HeldBack,
    /// Another endpoint now uses the address and did not run the request.
    Replaced,
    /// The endpoint lacks the weights and did not run the request.
    WeightsMissing,
    /// The response or its connection broke off.
    Cut,
    /// The response is incomplete or too large, belongs to another request, or does not come from the endpoint itself.
    Spoilt,
    /// No data arrived within the timeout.
    Silent,
    /// The endpoint failed with a server error, and another endpoint may succeed.
    ServerError,
    /// The endpoint failed instead of resuming a stream.
    Unresumed,
    /// The endpoint failed with a status that callers take for a promise that the request did not run, without stating
    /// that.
    Unstated,
}

impl AttemptFailure {
    /// Returns whether the request may have run.
    #[must_use]
    pub fn verdict(self) -> RunVerdict {
        match self {
            Self::Unreachable
            | Self::Unsent
            | Self::HeldBack
            | Self::Refused
            | Self::Replaced
            | Self::WeightsMissing => RunVerdict::NotRun,
            Self::Cut
            | Self::Spoilt
            | Self::Silent
            | Self::ServerError
            | Self::Unresumed
            | Self::Unstated => RunVerdict::MayHaveRun,
        }
    }

    /// Returns whether any byte of the request reached the intended endpoint.
    #[must_use]
    pub fn has_reached_endpoint(self) -> bool {
        !matches!(
            self,
            Self::Unreachable | Self::Unsent | Self::HeldBack | Self::Replaced
        )
    }

    /// Returns whether the next send takes nothing from the retry budget, because it was already charged or because
    /// no endpoint received the first send.
    #[must_use]
    pub fn is_free_retry(self) -> bool {
        matches!(
            self,
            Self::Silent | Self::ServerError | Self::Unreachable | Self::Unsent | Self::HeldBack
        )
    }

    /// Returns the failure of an attempt whose response's body could not be read.
    #[must_use]
    pub fn of_body(error: &hyper::Error) -> Self {
        if client::is_malformed(error) {
            Self::Spoilt
        } else {
            Self::Cut
        }
    }

    /// Returns how the request ended at the endpoint if the attempt failed after the response's head.
    #[must_use]
    pub fn outcome_after_head(self) -> RequestOutcome {
        match self {
            Self::Spoilt => RequestOutcome::Untrusted,
            _ => RequestOutcome::Broken,
        }
    }

    /// Returns the value used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Unsent => "unsent",
            Self::HeldBack => "held-back",
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::WeightsMissing => "weights-missing",
            Self::Cut => "cut",
            Self::Spoilt => "spoilt",
            Self::Silent => "silent",
            Self::ServerError => "server-error",
            Self::Unresumed => "unresumed",
            Self::Unstated => "unstated",
        }
    }
}
