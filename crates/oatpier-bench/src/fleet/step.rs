//! Kinds of events in a run.

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

/// Event of a run.
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
    /// An event of a request reaches its entry.
    RequestEvent {
        entry: usize,
        request: RequestId,
        event: EntryEvent,
    },
    /// An agent's status reaches an entry.
    Status {
        entry: usize,
        status: EndpointStatus,
    },
    /// An engine's load report and cache events reach an entry.
    Reports {
        entry: usize,
        node: usize,
        load: LoadReport,
        cache: Vec<CacheEvent>,
    },
    /// An entry's timer is due.
    EntryTimer { entry: usize },
    /// An agent's timer is due.
    AgentTimer { node: usize, boot: BootId },
    /// An engine step is due.
    Engine { node: usize, boot: BootId },
    /// An agent's placement step is due.
    Moves { node: usize, boot: BootId },
    /// The store's answer reaches an agent.
    StoreAnswered {
        node: usize,
        boot: BootId,
        answer: RecordAnswer,
    },
    /// A release request reaches an agent.
    ReleaseRequested {
        node: usize,
        request: ReleaseRequest,
    },
    /// The answer to a release request reaches an agent.
    ReleaseAnswered { node: usize, answer: ReleaseAnswer },
    /// All agents send heartbeats.
    Heartbeats,
    /// The engines' load reports and cache events are read.
    ReadReports,
    /// The planner computes a plan.
    Plan,
    /// A row of the plan reaches an agent.
    Planned { node: usize, row: EndpointPlan },
    /// The number of accelerators in use is sampled.
    Sample,
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds { fault: usize, node: usize },
}
