//! Simulation of agents, engines, a store and the messages between them, with seeded faults.

use std::collections::BTreeMap;
use std::time::Duration;

use oatpier_placement::orders::{OrderEvent, OrderKeeper, OrderOutcome, OrderSettings, PollTicket};
use oatpier_placement::record::{EpochState, RecordCall, StoredRecord};
use oatpier_placement::release::{ReleaseAnswer, ReleaseKeeper, ReleaseRequest};
use oatpier_placement::steps::{
    AttemptCount, MoveStepper, PlacementStep, ReplicaView, StepInput, StepWait,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{EngineOrder, EngineRole, WeightsKey};
use oatpier_types::ids::BootId;
use oatpier_types::names::EndpointName;
use oatpier_types::plan::EndpointPlan;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use crate::engine::SimulatedEngine;

pub const TICK: Duration = Duration::from_millis(50);

/// Probability of each fault.
#[derive(Debug, Clone, Copy)]
pub struct FaultRates {
    pub order_lost: f64,
    pub order_late: f64,
    pub order_duplicated: f64,
    pub poll_lost: f64,
    pub store_lost: f64,
    pub restart: f64,
    pub pause: f64,
}

impl FaultRates {
    pub const NONE: Self = Self {
        order_lost: 0.0,
        order_late: 0.0,
        order_duplicated: 0.0,
        poll_lost: 0.0,
        store_lost: 0.0,
        restart: 0.0,
        pause: 0.0,
    };
    pub const HIGH: Self = Self {
        order_lost: 0.15,
        order_late: 0.15,
        order_duplicated: 0.15,
        poll_lost: 0.1,
        store_lost: 0.1,
        restart: 0.003,
        pause: 0.003,
    };
}

#[derive(Debug, Clone)]
pub enum Message {
    Order(usize, BootId, EngineOrder, bool),
    StoreCall(usize, BootId, RecordCall, bool),
    Poll(usize, BootId, PollTicket),
    Event(BootId, OrderEvent),
    Request(usize, ReleaseRequest),
    Answer(ReleaseAnswer),
}

pub struct Agent {
    pub index: usize,
    pub boot: BootId,
    pub keeper: OrderKeeper,
    pub releases: ReleaseKeeper,
    pub stepper: MoveStepper,
    pub resumes_at: ClockTime,
    pub view: Vec<(EndpointName, Vec<WeightsKey>)>,
    pub view_valid_until: ClockTime,
    pub last_step: Result<PlacementStep, StepWait>,
}

struct AgentView<'a>(&'a [(EndpointName, Vec<WeightsKey>)], usize);

impl ReplicaView for AgentView<'_> {
    fn ready_elsewhere(&self, weights: &WeightsKey) -> SmallVec<[EndpointName; 4]> {
        self.0
            .iter()
            .enumerate()
            .filter(|(index, (_, ready))| *index != self.1 && ready.contains(weights))
            .map(|(_, (name, _))| name.clone())
            .collect()
    }

    fn other_versions(&self, weights: &WeightsKey) -> SmallVec<[WeightsKey; 2]> {
        let elsewhere = self.0.iter().enumerate();
        let elsewhere = elsewhere.filter(|(index, _)| *index != self.1);
        elsewhere
            .flat_map(|(_, (_, ready))| ready)
            .filter(|held| held.model == weights.model && held.adapter == weights.adapter)
            .filter(|held| *held != weights)
            .cloned()
            .collect()
    }
}

struct RandomAttempts(bool);

impl AttemptCount for RandomAttempts {
    fn in_flight(&self, _: &WeightsKey) -> u32 {
        u32::from(self.0)
    }
}

pub struct Simulation {
    pub now: ClockTime,
    pub config: FleetConfig,
    pub rows: Vec<EndpointPlan>,
    pub engines: Vec<SimulatedEngine>,
    pub faults: FaultRates,
    pub store_down: bool,
    pub violations: Vec<String>,
    pub orders_taken: u32,
    pub settings: OrderSettings,
    pub agents: Vec<Agent>,
    pub current: Vec<BootId>,
    pub store: Vec<Option<StoredRecord>>,
    pub queue: BTreeMap<(ClockTime, u64), Message>,
    pub sequence: u64,
    pub random: ChaCha8Rng,
}

impl Simulation {
    /// Creates a simulation. `checks` is whether the engines check order numbers; `settings` is what
    /// the agents assume.
    pub fn new(config: FleetConfig, checks: bool, settings: OrderSettings, seed: u64) -> Self {
        let names: Vec<EndpointName> = config.pools[0].endpoints.keys().cloned().collect();
        let rows = names.iter().map(|name| EndpointPlan {
            endpoint: name.clone(),
            weights: SmallVec::new(),
            role: EngineRole::Both,
        });
        let mut simulation = Self {
            now: ClockTime::ZERO,
            rows: rows.collect(),
            engines: vec![SimulatedEngine::new(checks, settings.capacity_mib); names.len()],
            faults: FaultRates::NONE,
            store_down: false,
            violations: Vec::new(),
            orders_taken: 0,
            settings,
            agents: Vec::new(),
            current: Vec::new(),
            store: vec![None; names.len()],
            queue: BTreeMap::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            config,
        };
        for index in 0..names.len() {
            simulation.current.push(BootId(0));
            simulation.start_agent(index);
        }
        simulation
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.engines
                .iter_mut()
                .for_each(|engine| engine.advance(self.now));
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let message = entry.remove();
                self.deliver(message);
            }
            for agent in 0..self.agents.len() {
                self.run_agent(agent);
            }
            self.end_superseded();
            self.inject_faults();
        }
    }

    /// Starts a new agent of an endpoint. The earlier one resumes after `suspended_for`.
    pub fn restart(&mut self, index: usize, suspended_for: Duration) {
        let boot = self.current[index];
        let resume = self.now + suspended_for;
        if let Some(agent) = self.agents.iter_mut().find(|agent| agent.boot == boot) {
            agent.resumes_at = resume;
        }
        self.start_agent(index);
    }

    pub fn last_step(&self, index: usize) -> &Result<PlacementStep, StepWait> {
        let boot = self.current[index];
        &self
            .agents
            .iter()
            .find(|agent| agent.boot == boot)
            .unwrap()
            .last_step
    }

    pub fn chance(&mut self, rate: f64) -> bool {
        self.random.random_bool(rate)
    }

    pub fn random_duration(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.random_range(0.0..1.0))
    }

    fn start_agent(&mut self, index: usize) {
        self.sequence += 1;
        let boot = BootId(u128::from(self.sequence));
        self.current[index] = boot;
        let endpoint = self.rows[index].endpoint.clone();
        self.agents.push(Agent {
            index,
            boot,
            keeper: OrderKeeper::new(self.settings, boot),
            releases: ReleaseKeeper::new(endpoint, boot, self.sequence),
            stepper: MoveStepper::new(),
            resumes_at: self.now,
            view: Vec::new(),
            view_valid_until: ClockTime::ZERO,
            last_step: Err(StepWait::NotReady),
        });
    }

    /// Ends agents that have learned of a successor. If peers still address such an agent, the VM
    /// starts a new one.
    fn end_superseded(&mut self) {
        let ended = |agent: &Agent| agent.keeper.epoch() == EpochState::Superseded;
        for index in 0..self.engines.len() {
            let boot = self.current[index];
            if self
                .agents
                .iter()
                .any(|agent| agent.boot == boot && ended(agent))
            {
                self.start_agent(index);
            }
        }
        self.agents.retain(|agent| !ended(agent));
    }

    fn inject_faults(&mut self) {
        for index in 0..self.engines.len() {
            if self.chance(self.faults.restart) {
                let suspended_for = self.random_duration(Duration::from_secs(30));
                self.restart(index, suspended_for);
            }
            if self.chance(self.faults.pause) {
                let boot = self.current[index];
                let resume = self.now + self.random_duration(Duration::from_secs(15));
                if let Some(agent) = self.agents.iter_mut().find(|agent| agent.boot == boot) {
                    agent.resumes_at = resume;
                }
            }
        }
    }

    fn run_agent(&mut self, agent: usize) {
        if self.agents[agent].resumes_at > self.now {
            return;
        }
        self.refresh_view(agent);
        for _ in 0..4 {
            let attempts = RandomAttempts(self.random.random_bool(0.3));
            let now = self.now;
            let Agent {
                index,
                keeper,
                releases,
                stepper,
                view,
                last_step,
                ..
            } = &mut self.agents[agent];
            let replicas = AgentView(view, *index);
            let input = StepInput {
                plan: &self.rows[*index],
                config: &self.config,
                replicas: &replicas,
                attempts: &attempts,
            };
            *last_step = stepper.next_step(input, keeper, releases, now);
            match last_step.clone() {
                Ok(PlacementStep::RequestRelease { to, request }) => {
                    let to = self.rows.iter().position(|row| row.endpoint == to).unwrap();
                    self.post_lossy(&Message::Request(to, request));
                }
                Ok(_) => {}
                Err(_) => break,
            }
        }
        let Agent {
            keeper, releases, ..
        } = &mut self.agents[agent];
        for reply in releases.replies(keeper, self.now) {
            self.post_lossy(&Message::Answer(reply.answer));
        }
        let keeper = &mut self.agents[agent].keeper;
        for command in keeper.commands(&self.config, self.now) {
            self.execute(agent, command);
        }
    }

    fn refresh_view(&mut self, agent: usize) {
        if self.now < self.agents[agent].view_valid_until {
            return;
        }
        let lag = self.random_duration(Duration::from_secs(2));
        let view = self.rows.iter().zip(&self.engines).map(|(row, engine)| {
            let state = engine.state();
            let held = state.held.into_iter().map(|held| held.weights);
            let ready = held.filter(|weights| engine.is_ready(weights)).collect();
            (row.endpoint.clone(), ready)
        });
        let view = view.collect();
        self.agents[agent].view = view;
        self.agents[agent].view_valid_until = self.now + lag;
    }

    pub fn take_order(&mut self, index: usize, order: &EngineOrder) -> OrderOutcome {
        let before = self.served();
        let outcome = self.engines[index].take(order, self.now);
        self.orders_taken += u32::from(outcome == OrderOutcome::Accepted);
        let mut lost = before;
        lost.retain(|weights| !self.is_served(weights));
        for lost in lost {
            let text = format!(
                "{:?}: {order:?} at {index} made {lost:?} unreachable",
                self.now
            );
            self.violations.push(text);
        }
        let used = self.engines[index].used_mib(&self.config);
        if used > self.engines[index].memory_mib {
            let text = format!(
                "{:?}: {order:?} at {index} overcommits: {used} MiB",
                self.now
            );
            self.violations.push(text);
        }
        outcome
    }

    fn served(&self) -> Vec<WeightsKey> {
        let models = self.config.models.keys();
        let models = models.filter_map(|model| self.config.model_weights(model));
        let adapters = self.config.adapters.keys();
        let adapters = adapters.filter_map(|adapter| self.config.adapter_weights(adapter));
        let all = models.chain(adapters);
        all.filter(|weights| self.is_served(weights)).collect()
    }

    pub fn is_served(&self, weights: &WeightsKey) -> bool {
        self.engines.iter().any(|engine| engine.serves(weights))
    }
}
