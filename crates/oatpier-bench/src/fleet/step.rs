//! The kinds of events of a run.

use oatpier_admission::event::AdmissionTicket;
use oatpier_placement::record::RecordAnswer;
use oatpier_placement::release::{ReleaseAnswer, ReleaseRequest};
use oatpier_policy::action::CancelMode;
use oatpier_policy::event::EntryEvent;
use oatpier_types::engine::{CacheEvent, LoadReport};
use oatpier_types::ids::{AttemptId, BootId, RequestId};
use oatpier_types::plan::EndpointPlan;
use oatpier_types::request::AttemptSpec;
use oatpier_types::status::EndpointStatus;

/// Something that happens.
pub(super) enum FleetStep {
    /// A caller sends a try.
    Arrive { arrival: usize, number: u32 },
    /// An attempt reaches an agent.
    Attempt {
        node: usize,
        entry: usize,
        spec: Box<AttemptSpec>,
        ticket: Option<AdmissionTicket>,
    },
    /// A cancel reaches an agent.
    Cancel {
        node: usize,
        entry: usize,
        request: RequestId,
        attempt: AttemptId,
        ticket: Option<AdmissionTicket>,
        mode: CancelMode,
    },
    /// Something about a request reaches its entry.
    AtEntry {
        entry: usize,
        request: RequestId,
        event: EntryEvent,
    },
    /// An agent's word reaches an entry.
    Status {
        entry: usize,
        status: EndpointStatus,
    },
    /// Published reports reach an entry.
    Reports {
        entry: usize,
        node: usize,
        load: LoadReport,
        cache: Vec<CacheEvent>,
    },
    /// An entry's timer.
    EntryTimer { entry: usize },
    /// An agent's timer.
    AgentTimer { node: usize, boot: BootId },
    /// An engine has something to do.
    Engine { node: usize, boot: BootId },
    /// An agent looks after its moves.
    Moves { node: usize, boot: BootId },
    /// The store answers an agent.
    Stored {
        node: usize,
        boot: BootId,
        answer: RecordAnswer,
    },
    /// An agent is asked for a release.
    Ask { node: usize, ask: ReleaseRequest },
    /// An agent is answered about a release.
    Asked { node: usize, answer: ReleaseAnswer },
    /// Agents send heartbeats.
    Heartbeats,
    /// Reports are read.
    ReadReports,
    /// The planner makes a plan.
    Plan,
    /// A row of the plan reaches an agent.
    Planned { node: usize, row: EndpointPlan },
    /// Memory and use are looked at.
    Sample,
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds { fault: usize, node: usize },
}
