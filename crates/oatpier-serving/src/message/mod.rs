//! Datagrams between gateways and sidecars.
//!
//! Status updates are self-contained and sent at short intervals, so that lost, duplicated and delayed datagrams do no
//! harm. Receivers keep the message with the highest number of its sender's incarnation.

mod capacity;
mod limits;
mod origins;
mod trials;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_types::names::{DaemonName, EndpointName, ModelName, PoolName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::call::PromptPartId;
use crate::crashes::CrashRecord;
use crate::crashes::prompt_parts::PartCrash;
use crate::engine::{AdapterKey, EndpointLoad, HeldModel, LocalCopies, StartTime};
use crate::failures::EngineFailure;
use crate::fingerprint::RequestFingerprint;
use crate::origins::OriginRecord;
use crate::reads::StoreDelta;

pub use capacity::{PaceStatus, RatedPermitAsk, ShareStatus};
pub use limits::{LeavingReport, LimitReport, QuotaAnswer, QuotaAsk, TurnAsk, TurnReply};
pub use origins::{OriginAnswer, OriginAsk, PinnedModel};
pub use trials::{TrialAnswer, TrialAsk};

/// Content of one datagram.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum InnerMessage {
    /// Sent by a sidecar to a gateway that waits for an adapter at its engine: the state of the engine.
    #[serde(rename = "Pulse")]
    Status(Box<EngineStatus>),
    /// Sent by a sidecar to a relay, for the relay and the other gateways of its availability zone: the state of its
    /// engine.
    Spread(EngineUpdate),
    /// Sent by a relay to the other gateways of its availability zone: states of engines.
    Relayed(Vec<EngineUpdate>),
    /// Sent by a gateway to a sidecar: requests status updates and reports the gateway's use of the engine.
    #[serde(rename = "Greeting")]
    Subscription(GatewaySubscription),
    /// Sent by a gateway to a sidecar: requests an adapter at its engine.
    AdapterWanted(AdapterRequest),
    /// Sent by a gateway to its peers: the gateway's state and demand.
    Peer(Box<PeerReport>),
    /// Sent by a gateway that has read the store to the others of its availability zone: what it read.
    StoreSeen(Box<StoreDelta>),
    /// Sent by a gateway to all others: requests that were running at endpoints when those crashed. The store
    /// distributes the same records.
    CrashesSeen(Vec<CrashRecord>),
    /// Sent by a gateway to all others: suspect requests that were answered completely. The store distributes the same
    /// changes.
    CrashesCleared(Vec<RequestFingerprint>),
    /// Sent by a gateway to all others: prompt parts that were at the beginning of a response at endpoints when those
    /// crashed. The store distributes the same records.
    PartCrashesSeen(Vec<PartCrash>),
    /// Sent by a gateway to all others: suspected prompt parts whose requests were answered. The store distributes the same
    /// changes.
    PartsAnswered(Vec<PromptPartId>),
    /// Sent by a gateway to the one that grants trials of prompt parts: requests one.
    TrialAsk(TrialAsk),
    /// Sent by that gateway: answers a request for a trial.
    TrialAnswer(TrialAnswer),
    /// Sent by the planner to a sidecar: a model to load.
    Advice(LoadAdvice),
    /// Sent by a sidecar to another one: requests its right to load from the weight store.
    RightAsk(LoadRight),
    /// Sent by a sidecar to another one: lends that right.
    Right(LoadRight),
    /// Sent by a gateway to a sidecar: requests a permit to send a prompt to its engine.
    PermitAsk(PermitAsk),
    /// Sent by a sidecar to a gateway: grants a permit.
    Permit(PermitGrant),
    /// Sent by a gateway to a sidecar: a request failed at its engine.
    AttemptFailed(EngineFailure),
    /// Sent by a gateway to a holder: requests units of a workspace's limit.
    QuotaAsk(QuotaAsk),
    /// Sent by a holder to a gateway: answers a query for units.
    QuotaAnswer(QuotaAnswer),
    /// Sent by a gateway to a sidecar: returns a permit or withdraws its request for one, because the engine has read
    /// the prompt or the prompt will not be sent.
    PermitDone(PermitGrant),
    /// Sent by a gateway to a holder: requests a turn at an endpoint.
    TurnAsk(TurnAsk),
    /// Sent by a holder to a gateway: answers a query for a turn.
    TurnAnswer(TurnReply),
    /// Sent by a gateway to all others: the limit that an endpoint stated in a response.
    LimitSeen(LimitReport),
    /// Sent by a gateway to all others: an endpoint that is leaving according to its response.
    LeavingSeen(LeavingReport),
    /// Sent by a gateway to a sidecar: requests a permit to send a prompt to its engine, and states its work.
    RatedPermitAsk(RatedPermitAsk),
    /// Sent by a gateway to the holders of their records: streams that have begun.
    StreamsBegun(Vec<OriginRecord>),
    /// Sent by a gateway to a holder: asks where a stream began.
    OriginAsk(OriginAsk),
    /// Sent by a holder to a gateway: answers a question about a stream.
    OriginAnswer(Box<OriginAnswer>),
    /// Sent by a gateway to the planner: a stream waits for a model at the version that began it.
    PinnedWanted(PinnedModel),
    /// Sent by a gateway to a sidecar that doesn't state its engine's service: the service of the engine that the
    /// gateway knows at the address.
    EngineListed(EngineListing),
}

impl InnerMessage {
    /// Returns the label of the message kind in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Status(_) => "pulse",
            Self::Spread(EngineUpdate::Status(_)) => "spread-pulse",
            Self::Spread(EngineUpdate::Load(_)) => "spread-load",
            Self::Spread(EngineUpdate::Pace(_)) => "spread-pace",
            Self::Spread(EngineUpdate::Shares(_)) => "spread-shares",
            Self::Relayed(_) => "relayed",
            Self::Subscription(_) => "greeting",
            Self::AdapterWanted(_) => "adapter-wanted",
            Self::Peer(_) => "peer",
            Self::StoreSeen(_) => "store-seen",
            Self::CrashesSeen(_) => "crashes-seen",
            Self::CrashesCleared(_) => "crashes-cleared",
            Self::PartCrashesSeen(_) => "part-crashes-seen",
            Self::PartsAnswered(_) => "parts-answered",
            Self::TrialAsk(_) => "trial-ask",
            Self::TrialAnswer(_) => "trial-answer",
            Self::Advice(_) => "advice",
            Self::RightAsk(_) => "right-ask",
            Self::Right(_) => "right",
            Self::PermitAsk(_) => "permit-ask",
            Self::RatedPermitAsk(_) => "rated-permit-ask",
            Self::Permit(_) => "permit",
            Self::PermitDone(_) => "permit-done",
            Self::AttemptFailed(_) => "attempt-failed",
            Self::QuotaAsk(_) => "quota-ask",
            Self::QuotaAnswer(_) => "quota-answer",
            Self::TurnAsk(_) => "turn-ask",
            Self::TurnAnswer(_) => "turn-answer",
            Self::LimitSeen(_) => "limit-seen",
            Self::LeavingSeen(_) => "leaving-seen",
            Self::StreamsBegun(_) => "streams-begun",
            Self::OriginAsk(_) => "origin-ask",
            Self::OriginAnswer(_) => "origin-answer",
            Self::PinnedWanted(_) => "pinned-wanted",
            Self::EngineListed(_) => "engine-listed",
        }
    }
}

/// State of an engine as reported by its sidecar.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum EngineUpdate {
    /// Complete state.
    #[serde(rename = "Pulse")]
    Status(Box<EngineStatus>),
    /// Load of the engine only, sent when nothing else has changed.
    Load(LoadStatus),
    /// Pace of the engine.
    Pace(PaceStatus),
    /// Use of the engine by workspaces.
    Shares(ShareStatus),
}

impl EngineUpdate {
    /// Returns the address of the engine.
    #[must_use]
    pub fn engine(&self) -> SocketAddr {
        match self {
            Self::Status(status) => status.engine,
            Self::Load(load) => load.engine,
            Self::Pace(pace) => pace.engine,
            Self::Shares(shares) => shares.engine,
        }
    }

    /// Returns the sequence number among the sidecar's status updates.
    #[must_use]
    pub fn number(&self) -> MessageNumber {
        match self {
            Self::Status(status) => status.number,
            Self::Load(load) => load.number,
            Self::Pace(pace) => pace.number,
            Self::Shares(shares) => shares.number,
        }
    }
}

/// Sequence number of a message. It orders the messages of one incarnation of a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct MessageNumber {
    /// Random number drawn at each start. It is not ordered: a different value means a new incarnation.
    pub boot: u64,
    /// Counter that increases with each message of an incarnation.
    pub number: u64,
}

impl MessageNumber {
    /// Returns whether a message with this number supersedes the last one that was kept.
    #[must_use]
    pub fn supersedes(self, kept: Self) -> bool {
        self.boot != kept.boot || self.number > kept.number
    }
}

/// Complete state of an engine as reported by its sidecar.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineStatus {
    /// Sequence number among the sidecar's status updates.
    pub number: MessageNumber,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Service of the engine, if it is certain.
    pub service: Option<PoolName>,
    /// Present instance of the engine, once its sidecar has queried it.
    pub instance: Option<EndpointName>,
    /// Start time of the engine's present incarnation, if it reports one.
    pub start: Option<StartTime>,
    /// Whether the engine responds to its sidecar.
    pub answers: bool,
    /// Load of the engine.
    pub load: EndpointLoad,
    /// Memory in use, in tokens.
    pub memory_used: u64,
    /// Total memory, in tokens.
    pub memory_total: u64,
    /// Models in the engine's memory, with their adapters.
    pub models: Vec<HeldModel>,
    /// Models that are about to be unloaded and must get no new requests.
    pub retiring: Vec<ModelName>,
    /// Model that is being loaded.
    pub loading: Option<ModelName>,
    /// Adapters that are being loaded.
    pub coming: Vec<AdapterKey>,
    /// Number of adapters that could be loaded without waiting for requests that use other adapters.
    pub adapter_room: u32,
    /// Models that the engine can load again from local copies.
    pub copies: LocalCopies,
    /// Whether the engine accepts no new work.
    pub draining: bool,
    /// Time until the engine may load from the weight store, in milliseconds.
    pub load_wait_ms: u32,
    /// Time to process the prompts that wait for permits, in milliseconds.
    pub permit_wait_ms: u32,
    /// Number of requests that wait for permits.
    pub permits_waiting: u32,
    /// Percentage of its requests that fail, over all gateways.
    pub failing_percent: u8,
    /// Addresses of some of the gateways that subscribe to this sidecar. Each status update carries a different
    /// selection.
    pub gateways: Vec<SocketAddr>,
}

/// Load of an engine as reported by its sidecar. It is a tenth of the size of a complete status update. With many
/// gateways and many engines, complete status updates at this rate take a fifth of the processor of a small gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadStatus {
    /// Sequence number among the sidecar's status updates of both kinds.
    pub number: MessageNumber,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Whether the engine responds to its sidecar.
    pub answers: bool,
    /// Load of the engine.
    pub load: EndpointLoad,
    /// Memory in use, in tokens.
    pub memory_used: u64,
    /// Time until the engine may load from the weight store, in milliseconds.
    pub load_wait_ms: u32,
    /// Time to process the prompts that wait for permits, in milliseconds.
    pub permit_wait_ms: u32,
    /// Number of requests that wait for permits.
    pub permits_waiting: u32,
    /// Percentage of its requests that fail, over all gateways.
    pub failing_percent: u8,
}

/// Subscription of a gateway to the status updates of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GatewaySubscription {
    /// Availability zone of the gateway.
    pub zone: ZoneName,
    /// Processor capacity of the gateway, in thousandths of a core.
    pub processor: u32,
    /// Whether the gateway receives the state of the engine, from the sidecar or from a relay.
    pub is_heard: bool,
    /// Adapters that this gateway's requests use at the engine, or have used since the last subscription.
    pub used: Vec<AdapterUse>,
    /// Number of engines in the registry, by which the shared load rate is divided.
    pub engines: u32,
    /// Index of the engine among them, from 0.
    pub place: u32,
    /// Number of loads from the weight store that all engines together may start in one window.
    pub loads_per_window: u32,
    /// Number of adapters that an engine has room for.
    pub adapter_slots: u32,
    /// Path at which the engine reports its instance.
    pub health_path: Arc<str>,
}

/// The service of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineListing {
    /// Instance of the engine.
    pub engine: EndpointName,
    /// Service that this instance belongs to.
    pub service: PoolName,
}

/// Use of an adapter at one engine by a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdapterUse {
    /// Adapter that is used.
    pub key: AdapterKey,
    /// Number of requests that use it now.
    pub requests: u32,
}

/// Request of a gateway for a permit. The gateway repeats it until it has the permit or gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitAsk {
    /// Random identifier of the request.
    pub id: u64,
    /// Time that the engine takes to process the prompt, in microseconds.
    pub reading_us: u32,
    /// Longest pause of the request's stream that meets its latency target, in milliseconds.
    pub pause_ms: u32,
    /// Time until the prompt must be sent to meet its deadline, in milliseconds; 0 if it can only be late.
    pub due_in_ms: u32,
    /// Number of requests that the engine runs concurrently.
    pub slots: u32,
    /// Whether the request belongs to the most urgent classes, which may exceed the slots by a few.
    pub is_urgent: bool,
    /// Priority of its class, where 0 is the highest.
    pub priority: u8,
}

impl PermitAsk {
    /// Returns the time that the engine takes to process the prompt.
    #[must_use]
    pub fn reading(&self) -> Duration {
        Duration::from_micros(u64::from(self.reading_us))
    }

    /// Returns the longest pause that meets the latency target.
    #[must_use]
    pub fn pause(&self) -> Duration {
        Duration::from_millis(u64::from(self.pause_ms))
    }

    /// Returns the time until the prompt must be sent.
    #[must_use]
    pub fn due_in(&self) -> Duration {
        Duration::from_millis(u64::from(self.due_in_ms))
    }
}

/// Permit to send a prompt to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitGrant {
    /// Identifier of the request for the permit.
    pub id: u64,
}

/// Request of a gateway for an adapter that its callers wait for.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdapterRequest {
    /// Adapter to load.
    pub key: AdapterKey,
    /// Number of adapters that an engine has room for.
    pub slots: u32,
}

/// Report of a gateway to its peers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PeerReport {
    /// Sequence number among the gateway's reports.
    pub number: MessageNumber,
    /// Name of the gateway.
    pub name: DaemonName,
    /// Availability zone of the gateway.
    pub zone: ZoneName,
    /// Interval between two reports to the same receiver, in milliseconds.
    pub every_ms: u32,
    /// Processor capacity of the gateway, in thousandths of a core.
    pub processor: u32,
    /// Whether its timers fire far too late because its processor is overloaded.
    pub is_behind: bool,
    /// Whether it is shutting down and should not plan.
    pub leaving: bool,
    /// Number of engines whose sidecars it receives status updates from.
    pub engines_heard: u32,
    /// Version of its configuration.
    pub config: ConfigStatus,
    /// Whether `demand` contains only the models with requests that could not be served since the last report. The
    /// demand of other models, and `uses`, then stay as last reported.
    pub is_partial: bool,
    /// Demand of its callers. A model that is missing in a complete report has no demand at present.
    pub demand: Vec<ModelDemand>,
    /// Models that its requests use, by engine.
    pub uses: Vec<ModelUse>,
}

/// Configuration version of a gateway, and the time since it was confirmed to be the latest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Version number; 0 for none.
    pub version: u64,
    /// Time since the version was known to be the one in the store, in milliseconds.
    pub age_ms: u32,
}

/// Requests of a gateway for one model at one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelUse {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Model that is used.
    pub model: ModelName,
    /// Number of requests that use it now.
    pub requests: u32,
}

/// Demand of a gateway's callers for a model.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelDemand {
    /// Model that is requested.
    pub model: ModelName,
    /// Average number of its requests that are running at engines.
    pub running: f32,
    /// Rate of its requests sent to engines, per second, averaged over the same time as `running`.
    pub sent: f32,
    /// Rate of its requests that wait for the model to be loaded or were rejected for lack of capacity, per second.
    pub unserved: f32,
    /// Rate of incoming requests for it, per second, over about the last second.
    pub asked_fast: f32,
    /// The same rate over the last few seconds.
    pub asked_slow: f32,
    /// The same rate over about the last ten seconds.
    pub asked_long: f32,
    /// Number of its adapters that were requested recently.
    pub adapters: u32,
    /// Time since it was last requested, in milliseconds.
    pub idle_ms: u32,
}

/// Advice of the planner to a sidecar to load a model. The sidecar checks memory and load rate by itself.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadAdvice {
    /// Model to load.
    pub load: ModelName,
    /// Models to unload first, if they are still loaded.
    pub unload: Vec<ModelName>,
    /// Sizes of the model and of everything that the engine holds, in MB.
    pub sizes: Vec<ModelSize>,
    /// Memory for models, in MB.
    pub room_mb: f64,
    /// Sidecars that may lend their right to load from the weight store, if this sidecar has used up its own.
    pub lenders: Vec<SocketAddr>,
}

/// Right of an engine to start one load from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadRight {
    /// Random identifier of the request for a right.
    pub id: u64,
}

/// Size of a model's weights.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelSize {
    /// Name of the model.
    pub model: ModelName,
    /// Size in MB.
    pub size_mb: f64,
}
