//! The admission policy of one agent.
//!
//! An attempt passes these checks in order: the ledger (is it new?), graceful shutdown, endpoint
//! health, weights, the estimate (can it meet its deadline?), and the queue's bound. A refused
//! attempt is on record as "not run" before the refusal is sent. After every event, waiting
//! attempts that can no longer meet their deadline are refused, and free slots are filled.

mod refusing;

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{AttemptId, BootId};
use oatpier_types::names::ClassName;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::request::AttemptSpec;
use oatpier_types::status::QueueReport;
use oatpier_types::verdict::RunVerdict;

use crate::attempts::{ArrivalDecision, AttemptLedger, CancelDecision};
use crate::drain::DrainState;
use crate::estimate::{EndpointLoad, ServiceEstimator};
use crate::event::{
    AdmissionLimits, AdmissionTicket, AgentAction, AgentActions, AgentEvent, default_queue_bound,
};
use crate::need::{MAX_NEED, NeedTracker};
use crate::queue::{AdmissionQueue, QueuePlacement, WaitingAttempt};
use crate::running::RunningAttempt;
use crate::weights::{WeightsAvailability, WeightsTable};

/// Engine priority values per step of need.
const PRIORITIES_PER_NEED: u32 = 1_000;

/// Slack that raises an engine's priority value by one.
const SLACK_PER_PRIORITY: Duration = Duration::from_millis(10);

/// The scope of a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CancelScope {
    /// Only waiting attempts; attempts at the endpoint continue.
    Queue,
    /// Waiting attempts and attempts at the endpoint.
    Endpoint,
}

/// Counters of unusual events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AgentCounters {
    /// Copies of attempts that had arrived before.
    pub copies: u64,
    /// Attempts refused because they were given up before they arrived, or can't be distinguished
    /// from such.
    pub given_up: u64,
    /// Endpoint events for attempts that are not running, which are dropped.
    pub stray_answers: u64,
}

/// The admission policy of one agent.
#[derive(Debug)]
pub struct AgentPolicy {
    boot: BootId,
    limits: AdmissionLimits,
    reports: u64,
    ledger: AttemptLedger,
    queue: AdmissionQueue,
    running: IndexMap<AttemptId, RunningAttempt>,
    estimator: ServiceEstimator,
    tracker: NeedTracker,
    weights: WeightsTable,
    drain: DrainState,
    up: bool,
    /// Whether the estimates were too old to refuse anything by them at the last step.
    stale: bool,
    counters: AgentCounters,
}

impl AgentPolicy {
    /// Creates the policy of an agent that has just started, with its endpoint up and no weights
    /// ready.
    #[must_use]
    pub fn new(boot: BootId, limits: AdmissionLimits) -> Self {
        Self {
            boot,
            reports: 0,
            ledger: AttemptLedger::new(boot, &limits),
            queue: AdmissionQueue::new(limits.queue),
            running: IndexMap::new(),
            estimator: ServiceEstimator::default(),
            tracker: NeedTracker::default(),
            weights: WeightsTable::default(),
            drain: DrainState::default(),
            up: true,
            stale: false,
            counters: AgentCounters::default(),
            limits,
        }
    }

    /// Applies one event and returns the resulting actions.
    pub fn step(&mut self, event: AgentEvent, now: ClockTime) -> AgentActions {
        let mut actions = AgentActions::new();
        // Further output frees no slot and changes nothing for waiting attempts. Without this
        // check, each generated token would cost a scan of the whole queue.
        let is_chunk = matches!(event, AgentEvent::EndpointChunk { .. });
        self.ledger.expire(now);
        self.apply_event(event, now, &mut actions);
        if is_chunk {
            return actions;
        }
        self.stale = self.estimator.is_stale(self.running.len(), now);
        self.refuse_unservable(now, &mut actions);
        self.fill_slots(now, &mut actions);
        if self.drain.settle(self.in_flight()) {
            actions.push(AgentAction::Drained);
        }
        actions
    }

    /// Returns when the next [`AgentEvent::Timer`] is due; [`ClockTime::NEVER`] if none is needed.
    #[must_use]
    pub fn next_timer(&self) -> ClockTime {
        let unservable_at = self
            .queue
            .iter()
            .map(|waiting| self.last_start(waiting) + Duration::from_micros(1))
            .min();
        self.ledger
            .next_expiry()
            .min(unservable_at.unwrap_or(ClockTime::NEVER))
    }

    /// Creates a queue report. Each report has the next sequence number.
    pub fn queue_report(&mut self, now: ClockTime) -> QueueReport {
        self.reports += 1;
        QueueReport {
            boot: self.boot,
            sequence: self.reports,
            queued: saturate(self.queue.len()),
            running: saturate(self.running.len()),
            slots: self.limits.slots,
            wait: self.estimator.wait(self.whole_load(), now),
            prompt_token_ns: self.estimator.prompt_token_ns(),
            step_us: u32::try_from(self.estimator.step().as_micros()).unwrap_or(u32::MAX),
            accepting: self.drain.accepts() && self.up,
        }
    }

    /// Returns the number of attempts that wait or run.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Returns the progress of a graceful shutdown.
    #[must_use]
    pub fn drain_state(&self) -> DrainState {
        self.drain
    }

    /// Returns the counters of unusual events.
    #[must_use]
    pub fn counters(&self) -> AgentCounters {
        self.counters
    }

    /// Returns the need of a class at this agent, from 0 to [`MAX_NEED`].
    #[must_use]
    pub fn need(&self, class: &ClassName, now: ClockTime) -> u32 {
        self.tracker.need(class, now)
    }

    fn apply_event(&mut self, event: AgentEvent, now: ClockTime, actions: &mut AgentActions) {
        match event {
            AgentEvent::Arrive { spec, ticket } => self.arrive(spec, ticket, now, actions),
            AgentEvent::Cancel { attempt, ticket } => {
                let scope = CancelScope::Endpoint;
                self.cancel((attempt, ticket), scope, now, actions);
            }
            AgentEvent::Seal { attempt, ticket } => {
                let scope = CancelScope::Queue;
                self.cancel((attempt, ticket), scope, now, actions);
            }
            AgentEvent::EndpointFirstToken { attempt } => self.handle_first_token(attempt, now),
            AgentEvent::EndpointChunk { attempt, tokens } => {
                self.handle_chunk(attempt, tokens, now);
            }
            AgentEvent::EndpointEnded { attempt } => self.handle_end(attempt, now),
            AgentEvent::EndpointFailed { attempt, verdict } => {
                self.handle_failure(attempt, verdict, now);
            }
            AgentEvent::EndpointUp { up } => self.up = up,
            AgentEvent::Leave => self.drain.leave(),
            AgentEvent::WeightsChanged { ready, loading } => {
                self.weights.replace(ready, loading, now);
            }
            AgentEvent::ClassesChanged { classes } => self.tracker.configure(classes),
            AgentEvent::SlotsChanged { slots } => self.change_slots(slots),
            AgentEvent::Timer => {}
        }
    }

    fn arrive(
        &mut self,
        spec: AttemptSpec,
        ticket: AdmissionTicket,
        now: ClockTime,
        actions: &mut AgentActions,
    ) {
        let attempt = spec.attempt;
        match self.ledger.arrive(attempt, ticket, self.reports) {
            ArrivalDecision::New => self.admit(spec, now, actions),
            ArrivalDecision::GivenUp => {
                self.counters.given_up += 1;
                let refusal = Refusal {
                    cause: RefusalCause::GivenUp,
                    retry_after: Some(Duration::ZERO),
                };
                actions.push(AgentAction::Refuse { attempt, refusal });
            }
            ArrivalDecision::Copy(verdict) => {
                self.counters.copies += 1;
                actions.push(AgentAction::AnswerCopy { attempt, verdict });
            }
        }
    }

    fn admit(&mut self, spec: AttemptSpec, now: ClockTime, actions: &mut AgentActions) {
        let deadline = now + spec.remaining;
        let waiting = WaitingAttempt { spec, deadline };
        let unfit = self
            .check_open()
            .or_else(|| self.check_deadline(&waiting, now));
        if let Some(cause) = unfit {
            self.refuse(&waiting, cause, now, actions);
            return;
        }
        let tracker = &self.tracker;
        let refused = match self
            .queue
            .push(waiting.clone(), &|class| tracker.need(class, now))
        {
            QueuePlacement::Placed => return,
            QueuePlacement::Displaced(displaced) => displaced,
            QueuePlacement::Full => waiting,
        };
        self.refuse(&refused, RefusalCause::QueueFull, now, actions);
    }

    fn cancel(
        &mut self,
        (attempt, ticket): (AttemptId, AdmissionTicket),
        scope: CancelScope,
        now: ClockTime,
        actions: &mut AgentActions,
    ) {
        let verdict = match self.ledger.cancel(attempt, ticket, self.reports, now) {
            CancelDecision::WasQueued => {
                self.queue.remove(attempt);
                RunVerdict::NotRun
            }
            CancelDecision::Started if scope == CancelScope::Queue => RunVerdict::MayHaveRun,
            CancelDecision::Started => {
                actions.push(AgentAction::CancelAtEndpoint { attempt });
                RunVerdict::MayHaveRun
            }
            CancelDecision::Settled(verdict) => verdict,
        };
        actions.push(AgentAction::Cancelled { attempt, verdict });
    }

    fn change_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        self.limits.slots = slots;
        self.limits.queue = default_queue_bound(slots);
        self.queue.set_bound(self.limits.queue);
    }

    fn handle_first_token(&mut self, attempt: AttemptId, now: ClockTime) {
        let Some(running) = self.running.get_mut(&attempt) else {
            self.counters.stray_answers += 1;
            return;
        };
        if !running.record_first_token(now) {
            return;
        }
        let spec = &running.spec;
        self.estimator
            .record_first_token(spec.tokens, now.since(running.started), now);
        if running.is_stream(self.tracker.target(&spec.class)) {
            let in_time = now <= running.deadline;
            self.tracker.observe(&spec.class, in_time, now);
        }
    }

    fn handle_chunk(&mut self, attempt: AttemptId, tokens: u32, now: ClockTime) {
        let Some(running) = self.running.get_mut(&attempt) else {
            self.counters.stray_answers += 1;
            return;
        };
        let taken = running.record_tokens(tokens, now);
        self.estimator.record_tokens(tokens, taken, now);
    }

    fn handle_end(&mut self, attempt: AttemptId, now: ClockTime) {
        let Some(running) = self.running.shift_remove(&attempt) else {
            self.counters.stray_answers += 1;
            return;
        };
        self.ledger.settle(attempt, RunVerdict::Ran, now);
        let class = &running.spec.class;
        self.estimator
            .record_end(class, now.since(running.started), now);
        let target = self.tracker.target(class);
        if !running.is_stream(target) {
            let in_time = now <= running.deadline;
            self.tracker.observe(class, in_time, now);
        } else if running.is_too_slow(target) {
            self.tracker.retract_in_time(class, now);
        }
    }

    fn handle_failure(&mut self, attempt: AttemptId, verdict: RunVerdict, now: ClockTime) {
        if self.running.shift_remove(&attempt).is_none() {
            self.counters.stray_answers += 1;
            return;
        }
        self.ledger.settle(attempt, verdict, now);
        self.estimator.record_failure(now);
    }

    fn fill_slots(&mut self, now: ClockTime, actions: &mut AgentActions) {
        while self.running.len() < self.limits.slots as usize {
            let (tracker, weights) = (&self.tracker, &self.weights);
            let next = self.queue.pop(&|class| tracker.need(class, now), &|spec| {
                weights.availability(&spec.goal) == WeightsAvailability::Ready
            });
            let Some(waiting) = next else {
                return;
            };
            self.start(waiting, now, actions);
        }
    }

    fn start(&mut self, waiting: WaitingAttempt, now: ClockTime, actions: &mut AgentActions) {
        let attempt = waiting.spec.attempt;
        let priority = self.priority(&waiting, now);
        self.ledger.start(attempt);
        self.estimator.record_start(self.running.len(), now);
        let running = RunningAttempt::new(waiting.spec, waiting.deadline, now);
        self.running.insert(attempt, running);
        actions.push(AgentAction::Start { attempt, priority });
    }

    /// Returns the engine priority; lower values go first. Ordered by need, then by slack.
    fn priority(&self, waiting: &WaitingAttempt, now: ClockTime) -> u32 {
        let slack = waiting.deadline.since(now).as_millis() / SLACK_PER_PRIORITY.as_millis();
        let slack = u32::try_from(slack).unwrap_or(u32::MAX);
        let need = self.tracker.need(&waiting.spec.class, now);
        (MAX_NEED - need) * PRIORITIES_PER_NEED + slack.min(PRIORITIES_PER_NEED - 1)
    }

    /// Returns the latest time at which a waiting attempt could start and still meet its deadline.
    fn last_start(&self, waiting: &WaitingAttempt) -> ClockTime {
        if self.stale {
            return waiting.deadline;
        }
        waiting.deadline - self.estimator.min_latency(&waiting.spec)
    }

    fn load(&self, ahead: usize) -> EndpointLoad {
        EndpointLoad {
            ahead,
            running: self.running.len(),
            slots: self.limits.slots as usize,
        }
    }

    fn whole_load(&self) -> EndpointLoad {
        self.load(self.queue.len())
    }
}

fn saturate(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
