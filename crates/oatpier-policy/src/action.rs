//! Actions that the entry's request handling asks its driver to perform.

use oatpier_types::ids::AttemptId;
use oatpier_types::names::EndpointName;
use oatpier_types::request::AttemptSpec;
use oatpier_types::verdict::RunVerdict;
use smallvec::SmallVec;

use crate::outcome::FinalAnswer;

/// A list of actions, in the order in which they must be performed.
pub type EntryActions = SmallVec<[EntryAction; 2]>;

/// How a cancel treats an attempt that has already reached its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelMode {
    /// Seal the attempt if it has not reached the endpoint: the verdict is "not run", and the agent
    /// refuses the attempt if it arrives later. An attempt that has reached the endpoint keeps
    /// running, and the verdict says so.
    SealOnly,
    /// Seal the attempt if it has not reached the endpoint; otherwise cancel it at the endpoint.
    Abort,
}

/// One action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryAction {
    /// Claim the request's idempotency key. The driver reports the result with one of the `Claim`
    /// events.
    Claim {
        /// The hashed idempotency key.
        key: u64,
    },
    /// Record at the key's claim how the request ended. `NotRun` frees the key, even if the outcome
    /// of the claim itself is unknown; `Ran` and `MayHaveRun` keep it used.
    ///
    /// If a seal is answered late, a second `SettleClaim` follows the final answer and overrides
    /// the first.
    SettleClaim {
        /// The hashed idempotency key.
        key: u64,
        /// Whether the request may have run.
        verdict: RunVerdict,
    },
    /// Send a first or repeated attempt that produces the answer from its start.
    Send {
        /// The endpoint whose agent receives the attempt.
        endpoint: EndpointName,
        /// The attempt.
        spec: Box<AttemptSpec>,
    },
    /// Send an attempt that continues the answer after the `resume_after` tokens that were relayed.
    /// The head of its answer is dropped; its pieces follow those already relayed.
    Resume {
        /// The endpoint whose agent receives the attempt.
        endpoint: EndpointName,
        /// The attempt.
        spec: Box<AttemptSpec>,
    },
    /// Cancel an attempt. The driver reports the result with `CancelAnswered`.
    Cancel {
        /// The endpoint whose agent receives the cancel.
        endpoint: EndpointName,
        /// The attempt to cancel.
        attempt: AttemptId,
        /// Whether a running attempt is cancelled too.
        mode: CancelMode,
    },
    /// Relay the piece of the event just handled to the caller. The head precedes the first piece.
    Relay {
        /// The attempt that the piece belongs to.
        attempt: AttemptId,
    },
    /// Send the final answer to the caller. Each request has exactly one. It is the request's last
    /// action, except for the `SettleClaim` of a seal that is answered later.
    Answer(FinalAnswer),
}
