//! What happens to an agent, and what its policy asks for.

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
    /// Which.
    pub weights: WeightsKey,
    /// How long until they are ready, as far as known.
    pub ready_in: Duration,
}

/// Something that happened at or to the agent.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEvent {
    /// An attempt came from an entry.
    Arrive {
        /// What it asks for.
        spec: AttemptSpec,
        /// The queue report that it was made on.
        ticket: AdmissionTicket,
    },
    /// An entry gives an attempt up, or its caller went away.
    Cancel {
        /// Which.
        attempt: AttemptId,
        /// The ticket that the attempt was sent with.
        ticket: AdmissionTicket,
    },
    /// An entry gives an attempt up only if it has not reached the endpoint: sealed, it never
    /// runs; one that runs goes on, as a half-done change is worse than a done one. Answered as a
    /// cancel is.
    Seal {
        /// Which.
        attempt: AttemptId,
        /// The ticket that the attempt was sent with.
        ticket: AdmissionTicket,
    },
    /// The endpoint gave the first token of an answer (a plain service: its first byte).
    EndpointFirstToken {
        /// Which.
        attempt: AttemptId,
    },
    /// The endpoint gave more of an answer.
    EndpointPiece {
        /// Which.
        attempt: AttemptId,
        /// The tokens in it.
        tokens: u32,
    },
    /// An answer came to its terminator.
    EndpointEnded {
        /// Which.
        attempt: AttemptId,
    },
    /// A call to the endpoint failed or was cancelled.
    EndpointFailed {
        /// Which.
        attempt: AttemptId,
        /// Whether the endpoint may have acted on it.
        verdict: RunVerdict,
    },
    /// The endpoint began or ceased to answer at all.
    EndpointUp {
        /// Whether it does.
        up: bool,
    },
    /// The agent or its endpoint is to leave.
    Leave,
    /// The weights in the endpoint changed.
    ReadyChanged {
        /// All that are ready.
        ready: Vec<WeightsKey>,
        /// All that are being loaded.
        loading: Vec<LoadingWeights>,
    },
    /// The classes of the configuration in force changed.
    ClassesChanged {
        /// All classes.
        classes: IndexMap<ClassName, ClassSpec>,
    },
    /// The configuration in force gives the endpoint another number of slots. What runs beyond a
    /// lower number goes on to its end.
    SlotsChanged {
        /// Attempts that the endpoint runs at once; 0 counts as 1.
        slots: u32,
    },
    /// The point that `next_timer` gave has come.
    Timer,
}

/// Something that the agent has to do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentAction {
    /// Send the attempt to the endpoint. It is on record as started already.
    Start {
        /// Which.
        attempt: AttemptId,
        /// For an engine: lower goes first.
        priority: u32,
    },
    /// Answer that the attempt is refused; it did not run and never will.
    Refuse {
        /// Which.
        attempt: AttemptId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Answer that the attempt is a copy of one that came before (cause "duplicate"), with the
    /// verdict on that one. Not a refusal: the first copy may run, or have run.
    AnswerCopy {
        /// Which.
        attempt: AttemptId,
        /// Whether the first copy may have run.
        verdict: RunVerdict,
    },
    /// Answer a cancel or a seal.
    Cancelled {
        /// Which.
        attempt: AttemptId,
        /// Whether it may have run.
        verdict: RunVerdict,
    },
    /// Cancel the call at the endpoint. Its slot stays taken until the call is over.
    CancelAtEndpoint {
        /// Which.
        attempt: AttemptId,
    },
    /// The last attempt is over: a leaving agent may exit.
    Drained,
}

/// The actions of one step, in order.
pub type AgentActions = SmallVec<[AgentAction; 4]>;

/// Bounds of an agent's policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Attempts that the endpoint runs at once.
    pub slots: u32,
    /// Attempts that may wait.
    pub queue: usize,
    /// Attempts on record that are over.
    pub records: usize,
    /// How long an attempt that is over stays on record.
    pub record_life: Duration,
}

impl AdmissionLimits {
    /// The usual bounds for an endpoint with `slots` slots.
    #[must_use]
    pub fn for_slots(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            queue: usual_queue(slots),
            records: 8_192,
            record_life: Duration::from_mins(1),
        }
    }
}

/// The usual bound of the queue before `slots` slots.
pub(crate) fn usual_queue(slots: u32) -> usize {
    (slots as usize * 4).clamp(32, 512)
}
