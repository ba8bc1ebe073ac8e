//! What an entry is to do about a request.

use oatpier_types::ids::AttemptId;
use oatpier_types::names::EndpointName;
use oatpier_types::request::AttemptSpec;
use oatpier_types::verdict::RunVerdict;
use smallvec::SmallVec;

use crate::outcome::FinalAnswer;

/// Actions in the order in which they are to be taken.
pub type EntryActions = SmallVec<[EntryAction; 2]>;

/// How far a cancel goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelMode {
    /// Seal the attempt if it has not reached the endpoint (verdict "not run", a late arrival is
    /// refused); otherwise leave it running, and say so.
    SealOnly,
    /// Seal the attempt if it has not reached the endpoint; otherwise cancel it there.
    Abort,
}

/// One thing to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryAction {
    /// Claim the request's idempotency key; answer with one of the `Claim` events.
    Claim {
        /// The key, hashed.
        key: u64,
    },
    /// Note at the key's claim how the request ended: `NotRun` frees the key, also where the
    /// claim's own outcome is unknown; `Ran` and `MayHaveRun` keep it used. Comes a second time,
    /// after the final answer, when a seal is answered late: the later one holds.
    SettleClaim {
        /// The key, hashed.
        key: u64,
        /// Whether the request may have run.
        verdict: RunVerdict,
    },
    /// Send a first or repeated attempt, from the start of the answer.
    Send {
        /// To whose agent.
        endpoint: EndpointName,
        /// What.
        spec: Box<AttemptSpec>,
    },
    /// Send an attempt that goes on after the `resume_after` tokens that were relayed. Its head
    /// is dropped; its pieces follow those relayed.
    Resume {
        /// To whose agent.
        endpoint: EndpointName,
        /// What.
        spec: Box<AttemptSpec>,
    },
    /// Cancel an attempt; answer with `CancelAnswered`.
    Cancel {
        /// At whose agent.
        endpoint: EndpointName,
        /// Which.
        attempt: AttemptId,
        /// How far.
        mode: CancelMode,
    },
    /// Relay the piece just seen to the caller (before the first: the head).
    Relay {
        /// Whose piece.
        attempt: AttemptId,
    },
    /// End the request at its caller. Exactly one for each request, and the last of its actions,
    /// but for a `SettleClaim` that a seal brings which is answered later.
    Answer(FinalAnswer),
}
