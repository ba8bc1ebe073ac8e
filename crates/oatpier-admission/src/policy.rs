//! All decisions of one agent about requests.
//!
//! An attempt passes these filters in order: the ledger (is it new?), the drain, the endpoint's
//! health, its weights, the estimate (can it be in time?), the queue's bound. Whatever a filter
//! refuses is on record as "not run" before the refusal goes out. After every event the waiting
//! attempts that can no longer be in time are refused, and free slots are filled.

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

use crate::attempts::{ArrivalJudgement, AttemptLedger, CancelJudgement};
use crate::drain::DrainState;
use crate::estimate::{EndpointLoad, ServiceEstimator};
use crate::event::{
    AdmissionLimits, AdmissionTicket, AgentAction, AgentActions, AgentEvent, usual_queue,
};
use crate::need::{MOST_NEED, NeedTracker};
use crate::queue::{AdmissionQueue, QueuePlacement, WaitingAttempt};
use crate::running::RunningAttempt;
use crate::weights::{WeightsOutlook, WeightsTable};

/// Priorities of an engine for one step of need.
const PRIORITIES_PER_NEED: u32 = 1_000;

/// Slack that raises an engine's priority number by one.
const SLACK_PER_PRIORITY: Duration = Duration::from_millis(10);

/// How far the giving up of an attempt reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CancelReach {
    /// To what waits: what is at the endpoint goes on.
    Queue,
    /// To the endpoint.
    Endpoint,
}

/// What the policy met that should not happen often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AgentCounters {
    /// Copies of attempts that came before.
    pub copies: u64,
    /// Attempts refused as given up before they came, or not to be told from such.
    pub given_up: u64,
    /// Words of the endpoint on attempts that are not there, dropped.
    pub stray_answers: u64,
}

/// All decisions of one agent about requests.
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
    /// Whether the estimates were too old to refuse anything on at the last step.
    stale: bool,
    counters: AgentCounters,
}

impl AgentPolicy {
    /// The policy of an agent that has just started, with its endpoint up and no weights ready.
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

    /// Takes one event and says what to do.
    pub fn step(&mut self, event: AgentEvent, now: ClockTime) -> AgentActions {
        let mut actions = AgentActions::new();
        // A further piece frees no slot and changes nothing for what waits. Without this, each
        // generated token would cost a look at the whole queue.
        let is_piece = matches!(event, AgentEvent::EndpointPiece { .. });
        self.ledger.expire(now);
        self.take_event(event, now, &mut actions);
        if is_piece {
            return actions;
        }
        self.stale = self.estimator.is_stale(self.running.len(), now);
        self.refuse_hopeless(now, &mut actions);
        self.fill_slots(now, &mut actions);
        if self.drain.settle(self.in_flight()) {
            actions.push(AgentAction::Drained);
        }
        actions
    }

    /// When to give the next [`AgentEvent::Timer`]; [`ClockTime::NEVER`] if none is wanted.
    #[must_use]
    pub fn next_timer(&self) -> ClockTime {
        let hopeless = self
            .queue
            .iter()
            .map(|waiting| self.last_start(waiting) + Duration::from_micros(1))
            .min();
        self.ledger
            .next_expiry()
            .min(hopeless.unwrap_or(ClockTime::NEVER))
    }

    /// A fresh queue report. Each has the next sequence number.
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

    /// Attempts that wait or run.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// How far a planned stop is.
    #[must_use]
    pub fn drain_state(&self) -> DrainState {
        self.drain
    }

    /// What it met that should not happen often.
    #[must_use]
    pub fn counters(&self) -> AgentCounters {
        self.counters
    }

    /// The need of a class as this agent sees it, from 0 to [`MOST_NEED`].
    #[must_use]
    pub fn need(&self, class: &ClassName, now: ClockTime) -> u32 {
        self.tracker.need(class, now)
    }

    fn take_event(&mut self, event: AgentEvent, now: ClockTime, actions: &mut AgentActions) {
        match event {
            AgentEvent::Arrive { spec, ticket } => self.arrive(spec, ticket, now, actions),
            AgentEvent::Cancel { attempt, ticket } => {
                let reach = CancelReach::Endpoint;
                self.cancel((attempt, ticket), reach, now, actions);
            }
            AgentEvent::Seal { attempt, ticket } => {
                let reach = CancelReach::Queue;
                self.cancel((attempt, ticket), reach, now, actions);
            }
            AgentEvent::EndpointFirstToken { attempt } => self.first_token(attempt, now),
            AgentEvent::EndpointPiece { attempt, tokens } => self.piece(attempt, tokens, now),
            AgentEvent::EndpointEnded { attempt } => self.ended(attempt, now),
            AgentEvent::EndpointFailed { attempt, verdict } => self.failed(attempt, verdict, now),
            AgentEvent::EndpointUp { up } => self.up = up,
            AgentEvent::Leave => self.drain.leave(),
            AgentEvent::ReadyChanged { ready, loading } => {
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
            ArrivalJudgement::New => self.admit(spec, now, actions),
            ArrivalJudgement::GivenUp => {
                self.counters.given_up += 1;
                let refusal = Refusal {
                    cause: RefusalCause::GivenUp,
                    retry_after: Some(Duration::ZERO),
                };
                actions.push(AgentAction::Refuse { attempt, refusal });
            }
            ArrivalJudgement::Copy(verdict) => {
                self.counters.copies += 1;
                actions.push(AgentAction::AnswerCopy { attempt, verdict });
            }
        }
    }

    fn admit(&mut self, spec: AttemptSpec, now: ClockTime, actions: &mut AgentActions) {
        let deadline = now + spec.remaining;
        let waiting = WaitingAttempt { spec, deadline };
        let unfit = self.closed().or_else(|| self.misses(&waiting, now));
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
        reach: CancelReach,
        now: ClockTime,
        actions: &mut AgentActions,
    ) {
        let verdict = match self.ledger.cancel(attempt, ticket, self.reports, now) {
            CancelJudgement::Unqueued => {
                self.queue.remove(attempt);
                RunVerdict::NotRun
            }
            CancelJudgement::Started if reach == CancelReach::Queue => RunVerdict::MayHaveRun,
            CancelJudgement::Started => {
                actions.push(AgentAction::CancelAtEndpoint { attempt });
                RunVerdict::MayHaveRun
            }
            CancelJudgement::Settled(verdict) => verdict,
        };
        actions.push(AgentAction::Cancelled { attempt, verdict });
    }

    fn change_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        self.limits.slots = slots;
        self.limits.queue = usual_queue(slots);
        self.queue.set_bound(self.limits.queue);
    }

    fn first_token(&mut self, attempt: AttemptId, now: ClockTime) {
        let Some(running) = self.running.get_mut(&attempt) else {
            self.counters.stray_answers += 1;
            return;
        };
        if !running.note_first(now) {
            return;
        }
        let spec = &running.spec;
        self.estimator
            .first_token(spec.tokens, now.since(running.started), now);
        if running.is_stream(self.tracker.target(&spec.class)) {
            let in_time = now <= running.deadline;
            self.tracker.observe(&spec.class, in_time, now);
        }
    }

    fn piece(&mut self, attempt: AttemptId, tokens: u32, now: ClockTime) {
        let Some(running) = self.running.get_mut(&attempt) else {
            self.counters.stray_answers += 1;
            return;
        };
        let taken = running.note_piece(tokens, now);
        self.estimator.piece(tokens, taken, now);
    }

    fn ended(&mut self, attempt: AttemptId, now: ClockTime) {
        let Some(running) = self.running.shift_remove(&attempt) else {
            self.counters.stray_answers += 1;
            return;
        };
        self.ledger.settle(attempt, RunVerdict::Ran, now);
        let class = &running.spec.class;
        self.estimator.ended(class, now.since(running.started), now);
        let target = self.tracker.target(class);
        if !running.is_stream(target) {
            let in_time = now <= running.deadline;
            self.tracker.observe(class, in_time, now);
        } else if running.fell_behind(target) {
            self.tracker.demote(class, now);
        }
    }

    fn failed(&mut self, attempt: AttemptId, verdict: RunVerdict, now: ClockTime) {
        if self.running.shift_remove(&attempt).is_none() {
            self.counters.stray_answers += 1;
            return;
        }
        self.ledger.settle(attempt, verdict, now);
        self.estimator.failed(now);
    }

    fn fill_slots(&mut self, now: ClockTime, actions: &mut AgentActions) {
        while self.running.len() < self.limits.slots as usize {
            let (tracker, weights) = (&self.tracker, &self.weights);
            let next = self.queue.pop(&|class| tracker.need(class, now), &|spec| {
                weights.outlook(&spec.goal) == WeightsOutlook::Ready
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
        self.estimator.started(self.running.len(), now);
        let running = RunningAttempt::new(waiting.spec, waiting.deadline, now);
        self.running.insert(attempt, running);
        actions.push(AgentAction::Start { attempt, priority });
    }

    /// Lower goes first: by need, then by slack.
    fn priority(&self, waiting: &WaitingAttempt, now: ClockTime) -> u32 {
        let slack = waiting.deadline.since(now).as_millis() / SLACK_PER_PRIORITY.as_millis();
        let slack = u32::try_from(slack).unwrap_or(u32::MAX);
        let need = self.tracker.need(&waiting.spec.class, now);
        (MOST_NEED - need) * PRIORITIES_PER_NEED + slack.min(PRIORITIES_PER_NEED - 1)
    }

    /// The last point at which a waiting attempt could start and yet be in time.
    fn last_start(&self, waiting: &WaitingAttempt) -> ClockTime {
        if self.stale {
            return waiting.deadline;
        }
        waiting.deadline - self.estimator.least_due(&waiting.spec)
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
