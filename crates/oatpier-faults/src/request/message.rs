//! The messages between the processes of a request, and the simulated events.

use oatpier_claims::event::{CallNumber, ClaimAction, StoreAnswer};
use oatpier_claims::message::{ClaimAnswer, ClaimQuery};
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::refusal::Refusal;
use oatpier_types::request::AttemptSpec;
use oatpier_types::status::{AdmissionTicket, EndpointStatus, QueueReport};
use oatpier_types::verdict::RunVerdict;

/// A process: an entry, an agent, an endpoint or the callers.
pub type NodeId = usize;

/// Number of entries.
pub const ENTRIES: usize = 2;
/// Number of agents: the first half serve engines, the others plain services.
pub const AGENTS: usize = 4;
/// Node of the first agent.
pub const FIRST_AGENT: NodeId = ENTRIES;
/// Node of the first endpoint.
pub const FIRST_ENDPOINT: NodeId = FIRST_AGENT + AGENTS;
/// Node that stands for all callers.
pub const CALLERS: NodeId = FIRST_ENDPOINT + AGENTS;
/// Number of nodes.
pub const NODES: usize = CALLERS + 1;

/// A part of an answer.
#[derive(Debug, Clone, Copy)]
pub enum AnswerFrame {
    Head(QueueReport),
    Piece {
        position: u32,
        content: RequestId,
    },
    End(QueueReport),
    Refused(Refusal, QueueReport),
    Failed(RunVerdict),
    /// The connection broke after the attempt was sent.
    Cut,
    /// No connection was established.
    NotConnected,
}

impl AnswerFrame {
    /// Returns whether this is the last part of an answer.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Head(_) | Self::Piece { .. })
    }
}

/// A report of an endpoint on a call.
#[derive(Debug, Clone, Copy)]
pub enum CallUpdate {
    Piece(u32),
    End,
    Failed(RunVerdict),
    Up(bool),
}

/// A message between two processes.
#[derive(Debug, Clone)]
pub enum Message {
    /// A caller sends its request.
    Submit(RequestId),
    /// An entry sends an attempt to an agent.
    Attempt {
        spec: Box<AttemptSpec>,
        ticket: AdmissionTicket,
        key: Option<u64>,
    },
    /// An agent sends a part of the answer to an attempt.
    Frame {
        request: RequestId,
        attempt: AttemptId,
        frame: AnswerFrame,
    },
    /// An entry cancels an attempt.
    Cancel {
        request: RequestId,
        attempt: AttemptId,
        ticket: AdmissionTicket,
        seal_only: bool,
    },
    /// The answer to a cancel.
    CancelAnswer {
        request: RequestId,
        attempt: AttemptId,
        verdict: RunVerdict,
    },
    /// An entry queries a claimer for an idempotency key.
    ClaimQuery(ClaimQuery),
    /// The answer to the claim.
    ClaimAnswer {
        request: RequestId,
        answer: ClaimAnswer,
    },
    /// An entry reports how a request under a key ended.
    Settle {
        key: u64,
        request: RequestId,
        verdict: RunVerdict,
    },
    /// The settlement is recorded in the store.
    Recorded(RequestId),
    /// An agent reports the status of its endpoint.
    Status(Box<EndpointStatus>),
    /// An agent calls its endpoint.
    Call {
        spec: Box<AttemptSpec>,
        key: Option<u64>,
    },
    /// An endpoint reports on a call.
    CallUpdate {
        attempt: AttemptId,
        update: CallUpdate,
    },
    /// An agent cancels a call.
    StopCall(AttemptId),
    /// The entry at the other end of the connection is gone.
    EntryGone(AttemptId),
    /// A process is told to stop.
    Leave,
}

/// A simulated event.
#[derive(Debug)]
pub enum SimEvent {
    Deliver {
        from: NodeId,
        to: NodeId,
        boot: u64,
        message: Message,
    },
    /// A process's timer fires.
    Wake(NodeId),
    /// A process starts.
    Boot(NodeId),
    /// A caller sends a request of its job, for the first time or again.
    Submit(usize),
    /// A caller disconnects.
    CallerGone(usize),
    /// Agents report their status; entries send settlements that are not recorded yet.
    StatusTick,
    /// A call arrives at the store.
    StoreCallArrives {
        entry: NodeId,
        boot: u64,
        call: CallNumber,
        action: ClaimAction,
    },
    /// The store's answer arrives; `None` if it is lost.
    StoreCallEnds {
        entry: NodeId,
        boot: u64,
        call: CallNumber,
        answer: Option<StoreAnswer>,
    },
    /// The list of VMs no longer reports live endpoints as leaving.
    VmListCorrected,
    /// The operator requests the planned stop.
    RequestStop,
    /// The faults are over.
    FaultsOver,
}
