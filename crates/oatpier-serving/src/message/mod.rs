//! What gateways and sidecars tell each other, in datagrams.
//!
//! Every message stands for itself and is repeated, so that a lost, doubled or late one does no
//! harm: receivers keep the one with the highest number of its sender's incarnation.

mod limits;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_types::names::{DaemonName, EndpointName, ModelName, PoolName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::crashes::CrashRecord;
use crate::engine::{AdapterKey, EndpointLoad, HeldModel, LocalCopies, StartTime};
use crate::failures::EngineFailure;
use crate::fingerprint::RequestFingerprint;
use crate::reads::StoreWord;

pub use limits::{LeavingWord, LimitWord, QuotaAnswer, QuotaAsk, TurnAsk, TurnReply};

/// One datagram.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum InnerMessage {
    /// A sidecar about its engine, to a gateway that asked for something there.
    Pulse(Box<EnginePulse>),
    /// A sidecar about its engine, to a relay: for the receiver and its availability zone.
    Spread(EngineWord),
    /// A relay to the other gateways of its availability zone.
    Relayed(Vec<EngineWord>),
    /// A gateway asks a sidecar for pulses, and says what it uses there.
    Greeting(GatewayGreeting),
    /// A gateway needs an adapter at a sidecar's engine.
    AdapterWanted(AdapterWish),
    /// A gateway to its peers.
    Peer(Box<PeerReport>),
    /// A gateway that has read the store, to those of its availability zone.
    StoreSeen(Box<StoreWord>),
    /// A gateway saw endpoints end under requests, to all gateways. The store repeats it.
    CrashesSeen(Vec<CrashRecord>),
    /// A gateway answered suspect requests whole, to all gateways. The store repeats it.
    CrashesCleared(Vec<RequestFingerprint>),
    /// The planner to a sidecar.
    Advice(LoadAdvice),
    /// A sidecar asks another one for its right to load from the weight store.
    RightAsk(LoadRight),
    /// A sidecar lends another one that right.
    Right(LoadRight),
    /// A gateway asks a sidecar for a permit to send its engine a prompt.
    PermitAsk(PermitAsk),
    /// A sidecar gives a permit.
    Permit(PermitGrant),
    /// A gateway to a sidecar: a request failed at its engine.
    AttemptFailed(EngineFailure),
    /// A gateway asks a holder for units of a workspace's limit.
    QuotaAsk(QuotaAsk),
    /// A holder answers.
    QuotaAnswer(QuotaAnswer),
    /// A gateway gives a permit back, or withdraws its ask: the prompt was read, or will not be.
    PermitDone(PermitGrant),
    /// A gateway asks a holder for a turn at an endpoint.
    TurnAsk(TurnAsk),
    /// A holder answers.
    TurnAnswer(TurnReply),
    /// A gateway to all others: what an endpoint's answer said of its limit.
    LimitSeen(LimitWord),
    /// A gateway to all others: an endpoint's answer said that it leaves.
    LeavingSeen(LeavingWord),
}

impl InnerMessage {
    /// The word that metrics use for its kind.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Pulse(_) => "pulse",
            Self::Spread(EngineWord::Pulse(_)) => "spread-pulse",
            Self::Spread(EngineWord::Load(_)) => "spread-load",
            Self::Relayed(_) => "relayed",
            Self::Greeting(_) => "greeting",
            Self::AdapterWanted(_) => "adapter-wanted",
            Self::Peer(_) => "peer",
            Self::StoreSeen(_) => "store-seen",
            Self::CrashesSeen(_) => "crashes-seen",
            Self::CrashesCleared(_) => "crashes-cleared",
            Self::Advice(_) => "advice",
            Self::RightAsk(_) => "right-ask",
            Self::Right(_) => "right",
            Self::PermitAsk(_) => "permit-ask",
            Self::Permit(_) => "permit",
            Self::PermitDone(_) => "permit-done",
            Self::AttemptFailed(_) => "attempt-failed",
            Self::QuotaAsk(_) => "quota-ask",
            Self::QuotaAnswer(_) => "quota-answer",
            Self::TurnAsk(_) => "turn-ask",
            Self::TurnAnswer(_) => "turn-answer",
            Self::LimitSeen(_) => "limit-seen",
            Self::LeavingSeen(_) => "leaving-seen",
        }
    }
}

/// What a sidecar says of its engine.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum EngineWord {
    /// All that it knows.
    Pulse(Box<EnginePulse>),
    /// The engine's load, where nothing else has changed.
    Load(LoadPulse),
}

impl EngineWord {
    /// Where the engine is.
    #[must_use]
    pub fn engine(&self) -> SocketAddr {
        match self {
            Self::Pulse(pulse) => pulse.engine,
            Self::Load(load) => load.engine,
        }
    }

    /// Its place among the sidecar's words.
    #[must_use]
    pub fn number(&self) -> MessageNumber {
        match self {
            Self::Pulse(pulse) => pulse.number,
            Self::Load(load) => load.number,
        }
    }
}

/// The order of messages of one sender: later incarnations and numbers are newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct MessageNumber {
    /// Drawn at each start. Not ordered in time: a change means a new incarnation.
    pub boot: u64,
    /// Rises with each message of an incarnation.
    pub number: u64,
}

impl MessageNumber {
    /// Whether a message supersedes the last one that was kept.
    #[must_use]
    pub fn supersedes(self, kept: Self) -> bool {
        self.boot != kept.boot || self.number > kept.number
    }
}

/// A sidecar's account of its engine.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EnginePulse {
    /// Its place among the sidecar's pulses.
    pub number: MessageNumber,
    /// Where the engine is.
    pub engine: SocketAddr,
    /// The engine's service.
    pub service: Option<PoolName>,
    /// The engine's present instance, once its sidecar has asked for it.
    pub instance: Option<EndpointName>,
    /// The engine's present start, if it tells.
    pub start: Option<StartTime>,
    /// Whether the engine answers its sidecar.
    pub answers: bool,
    /// The engine's load.
    pub load: EndpointLoad,
    /// Memory in use, in tokens.
    pub memory_used: u64,
    /// Memory in all, in tokens.
    pub memory_total: u64,
    /// What it holds and keeps.
    pub models: Vec<HeldModel>,
    /// Models that it is about to unload: to get no new requests.
    pub retiring: Vec<ModelName>,
    /// The model that it is loading.
    pub loading: Option<ModelName>,
    /// Adapters on their way.
    pub coming: Vec<AdapterKey>,
    /// Adapters that could be loaded without waiting for requests that use others.
    pub adapter_room: u32,
    /// What it can load again by itself.
    pub copies: LocalCopies,
    /// Whether it takes no new work.
    pub draining: bool,
    /// How long until it may load from the weight store, in milliseconds.
    pub load_wait_ms: u32,
    /// The time to read the prompts that wait for permits, in milliseconds.
    pub permit_wait_ms: u32,
    /// Requests that wait for permits.
    pub permits_waiting: u32,
    /// The share of its requests that fails, over all gateways, in hundredths.
    pub failing_percent: u8,
    /// Where some of the gateways that greet this sidecar are, others each time.
    pub gateways: Vec<SocketAddr>,
}

/// A sidecar's account of its engine's load. A tenth of a whole pulse: with many gateways before many
/// engines, whole ones at this pace took a fifth of a thin gateway's processor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadPulse {
    /// Its place among the sidecar's pulses of both kinds.
    pub number: MessageNumber,
    /// Where the engine is.
    pub engine: SocketAddr,
    /// The engine's load.
    pub load: EndpointLoad,
    /// Memory in use, in tokens.
    pub memory_used: u64,
    /// How long until it may load from the weight store, in milliseconds.
    pub load_wait_ms: u32,
    /// The time to read the prompts that wait for permits, in milliseconds.
    pub permit_wait_ms: u32,
    /// Requests that wait for permits.
    pub permits_waiting: u32,
    /// The share of its requests that fails, over all gateways, in hundredths.
    pub failing_percent: u8,
}

/// A gateway's greeting to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayGreeting {
    /// The gateway's availability zone.
    pub zone: ZoneName,
    /// The gateway's processor, in thousandths of a core.
    pub processor: u32,
    /// Whether the gateway hears of the engine, from the sidecar or from a relay.
    pub is_heard: bool,
    /// Adapters that this gateway's requests use there, or used since its last greeting.
    pub used: Vec<AdapterUse>,
    /// Engines that the registry lists: the shared load rate is divided by it.
    pub engines: u32,
    /// The engine's place among them, from 0.
    pub place: u32,
    /// Loads from the weight store that all engines may begin in one window.
    pub loads_per_window: u32,
    /// Adapters that an engine has room for.
    pub adapter_slots: u32,
    /// Where the engine says which instance it is.
    pub health_path: Arc<str>,
}

/// A gateway's use of an adapter at one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdapterUse {
    /// The adapter.
    pub key: AdapterKey,
    /// Requests that use it now.
    pub requests: u32,
}

/// A gateway asks for a permit; it repeats the ask until it has one or gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitAsk {
    /// Tells asks apart; drawn at random.
    pub id: u64,
    /// The time that the engine takes to read the prompt, in microseconds.
    pub reading_us: u32,
    /// The longest pause of the request's stream that is in time, in milliseconds.
    pub pause_ms: u32,
    /// How long until the prompt has to be sent to be in time, in milliseconds; 0 where it can only be late.
    pub due_in_ms: u32,
    /// Requests that the engine runs at the same time.
    pub slots: u32,
    /// Whether the request is of the most urgent classes, which may go over the slots by a few.
    pub is_urgent: bool,
    /// The rank of its class, 0 first.
    pub priority: u8,
}

impl PermitAsk {
    /// The time that the engine takes to read the prompt.
    #[must_use]
    pub fn reading(&self) -> Duration {
        Duration::from_micros(u64::from(self.reading_us))
    }

    /// The longest pause that is in time.
    #[must_use]
    pub fn pause(&self) -> Duration {
        Duration::from_millis(u64::from(self.pause_ms))
    }

    /// How long until the prompt has to be sent.
    #[must_use]
    pub fn due_in(&self) -> Duration {
        Duration::from_millis(u64::from(self.due_in_ms))
    }
}

/// A permit to send an engine a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitGrant {
    /// The ask that it answers.
    pub id: u64,
}

/// A gateway waits for an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdapterWish {
    /// The adapter.
    pub key: AdapterKey,
    /// Adapters that an engine has room for.
    pub slots: u32,
}

/// A gateway's report to its peers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PeerReport {
    /// Its place among the gateway's reports.
    pub number: MessageNumber,
    /// The gateway.
    pub name: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// From one of its reports to the next to the same reader, in milliseconds.
    pub every_ms: u32,
    /// Its processor, in thousandths of a core.
    pub processor: u32,
    /// Whether its timers fire far too late: it has more to do than its processor does.
    pub is_behind: bool,
    /// Whether it is on its way out, and should not plan.
    pub leaving: bool,
    /// Engines whose sidecars it hears.
    pub engines_heard: u32,
    /// Which configuration it has.
    pub config: ConfigStanding,
    /// Whether `demand` holds only the models whose requests could not be served since the last report. The
    /// others, and `uses`, stay as they were told last.
    pub is_partial: bool,
    /// What its callers ask for. A model that is left out of a whole report is not asked for at present.
    pub demand: Vec<ModelDemand>,
    /// The models that its requests use, engine by engine.
    pub uses: Vec<ModelUse>,
}

/// Which configuration a gateway has, and how sure it is that there is no newer one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigStanding {
    /// Its version; 0 for none.
    pub version: u64,
    /// How long ago it was known to be the store's, in milliseconds.
    pub age_ms: u32,
}

/// A gateway's requests for one model at one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelUse {
    /// Where the engine is.
    pub engine: SocketAddr,
    /// The model.
    pub model: ModelName,
    /// Requests that use it now.
    pub requests: u32,
}

/// How much a gateway's callers ask for a model.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelName,
    /// Requests of it that are at engines, on average.
    pub running: f32,
    /// Requests of it that were sent to engines, a second, averaged like `running`.
    pub sent: f32,
    /// Requests of it that wait for it to be loaded, or were turned away for want of room, a
    /// second.
    pub unserved: f32,
    /// Requests of it that came in, a second, over the last second or so.
    pub asked_fast: f32,
    /// The same over the last few seconds.
    pub asked_slow: f32,
    /// The same over the last ten seconds or so.
    pub asked_long: f32,
    /// Adapters of it that were asked for lately.
    pub adapters: u32,
    /// How long ago it was asked for last, in milliseconds.
    pub idle_ms: u32,
}

/// The planner's advice to a sidecar. The sidecar checks memory and pace by itself.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadAdvice {
    /// The model to load.
    pub load: ModelName,
    /// Models to unload before, if they are still there.
    pub unload: Vec<ModelName>,
    /// The sizes of the model and of everything that the engine holds, in MB.
    pub sizes: Vec<ModelSize>,
    /// Memory for models, in MB.
    pub room_mb: f64,
    /// Sidecars that may lend their right to load from the weight store, where this one's is spent.
    pub lenders: Vec<SocketAddr>,
}

/// An engine's right to begin one load from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadRight {
    /// Tells questions for rights apart; drawn at random.
    pub id: u64,
}

/// The size of a model's weights.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelSize {
    /// The model.
    pub model: ModelName,
    /// Its size, in MB.
    pub size_mb: f64,
}
