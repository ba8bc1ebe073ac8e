//! Agents, engines and a store, tick by tick.

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
use super::view::{OldView, RunningWork, WorkCount, runs_on};
use crate::queue::EventQueue;
use crate::request::name;
use crate::run::{Bypass, RunOrder, RunReport};
use crate::step::StepName;
use crate::strike::StrikePlan;

pub const TICK: Duration = Duration::from_millis(50);
/// The second plan comes into force; faults strike from here on.
const SECOND_PLAN: ClockTime = ClockTime::from_millis(20_000);
/// The third plan comes into force.
const THIRD_PLAN: ClockTime = ClockTime::from_millis(30_000);
/// How long requests still run on what is to go.
const DRAIN_SPAN: Duration = Duration::from_secs(2);
/// The earliest end of a run: messages are under way until then.
const SETTLED_FROM: ClockTime = ClockTime::from_millis(60_000);
/// The latest.
const LAST_MOMENT: ClockTime = ClockTime::from_millis(400_000);

#[derive(Debug, Clone)]
pub enum OrderMessage {
    Order(usize, BootId, EngineOrder, bool),
    StoreCall(usize, BootId, RecordCall, bool),
    Poll(usize, BootId, PollTicket),
    Event(BootId, OrderEvent),
    Ask(usize, ReleaseRequest),
    Answer(ReleaseAnswer),
    Start(usize),
}

pub struct OrderAgent {
    pub index: usize,
    pub boot: BootId,
    pub keeper: OrderKeeper,
    pub releases: ReleaseKeeper,
    pub stepper: MoveStepper,
    pub awake_from: ClockTime,
    view: Vec<(EndpointName, Vec<WeightsKey>)>,
    view_until: ClockTime,
}

pub struct OrderWorld {
    pub order: RunOrder,
    pub plan: StrikePlan,
    pub random: ChaCha8Rng,
    pub now: ClockTime,
    pub config: FleetConfig,
    rows: Vec<EndpointPlan>,
    pub engines: Vec<OrderedEngine>,
    pub agents: Vec<OrderAgent>,
    /// The agent that each endpoint's peers reach.
    pub current: Vec<Option<BootId>>,
    pub store: Vec<Option<StoredRecord>>,
    pub queue: EventQueue<OrderMessage>,
    pub store_down_until: ClockTime,
    pub store_slow_until: ClockTime,
    pub answers_to_lose: u32,
    /// Messages between an agent and its engine are lost, by direction.
    pub cut_to: [ClockTime; ENGINES],
    pub cut_from: [ClockTime; ENGINES],
    pub slow_until: [ClockTime; ENGINES],
    /// What runs since the plan changed.
    work: Vec<RunningWork>,
    boots: u64,
    pub checks: bool,
    served: Vec<u32>,
    used: Vec<u64>,
    pub report: RunReport,
}

impl OrderWorld {
    pub fn new(order: &RunOrder) -> Self {
        // An engine that checks numbers needs no intents in the store.
        let intents = order
            .strikes
            .iter()
            .any(|strike| strike.step == StepName::OrderIntent);
        let checks = order.seed.is_multiple_of(2) && !intents;
        let mut world = Self {
            plan: order.plan(),
            random: order.generator(),
            order: order.clone(),
            now: ClockTime::ZERO,
            config: scenario::config("v1", checks),
            rows: scenario::first_plan(),
            engines: vec![OrderedEngine::new(checks, MEMORY_MIB); ENGINES],
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
            checks,
            served: vec![0; MODELS.len()],
            used: vec![0; ENGINES],
            report: RunReport::default(),
        };
        for index in 0..ENGINES {
            world.start_agent(index);
        }
        world
    }

    pub fn run(mut self) -> RunReport {
        while self.now < LAST_MOMENT {
            self.now = self.now + TICK;
            if self.now == SECOND_PLAN {
                self.config = scenario::config("v2", self.checks);
                self.rows = scenario::second_plan();
                self.begin_work();
            }
            if self.now == THIRD_PLAN {
                self.rows = scenario::third_plan();
                self.begin_work();
            }
            self.tick();
            if self.now >= SETTLED_FROM && self.is_settled() {
                break;
            }
        }
        if !self.is_settled() {
            let held: Vec<_> = self.engines.iter().map(OrderedEngine::state).collect();
            self.report
                .findings
                .push(format!("the last plan is not carried out: {held:?}"));
        }
        self.report.struck = self.plan.is_spent();
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
        rows.all(|(row, engine)| engine.holds_just(&row.weights))
    }

    /// Whether the faults of a step may strike yet.
    pub fn is_armed(&self, step: StepName) -> bool {
        step == StepName::StartEpoch || self.now >= SECOND_PLAN
    }

    /// Requests run on all that takes new ones when a plan comes into force.
    fn begin_work(&mut self) {
        let (now, until) = (self.now, self.now + DRAIN_SPAN);
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
                taken.map(|weights| RunningWork {
                    index: agent.index,
                    weights,
                    until,
                })
            })
            .collect();
    }

    /// What runs at an endpoint ends with its agent.
    pub fn end_work(&mut self, index: usize) {
        self.work.retain(|work| work.index != index);
    }

    /// Whether requests run on weights of an endpoint.
    pub fn is_working(&self, index: usize, weights: &WeightsKey) -> bool {
        runs_on(&self.work, index, weights, self.now)
    }

    pub fn start_agent(&mut self, index: usize) {
        self.end_work(index);
        self.boots += 1;
        let boot = BootId(u128::from(self.boots));
        self.current[index] = Some(boot);
        let mut settings = OrderSettings::new(self.checks, MEMORY_MIB);
        if self.order.omits(Bypass::UnknownOrders) {
            settings.late_order_hold = Duration::ZERO;
        }
        let endpoint = scenario::endpoint(index);
        self.agents.push(OrderAgent {
            index,
            boot,
            keeper: OrderKeeper::new(settings, boot),
            releases: ReleaseKeeper::new(endpoint, boot, self.order.seed + self.boots),
            stepper: MoveStepper::new(),
            awake_from: self.now,
            view: Vec::new(),
            view_until: ClockTime::ZERO,
        });
    }

    /// An agent that learns of a later one ends. Where it was the one that peers reach, the VM
    /// starts it anew.
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

    fn run_agent(&mut self, place: usize) {
        if self.agents[place].awake_from > self.now {
            return;
        }
        self.refresh_view(place);
        self.take_steps(place);
        let OrderAgent {
            keeper, releases, ..
        } = &mut self.agents[place];
        for reply in releases.replies(keeper, self.now) {
            self.send_between(OrderMessage::Answer(reply.answer));
        }
        let commands = self.agents[place].keeper.commands(&self.config, self.now);
        for command in commands {
            self.carry_out(place, command);
        }
    }

    fn take_steps(&mut self, place: usize) {
        for _ in 0..4 {
            let now = self.now;
            let agent = &mut self.agents[place];
            let replicas = OldView(&agent.view, agent.index);
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
            self.take_step(place, step);
        }
    }

    fn take_step(&mut self, place: usize, step: PlacementStep) {
        match step {
            PlacementStep::RequestRelease { to, request: ask } => {
                if self.order.omits(Bypass::Release) {
                    let answer = ReleaseAnswer {
                        boot: ask.boot,
                        sequence: ask.sequence,
                        granted: true,
                    };
                    self.agents[place].releases.on_answer(answer, self.now);
                    return;
                }
                let to = (0..ENGINES).find(|index| scenario::endpoint(*index) == to);
                if let Some(to) = to {
                    self.send_between(OrderMessage::Ask(to, ask));
                }
            }
            PlacementStep::StartDrain(_) => {
                let index = self.agents[place].index;
                self.pass(StepName::MoveDrain, index);
            }
            PlacementStep::Ordered(_) | PlacementStep::ResumeServing(_) => {}
        }
    }

    fn refresh_view(&mut self, place: usize) {
        if self.now < self.agents[place].view_until {
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
        self.agents[place].view = view;
        self.agents[place].view_until = self.now + lag;
    }

    pub fn note(&mut self, event: FleetEvent) {
        let at = self.now;
        self.report.log.push(LoggedEvent { at, event });
    }

    /// What can be seen from outside: memory and ready replicas.
    pub fn observe(&mut self) {
        for index in 0..ENGINES {
            let used_mib = self.engines[index].used_mib(&self.config);
            if std::mem::replace(&mut self.used[index], used_mib) != used_mib {
                self.note(FleetEvent::MemoryUsed {
                    endpoint: scenario::endpoint(index),
                    used_mib,
                    total_mib: MEMORY_MIB,
                });
            }
        }
        for (place, raw) in MODELS.into_iter().enumerate() {
            let model: ModelName = name(raw);
            let serving = self
                .engines
                .iter()
                .filter(|engine| engine.serves(&model))
                .count();
            let count = u32::try_from(serving).unwrap_or(u32::MAX);
            if std::mem::replace(&mut self.served[place], count) != count {
                self.note(FleetEvent::ReplicasReady { model, count });
            }
        }
    }
}
