//! What happens to a request, as its entry sees it.

use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::names::{CallerName, ClassName};
use oatpier_types::pulse::AgentPulse;
use oatpier_types::refusal::Refusal;
use oatpier_types::request::{PrefixChain, RequestGoal, TokenDemand};
use oatpier_types::verdict::{Repeat, RunVerdict};

/// A request as it comes in.
#[derive(Debug, Clone)]
pub struct RequestIntake {
    /// The request.
    pub request: RequestId,
    /// What it is for.
    pub goal: RequestGoal,
    /// Its class; gives the target.
    pub class: ClassName,
    /// Who sent it.
    pub caller: CallerName,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// The caller's idempotency key, hashed. Claimed before an at-most-once request is sent.
    pub key: Option<u64>,
    /// Its size.
    pub tokens: TokenDemand,
    /// The growing prefixes of its prompt; empty for a plain service.
    pub prefixes: PrefixChain,
    /// Whether a cut answer can be resumed after the tokens that were relayed.
    pub resumable: bool,
}

/// Something that happened to a request. Attempt ids tell late and crossed events apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEvent {
    /// The idempotency key is this request's.
    ClaimGranted,
    /// The idempotency key was used before.
    ClaimRefused {
        /// Whether the request that used it may have run.
        earlier: RunVerdict,
    },
    /// The key can't be claimed: the key-value service is away, or its answer is.
    ClaimUnavailable,
    /// The head of an attempt's answer came. Held until the first piece or the end.
    FirstFrame {
        /// The attempt.
        attempt: AttemptId,
        /// The agent's word on its queue.
        pulse: Option<AgentPulse>,
    },
    /// A piece of an attempt's answer came.
    Piece {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens in it; 0 for a plain service.
        tokens: u32,
    },
    /// An attempt's answer came to its terminator.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// The agent's word on its queue.
        pulse: Option<AgentPulse>,
    },
    /// The agent refused an attempt: it did not run there.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why, and when to come back.
        refusal: Refusal,
        /// The agent's word on its queue.
        pulse: Option<AgentPulse>,
    },
    /// The agent says that an attempt failed.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether it may have run.
        verdict: RunVerdict,
    },
    /// The connection broke after the attempt was sent: it may have run.
    Cut {
        /// The attempt.
        attempt: AttemptId,
    },
    /// No connection to the agent came about: no byte of the attempt was sent.
    ConnectFailed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The agent answered a cancel. A cancel whose answer is lost is `MayHaveRun`.
    CancelAnswered {
        /// The attempt.
        attempt: AttemptId,
        /// Whether it may have run.
        verdict: RunVerdict,
    },
    /// The caller takes no more of the answer at the moment.
    CallerBlocked,
    /// The caller takes more of the answer again.
    CallerReady,
    /// The caller went away.
    CallerGone,
    /// The time that [`crate::machine::RequestMachine::timer`] named has come.
    Timer,
}

impl EntryEvent {
    /// The agent's word that rides on the event.
    #[must_use]
    pub fn pulse(&self) -> Option<&AgentPulse> {
        match self {
            Self::FirstFrame { pulse, .. }
            | Self::Ended { pulse, .. }
            | Self::Refused { pulse, .. } => pulse.as_ref(),
            _ => None,
        }
    }

    /// The attempt that the event is about.
    #[must_use]
    pub fn attempt(&self) -> Option<AttemptId> {
        match self {
            Self::FirstFrame { attempt, .. }
            | Self::Piece { attempt, .. }
            | Self::Ended { attempt, .. }
            | Self::Refused { attempt, .. }
            | Self::Failed { attempt, .. }
            | Self::Cut { attempt }
            | Self::ConnectFailed { attempt }
            | Self::CancelAnswered { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }
}
