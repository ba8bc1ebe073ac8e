//! Node: one engine with its agent.

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

use super::agent::AgentDecider;

/// Fixed identity and location of a node.
#[derive(Debug, Clone)]
pub struct NodeIdentity {
    /// Name of its endpoint.
    pub endpoint: EndpointName,
    /// Name of its pool.
    pub pool: PoolName,
    /// Name of its availability zone.
    pub zone: ZoneName,
}

/// Attempt at a node.
#[derive(Debug, Clone)]
pub struct NodeAttempt {
    /// Index of the entry that sent it.
    pub entry: usize,
    /// Specification of the attempt.
    pub spec: AttemptSpec,
    /// Weights that serve it, or `None` until it is submitted to the engine.
    pub weights: Option<WeightsKey>,
    /// Whether the engine has produced output for it.
    pub has_output: bool,
    /// Number of tokens after the first that are not forwarded yet.
    pub unsent: u32,
}

/// Attempts at one node.
#[derive(Debug, Clone, Default)]
pub struct NodeAttempts(pub IndexMap<AttemptId, NodeAttempt>);

/// State of one engine and its agent.
pub struct EngineNode {
    /// Identity and location.
    pub identity: NodeIdentity,
    /// Identifier of the current start of the agent.
    pub boot: BootId,
    /// Whether engine and agent are running.
    pub alive: bool,
    /// Whether entries and planner have lost its registration.
    pub unregistered: bool,
    /// Request decisions of the agent.
    pub decider: Box<dyn AgentDecider>,
    /// The engine.
    pub engine: EngineCore,
    /// Orders of the agent to the engine.
    pub keeper: OrderKeeper,
    /// Moves of weights by the agent.
    pub stepper: MoveStepper,
    /// Releases of weights that the agent requests or grants.
    pub releases: ReleaseKeeper,
    /// Row of the placement plan for this endpoint.
    pub plan: Option<EndpointPlan>,
    /// Content of its record in the store.
    pub record: Option<StoredRecord>,
    /// Attempts that are waiting or running.
    pub attempts: NodeAttempts,
    /// Ready weights as last sent to the entries.
    pub ready: SmallVec<[WeightsKey; 8]>,
    /// Number of changes of `ready`.
    pub ready_sequence: u64,
    /// Earliest queued wake-ups.
    pub armed: ArmedTimes,
    /// Sequence number of the last cache event that was read.
    pub last_cache_sequence: u64,
}

/// Time of the earliest queued wake-up of each kind.
#[derive(Debug, Clone, Copy)]
pub struct ArmedTimes {
    /// Next engine step.
    pub engine: ClockTime,
    /// Next timer of the agent's request decisions.
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

/// Components of a node that are created again at each start.
pub struct NodeParts {
    /// Identifier of the start.
    pub boot: BootId,
    /// Request decisions of the agent.
    pub decider: Box<dyn AgentDecider>,
    /// The engine.
    pub engine: EngineCore,
}

impl EngineNode {
    /// Creates a node that has just started.
    #[must_use]
    pub fn new(identity: NodeIdentity, parts: NodeParts, config: &FleetConfig) -> Self {
        let settings = order_settings(&identity, config);
        let seed = u64::try_from(parts.boot.0 & u128::from(u64::MAX)).unwrap_or(0);
        Self {
            keeper: OrderKeeper::new(settings, parts.boot),
            stepper: MoveStepper::new(),
            releases: ReleaseKeeper::new(identity.endpoint.clone(), parts.boot, seed),
            identity,
            boot: parts.boot,
            alive: true,
            unregistered: false,
            decider: parts.decider,
            engine: parts.engine,
            plan: None,
            record: None,
            attempts: NodeAttempts::default(),
            ready: SmallVec::new(),
            ready_sequence: 0,
            armed: ArmedTimes::default(),
            last_cache_sequence: 0,
        }
    }

    /// Restarts the node without weights and attempts. The record in the store and the plan are kept.
    pub fn restart(&mut self, parts: NodeParts, config: &FleetConfig) {
        let record = self.record.take();
        let plan = self.plan.take();
        *self = Self::new(self.identity.clone(), parts, config);
        self.record = record;
        self.plan = plan;
    }

    /// Returns the weights that can serve new requests, which are those that are ready and not draining.
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

    /// Returns the full status that the agent sends to the entries.
    pub fn status(&mut self, now: ClockTime) -> EndpointStatus {
        EndpointStatus {
            endpoint: self.identity.endpoint.clone(),
            pool: self.identity.pool.clone(),
            zone: self.identity.zone.clone(),
            ready: self.ready.clone(),
            ready_sequence: self.ready_sequence,
            generation: oatpier_types::ids::Generation(1),
            queue: self.decider.queue_report(now),
        }
    }

    /// Returns the state of the engine.
    #[must_use]
    pub fn state(&self) -> EngineState {
        self.engine.state()
    }

    /// Returns whether the node is alive and its engine uses memory for weights.
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

fn order_settings(identity: &NodeIdentity, config: &FleetConfig) -> OrderSettings {
    match config.pools.get(&identity.pool).map(|pool| &pool.kind) {
        Some(PoolKind::Engine {
            memory_mib,
            checks_order_numbers,
            ..
        }) => OrderSettings::new(*checks_order_numbers, *memory_mib),
        _ => OrderSettings::new(true, 0),
    }
}

/// Creates an engine with the given weights preloaded.
#[must_use]
pub fn fresh_engine(
    identity: &NodeIdentity,
    config: &FleetConfig,
    step: Duration,
    report_lag: Duration,
    store: &SharedWeights,
    preloaded: Vec<WeightsKey>,
) -> EngineCore {
    let mut options = EngineOptions::named(identity.endpoint.clone());
    if let Some(PoolKind::Engine {
        memory_mib, slots, ..
    }) = config.pools.get(&identity.pool).map(|pool| &pool.kind)
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

/// Creates the engine request for an attempt.
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
