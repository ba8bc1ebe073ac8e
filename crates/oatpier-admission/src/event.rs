//! Events and actions of an agent's policy.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::config::ClassSpec;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::AttemptId;
use oatpier_types::names::ClassName;
use oatpier_types::refusal::Refusal;
use oatpier_types::request::AttemptSpec;
use oatpier_types::verdict::RunVerdict;
use smallvec::SmallVec;

pub use oatpier_types::status::AdmissionTicket;

/// Weights that an engine is loading.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadingWeights {
    /// The weights.
    pub weights: WeightsKey,
    /// Estimated time until they are ready.
    pub ready_in: Duration,
}

/// An event at the agent.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEvent {
    /// An attempt arrived from an entry.
    Arrive {
        /// The attempt.
        spec: AttemptSpec,
        /// The newest queue report that the entry had when it made the attempt.
        ticket: AdmissionTicket,
    },
    /// An entry cancels an attempt, or its caller disconnected.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The ticket that the attempt was sent with.
        ticket: AdmissionTicket,
    },
    /// An entry cancels an attempt only if it has not reached the endpoint. If it has not, it is
    /// sealed: it never runs. If it has, it continues, since a partly applied change is worse than
    /// a complete one. Answered like a cancel.
    Seal {
        /// The attempt.
        attempt: AttemptId,
        /// The ticket that the attempt was sent with.
        ticket: AdmissionTicket,
    },
    /// The endpoint sent the first token of an answer; for a plain service, the first byte.
    EndpointFirstToken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The endpoint sent a further part of an answer.
    EndpointChunk {
        /// The attempt.
        attempt: AttemptId,
        /// The number of tokens in the part.
        tokens: u32,
    },
    /// An answer was received completely, including its terminator.
    EndpointEnded {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A call to the endpoint failed or was cancelled.
    EndpointFailed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the endpoint may have executed it.
        verdict: RunVerdict,
    },
    /// The endpoint became reachable or unreachable.
    EndpointUp {
        /// Whether it is reachable.
        up: bool,
    },
    /// The agent or its endpoint starts a graceful shutdown.
    Leave,
    /// The weights at the endpoint changed.
    WeightsChanged {
        /// All weights that are ready.
        ready: Vec<WeightsKey>,
        /// All weights that are loading.
        loading: Vec<LoadingWeights>,
    },
    /// The classes of the active configuration changed.
    ClassesChanged {
        /// All classes.
        classes: IndexMap<ClassName, ClassSpec>,
    },
    /// The active configuration changed the endpoint's number of slots. Attempts that run beyond a
    /// lower number are finished.
    SlotsChanged {
        /// Attempts that the endpoint runs concurrently; 0 counts as 1.
        slots: u32,
    },
    /// The time returned by `next_timer` was reached.
    Timer,
}

/// An action that the agent has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentAction {
    /// Send the attempt to the endpoint. The ledger has recorded its start already.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// Priority for the engine; lower values go first.
        priority: u32,
    },
    /// Answer that the attempt is refused: it has not run and never will.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// The cause and the retry delay.
        refusal: Refusal,
    },
    /// Answer that the attempt is a copy of an earlier one (cause "duplicate"), with the verdict of
    /// the earlier one. This is not a refusal: the first copy may be running or may have run.
    AnswerCopy {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the first copy may have run.
        verdict: RunVerdict,
    },
    /// Answer a cancel or a seal.
    Cancelled {
        /// The attempt.
        attempt: AttemptId,
        /// Whether it may have run.
        verdict: RunVerdict,
    },
    /// Cancel the call at the endpoint. Its slot stays occupied until the call ends.
    CancelAtEndpoint {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The last attempt has ended: an agent that is leaving may exit.
    Drained,
}

/// The actions of one step, in order.
pub type AgentActions = SmallVec<[AgentAction; 4]>;

/// Bounds of an agent's policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Attempts that the endpoint runs concurrently.
    pub slots: u32,
    /// Maximum number of waiting attempts.
    pub queue: usize,
    /// Maximum number of records of finished attempts.
    pub records: usize,
    /// How long the record of a finished attempt is kept.
    pub record_ttl: Duration,
}

impl AdmissionLimits {
    /// Returns the default bounds for an endpoint with `slots` slots.
    #[must_use]
    pub fn for_slots(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            queue: default_queue_bound(slots),
            records: 8_192,
            record_ttl: Duration::from_mins(1),
        }
    }
}

/// Returns the default bound of the queue for `slots` slots.
pub(crate) fn default_queue_bound(slots: u32) -> usize {
    (slots as usize * 4).clamp(32, 512)
}
