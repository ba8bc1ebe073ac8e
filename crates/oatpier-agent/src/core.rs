//! What the tasks of the work duty share: the policy, and who waits for its actions.

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

use crate::drains::DrainBoard;
use crate::endpoint::{EndpointIdentity, EndpointWorks};
use crate::news::{AgentNews, AsksNews, WeightsNews};
use oatpier_duty::duty::{RuntimeClock, StopPhase, StopSignal};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;

/// What the policy tells the task of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOrder {
    /// Send it to the endpoint.
    Start {
        /// For an engine: lower goes first.
        priority: u32,
    },
    /// Answer that it is refused.
    Refuse {
        /// Why.
        refusal: Refusal,
    },
    /// Cancel it at the endpoint.
    Cancel,
}

/// Where the orders of an attempt come from.
pub type OrderReceiver = mpsc::UnboundedReceiver<AttemptOrder>;

/// What became of an attempt's arrival.
#[derive(Debug)]
pub enum AttemptArrival {
    /// It is on record; its orders will come.
    Taken(OrderReceiver),
    /// It came before.
    Copy {
        /// Whether the first copy may have run.
        verdict: RunVerdict,
    },
    /// The agent has no configuration yet. It is not on record, and nothing of it ran.
    NotReady,
}

/// The task of an attempt.
struct TaskRow {
    orders: mpsc::UnboundedSender<AttemptOrder>,
    goal: RequestGoal,
    started: bool,
}

/// The state that the duty's tasks share. They run on one thread, so the lock is never waited
/// for; it is held for a decision and never across an await.
struct CoreState {
    policy: Option<AgentPolicy>,
    tasks: HashMap<AttemptId, TaskRow>,
    ready: Vec<WeightsKey>,
    loading: Vec<LoadingWeights>,
    ready_sequence: u64,
    drains: DrainBoard,
    generation: Generation,
    slots: Option<u32>,
    leaving: bool,
}

/// The work duty's shared parts.
pub struct AgentCore {
    state: Mutex<CoreState>,
    timer_changed: Notify,
    boot: BootId,
    stop: StopSignal,
    /// The endpoint.
    pub identity: EndpointIdentity,
    /// The endpoint's working side.
    pub works: EndpointWorks,
    /// The runtime's clock.
    pub clock: RuntimeClock,
    /// The process's metrics.
    pub metrics: MetricSet,
    /// Makes spans.
    pub tracer: HopTracer,
}

impl AgentCore {
    /// The shared parts of an agent that has no configuration yet.
    #[must_use]
    pub fn new(
        identity: EndpointIdentity,
        boot: BootId,
        works: EndpointWorks,
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
            drains: DrainBoard::default(),
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
            works,
            clock,
            metrics,
            tracer,
        }
    }

    fn lock(&self) -> MutexGuard<'_, CoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes news from another duty.
    pub fn take_news(&self, news: AgentNews) {
        match news {
            AgentNews::Config { generation, config } => self.take_config(generation, &config),
            AgentNews::Weights(news) => self.take_weights(*news),
            AgentNews::Leave => self.leave(),
        }
    }

    fn take_weights(&self, news: WeightsNews) {
        let mut state = self.lock();
        let CoreState { drains, tasks, .. } = &mut *state;
        let started = tasks.iter().filter(|(_, row)| row.started);
        let started = started.map(|(attempt, row)| (*attempt, &row.goal));
        drains.take(news.round, &news.draining, &started);
        if state.ready != news.ready {
            state.ready.clone_from(&news.ready);
            state.ready_sequence += 1;
        }
        state.loading.clone_from(&news.loading);
        drop(state);
        let (ready, loading) = (news.ready, news.loading);
        self.step(AgentEvent::WeightsChanged { ready, loading });
    }

    /// What still runs on weights that are to go; none while nothing drains.
    #[must_use]
    pub fn drains(&self) -> Option<AsksNews> {
        let state = self.lock();
        (!state.drains.is_empty()).then(|| AsksNews::Drains {
            round: state.drains.round(),
            counts: state.drains.counts(),
        })
    }

    /// A generation only rises: an older one that comes late changes nothing.
    fn take_config(&self, generation: Generation, config: &FleetConfig) {
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
            // Entries keep the slots with the weights. Without a new number they would keep the
            // word of an agent that had no configuration yet, and send it nothing.
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

    /// An attempt came.
    pub fn arrive(&self, spec: AttemptSpec, ticket: AdmissionTicket) -> AttemptArrival {
        let (attempt, goal) = (spec.attempt, spec.goal.clone());
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(policy) = state.policy.as_mut() else {
            return AttemptArrival::NotReady;
        };
        let actions = policy.step(AgentEvent::Arrive { spec, ticket }, now);
        let copy = actions.iter().find_map(|action| match action {
            AgentAction::AnswerCopy {
                attempt: copied,
                verdict,
            } if *copied == attempt => Some(*verdict),
            _ => None,
        });
        if let Some(verdict) = copy {
            self.dispatch(&mut state, actions);
            return AttemptArrival::Copy { verdict };
        }
        let (orders, receiver) = mpsc::unbounded_channel();
        let row = TaskRow {
            orders,
            goal,
            started: false,
        };
        state.tasks.insert(attempt, row);
        self.dispatch(&mut state, actions);
        drop(state);
        self.timer_changed.notify_one();
        AttemptArrival::Taken(receiver)
    }

    /// An attempt is given up, unless it runs already; says whether it may have run.
    ///
    /// An entry seals an attempt that is late before it tries elsewhere. One that runs is not
    /// to be cut off by that.
    pub fn seal(&self, attempt: AttemptId, ticket: AdmissionTicket) -> RunVerdict {
        self.give_up(attempt, AgentEvent::Seal { attempt, ticket })
    }

    /// An attempt is given up; says whether it may have run.
    pub fn cancel(&self, attempt: AttemptId, ticket: AdmissionTicket) -> RunVerdict {
        self.give_up(attempt, AgentEvent::Cancel { attempt, ticket })
    }

    fn give_up(&self, attempt: AttemptId, event: AgentEvent) -> RunVerdict {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(policy) = state.policy.as_mut() else {
            // Nothing was ever taken, but the attempt may still come: it can't be sealed yet.
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
            // Its task would wait for ever: no order comes for an attempt that is sealed.
            state.tasks.remove(&attempt);
        }
        drop(state);
        self.timer_changed.notify_one();
        verdict.unwrap_or(RunVerdict::MayHaveRun)
    }

    /// Something happened at the endpoint or to the process.
    pub fn step(&self, event: AgentEvent) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let AgentEvent::EndpointEnded { attempt } | AgentEvent::EndpointFailed { attempt, .. } =
            &event
        {
            // Its entry may still read; the weights are free of it.
            state.drains.over(*attempt);
        }
        let Some(policy) = state.policy.as_mut() else {
            return;
        };
        let actions = policy.step(event, now);
        self.dispatch(&mut state, actions);
        drop(state);
        self.timer_changed.notify_one();
    }

    /// The task of an attempt is over.
    pub fn forget(&self, attempt: AttemptId) {
        let mut state = self.lock();
        state.tasks.remove(&attempt);
        state.drains.over(attempt);
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
                    row.started = true;
                    drains.started(attempt, &row.goal);
                }
                // A task that has ended has told its end already.
                let _ = row.orders.send(order);
            }
        }
    }

    /// A fresh word on the queue; none without a configuration.
    #[must_use]
    pub fn queue_report(&self) -> Option<QueueReport> {
        let now = self.clock.now();
        self.lock()
            .policy
            .as_mut()
            .map(|policy| policy.queue_report(now))
    }

    /// The whole word on the endpoint; none without a configuration.
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

    /// Gives the policy its timers for ever.
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
