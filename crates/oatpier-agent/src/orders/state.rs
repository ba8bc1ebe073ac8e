//! The decisions of the orders duty, without I/O.

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

use super::loads::LoadTracker;
use super::placement::{DrainCounts, PlacementCache};
use super::spans::{MoveCause, MoveSpans, order_weights};
use crate::channels::{OrdersMessage, PlanUpdate, WeightsUpdate};
use crate::endpoint::EndpointIdentity;
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;

/// Maximum number of steps in one call of `step`. Further steps follow in the next call.
const MAX_STEPS: usize = 4;

/// A call that the duty must make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrdersTask {
    /// Call the store about the endpoint's record.
    Record(RecordCall),
    /// Send an order to the engine.
    Send(EngineOrder),
    /// Query the engine's state.
    Poll(PollTicket),
    /// Request a release from another agent.
    RequestRelease {
        /// Address of the other agent.
        to: SocketAddr,
        /// The request.
        request: ReleaseRequest,
    },
}

/// Result of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskResult {
    /// An event of the engine or the store.
    Order(OrderEvent),
    /// Another agent's answer, or `None` if the answer was lost.
    Released(Option<ReleaseAnswer>),
}

/// A release request of another agent that is not answered yet.
struct PendingRelease {
    boot: BootId,
    sequence: u64,
    reply: oneshot::Sender<ReleaseAnswer>,
}

/// State and decisions of the orders duty.
pub struct OrdersState {
    identity: EndpointIdentity,
    boot: BootId,
    keeper: Option<OrderKeeper>,
    stepper: MoveStepper,
    releases: ReleaseKeeper,
    repair: RepairKeeper,
    config: Option<Arc<FleetConfig>>,
    placement: PlacementCache,
    drains: DrainCounts,
    requests: Vec<PendingRelease>,
    loads: LoadTracker,
    is_leaving: bool,
    spans: MoveSpans,
    metrics: MetricSet,
}

impl OrdersState {
    /// Creates the state of an agent that has no configuration and no plan yet.
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
            placement: PlacementCache::new(endpoint),
            identity,
            boot,
            keeper: None,
            stepper: MoveStepper::new(),
            config: None,
            drains: DrainCounts::default(),
            requests: Vec::new(),
            loads: LoadTracker::default(),
            is_leaving: false,
            spans: MoveSpans::new(tracer, metrics.clone()),
            metrics,
        }
    }

    /// Makes the agent leave: it starts no more moves, and grants no release, since its own
    /// replicas go away. Moves that were already ordered are still completed.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns when `step` must be called again if no event occurs before.
    #[must_use]
    pub fn next_wake(&self, now: ClockTime) -> ClockTime {
        let wake = self.keeper.as_ref().map(|keeper| keeper.next_wake(now));
        wake.map_or(ClockTime::NEVER, |wake| wake.min(now + STEP_INTERVAL))
    }

    /// Applies the result of a task.
    pub fn apply_result(&mut self, done: TaskResult, now: ClockTime) {
        match done {
            TaskResult::Order(event) => {
                if let (Some(keeper), Some(config)) = (&mut self.keeper, &self.config) {
                    keeper.on_event(event, config, now);
                }
            }
            // The request times out by itself, and a later answer is ignored.
            TaskResult::Released(None) => {}
            TaskResult::Released(Some(answer)) => self.releases.on_answer(answer, now),
        }
    }

    /// Applies an update from membership.
    pub fn apply_plan_update(&mut self, update: PlanUpdate, _now: ClockTime) {
        match update {
            PlanUpdate::Config(config) => self.apply_config(config),
            PlanUpdate::View(view) => self.placement.apply_view(*view),
            PlanUpdate::Row(row) => self.placement.apply_row(*row),
            PlanUpdate::ViewExpired => self.placement.clear_replicas(),
        }
    }

    /// Handles a message from the work duty.
    pub fn handle_message(&mut self, message: OrdersMessage, now: ClockTime) {
        match message {
            OrdersMessage::Drains { round, counts } => self.drains.update(round, counts),
            OrdersMessage::Release { request, reply } => self.handle_release(request, reply, now),
        }
    }

    fn apply_config(&mut self, config: Arc<FleetConfig>) {
        if self.keeper.is_none() {
            self.keeper = self
                .settings(&config)
                .map(|settings| OrderKeeper::new(settings, self.boot));
        }
        self.config = Some(config);
    }

    /// Returns `None` for a plain service, which takes no orders, and for an endpoint that is not
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

    fn handle_release(
        &mut self,
        request: ReleaseRequest,
        reply: oneshot::Sender<ReleaseAnswer>,
        now: ClockTime,
    ) {
        let (boot, sequence) = (request.boot, request.sequence);
        let keeper = self.keeper.as_mut().filter(|_| !self.is_leaving);
        let Some(keeper) = keeper else {
            let granted = false;
            // The error is ignored: an agent that has abandoned its request needs no answer.
            let _ = reply.send(ReleaseAnswer {
                boot,
                sequence,
                granted,
            });
            return;
        };
        self.releases.on_request(request, keeper, now);
        self.requests.push(PendingRelease {
            boot,
            sequence,
            reply,
        });
    }

    /// Takes the steps that are possible now, and returns the calls to make.
    pub fn step(&mut self, now: ClockTime) -> Vec<OrdersTask> {
        let mut tasks = Vec::new();
        let (Some(mut keeper), Some(config)) = (self.keeper.take(), self.config.clone()) else {
            return tasks;
        };
        if !self.is_leaving {
            self.take_steps(&mut keeper, &config, now, &mut tasks);
        }
        let commands = keeper.commands(&config, now);
        tasks.extend(commands.into_iter().map(|command| match command {
            OrderCommand::CallStore(call) => OrdersTask::Record(call),
            OrderCommand::Send(order) => OrdersTask::Send(order),
            OrderCommand::Poll(ticket) => OrdersTask::Poll(ticket),
        }));
        self.answer_requests(&keeper, now);
        self.update_metrics(&keeper, now);
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
        for _ in 0..MAX_STEPS {
            let input = StepInput {
                plan: &row,
                config,
                replicas: &self.placement,
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

    /// Returns the weights and role that the endpoint should have, or `None` to leave it unchanged.
    fn row(
        &mut self,
        keeper: &OrderKeeper,
        config: &FleetConfig,
        now: ClockTime,
    ) -> Option<EndpointPlan> {
        let plan = self.placement.plan();
        if !self.placement.has_replica_view() {
            return plan.cloned();
        }
        let replicas = self.placement.for_repair();
        let input = RepairInput {
            config,
            live: self.placement.live(),
            replicas: &replicas,
            plan,
        };
        let mut row = self.repair.repaired_row(&input, keeper, now);
        if plan.is_some() {
            return Some(row);
        }
        // Without a plan nothing is to be unloaded, so weights that a previous agent began to load
        // stay as well.
        self.repair.repaired_weights().next()?;
        let loaded = keeper.ledger().charges();
        let loaded = loaded.filter(|(_, charge)| charge.held.is_some() || charge.is_ordered);
        for (weights, _) in loaded {
            if !row.weights.contains(weights) {
                row.weights.push(weights.clone());
            }
        }
        Some(row)
    }

    fn take_step(&mut self, step: PlacementStep, tasks: &mut Vec<OrdersTask>) {
        match step {
            PlacementStep::Ordered(action) => {
                let cause = self.move_cause(&action);
                self.spans.begin(&action, cause);
            }
            PlacementStep::RequestRelease { to, request } => {
                let address = self.placement.address_of(&to);
                tasks.extend(address.map(|to| OrdersTask::RequestRelease { to, request }));
            }
            PlacementStep::StartDrain(_) | PlacementStep::ResumeServing(_) => {
                self.drains.next_round();
            }
        }
    }

    fn move_cause(&self, action: &OrderAction) -> MoveCause {
        let repaired = order_weights(action)
            .is_some_and(|weights| self.repair.repaired_weights().any(|taken| taken == weights));
        if repaired {
            MoveCause::Repair
        } else {
            MoveCause::Plan
        }
    }

    fn answer_requests(&mut self, keeper: &OrderKeeper, now: ClockTime) {
        for reply in self.releases.replies(keeper, now) {
            self.answer_request(&reply);
        }
        self.requests.retain(|request| !request.reply.is_closed());
    }

    fn answer_request(&mut self, reply: &ReleaseReply) {
        let mut answer = reply.answer;
        // This agent may have begun to leave since the request arrived.
        answer.granted &= !self.is_leaving;
        let is_match = |request: &PendingRelease| {
            (request.boot, request.sequence) == (answer.boot, answer.sequence)
        };
        if let Some(index) = self.requests.iter().position(is_match) {
            let _ = self.requests.swap_remove(index).reply.send(answer);
        }
    }

    fn update_metrics(&mut self, keeper: &OrderKeeper, now: ClockTime) {
        self.spans.end(|action| match order_weights(action) {
            Some(weights) => keeper.has_pending_order(weights),
            None => keeper.has_pending_role_order(),
        });
        let charged = keeper.ledger().charged_mib(now);
        let charged = i64::try_from(charged).unwrap_or(i64::MAX);
        self.metrics.charged_mib.set(charged);
        self.loads.observe(keeper, now);
    }

    /// Returns the availability of the endpoint's weights.
    #[must_use]
    pub fn weights_update(&self, now: ClockTime) -> WeightsUpdate {
        let mut update = WeightsUpdate {
            round: self.drains.round(),
            ..WeightsUpdate::default()
        };
        if let Some(keeper) = &self.keeper {
            self.loads.fill(&mut update, keeper, &self.stepper, now);
        }
        update
    }

    /// Returns the weights to query entries about: all that may be in memory, and all that are
    /// planned.
    #[must_use]
    pub fn weights_to_query(&self) -> Vec<WeightsKey> {
        let charges = self.keeper.iter().flat_map(|keeper| {
            let charges = keeper.ledger().charges();
            charges.map(|(weights, _)| weights.clone())
        });
        let mut weights: Vec<WeightsKey> = charges.collect();
        let planned = self.placement.plan().into_iter();
        for planned in planned.flat_map(|row| &row.weights) {
            if !weights.contains(planned) {
                weights.push(planned.clone());
            }
        }
        weights
    }

    /// Returns the keeper of orders, or `None` without a configuration or for a plain service.
    #[must_use]
    pub fn keeper(&self) -> Option<&OrderKeeper> {
        self.keeper.as_ref()
    }

    /// Returns the role that the engine last reported.
    #[must_use]
    pub fn role(&self) -> Option<EngineRole> {
        self.keeper.as_ref().and_then(OrderKeeper::role)
    }
}
