//! State that the tasks of the work duty share: the policy, and the tasks that wait for its actions.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use oatpier_admission::event::{
    AdmissionLimits, AdmissionTicket, AgentAction, AgentActions, AgentEvent, LoadingWeights,
};
use oatpier_admission::policy::AgentPolicy;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::{FleetConfig, PoolKind};
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{AttemptId, BootId, Generation};
use oatpier_types::refusal::Refusal;
use oatpier_types::request::{AttemptSpec, RequestGoal};
use oatpier_types::status::{EndpointStatus, QueueReport};
use oatpier_types::verdict::RunVerdict;
use tokio::sync::{Notify, mpsc};

use crate::channels::{OrdersMessage, WeightsUpdate, WorkUpdate};
use crate::drains::DrainTracker;
use crate::endpoint::{EndpointClients, EndpointIdentity};
use oatpier_duty::duty::{RuntimeClock, StopPhase, StopSignal};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;

/// A decision of the policy for the task of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOrder {
    /// Send the attempt to the endpoint.
    Start {
        /// Priority at an engine: lower values run first.
        priority: u32,
    },
    /// Answer that the attempt is refused.
    Refuse {
        /// Cause of the refusal.
        refusal: Refusal,
    },
    /// Cancel the attempt at the endpoint.
    Cancel,
}

/// Receives the policy's orders for one attempt.
pub type OrderReceiver = mpsc::UnboundedReceiver<AttemptOrder>;

/// Result of [`AgentCore::arrive`].
#[derive(Debug)]
pub enum AttemptArrival {
    /// The attempt is recorded, and its orders arrive on this channel.
    Accepted(OrderReceiver),
    /// The attempt arrived before.
    Duplicate {
        /// Whether the first copy may have run.
        verdict: RunVerdict,
    },
    /// The agent has no configuration yet. The attempt is not recorded and did not run.
    NotReady,
}

/// What the core keeps of an attempt's task.
struct TaskRow {
    orders: mpsc::UnboundedSender<AttemptOrder>,
    goal: RequestGoal,
    is_started: bool,
}

/// State shared by the duty's tasks. They run on one thread, so the lock is never contended.
/// It is held for one decision and never across an await.
struct CoreState {
    policy: Option<AgentPolicy>,
    tasks: HashMap<AttemptId, TaskRow>,
    ready: Vec<WeightsKey>,
    loading: Vec<LoadingWeights>,
    ready_sequence: u64,
    drains: DrainTracker,
    generation: Generation,
    slots: Option<u32>,
    leaving: bool,
}

/// Shared state of the work duty.
pub struct AgentCore {
    state: Mutex<CoreState>,
    timer_changed: Notify,
    boot: BootId,
    stop: StopSignal,
    /// The agent's endpoint.
    pub identity: EndpointIdentity,
    /// Clients for calls to the endpoint.
    pub clients: EndpointClients,
    /// The runtime's clock.
    pub clock: RuntimeClock,
    /// Metrics of the process.
    pub metrics: MetricSet,
    /// Creates spans.
    pub tracer: HopTracer,
}

impl AgentCore {
    /// Creates the shared state of an agent that has no configuration yet.
    #[must_use]
    pub fn new(
        identity: EndpointIdentity,
        boot: BootId,
        clients: EndpointClients,
        clock: RuntimeClock,
        metrics: MetricSet,
        tracer: HopTracer,
        stop: StopSignal,
    ) -> Self {
        let state = CoreState {
            policy: None,
            tasks: HashMap::new(),
            ready: Vec::new(),
            loading: Vec::new(),
            ready_sequence: 0,
            drains: DrainTracker::default(),
            generation: Generation(0),
            slots: None,
            leaving: false,
        };
        Self {
            state: Mutex::new(state),
            timer_changed: Notify::new(),
            boot,
            stop,
            identity,
            clients,
            clock,
            metrics,
            tracer,
        }
    }

    fn lock(&self) -> MutexGuard<'_, CoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an update from another duty.
    pub fn apply_update(&self, update: WorkUpdate) {
        match update {
            WorkUpdate::Config { generation, config } => self.apply_config(generation, &config),
            WorkUpdate::Weights(update) => self.apply_weights(*update),
            WorkUpdate::Leave => self.leave(),
        }
    }

    fn apply_weights(&self, update: WeightsUpdate) {
        let mut state = self.lock();
        let CoreState { drains, tasks, .. } = &mut *state;
        let started = tasks.iter().filter(|(_, row)| row.is_started);
        let started = started.map(|(attempt, row)| (*attempt, &row.goal));
        drains.update(update.round, &update.draining, &started);
        if state.ready != update.ready {
            state.ready.clone_from(&update.ready);
            state.ready_sequence += 1;
        }
        state.loading.clone_from(&update.loading);
        drop(state);
        let (ready, loading) = (update.ready, update.loading);
        self.step(AgentEvent::WeightsChanged { ready, loading });
    }

    /// Returns the attempts that still run on draining weights, or `None` if no weights drain.
    #[must_use]
    pub fn drains(&self) -> Option<OrdersMessage> {
        let state = self.lock();
        (!state.drains.is_empty()).then(|| OrdersMessage::Drains {
            round: state.drains.round(),
            counts: state.drains.counts(),
        })
    }

    /// Applies a configuration. Generations only increase: an older one that arrives late is ignored.
    fn apply_config(&self, generation: Generation, config: &FleetConfig) {
        let mut state = self.lock();
        if generation <= state.generation {
            return;
        }
        state.generation = generation;
        let shown = i64::try_from(generation.0).unwrap_or(i64::MAX);
        self.metrics.generation.set(shown);
        let Some(slots) = self.slots(config) else {
            return;
        };
        if state.slots != Some(slots) {
            // Entries cache the slots together with the weights. Without a new sequence number
            // they would keep the status from before the configuration, which has no slots, and
            // would send no attempts.
            state.slots = Some(slots);
            state.ready_sequence += 1;
        }
        let limits = AdmissionLimits::for_slots(slots);
        state
            .policy
            .get_or_insert_with(|| AgentPolicy::new(self.boot, limits));
        let (ready, loading) = (state.ready.clone(), state.loading.clone());
        let leaving = state.leaving;
        drop(state);
        self.step(AgentEvent::SlotsChanged { slots });
        let classes = config.classes.clone();
        self.step(AgentEvent::ClassesChanged { classes });
        self.step(AgentEvent::WeightsChanged { ready, loading });
        if leaving {
            self.step(AgentEvent::Leave);
        }
    }

    fn slots(&self, config: &FleetConfig) -> Option<u32> {
        let (_, pool) = config.pool_of(&self.identity.endpoint)?;
        Some(match pool.kind {
            PoolKind::Engine { slots, .. } | PoolKind::Service { slots, .. } => slots,
        })
    }

    fn leave(&self) {
        let mut state = self.lock();
        state.leaving = true;
        let is_idle = state.policy.is_none();
        drop(state);
        self.step(AgentEvent::Leave);
        if is_idle {
            self.stop.advance(StopPhase::Ended);
        }
    }

    /// Records an attempt that arrived, and passes it to the policy.
    pub fn arrive(&self, spec: AttemptSpec, ticket: AdmissionTicket) -> AttemptArrival {
        let (attempt, goal) = (spec.attempt, spec.goal.clone());
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(policy) = state.policy.as_mut() else {
            return AttemptArrival::NotReady;
        };
        let actions = policy.step(AgentEvent::Arrive { spec, ticket }, now);
        let duplicate = actions.iter().find_map(|action| match action {
            AgentAction::AnswerCopy {
                attempt: duplicated,
                verdict,
            } if *duplicated == attempt => Some(*verdict),
            _ => None,
        });
        if let Some(verdict) = duplicate {
            self.dispatch(&mut state, actions);
            return AttemptArrival::Duplicate { verdict };
        }
        let (orders, receiver) = mpsc::unbounded_channel();
        let row = TaskRow {
            orders,
            goal,
            is_started: false,
        };
        state.tasks.insert(attempt, row);
        self.dispatch(&mut state, actions);
        drop(state);
        self.timer_changed.notify_one();
        AttemptArrival::Accepted(receiver)
    }

    /// Cancels an attempt unless it is running, and returns whether it may have run.
    ///
    /// An entry seals a late attempt before it retries at another endpoint. Sealing must not
    /// interrupt an attempt that is already running.
    pub fn seal(&self, attempt: AttemptId, ticket: AdmissionTicket) -> RunVerdict {
        self.cancel_with(attempt, AgentEvent::Seal { attempt, ticket })
    }

    /// Cancels an attempt, and returns whether it may have run.
    pub fn cancel(&self, attempt: AttemptId, ticket: AdmissionTicket) -> RunVerdict {
        self.cancel_with(attempt, AgentEvent::Cancel { attempt, ticket })
    }

    fn cancel_with(&self, attempt: AttemptId, event: AgentEvent) -> RunVerdict {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(policy) = state.policy.as_mut() else {
            // No attempt was ever accepted, but this one may still arrive, and can't be sealed yet.
            return RunVerdict::MayHaveRun;
        };
        let actions = policy.step(event, now);
        let verdict = actions.iter().find_map(|action| match action {
            AgentAction::Cancelled {
                attempt: cancelled,
                verdict,
            } if *cancelled == attempt => Some(*verdict),
            _ => None,
        });
        self.dispatch(&mut state, actions);
        if verdict == Some(RunVerdict::NotRun) {
            // The policy sends no order for a sealed attempt, so its task would wait forever.
            state.tasks.remove(&attempt);
        }
        drop(state);
        self.timer_changed.notify_one();
        verdict.unwrap_or(RunVerdict::MayHaveRun)
    }

    /// Passes an event of the endpoint or the process to the policy.
    pub fn step(&self, event: AgentEvent) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let AgentEvent::EndpointEnded { attempt } | AgentEvent::EndpointFailed { attempt, .. } =
            &event
        {
            // The entry may still be reading the answer, but the attempt no longer uses the weights.
            state.drains.finish(*attempt);
        }
        let Some(policy) = state.policy.as_mut() else {
            return;
        };
        let actions = policy.step(event, now);
        self.dispatch(&mut state, actions);
        drop(state);
        self.timer_changed.notify_one();
    }

    /// Removes the task of an attempt that ended.
    pub fn forget(&self, attempt: AttemptId) {
        let mut state = self.lock();
        state.tasks.remove(&attempt);
        state.drains.finish(attempt);
    }

    fn dispatch(&self, state: &mut CoreState, actions: AgentActions) {
        for action in actions {
            let (attempt, order) = match action {
                AgentAction::Start { attempt, priority } => {
                    (attempt, AttemptOrder::Start { priority })
                }
                AgentAction::Refuse { attempt, refusal } => {
                    self.metrics.count_refusal(refusal.cause);
                    (attempt, AttemptOrder::Refuse { refusal })
                }
                AgentAction::CancelAtEndpoint { attempt } => (attempt, AttemptOrder::Cancel),
                AgentAction::Drained => {
                    self.stop.advance(StopPhase::Ended);
                    continue;
                }
                AgentAction::AnswerCopy { .. } | AgentAction::Cancelled { .. } => continue,
            };
            let CoreState { tasks, drains, .. } = &mut *state;
            if let Some(row) = tasks.get_mut(&attempt) {
                if matches!(order, AttemptOrder::Start { .. }) {
                    row.is_started = true;
                    drains.start(attempt, &row.goal);
                }
                // A task that ended has already reported its result.
                let _ = row.orders.send(order);
            }
        }
    }

    /// Returns a new report on the queue, or `None` without a configuration.
    #[must_use]
    pub fn queue_report(&self) -> Option<QueueReport> {
        let now = self.clock.now();
        self.lock()
            .policy
            .as_mut()
            .map(|policy| policy.queue_report(now))
    }

    /// Returns the full status of the endpoint, or `None` without a configuration.
    #[must_use]
    pub fn status(&self) -> Option<EndpointStatus> {
        let report = self.queue_report()?;
        let state = self.lock();
        Some(EndpointStatus {
            endpoint: self.identity.endpoint.clone(),
            pool: self.identity.pool.clone(),
            zone: self.identity.zone.clone(),
            ready: state.ready.iter().cloned().collect(),
            ready_sequence: state.ready_sequence,
            generation: state.generation,
            queue: report,
        })
    }

    /// Passes timer events to the policy. Never returns.
    pub async fn run_timers(&self) {
        loop {
            let policy_timer = |state: &CoreState| {
                let policy = state.policy.as_ref();
                policy.map_or(ClockTime::NEVER, AgentPolicy::next_timer)
            };
            let next = policy_timer(&self.lock());
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(next)) => {
                    self.step(AgentEvent::Timer);
                }
                () = self.timer_changed.notified() => {}
            }
        }
    }
}
