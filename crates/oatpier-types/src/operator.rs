//! What a daemon answers an operator's command, as JSON.

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

/// What a daemon is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DaemonDuty {
    /// Takes callers' requests.
    Entry,
    /// Stands beside an endpoint.
    Agent,
}

/// How a daemon stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DaemonState {
    /// Heard of lately.
    Live,
    /// Not heard of for longer than its heartbeats allow.
    Silent,
    /// Leaving: takes no new work.
    Leaving,
    /// The evidence of the data path is against it.
    Ejected,
}

/// One daemon, as the answering entry sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DaemonRow {
    /// Its name.
    pub name: DaemonName,
    /// What it is for.
    pub duty: DaemonDuty,
    /// The endpoint beside it, for an agent.
    #[serde(default)]
    pub endpoint: Option<EndpointName>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The configuration in force at it.
    pub generation: Generation,
    /// How it stands.
    pub state: DaemonState,
    /// How long ago it was heard of, in milliseconds.
    pub heard_ms: u64,
}

/// One model, as the answering entry sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelRow {
    /// The model.
    pub model: ModelName,
    /// The version that callers are to get.
    pub version: VersionName,
    /// Endpoints that have it ready.
    pub ready: u32,
    /// Their availability zones.
    pub zones: Vec<ZoneName>,
}

/// Who plans.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct PlannerRow {
    /// The entry that holds the planner lease, if the answering entry knows.
    pub holder: Option<DaemonName>,
    /// The age of the plan in force, in milliseconds; none: no plan.
    pub plan_age_ms: Option<u64>,
}

/// How the key-value service stands.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoreRow {
    /// Whether its last call was answered.
    pub available: bool,
    /// How long ago a call was answered, in milliseconds; none: never.
    pub answered_ms: Option<u64>,
}

/// How a class does against its target.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AttainmentRow {
    /// The class.
    pub class: ClassName,
    /// The share that is wanted.
    pub target: f64,
    /// The share that was within the target, over the last minutes; none: no requests.
    pub attained: Option<f64>,
    /// Requests that this share is of.
    pub requests: u64,
}

/// Moves since the answering entry started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct MoveCounts {
    /// Loads of weights.
    pub loads: u64,
    /// Unloads of weights.
    pub unloads: u64,
    /// Changes of role.
    pub role_changes: u64,
}

/// The answer at [`STATUS_PATH`].
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The daemons, sorted by name.
    pub daemons: Vec<DaemonRow>,
    /// The models, sorted by name.
    pub models: Vec<ModelRow>,
    /// Who plans.
    pub planner: PlannerRow,
    /// How the key-value service stands.
    pub store: StoreRow,
    /// How the classes do.
    pub attainment: Vec<AttainmentRow>,
    /// Moves.
    pub moves: MoveCounts,
}

/// A daemon with the configuration in force at it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DaemonGeneration {
    /// The daemon.
    pub name: DaemonName,
    /// The configuration in force at it.
    pub generation: Generation,
    /// How it stands.
    pub state: DaemonState,
}

/// The answer at [`CONFIG_PATH`].
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// The newest generation that the answering entry knows of.
    pub newest: Generation,
    /// A hash of its content.
    pub content: u64,
    /// The daemons, sorted by name.
    pub daemons: Vec<DaemonGeneration>,
}

/// One endpoint that has, or is to have, a model.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaRow {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version that is ready; none: not ready.
    pub ready: Option<VersionName>,
    /// Whether the plan wants it there.
    pub planned: bool,
    /// Requests that wait there.
    pub queued: u32,
    /// Requests that run there.
    pub running: u32,
    /// Why it is here, or why it gets no work.
    pub reason: String,
}

/// The answer at [`EXPLAIN_MODEL_PATH`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExplainModel {
    /// The base model.
    pub model: ModelName,
    /// The adapter, if the name that was asked for is one.
    pub adapter: Option<AdapterName>,
    /// Its pool.
    pub pool: PoolName,
    /// The version that callers are to get.
    pub version: VersionName,
    /// Its endpoints.
    pub replicas: Vec<ReplicaRow>,
    /// What the plan wants and why, a line each.
    pub reasons: Vec<String>,
}

/// One step of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestStep {
    /// Microseconds since the request came.
    pub after_us: u64,
    /// The hop: `admit`, `choose`, `attempt`, `queue`, `run`, `relay`.
    pub hop: String,
    /// The endpoint, from the choice on.
    pub endpoint: Option<EndpointName>,
    /// What happened.
    pub detail: String,
}

/// The answer at [`EXPLAIN_REQUEST_PATH`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExplainRequest {
    /// The request's id, 32 hex digits.
    pub request: String,
    /// Its class.
    pub class: ClassName,
    /// Whether it may have run.
    pub verdict: RunVerdict,
    /// Why it was refused, if it was.
    pub refusal: Option<RefusalCause>,
    /// Whether it was within its target, once it is answered.
    pub in_time: Option<bool>,
    /// Its steps, in order.
    pub steps: Vec<RequestStep>,
}
