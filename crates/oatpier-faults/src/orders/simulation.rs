//! Agents, engines and a store, simulated in ticks.

use std::time::Duration;

use oatpier_placement::orders::{OrderEvent, OrderKeeper, OrderSettings, PollTicket};
use oatpier_placement::record::{EpochState, RecordCall, StoredRecord};
use oatpier_placement::release::{ReleaseAnswer, ReleaseKeeper, ReleaseRequest};
use oatpier_placement::steps::{MoveStepper, PlacementStep, StepInput};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{EngineOrder, WeightsKey};
use oatpier_types::event::{FleetEvent, LoggedEvent};
use oatpier_types::ids::BootId;
use oatpier_types::names::{EndpointName, ModelName};
use oatpier_types::plan::EndpointPlan;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::engine::OrderedEngine;
use super::scenario::{self, ENGINES, MEMORY_MIB, MODELS};
use super::view::{RunningRequests, StaleView, WorkCount, has_requests_on};
use crate::injection::InjectionPlan;
use crate::queue::EventQueue;
use crate::request::name;
use crate::run::{Bypass, RunReport, RunSpec};
use crate::step::StepName;

pub const TICK: Duration = Duration::from_millis(50);
/// Time at which the second plan comes into force and fault injection starts.
const SECOND_PLAN: ClockTime = ClockTime::from_millis(20_000);
/// Time at which the third plan comes into force.
const THIRD_PLAN: ClockTime = ClockTime::from_millis(30_000);
/// Time that requests still run on weights after a plan has changed.
const REQUEST_DURATION: Duration = Duration::from_secs(2);
/// The earliest end of a run: messages may be in flight until then.
const EARLIEST_END: ClockTime = ClockTime::from_millis(60_000);
/// The latest end of a run.
const RUN_END: ClockTime = ClockTime::from_millis(400_000);

#[derive(Debug, Clone)]
pub enum OrderMessage {
    Order(usize, BootId, EngineOrder, bool),
    StoreCall(usize, BootId, RecordCall, bool),
    Poll(usize, BootId, PollTicket),
    Event(BootId, OrderEvent),
    ReleaseRequest(usize, ReleaseRequest),
    ReleaseAnswer(ReleaseAnswer),
    Start(usize),
}

pub struct OrderAgent {
    pub index: usize,
    pub boot: BootId,
    pub keeper: OrderKeeper,
    pub releases: ReleaseKeeper,
    pub stepper: MoveStepper,
    pub paused_until: ClockTime,
    view: Vec<(EndpointName, Vec<WeightsKey>)>,
    view_until: ClockTime,
}

pub struct OrderSimulation {
    pub run_spec: RunSpec,
    pub plan: InjectionPlan,
    pub random: ChaCha8Rng,
    pub now: ClockTime,
    pub config: FleetConfig,
    rows: Vec<EndpointPlan>,
    pub engines: Vec<OrderedEngine>,
    pub agents: Vec<OrderAgent>,
    /// By endpoint: the agent that its peers reach.
    pub current: Vec<Option<BootId>>,
    pub store: Vec<Option<StoredRecord>>,
    pub queue: EventQueue<OrderMessage>,
    pub store_down_until: ClockTime,
    pub store_slow_until: ClockTime,
    pub answers_to_lose: u32,
    /// Messages between an agent and its engine are lost until then, by direction.
    pub cut_to: [ClockTime; ENGINES],
    pub cut_from: [ClockTime; ENGINES],
    pub slow_until: [ClockTime; ENGINES],
    /// Requests that run since the plan changed.
    work: Vec<RunningRequests>,
    boots: u64,
    pub checks_numbers: bool,
    ready_replicas: Vec<u32>,
    used: Vec<u64>,
    pub report: RunReport,
}

impl OrderSimulation {
    pub fn new(run_spec: &RunSpec) -> Self {
        // With engines that check order numbers, agents write no intents to the store.
        let intents = run_spec
            .injections
            .iter()
            .any(|injection| injection.step == StepName::OrderIntent);
        let checks_numbers = run_spec.seed.is_multiple_of(2) && !intents;
        let mut simulation = Self {
            plan: run_spec.plan(),
            random: run_spec.generator(),
            run_spec: run_spec.clone(),
            now: ClockTime::ZERO,
            config: scenario::config("v1", checks_numbers),
            rows: scenario::first_plan(),
            engines: vec![OrderedEngine::new(checks_numbers, MEMORY_MIB); ENGINES],
            agents: Vec::new(),
            current: vec![None; ENGINES],
            store: vec![None; ENGINES],
            queue: EventQueue::default(),
            store_down_until: ClockTime::ZERO,
            store_slow_until: ClockTime::ZERO,
            answers_to_lose: 0,
            cut_to: [ClockTime::ZERO; ENGINES],
            cut_from: [ClockTime::ZERO; ENGINES],
            slow_until: [ClockTime::ZERO; ENGINES],
            work: Vec::new(),
            boots: 0,
            checks_numbers,
            ready_replicas: vec![0; MODELS.len()],
            used: vec![0; ENGINES],
            report: RunReport::default(),
        };
        for index in 0..ENGINES {
            simulation.start_agent(index);
        }
        simulation
    }

    pub fn run(mut self) -> RunReport {
        while self.now < RUN_END {
            self.now = self.now + TICK;
            if self.now == SECOND_PLAN {
                self.config = scenario::config("v2", self.checks_numbers);
                self.rows = scenario::second_plan();
                self.start_requests();
            }
            if self.now == THIRD_PLAN {
                self.rows = scenario::third_plan();
                self.start_requests();
            }
            self.tick();
            if self.now >= EARLIEST_END && self.is_settled() {
                break;
            }
        }
        if !self.is_settled() {
            let held: Vec<_> = self.engines.iter().map(OrderedEngine::state).collect();
            self.report
                .findings
                .push(format!("the last plan was not completed: {held:?}"));
        }
        self.report.all_injected = self.plan.is_exhausted();
        self.report
    }

    fn tick(&mut self) {
        for engine in &mut self.engines {
            engine.advance(self.now);
        }
        while let Some((_, message)) = self.queue.take(self.now) {
            self.deliver(message);
        }
        for agent in 0..self.agents.len() {
            self.run_agent(agent);
        }
        self.end_superseded();
        self.observe();
    }

    fn is_settled(&self) -> bool {
        let mut rows = self.rows.iter().zip(&self.engines);
        rows.all(|(row, engine)| engine.holds_exactly(&row.weights))
    }

    /// Returns whether faults may be injected at a step yet.
    pub fn is_injectable(&self, step: StepName) -> bool {
        step == StepName::StartEpoch || self.now >= SECOND_PLAN
    }

    /// Starts requests on all weights that accept new ones when a plan comes into force.
    fn start_requests(&mut self) {
        let (now, until) = (self.now, self.now + REQUEST_DURATION);
        let current = &self.current;
        let present = self.agents.iter();
        let present = present.filter(|agent| current[agent.index] == Some(agent.boot));
        self.work = present
            .flat_map(|agent| {
                let held = self.engines[agent.index].state().held.into_iter();
                let held = held.map(|held| held.weights);
                let taken = held.filter(|weights| {
                    agent.stepper.accepts_new(weights)
                        && !agent.keeper.may_be_unloaded(weights, now)
                });
                taken.map(|weights| RunningRequests {
                    index: agent.index,
                    weights,
                    until,
                })
            })
            .collect();
    }

    /// Ends the requests at an endpoint, which end with its agent.
    pub fn end_requests(&mut self, index: usize) {
        self.work.retain(|work| work.index != index);
    }

    /// Returns whether requests run on weights of an endpoint.
    pub fn has_requests(&self, index: usize, weights: &WeightsKey) -> bool {
        has_requests_on(&self.work, index, weights, self.now)
    }

    pub fn start_agent(&mut self, index: usize) {
        self.end_requests(index);
        self.boots += 1;
        let boot = BootId(u128::from(self.boots));
        self.current[index] = Some(boot);
        let mut settings = OrderSettings::new(self.checks_numbers, MEMORY_MIB);
        if self.run_spec.bypasses(Bypass::UnknownOrders) {
            settings.late_order_hold = Duration::ZERO;
        }
        let endpoint = scenario::endpoint(index);
        self.agents.push(OrderAgent {
            index,
            boot,
            keeper: OrderKeeper::new(settings, boot),
            releases: ReleaseKeeper::new(endpoint, boot, self.run_spec.seed + self.boots),
            stepper: MoveStepper::new(),
            paused_until: self.now,
            view: Vec::new(),
            view_until: ClockTime::ZERO,
        });
    }

    /// Removes the agents that a later one has superseded. If one of them was the agent that peers reach, the VM
    /// restarts it.
    fn end_superseded(&mut self) {
        let ended = |agent: &OrderAgent| agent.keeper.epoch() == EpochState::Superseded;
        let current = self.current.clone();
        let replaced = self.agents.iter().filter(|agent| ended(agent));
        let replaced = replaced.filter(|agent| current[agent.index] == Some(agent.boot));
        let replaced: Vec<usize> = replaced.map(|agent| agent.index).collect();
        self.agents.retain(|agent| !ended(agent));
        for index in replaced {
            self.start_agent(index);
        }
    }

    fn run_agent(&mut self, agent_index: usize) {
        if self.agents[agent_index].paused_until > self.now {
            return;
        }
        self.refresh_view(agent_index);
        self.take_steps(agent_index);
        let OrderAgent {
            keeper, releases, ..
        } = &mut self.agents[agent_index];
        for reply in releases.replies(keeper, self.now) {
            self.send_release(OrderMessage::ReleaseAnswer(reply.answer));
        }
        let commands = self.agents[agent_index]
            .keeper
            .commands(&self.config, self.now);
        for command in commands {
            self.execute_command(agent_index, command);
        }
    }

    fn take_steps(&mut self, agent_index: usize) {
        for _ in 0..4 {
            let now = self.now;
            let agent = &mut self.agents[agent_index];
            let replicas = StaleView(&agent.view, agent.index);
            let attempts = WorkCount(&self.work, agent.index, now);
            let input = StepInput {
                plan: &self.rows[agent.index],
                config: &self.config,
                replicas: &replicas,
                attempts: &attempts,
            };
            let OrderAgent {
                keeper,
                releases,
                stepper,
                ..
            } = agent;
            let Ok(step) = stepper.next_step(input, keeper, releases, now) else {
                return;
            };
            self.take_step(agent_index, step);
        }
    }

    fn take_step(&mut self, agent_index: usize, step: PlacementStep) {
        match step {
            PlacementStep::RequestRelease { to, request } => {
                if self.run_spec.bypasses(Bypass::Release) {
                    let answer = ReleaseAnswer {
                        boot: request.boot,
                        sequence: request.sequence,
                        granted: true,
                    };
                    self.agents[agent_index]
                        .releases
                        .on_answer(answer, self.now);
                    return;
                }
                let to = (0..ENGINES).find(|index| scenario::endpoint(*index) == to);
                if let Some(to) = to {
                    self.send_release(OrderMessage::ReleaseRequest(to, request));
                }
            }
            PlacementStep::StartDrain(_) => {
                let index = self.agents[agent_index].index;
                self.inject_at(StepName::MoveDrain, index);
            }
            PlacementStep::Ordered(_) | PlacementStep::ResumeServing(_) => {}
        }
    }

    fn refresh_view(&mut self, agent_index: usize) {
        if self.now < self.agents[agent_index].view_until {
            return;
        }
        let lag = Duration::from_millis(self.random.random_range(0..2_000));
        let known = self.rows.iter().zip(&self.engines);
        let view = known.map(|(row, engine)| {
            let held = engine.state().held.into_iter().map(|held| held.weights);
            let ready = held.filter(|weights| engine.is_ready(weights)).collect();
            (row.endpoint.clone(), ready)
        });
        let view = view.collect();
        self.agents[agent_index].view = view;
        self.agents[agent_index].view_until = self.now + lag;
    }

    pub fn log_event(&mut self, event: FleetEvent) {
        let at = self.now;
        self.report.log.push(LoggedEvent { at, event });
    }

    /// Logs changes of what is externally visible: used memory and ready replicas.
    pub fn observe(&mut self) {
        for index in 0..ENGINES {
            let used_mib = self.engines[index].used_mib(&self.config);
            if std::mem::replace(&mut self.used[index], used_mib) != used_mib {
                self.log_event(FleetEvent::MemoryUsed {
                    endpoint: scenario::endpoint(index),
                    used_mib,
                    total_mib: MEMORY_MIB,
                });
            }
        }
        for (model_index, raw) in MODELS.into_iter().enumerate() {
            let model: ModelName = name(raw);
            let serving = self
                .engines
                .iter()
                .filter(|engine| engine.serves(&model))
                .count();
            let count = u32::try_from(serving).unwrap_or(u32::MAX);
            if std::mem::replace(&mut self.ready_replicas[model_index], count) != count {
                self.log_event(FleetEvent::ReplicasReady { model, count });
            }
        }
    }
}
