//! Events of a request, as observed by its entry.

use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::names::{CallerName, ClassName};
use oatpier_types::refusal::Refusal;
use oatpier_types::request::{PrefixChain, RequestGoal, TokenDemand};
use oatpier_types::status::QueueReport;
use oatpier_types::verdict::{Repeat, RunVerdict};

/// A request as received from its caller.
#[derive(Debug, Clone)]
pub struct RequestIntake {
    /// The id of the request.
    pub request: RequestId,
    /// The goal (model, adapter or service) of the request.
    pub goal: RequestGoal,
    /// The class, which determines the target.
    pub class: ClassName,
    /// The caller.
    pub caller: CallerName,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// The caller's hashed idempotency key. It is claimed before an at-most-once request is sent.
    pub key: Option<u64>,
    /// The number of prompt and output tokens.
    pub tokens: TokenDemand,
    /// Hashes of the growing prefixes of the prompt; empty for a plain service.
    pub prefixes: PrefixChain,
    /// Whether an interrupted answer can be resumed after the tokens that were relayed.
    pub resumable: bool,
}

/// An event of a request. Its attempt id tells whether it belongs to the live attempt or arrived
/// late or out of order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEvent {
    /// The idempotency key was claimed for this request.
    ClaimGranted,
    /// The idempotency key was already used.
    ClaimRefused {
        /// Whether the earlier request that used the key may have run.
        earlier: RunVerdict,
    },
    /// The key can't be claimed, because the key-value service is unavailable or its response was
    /// lost.
    ClaimUnavailable,
    /// The head of an attempt's answer arrived. It is held until the first piece or the end.
    FirstFrame {
        /// The attempt.
        attempt: AttemptId,
        /// The agent's report on its queue, if it sent one.
        report: Option<QueueReport>,
    },
    /// A piece of an attempt's answer arrived.
    Piece {
        /// The attempt.
        attempt: AttemptId,
        /// Number of tokens in the piece; 0 for a plain service.
        tokens: u32,
    },
    /// An attempt's answer arrived completely, including its terminator.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// The agent's report on its queue, if it sent one.
        report: Option<QueueReport>,
    },
    /// The agent refused an attempt, which did not run there.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// The cause and the suggested retry delay.
        refusal: Refusal,
        /// The agent's report on its queue, if it sent one.
        report: Option<QueueReport>,
    },
    /// The agent reported that an attempt failed.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the attempt may have run.
        verdict: RunVerdict,
    },
    /// The connection broke after the attempt was sent, so the attempt may have run.
    ConnectionLost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The connection to the agent could not be established; no byte of the attempt was sent.
    ConnectFailed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The agent answered a cancel. If the answer is lost, the verdict is `MayHaveRun`.
    CancelAnswered {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the attempt may have run.
        verdict: RunVerdict,
    },
    /// The caller currently accepts no more of the answer.
    CallerBlocked,
    /// The caller accepts more of the answer again.
    CallerReady,
    /// The caller disconnected.
    CallerGone,
    /// The time returned by [`crate::machine::RequestMachine::timer`] was reached.
    Timer,
}

impl EntryEvent {
    /// Returns the agent's queue report that the event carries.
    #[must_use]
    pub fn queue_report(&self) -> Option<&QueueReport> {
        match self {
            Self::FirstFrame { report, .. }
            | Self::Ended { report, .. }
            | Self::Refused { report, .. } => report.as_ref(),
            _ => None,
        }
    }

    /// Returns the attempt that the event concerns.
    #[must_use]
    pub fn attempt(&self) -> Option<AttemptId> {
        match self {
            Self::FirstFrame { attempt, .. }
            | Self::Piece { attempt, .. }
            | Self::Ended { attempt, .. }
            | Self::Refused { attempt, .. }
            | Self::Failed { attempt, .. }
            | Self::ConnectionLost { attempt }
            | Self::ConnectFailed { attempt }
            | Self::CancelAnswered { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }
}
