//! The final answer to a request: status, cause, verdict and suggested retry delay.

use std::time::Duration;

use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::verdict::RunVerdict;

/// The cause of a request's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FinalCause {
    /// The answer was relayed completely, including its terminator.
    Complete,
    /// The request was refused.
    Refused(RefusalCause),
    /// The deadline passed without a complete answer.
    DeadlinePassed,
    /// The answer ended before its terminator and can't be resumed, or all of it was lost.
    Incomplete,
    /// The caller disconnected, or accepted no data for too long.
    CallerGone,
}

impl FinalCause {
    /// Returns the name used in answers, logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Refused(cause) => cause.as_str(),
            Self::DeadlinePassed => "deadline-passed",
            Self::Incomplete => "incomplete",
            Self::CallerGone => "caller-gone",
        }
    }
}

/// The final answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalAnswer {
    /// The HTTP status, used if no head was relayed yet. 200 stands for the endpoint's own status,
    /// 499 for a caller that disconnected.
    pub status: u16,
    /// The cause of the end.
    pub cause: FinalCause,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Suggested retry delay; `None` if a retry is of no use.
    pub retry_after: Option<Duration>,
    /// Whether a piece of the answer was already relayed. The end is then an explicit error within
    /// the stream, never a silent end of the stream.
    pub has_begun: bool,
    /// Whether the answer was complete and within the class's target.
    pub in_time: bool,
}

impl FinalAnswer {
    /// Creates the answer to a request that was refused before any attempt, with the verdict "not
    /// run".
    #[must_use]
    pub fn refused(refusal: Refusal) -> Self {
        Self::failed(
            FinalCause::Refused(refusal.cause),
            RunVerdict::NotRun,
            refusal.retry_after,
        )
    }

    /// Creates the answer to a request without a complete answer.
    #[must_use]
    pub fn failed(cause: FinalCause, verdict: RunVerdict, retry_after: Option<Duration>) -> Self {
        Self {
            status: status_of(cause, verdict),
            cause,
            verdict,
            retry_after,
            has_begun: false,
            in_time: false,
        }
    }

    /// Creates the final answer of a request whose answer was relayed completely.
    #[must_use]
    pub fn complete(has_begun: bool, in_time: bool) -> Self {
        Self {
            status: 200,
            cause: FinalCause::Complete,
            verdict: RunVerdict::Ran,
            retry_after: None,
            has_begun,
            in_time,
        }
    }
}

/// Returns the HTTP status for a cause and a verdict.
///
/// A status that invites an unconditional retry (429, 503) is returned only with the verdict "not
/// run". A request that may have run gets 504 or 502.
#[must_use]
pub fn status_of(cause: FinalCause, verdict: RunVerdict) -> u16 {
    match cause {
        FinalCause::Complete => 200,
        FinalCause::CallerGone => 499,
        FinalCause::Refused(RefusalCause::KeyUsed) => 409,
        FinalCause::Refused(RefusalCause::Unknown) => 404,
        FinalCause::Refused(RefusalCause::Invalid) => 400,
        FinalCause::Incomplete => 502,
        FinalCause::DeadlinePassed if verdict == RunVerdict::MayHaveRun => 504,
        _ if verdict == RunVerdict::Ran => 502,
        _ if verdict == RunVerdict::MayHaveRun => 504,
        FinalCause::Refused(RefusalCause::QueueFull | RefusalCause::RetriesSpent) => 429,
        FinalCause::Refused(_) | FinalCause::DeadlinePassed => 503,
    }
}

/// Returns whether callers take a status as a promise that the request did not run. Such a status is
/// returned only with the verdict "not run", and no endpoint's answer is relayed with it.
#[must_use]
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
