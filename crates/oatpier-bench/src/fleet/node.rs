//! One engine with its agent.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_placement::orders::{OrderKeeper, OrderSettings};
use oatpier_placement::record::StoredRecord;
use oatpier_placement::release::ReleaseKeeper;
use oatpier_placement::steps::{AttemptCount, MoveStepper};
use oatpier_standin::engine::{EngineCore, EngineOptions, EngineRequest};
use oatpier_standin::weights::SharedWeights;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::{FleetConfig, PoolKind};
use oatpier_types::engine::{EngineState, WeightsKey, WeightsState};
use oatpier_types::ids::{AttemptId, BootId, RequestId};
use oatpier_types::names::{EndpointName, PoolName, ZoneName};
use oatpier_types::plan::EndpointPlan;
use oatpier_types::request::{AttemptSpec, RequestGoal};
use oatpier_types::status::EndpointStatus;
use smallvec::SmallVec;

use super::agent::AgentBrain;

/// Where a node stands, for good.
#[derive(Debug, Clone)]
pub struct NodePlace {
    /// Its endpoint.
    pub endpoint: EndpointName,
    /// Its pool.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// An attempt at a node.
#[derive(Debug, Clone)]
pub struct NodeAttempt {
    /// The entry that sent it.
    pub entry: usize,
    /// What it asks for.
    pub spec: AttemptSpec,
    /// The weights that it runs on, once it runs.
    pub weights: Option<WeightsKey>,
    /// Whether the head of its answer went out.
    pub begun: bool,
    /// Tokens after the first that are yet to be passed on.
    pub unsent: u32,
}

/// The attempts at one node.
#[derive(Debug, Clone, Default)]
pub struct NodeAttempts(pub IndexMap<AttemptId, NodeAttempt>);

/// One engine with its agent.
pub struct EngineNode {
    /// Where it stands.
    pub place: NodePlace,
    /// The agent's start.
    pub boot: BootId,
    /// Whether engine and agent live.
    pub alive: bool,
    /// Whether entries and planner lost its registration.
    pub unregistered: bool,
    /// The agent's decisions about requests.
    pub brain: Box<dyn AgentBrain>,
    /// The engine.
    pub engine: EngineCore,
    /// The agent's orders.
    pub keeper: OrderKeeper,
    /// The agent's moves.
    pub stepper: MoveStepper,
    /// The agent's releases.
    pub releases: ReleaseKeeper,
    /// The plan's row.
    pub plan: Option<EndpointPlan>,
    /// What is in its store record.
    pub record: Option<StoredRecord>,
    /// Attempts that wait or run.
    pub attempts: NodeAttempts,
    /// The weights that entries were last told of.
    pub ready: SmallVec<[WeightsKey; 8]>,
    /// Counts the changes of `ready`.
    pub ready_sequence: u64,
    /// When its next engine step, agent timer and placement step are queued.
    pub armed: ArmedTimes,
    /// The last cache event that was read.
    pub cache_seen: u64,
}

/// The earliest queued wake-up of each kind.
#[derive(Debug, Clone, Copy)]
pub struct ArmedTimes {
    /// Of the engine.
    pub engine: ClockTime,
    /// Of the agent's decisions about requests.
    pub agent: ClockTime,
}

impl Default for ArmedTimes {
    fn default() -> Self {
        Self {
            engine: ClockTime::NEVER,
            agent: ClockTime::NEVER,
        }
    }
}

/// What a node is made of anew at each start.
pub struct NodeParts {
    /// The start.
    pub boot: BootId,
    /// The decisions about requests.
    pub brain: Box<dyn AgentBrain>,
    /// The engine.
    pub engine: EngineCore,
}

impl EngineNode {
    /// A node that has just started.
    #[must_use]
    pub fn new(place: NodePlace, parts: NodeParts, config: &FleetConfig) -> Self {
        let settings = order_settings(&place, config);
        let seed = u64::try_from(parts.boot.0 & u128::from(u64::MAX)).unwrap_or(0);
        Self {
            keeper: OrderKeeper::new(settings, parts.boot),
            stepper: MoveStepper::new(),
            releases: ReleaseKeeper::new(place.endpoint.clone(), parts.boot, seed),
            place,
            boot: parts.boot,
            alive: true,
            unregistered: false,
            brain: parts.brain,
            engine: parts.engine,
            plan: None,
            record: None,
            attempts: NodeAttempts::default(),
            ready: SmallVec::new(),
            ready_sequence: 0,
            armed: ArmedTimes::default(),
            cache_seen: 0,
        }
    }

    /// Starts again, empty; the store's record stays.
    pub fn restart(&mut self, parts: NodeParts, config: &FleetConfig) {
        let record = self.record.take();
        let plan = self.plan.take();
        *self = Self::new(self.place.clone(), parts, config);
        self.record = record;
        self.plan = plan;
    }

    /// The weights that callers may get now: ready, and not draining.
    #[must_use]
    pub fn servable(&self) -> SmallVec<[WeightsKey; 8]> {
        let state = self.engine.state();
        state
            .held
            .iter()
            .filter(|held| held.state == WeightsState::Ready)
            .filter(|held| self.stepper.accepts_new(&held.weights))
            .map(|held| held.weights.clone())
            .collect()
    }

    /// The agent's whole word.
    pub fn status(&mut self, now: ClockTime) -> EndpointStatus {
        EndpointStatus {
            endpoint: self.place.endpoint.clone(),
            pool: self.place.pool.clone(),
            zone: self.place.zone.clone(),
            ready: self.ready.clone(),
            ready_sequence: self.ready_sequence,
            generation: oatpier_types::ids::Generation(1),
            queue: self.brain.queue_report(now),
        }
    }

    /// What the engine holds.
    #[must_use]
    pub fn state(&self) -> EngineState {
        self.engine.state()
    }

    /// Whether the endpoint takes memory for any weights.
    #[must_use]
    pub fn is_used(&self) -> bool {
        self.alive && self.engine.used_mib() > 0
    }
}

impl AttemptCount for NodeAttempts {
    fn in_flight(&self, weights: &WeightsKey) -> u32 {
        let running = self
            .0
            .values()
            .filter(|attempt| attempt.weights.as_ref() == Some(weights));
        u32::try_from(running.count()).unwrap_or(u32::MAX)
    }
}

fn order_settings(place: &NodePlace, config: &FleetConfig) -> OrderSettings {
    match config.pools.get(&place.pool).map(|pool| &pool.kind) {
        Some(PoolKind::Engine {
            memory_mib,
            checks_order_numbers,
            ..
        }) => OrderSettings::new(*checks_order_numbers, *memory_mib),
        _ => OrderSettings::new(true, 0),
    }
}

/// A fresh engine.
#[must_use]
pub fn fresh_engine(
    place: &NodePlace,
    config: &FleetConfig,
    step: Duration,
    report_lag: Duration,
    store: &SharedWeights,
    preloaded: Vec<WeightsKey>,
) -> EngineCore {
    let mut options = EngineOptions::named(place.endpoint.clone());
    if let Some(PoolKind::Engine {
        memory_mib, slots, ..
    }) = config.pools.get(&place.pool).map(|pool| &pool.kind)
    {
        options.memory_mib = *memory_mib;
        options.slots = *slots as usize;
    }
    options.step = step;
    options.load_lag = report_lag;
    options.cache_lag = report_lag;
    options.preloaded = preloaded;
    options.record = true;
    EngineCore::new(options, store.clone())
}

/// The engine's request for an attempt.
#[must_use]
pub fn engine_request(
    spec: &AttemptSpec,
    prefix: oatpier_types::request::PrefixChain,
    priority: u32,
) -> EngineRequest {
    let RequestGoal::Model { model, adapter } = &spec.goal else {
        unreachable!("the policy bench sends requests to models only");
    };
    let target = adapter
        .as_ref()
        .map_or_else(|| model.to_string(), ToString::to_string);
    EngineRequest {
        attempt: spec.attempt,
        request: spec.request,
        key: None,
        target,
        prompt_hash: prompt_hash(spec.request),
        prompt_tokens: spec.tokens.prompt,
        prefix,
        max_tokens: spec.tokens.output,
        priority,
        resume_after: spec.resume_after,
    }
}

fn prompt_hash(request: RequestId) -> u64 {
    u64::try_from(request.0 & u128::from(u64::MAX)).unwrap_or(0)
}
