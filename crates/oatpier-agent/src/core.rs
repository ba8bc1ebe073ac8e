//! What the tasks of the work duty share: the policy, and who waits for its actions.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use oatpier_admission::event::{
    AdmissionLimits, AdmissionTicket, AgentAction, AgentActions, AgentEvent,
};
use oatpier_admission::policy::AgentPolicy;
use oatpier_platform::work::EndpointWork;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::{FleetConfig, PoolKind};
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{AttemptId, BootId, Generation};
use oatpier_types::names::{EndpointName, PoolName, ZoneName};
use oatpier_types::pulse::{AgentPulse, EndpointStatus};
use oatpier_types::refusal::Refusal;
use oatpier_types::request::{AttemptSpec, RequestGoal};
use oatpier_types::verdict::RunVerdict;
use tokio::sync::{Notify, mpsc};

use crate::news::AgentNews;
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

/// Which endpoint an agent stands beside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointIdentity {
    /// Its name.
    pub endpoint: EndpointName,
    /// Its pool.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// The task of an attempt.
struct TaskRow {
    orders: mpsc::UnboundedSender<AttemptOrder>,
    started: bool,
}

/// The endpoint's working side, by what is asked of it.
#[derive(Clone)]
pub struct EndpointWorks {
    /// For requests to models.
    pub engine: Arc<dyn EndpointWork>,
    /// For calls to a plain service.
    pub service: Arc<dyn EndpointWork>,
}

impl EndpointWorks {
    /// The side that takes a goal.
    #[must_use]
    pub fn of(&self, goal: &RequestGoal) -> &Arc<dyn EndpointWork> {
        match goal {
            RequestGoal::Model { .. } => &self.engine,
            RequestGoal::Service { .. } => &self.service,
        }
    }
}

/// The state that the duty's tasks share. They run on one thread, so the lock is never waited
/// for; it is held for a decision and never across an await.
struct CoreState {
    policy: Option<AgentPolicy>,
    tasks: HashMap<AttemptId, TaskRow>,
    ready: Vec<WeightsKey>,
    ready_sequence: u64,
    generation: Generation,
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
            ready_sequence: 0,
            generation: Generation(0),
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
            AgentNews::Weights { ready, loading } => {
                let mut state = self.lock();
                if state.ready != ready {
                    state.ready.clone_from(&ready);
                    state.ready_sequence += 1;
                }
                drop(state);
                self.step(AgentEvent::ReadyChanged { ready, loading });
            }
            AgentNews::Leave => self.leave(),
        }
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
        if state.policy.is_none() {
            let limits = AdmissionLimits::for_slots(slots);
            state.policy = Some(AgentPolicy::new(self.boot, limits));
        }
        let (ready, leaving) = (state.ready.clone(), state.leaving);
        drop(state);
        let classes = config.classes.clone();
        self.step(AgentEvent::ClassesChanged { classes });
        let loading = Vec::new();
        self.step(AgentEvent::ReadyChanged { ready, loading });
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
        let attempt = spec.attempt;
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
        let started = self
            .lock()
            .tasks
            .get(&attempt)
            .is_some_and(|row| row.started);
        if started {
            return RunVerdict::MayHaveRun;
        }
        self.cancel(attempt, ticket)
    }

    /// An attempt is given up; says whether it may have run.
    pub fn cancel(&self, attempt: AttemptId, ticket: AdmissionTicket) -> RunVerdict {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(policy) = state.policy.as_mut() else {
            // Nothing was ever taken, but the attempt may still come: it can't be sealed yet.
            return RunVerdict::MayHaveRun;
        };
        let actions = policy.step(AgentEvent::Cancel { attempt, ticket }, now);
        let verdict = actions.iter().find_map(|action| match action {
            AgentAction::Cancelled {
                attempt: cancelled,
                verdict,
            } if *cancelled == attempt => Some(*verdict),
            _ => None,
        });
        self.dispatch(&mut state, actions);
        drop(state);
        self.timer_changed.notify_one();
        verdict.unwrap_or(RunVerdict::MayHaveRun)
    }

    /// Something happened at the endpoint or to the process.
    pub fn step(&self, event: AgentEvent) {
        let now = self.clock.now();
        let mut state = self.lock();
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
        self.lock().tasks.remove(&attempt);
    }

    fn dispatch(&self, state: &mut CoreState, actions: AgentActions) {
        for action in actions {
            let (attempt, order) = match action {
                AgentAction::Start { attempt, priority } => {
                    (attempt, AttemptOrder::Start { priority })
                }
                AgentAction::Refuse { attempt, refusal } => {
                    self.metrics.refused(refusal.cause);
                    (attempt, AttemptOrder::Refuse { refusal })
                }
                AgentAction::CancelAtEndpoint { attempt } => (attempt, AttemptOrder::Cancel),
                AgentAction::Drained => {
                    self.stop.advance(StopPhase::Ended);
                    continue;
                }
                AgentAction::AnswerCopy { .. } | AgentAction::Cancelled { .. } => continue,
            };
            if let Some(row) = state.tasks.get_mut(&attempt) {
                row.started |= matches!(order, AttemptOrder::Start { .. });
                // A task that has ended has told its end already.
                let _ = row.orders.send(order);
            }
        }
    }

    /// A fresh word on the queue; none without a configuration.
    #[must_use]
    pub fn pulse(&self) -> Option<AgentPulse> {
        let now = self.clock.now();
        self.lock().policy.as_mut().map(|policy| policy.pulse(now))
    }

    /// The whole word on the endpoint; none without a configuration.
    #[must_use]
    pub fn status(&self) -> Option<EndpointStatus> {
        let pulse = self.pulse()?;
        let state = self.lock();
        Some(EndpointStatus {
            endpoint: self.identity.endpoint.clone(),
            pool: self.identity.pool.clone(),
            zone: self.identity.zone.clone(),
            ready: state.ready.iter().cloned().collect(),
            ready_sequence: state.ready_sequence,
            generation: state.generation,
            pulse,
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
