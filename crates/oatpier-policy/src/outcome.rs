//! The final answer to a request: status, cause, verdict and when to come back.

use std::time::Duration;

use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::verdict::RunVerdict;

/// Why a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FinalCause {
    /// Its answer was relayed to the terminator.
    Whole,
    /// It was refused.
    Refused(RefusalCause),
    /// Its time passed without an answer.
    DeadlinePassed,
    /// Its answer ended before the terminator and can't be resumed, or all of it was lost.
    Incomplete,
    /// Its caller went away, or took nothing for too long.
    CallerGone,
}

impl FinalCause {
    /// The word that answers, logs and metrics use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Refused(cause) => cause.as_str(),
            Self::DeadlinePassed => "deadline-passed",
            Self::Incomplete => "incomplete",
            Self::CallerGone => "caller-gone",
        }
    }
}

/// The one final answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalAnswer {
    /// The HTTP status, if no head was relayed yet. 200 stands for the endpoint's own status,
    /// 499 for a caller that is gone.
    pub status: u16,
    /// Why.
    pub cause: FinalCause,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// When to come back; none where coming back is of no use.
    pub retry_after: Option<Duration>,
    /// Whether a piece of the answer was relayed before: the end is then an explicit error
    /// within the stream, never a quiet stop.
    pub begun: bool,
    /// Whether the answer was whole and within the class's target.
    pub in_time: bool,
}

impl FinalAnswer {
    /// The answer to a request that was refused before any attempt: certainly not run.
    #[must_use]
    pub fn refused(refusal: Refusal) -> Self {
        Self::failed(
            FinalCause::Refused(refusal.cause),
            RunVerdict::NotRun,
            refusal.retry_after,
        )
    }

    /// An answer other than a whole one.
    #[must_use]
    pub fn failed(cause: FinalCause, verdict: RunVerdict, retry_after: Option<Duration>) -> Self {
        Self {
            status: status_of(cause, verdict),
            cause,
            verdict,
            retry_after,
            begun: false,
            in_time: false,
        }
    }

    /// The end of a whole answer.
    #[must_use]
    pub fn whole(begun: bool, in_time: bool) -> Self {
        Self {
            status: 200,
            cause: FinalCause::Whole,
            verdict: RunVerdict::Ran,
            retry_after: None,
            begun,
            in_time,
        }
    }
}

/// The HTTP status of an end. A status that invites a blind repeat (429, 503) is given only with
/// the verdict "not run"; a request that may have run gets 504 or 502.
#[must_use]
pub fn status_of(cause: FinalCause, verdict: RunVerdict) -> u16 {
    match cause {
        FinalCause::Whole => 200,
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
