//! What the processes of a request say to each other.

use oatpier_claims::event::{CallNumber, ClaimAction, StoreAnswer};
use oatpier_claims::message::{ClaimAnswer, ClaimQuery};
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::refusal::Refusal;
use oatpier_types::request::AttemptSpec;
use oatpier_types::status::{AdmissionTicket, EndpointStatus, QueueReport};
use oatpier_types::verdict::RunVerdict;

/// A process: an entry, an agent, an endpoint or the callers.
pub type NodeId = usize;

/// Entries.
pub const ENTRIES: usize = 2;
/// Agents: the first half beside engines, the others beside plain services.
pub const AGENTS: usize = 4;
/// The first agent's node.
pub const FIRST_AGENT: NodeId = ENTRIES;
/// The first endpoint's node.
pub const FIRST_ENDPOINT: NodeId = FIRST_AGENT + AGENTS;
/// All callers.
pub const CALLERS: NodeId = FIRST_ENDPOINT + AGENTS;
/// All nodes.
pub const NODES: usize = CALLERS + 1;

/// A part of an answer.
#[derive(Debug, Clone, Copy)]
pub enum AnswerFrame {
    Head(QueueReport),
    Piece {
        place: u32,
        content: RequestId,
    },
    End(QueueReport),
    Refused(Refusal, QueueReport),
    Failed(RunVerdict),
    /// The connection broke after the attempt was sent.
    Cut,
    /// No connection came about.
    NotConnected,
}

impl AnswerFrame {
    /// Whether nothing follows.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Head(_) | Self::Piece { .. })
    }
}

/// What an endpoint tells of a call.
#[derive(Debug, Clone, Copy)]
pub enum CallWord {
    Piece(u32),
    End,
    Failed(RunVerdict),
    Up(bool),
}

/// A message.
#[derive(Debug, Clone)]
pub enum Message {
    /// A caller sends its request.
    Submit(RequestId),
    /// An attempt.
    Attempt {
        spec: Box<AttemptSpec>,
        ticket: AdmissionTicket,
        key: Option<u64>,
    },
    /// A part of its answer.
    Frame {
        request: RequestId,
        attempt: AttemptId,
        frame: AnswerFrame,
    },
    /// A cancel.
    Cancel {
        request: RequestId,
        attempt: AttemptId,
        ticket: AdmissionTicket,
        seal_only: bool,
    },
    /// Its answer.
    CancelAnswer {
        request: RequestId,
        attempt: AttemptId,
        verdict: RunVerdict,
    },
    /// An ask for a key.
    Ask(ClaimQuery),
    /// Its answer.
    AskAnswer {
        request: RequestId,
        answer: ClaimAnswer,
    },
    /// How a request under a key ended.
    Settle {
        key: u64,
        request: RequestId,
        verdict: RunVerdict,
    },
    /// That is in the store.
    Recorded(RequestId),
    /// An agent's word on its endpoint.
    Status(Box<EndpointStatus>),
    /// An agent calls its endpoint.
    Call {
        spec: Box<AttemptSpec>,
        key: Option<u64>,
    },
    /// What the endpoint tells of it.
    Word { attempt: AttemptId, word: CallWord },
    /// An agent cancels a call.
    StopCall(AttemptId),
    /// The connection's other end, an entry, is gone.
    EntryGone(AttemptId),
    /// A process is told to stop.
    Leave,
}

/// What happens next.
#[derive(Debug)]
pub enum Happening {
    Deliver {
        from: NodeId,
        to: NodeId,
        boot: u64,
        message: Message,
    },
    /// A process's timer.
    Wake(NodeId),
    /// A process starts.
    Boot(NodeId),
    /// A caller sends its request, or sends it again.
    Submit(usize),
    /// A caller goes away.
    CallerGone(usize),
    /// Agents tell their status; entries send what was not recorded.
    Beat,
    /// The store sees a call.
    StoreSees {
        entry: NodeId,
        boot: u64,
        call: CallNumber,
        action: ClaimAction,
    },
    /// The store's answer comes; none: it is lost.
    StoreAnswers {
        entry: NodeId,
        boot: u64,
        call: CallNumber,
        answer: Option<StoreAnswer>,
    },
    /// A leaving endpoint that was not is taken back by the list of VMs.
    VmListRight,
    /// The operator asks for the planned stop.
    AskStop,
    /// No fault is left.
    FaultsOver,
}
