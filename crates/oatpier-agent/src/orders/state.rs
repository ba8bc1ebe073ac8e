//! The decisions of the orders duty put together, without I/O.

use std::net::SocketAddr;
use std::sync::Arc;

use oatpier_placement::orders::{OrderCommand, OrderEvent, OrderKeeper, OrderSettings, PollTicket};
use oatpier_placement::record::RecordCall;
use oatpier_placement::release::{ReleaseAnswer, ReleaseKeeper, ReleaseReply, ReleaseRequest};
use oatpier_placement::repair::{RepairInput, RepairKeeper, RepairSettings};
use oatpier_placement::steps::{MoveStepper, PlacementStep, STEP_INTERVAL, StepInput};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::{FleetConfig, PoolKind};
use oatpier_types::engine::{EngineOrder, EngineRole, OrderAction, WeightsKey};
use oatpier_types::ids::BootId;
use oatpier_types::plan::EndpointPlan;
use tokio::sync::oneshot;

use super::knowledge::{DrainCounts, PlacementKnowledge};
use super::outlook::WeightsOutlook;
use super::spans::{MoveCause, MoveSpans, weights_of};
use crate::endpoint::EndpointIdentity;
use crate::news::{AsksNews, PlanNews, WeightsNews};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;

/// Steps that are taken at once. The rest comes with the next look.
const STEPS_AT_ONCE: usize = 4;

/// A call that the duty is to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrdersTask {
    /// Call the store about the endpoint's record.
    Record(RecordCall),
    /// Give the engine an order.
    Send(EngineOrder),
    /// Ask the engine's state.
    Poll(PollTicket),
    /// Ask another agent for a release.
    AskRelease {
        /// Where it listens.
        to: SocketAddr,
        /// The ask.
        ask: ReleaseRequest,
    },
}

/// What became of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrdersDone {
    /// A word of the engine or the store.
    Order(OrderEvent),
    /// Another agent's answer; none: lost.
    Released(Option<ReleaseAnswer>),
}

/// A release that another agent waits for.
struct WaitingAsk {
    boot: BootId,
    sequence: u64,
    reply: oneshot::Sender<ReleaseAnswer>,
}

/// The decisions of the orders duty.
pub struct OrdersState {
    identity: EndpointIdentity,
    boot: BootId,
    keeper: Option<OrderKeeper>,
    stepper: MoveStepper,
    releases: ReleaseKeeper,
    repair: RepairKeeper,
    config: Option<Arc<FleetConfig>>,
    knowledge: PlacementKnowledge,
    drains: DrainCounts,
    asks: Vec<WaitingAsk>,
    outlook: WeightsOutlook,
    leaving: bool,
    spans: MoveSpans,
    metrics: MetricSet,
}

impl OrdersState {
    /// The state of an agent that knows nothing yet.
    #[must_use]
    pub fn new(
        identity: EndpointIdentity,
        boot: BootId,
        seed: u64,
        metrics: MetricSet,
        tracer: HopTracer,
    ) -> Self {
        let (endpoint, pool) = (identity.endpoint.clone(), identity.pool.clone());
        Self {
            releases: ReleaseKeeper::new(endpoint.clone(), boot, seed),
            repair: RepairKeeper::new(RepairSettings::default(), endpoint.clone(), pool),
            knowledge: PlacementKnowledge::new(endpoint),
            identity,
            boot,
            keeper: None,
            stepper: MoveStepper::new(),
            config: None,
            drains: DrainCounts::default(),
            asks: Vec::new(),
            outlook: WeightsOutlook::default(),
            leaving: false,
            spans: MoveSpans::new(tracer, metrics.clone()),
            metrics,
        }
    }

    /// The agent leaves: it begins no more moves and grants no release, as its replicas go. What
    /// was ordered is still brought to its end.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// When to look again if nothing happens before.
    #[must_use]
    pub fn next_wake(&self, now: ClockTime) -> ClockTime {
        let wake = self.keeper.as_ref().map(|keeper| keeper.next_wake(now));
        wake.map_or(ClockTime::NEVER, |wake| wake.min(now + STEP_INTERVAL))
    }

    /// Takes what became of a task.
    pub fn done(&mut self, done: OrdersDone, now: ClockTime) {
        match done {
            OrdersDone::Order(event) => {
                if let (Some(keeper), Some(config)) = (&mut self.keeper, &self.config) {
                    keeper.on_event(event, config, now);
                }
            }
            // Given up when its time is over; a later answer is ignored.
            OrdersDone::Released(None) => {}
            OrdersDone::Released(Some(answer)) => self.releases.on_answer(answer, now),
        }
    }

    /// Takes what membership says.
    pub fn hear_plan(&mut self, news: PlanNews, _now: ClockTime) {
        match news {
            PlanNews::Config(config) => self.take_config(config),
            PlanNews::View(view) => self.knowledge.take_view(*view),
            PlanNews::Row(row) => self.knowledge.take_row(*row),
            PlanNews::Silent => self.knowledge.fall_silent(),
        }
    }

    /// Takes what the work duty says.
    pub fn hear_ask(&mut self, news: AsksNews, now: ClockTime) {
        match news {
            AsksNews::Drains { round, counts } => self.drains.take(round, counts),
            AsksNews::Release { ask, reply } => self.take_ask(ask, reply, now),
        }
    }

    fn take_config(&mut self, config: Arc<FleetConfig>) {
        if self.keeper.is_none() {
            self.keeper = self
                .settings(&config)
                .map(|settings| OrderKeeper::new(settings, self.boot));
        }
        self.config = Some(config);
    }

    /// None for a plain service, which takes no orders, and for an endpoint that is not
    /// configured.
    fn settings(&self, config: &FleetConfig) -> Option<OrderSettings> {
        let (_, pool) = config.pool_of(&self.identity.endpoint)?;
        match pool.kind {
            PoolKind::Engine {
                memory_mib,
                checks_order_numbers,
                ..
            } => Some(OrderSettings::new(checks_order_numbers, memory_mib)),
            PoolKind::Service { .. } => None,
        }
    }

    fn take_ask(
        &mut self,
        ask: ReleaseRequest,
        reply: oneshot::Sender<ReleaseAnswer>,
        now: ClockTime,
    ) {
        let (boot, sequence) = (ask.boot, ask.sequence);
        let keeper = self.keeper.as_mut().filter(|_| !self.leaving);
        let Some(keeper) = keeper else {
            let granted = false;
            // An agent that has given its ask up needs no answer.
            let _ = reply.send(ReleaseAnswer {
                boot,
                sequence,
                granted,
            });
            return;
        };
        self.releases.on_request(ask, keeper, now);
        self.asks.push(WaitingAsk {
            boot,
            sequence,
            reply,
        });
    }

    /// Takes the steps that can be taken, and says which calls to make.
    pub fn step(&mut self, now: ClockTime) -> Vec<OrdersTask> {
        let mut tasks = Vec::new();
        let (Some(mut keeper), Some(config)) = (self.keeper.take(), self.config.clone()) else {
            return tasks;
        };
        if !self.leaving {
            self.take_steps(&mut keeper, &config, now, &mut tasks);
        }
        let commands = keeper.commands(&config, now);
        tasks.extend(commands.into_iter().map(|command| match command {
            OrderCommand::CallStore(call) => OrdersTask::Record(call),
            OrderCommand::Send(order) => OrdersTask::Send(order),
            OrderCommand::Poll(ticket) => OrdersTask::Poll(ticket),
        }));
        self.answer_asks(&keeper, now);
        self.note(&keeper, now);
        self.keeper = Some(keeper);
        tasks
    }

    fn take_steps(
        &mut self,
        keeper: &mut OrderKeeper,
        config: &FleetConfig,
        now: ClockTime,
        tasks: &mut Vec<OrdersTask>,
    ) {
        let Some(row) = self.row(keeper, config, now) else {
            return;
        };
        for _ in 0..STEPS_AT_ONCE {
            let input = StepInput {
                plan: &row,
                config,
                replicas: &self.knowledge,
                attempts: &self.drains,
            };
            let step = self
                .stepper
                .next_step(input, keeper, &mut self.releases, now);
            match step {
                Ok(step) => self.take_step(step, tasks),
                Err(_) => return,
            }
        }
    }

    /// What the endpoint is to hold; none: leave it as it is.
    fn row(
        &mut self,
        keeper: &OrderKeeper,
        config: &FleetConfig,
        now: ClockTime,
    ) -> Option<EndpointPlan> {
        let plan = self.knowledge.plan();
        if !self.knowledge.is_heard() {
            return plan.cloned();
        }
        let replicas = self.knowledge.for_repair();
        let input = RepairInput {
            config,
            live: self.knowledge.live(),
            replicas: &replicas,
            plan,
        };
        let mut row = self.repair.repaired_row(&input, keeper, now);
        if plan.is_some() {
            return Some(row);
        }
        // Nobody asked for anything to go, so what a former agent began to load stays as well.
        self.repair.repaired_weights().next()?;
        let there = keeper.ledger().charges();
        let there = there.filter(|(_, charge)| charge.held.is_some() || charge.is_ordered);
        for (weights, _) in there {
            if !row.weights.contains(weights) {
                row.weights.push(weights.clone());
            }
        }
        Some(row)
    }

    fn take_step(&mut self, step: PlacementStep, tasks: &mut Vec<OrdersTask>) {
        match step {
            PlacementStep::Ordered(action) => {
                let cause = self.cause_of(&action);
                self.spans.begin(&action, cause);
            }
            PlacementStep::RequestRelease { to, request: ask } => {
                let address = self.knowledge.address_of(&to);
                tasks.extend(address.map(|to| OrdersTask::AskRelease { to, ask }));
            }
            PlacementStep::StartDrain(_) | PlacementStep::ResumeServing(_) => {
                self.drains.next_round();
            }
        }
    }

    fn cause_of(&self, action: &OrderAction) -> MoveCause {
        let repaired = weights_of(action)
            .is_some_and(|weights| self.repair.repaired_weights().any(|taken| taken == weights));
        if repaired {
            MoveCause::Repair
        } else {
            MoveCause::Plan
        }
    }

    fn answer_asks(&mut self, keeper: &OrderKeeper, now: ClockTime) {
        for reply in self.releases.replies(keeper, now) {
            self.answer_ask(&reply);
        }
        self.asks.retain(|ask| !ask.reply.is_closed());
    }

    fn answer_ask(&mut self, reply: &ReleaseReply) {
        let mut answer = reply.answer;
        // It may have begun to leave since the ask came.
        answer.granted &= !self.leaving;
        let is_it = |ask: &WaitingAsk| (ask.boot, ask.sequence) == (answer.boot, answer.sequence);
        if let Some(place) = self.asks.iter().position(is_it) {
            let _ = self.asks.swap_remove(place).reply.send(answer);
        }
    }

    fn note(&mut self, keeper: &OrderKeeper, now: ClockTime) {
        self.spans.end(|action| match weights_of(action) {
            Some(weights) => keeper.has_pending_order(weights),
            None => keeper.has_pending_role_order(),
        });
        let charged = keeper.ledger().charged_mib(now);
        let charged = i64::try_from(charged).unwrap_or(i64::MAX);
        self.metrics.charged_mib.set(charged);
        self.outlook.observe(keeper, now);
    }

    /// The weights as callers may use them.
    #[must_use]
    pub fn weights_news(&self, now: ClockTime) -> WeightsNews {
        let mut news = WeightsNews {
            round: self.drains.round(),
            ..WeightsNews::default()
        };
        if let Some(keeper) = &self.keeper {
            self.outlook.fill(&mut news, keeper, &self.stepper, now);
        }
        news
    }

    /// The weights that an entry is to be asked about: all that could be in memory, and all that
    /// are planned.
    #[must_use]
    pub fn weights_in_question(&self) -> Vec<WeightsKey> {
        let charges = self.keeper.iter().flat_map(|keeper| {
            let charges = keeper.ledger().charges();
            charges.map(|(weights, _)| weights.clone())
        });
        let mut weights: Vec<WeightsKey> = charges.collect();
        let planned = self.knowledge.plan().into_iter();
        for planned in planned.flat_map(|row| &row.weights) {
            if !weights.contains(planned) {
                weights.push(planned.clone());
            }
        }
        weights
    }

    /// The decisions about orders; none before a configuration, or for a plain service.
    #[must_use]
    pub fn keeper(&self) -> Option<&OrderKeeper> {
        self.keeper.as_ref()
    }

    /// The engine's role, as it last said.
    #[must_use]
    pub fn role(&self) -> Option<EngineRole> {
        self.keeper.as_ref().and_then(OrderKeeper::role)
    }
}
