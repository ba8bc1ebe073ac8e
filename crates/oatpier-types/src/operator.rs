//! JSON responses of a daemon to operator commands.

use serde::{Deserialize, Serialize};

use crate::ids::Generation;
use crate::names::{
    AdapterName, ClassName, DaemonName, EndpointName, ModelName, PoolName, VersionName, ZoneName,
};
use crate::refusal::RefusalCause;
use crate::verdict::RunVerdict;

/// The path of [`StatusAnswer`].
pub const STATUS_PATH: &str = "/operator/status";
/// The path of [`ConfigAnswer`].
pub const CONFIG_PATH: &str = "/operator/config";
/// The path of [`ExplainModel`], followed by the model's or adapter's name.
pub const EXPLAIN_MODEL_PATH: &str = "/operator/explain/model/";
/// The path of [`ExplainRequest`], followed by the request's id.
pub const EXPLAIN_REQUEST_PATH: &str = "/operator/explain/request/";

/// The function of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DaemonDuty {
    /// Accepts requests from callers.
    Entry,
    /// Runs next to an endpoint and controls access to it.
    Agent,
}

/// The state of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DaemonState {
    /// Heartbeats arrive on time.
    Live,
    /// No heartbeat for longer than the heartbeat timeout.
    Silent,
    /// Shutting down: accepts no new work.
    Leaving,
    /// Ejected because of failures on the data path.
    Ejected,
}

/// One daemon from the point of view of the responding entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DaemonRow {
    /// The name of the daemon.
    pub name: DaemonName,
    /// The function of the daemon.
    pub duty: DaemonDuty,
    /// The endpoint of an agent; `None` for an entry.
    #[serde(default)]
    pub endpoint: Option<EndpointName>,
    /// The availability zone of the daemon.
    pub zone: ZoneName,
    /// The generation of the configuration that the daemon applies.
    pub generation: Generation,
    /// The state of the daemon.
    pub state: DaemonState,
    /// Time since the daemon was last heard from, in milliseconds.
    pub heard_ms: u64,
}

/// One model from the point of view of the responding entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelRow {
    /// The model.
    pub model: ModelName,
    /// The version that callers should be served.
    pub version: VersionName,
    /// Number of endpoints that have the model ready.
    pub ready: u32,
    /// The availability zones of these endpoints.
    pub zones: Vec<ZoneName>,
}

/// The planner and its current plan.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct PlannerRow {
    /// The entry that holds the planner lease, if known to the responding entry.
    pub holder: Option<DaemonName>,
    /// Age of the current plan, in milliseconds; `None` if there is no plan.
    pub plan_age_ms: Option<u64>,
}

/// The availability of the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoreRow {
    /// Whether the last call to the service was answered.
    pub available: bool,
    /// Time since the last answered call, in milliseconds; `None` if no call was answered.
    pub answered_ms: Option<u64>,
}

/// The share of requests of a class that meet its target.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AttainmentRow {
    /// The class.
    pub class: ClassName,
    /// The target share.
    pub target: f64,
    /// The share that met the target over the last minutes; `None` if there were no requests.
    pub attained: Option<f64>,
    /// The number of requests that the share is based on.
    pub requests: u64,
}

/// Numbers of placement changes since the responding entry started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct MoveCounts {
    /// Weight loads.
    pub loads: u64,
    /// Weight unloads.
    pub unloads: u64,
    /// Changes of engine roles.
    pub role_changes: u64,
}

/// The response at [`STATUS_PATH`].
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The daemons, sorted by name.
    pub daemons: Vec<DaemonRow>,
    /// The models, sorted by name.
    pub models: Vec<ModelRow>,
    /// The planner.
    pub planner: PlannerRow,
    /// The availability of the key-value service.
    pub store: StoreRow,
    /// The attainment of the class targets.
    pub attainment: Vec<AttainmentRow>,
    /// Placement changes.
    pub moves: MoveCounts,
}

/// A daemon and the generation of the configuration that it applies.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DaemonGeneration {
    /// The daemon.
    pub name: DaemonName,
    /// The generation of the configuration that the daemon applies.
    pub generation: Generation,
    /// The state of the daemon.
    pub state: DaemonState,
}

/// The response at [`CONFIG_PATH`].
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// The newest generation known to the responding entry.
    pub newest: Generation,
    /// A hash of the configuration of that generation.
    pub content: u64,
    /// The daemons, sorted by name.
    pub daemons: Vec<DaemonGeneration>,
}

/// An endpoint that has a model, or should have it according to the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaRow {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The availability zone of the endpoint.
    pub zone: ZoneName,
    /// The version that is ready; `None` if none is.
    pub ready: Option<VersionName>,
    /// Whether the plan assigns the model to this endpoint.
    pub planned: bool,
    /// Requests queued at the endpoint.
    pub queued: u32,
    /// Requests running at the endpoint.
    pub running: u32,
    /// Why the endpoint is listed, or why it receives no requests.
    pub reason: String,
}

/// The response at [`EXPLAIN_MODEL_PATH`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExplainModel {
    /// The base model.
    pub model: ModelName,
    /// The adapter, if the requested name is an adapter.
    pub adapter: Option<AdapterName>,
    /// The pool of the model.
    pub pool: PoolName,
    /// The version that callers should be served.
    pub version: VersionName,
    /// The endpoints of the model.
    pub replicas: Vec<ReplicaRow>,
    /// Explanations of the plan, one line each.
    pub reasons: Vec<String>,
}

/// One step in the processing of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestStep {
    /// Microseconds since the request arrived.
    pub after_us: u64,
    /// The stage: `admit`, `choose`, `attempt`, `queue`, `run`, `relay`.
    pub hop: String,
    /// The endpoint, once one has been chosen.
    pub endpoint: Option<EndpointName>,
    /// A description of the step.
    pub detail: String,
}

/// The response at [`EXPLAIN_REQUEST_PATH`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExplainRequest {
    /// The request id, as 32 hexadecimal digits.
    pub request: String,
    /// The class of the request.
    pub class: ClassName,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// The cause of the refusal, if the request was refused.
    pub refusal: Option<RefusalCause>,
    /// Whether the answer met the target; `None` until the request is answered.
    pub in_time: Option<bool>,
    /// The steps of the request, in order.
    pub steps: Vec<RequestStep>,
}
