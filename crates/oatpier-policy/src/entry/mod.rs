//! The façade: all decisions of an entry about requests.

mod classes;
mod core;
mod counts;
mod seals;
pub mod settings;
mod timers;

use std::collections::HashMap;

use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{CacheEvent, LoadReport};
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::names::{ClassName, EndpointName, ZoneName};
use oatpier_types::pulse::{AgentPulse, EndpointStatus};
use oatpier_types::refusal::{Refusal, RefusalCause};

use crate::action::{EntryAction, EntryActions};
use crate::attainment::AttainmentLedger;
use crate::event::{EntryEvent, RequestIntake};
use crate::health::HealthTracker;
use crate::index::{ClassIndex, EndpointIndex};
use crate::limit::{ClassStanding, EntryLimiter};
use crate::machine::{RequestFrame, RequestMachine};
use crate::outcome::{FinalAnswer, FinalCause};
use crate::prefix::PrefixIndex;
use crate::retry::RetryBudget;
use crate::table::EndpointTable;
use crate::units::parts_per_million;

use self::classes::KnownWork;
use self::core::EntryCore;
use self::counts::counts_for_target;
use self::seals::SealBook;
use self::timers::TimerQueue;

pub use counts::EntryCounts;
pub use settings::EntrySettings;

/// A request without a final answer.
#[derive(Debug)]
struct OpenRequest {
    machine: RequestMachine,
    /// When its timer is armed for.
    armed: ClockTime,
}

/// All decisions of one entry.
///
/// A caller feeds it what it learns of endpoints (`on_*`, `mark_leaving`, `forget`) and of
/// requests (`start`, `handle`, `fire_timers`), and takes the actions that come back, in order.
/// It never blocks and does no I/O. One instance serves one thread.
#[derive(Debug)]
pub struct EntryPolicy {
    settings: EntrySettings,
    core: EntryCore,
    work: KnownWork,
    limiter: EntryLimiter,
    ledger: AttainmentLedger,
    /// Never iterated: its order differs between runs.
    requests: HashMap<RequestId, OpenRequest>,
    timers: TimerQueue,
    seals: SealBook,
    counts: EntryCounts,
    stopping: bool,
}

impl EntryPolicy {
    /// The decisions of an entry in `own_zone`. `seed` must differ between processes that run at
    /// the same time, since attempt ids are drawn from it.
    #[must_use]
    pub fn new(settings: EntrySettings, own_zone: ZoneName, seed: u64) -> Self {
        Self {
            core: EntryCore::new(&settings, own_zone, seed),
            work: KnownWork::default(),
            limiter: EntryLimiter::new(settings.limit),
            ledger: AttainmentLedger::new(settings.attainment),
            requests: HashMap::new(),
            timers: TimerQueue::default(),
            seals: SealBook::default(),
            counts: EntryCounts::default(),
            stopping: false,
            settings,
        }
    }

    /// Takes a configuration over: classes with their targets, regions, known goals. Requests in
    /// flight keep the targets that they came in with.
    pub fn apply_config(&mut self, config: &FleetConfig) {
        self.core.table.apply_config(config);
        self.work.apply_config(config);
        for (name, spec) in &config.classes {
            if let Some(class) = self.work.index(name) {
                self.ledger
                    .set_target(class, parts_per_million(spec.attain));
            }
        }
    }

    /// An agent's whole word on its endpoint came, from the agent or through the registrars.
    pub fn on_status(&mut self, status: &EndpointStatus, now: ClockTime) {
        self.core.table.on_status(status, now);
        self.core.keep_share(now);
    }

    /// An agent's pulse came outside a request's event. One of an unknown endpoint is ignored.
    pub fn on_pulse(&mut self, endpoint: &EndpointName, pulse: &AgentPulse, now: ClockTime) {
        if let Some(index) = self.core.table.find(endpoint) {
            self.core.table.on_pulse(index, pulse, now);
        }
    }

    /// An engine's lagged load report came.
    pub fn on_report(&mut self, endpoint: &EndpointName, report: &LoadReport, _now: ClockTime) {
        if let Some(index) = self.core.table.find(endpoint) {
            self.core.table.on_report(index, report);
        }
    }

    /// An engine's cache event came, late and perhaps after a gap.
    pub fn on_cache_event(&mut self, endpoint: &EndpointName, event: &CacheEvent, now: ClockTime) {
        if let Some(index) = self.core.table.find(endpoint) {
            self.core.prefix.on_event(index, event, now);
        }
    }

    /// The endpoint or its VM is said to leave: no new work goes there until it starts anew, or
    /// [`Self::clear_leaving`]. Requests in flight there go on. One that is not known yet is
    /// marked when its first status comes.
    pub fn mark_leaving(&mut self, endpoint: &EndpointName, now: ClockTime) {
        match self.core.table.find(endpoint) {
            Some(index) => {
                self.core.table.mark_leaving(index);
                self.core.keep_share(now);
            }
            None => self.core.table.expect_leaving(endpoint),
        }
    }

    /// The endpoint does not leave after all.
    pub fn clear_leaving(&mut self, endpoint: &EndpointName) {
        match self.core.table.find(endpoint) {
            Some(index) => self.core.table.clear_leaving(index),
            None => self.core.table.unexpect_leaving(endpoint),
        }
    }

    /// The endpoint is gone from the directory, until a status of it comes. Requests in flight
    /// there go on.
    pub fn forget(&mut self, endpoint: &EndpointName, now: ClockTime) {
        if let Some(index) = self.core.table.find(endpoint) {
            self.core.table.forget(index);
            self.core.prefix.forget(index, now);
            self.core.keep_share(now);
        }
    }

    /// A request came in. The actions may hold its final answer already (a refusal at once).
    /// `intake.request` must be new.
    pub fn start(&mut self, intake: RequestIntake, now: ClockTime) -> EntryActions {
        self.counts.started += 1;
        let frame = match self.admit(&intake, now) {
            Ok(frame) => frame,
            Err(refusal) => return self.refuse(&intake, refusal, now),
        };
        let request = intake.request;
        self.core.retry.note_started(frame.class);
        let mut machine = RequestMachine::new(self.settings.machine, intake, frame, now);
        let actions = machine.start(&mut self.core, now);
        let armed = ClockTime::NEVER;
        let open = OpenRequest { machine, armed };
        self.settle(request, open, &actions, now);
        actions
    }

    /// Something happened to a request. Events of finished requests are dropped and counted, but
    /// for the answer to a seal of a claimed change: it settles the claim anew.
    pub fn handle(
        &mut self,
        request: RequestId,
        event: &EntryEvent,
        now: ClockTime,
    ) -> EntryActions {
        let Some(open) = self.requests.get_mut(&request) else {
            return self.handle_late(request, event);
        };
        if let Some((endpoint, pulse)) = live_pulse(&open.machine, event) {
            self.core.table.on_pulse(endpoint, pulse, now);
        }
        let actions = open.machine.handle(event, &mut self.core, now);
        if open.machine.is_done() || open.machine.timer() < open.armed {
            self.resettle(request, &actions, now);
        }
        actions
    }

    /// When [`Self::fire_timers`] is to be called next.
    #[must_use]
    pub fn next_timer(&self) -> Option<ClockTime> {
        self.timers.next()
    }

    /// Gives `Timer` to the requests whose time has come, in order of time, and appends their
    /// actions to `fired`.
    pub fn fire_timers(&mut self, now: ClockTime, fired: &mut Vec<(RequestId, EntryActions)>) {
        while let Some(request) = self.timers.take_due(now) {
            let Some(open) = self.requests.get_mut(&request) else {
                continue;
            };
            open.armed = ClockTime::NEVER;
            let is_due = open.machine.timer() <= now;
            let actions = if is_due {
                open.machine.handle(&EntryEvent::Timer, &mut self.core, now)
            } else {
                EntryActions::new()
            };
            self.resettle(request, &actions, now);
            if !actions.is_empty() {
                fired.push((request, actions));
            }
        }
    }

    /// The entry stops: new requests are refused, those in flight go on.
    pub fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// Requests without a final answer. A stopping entry ends at 0.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// The live attempt of a request, if it has one.
    #[must_use]
    pub fn live_attempt(&self, request: RequestId) -> Option<AttemptId> {
        self.requests.get(&request)?.machine.attempt()
    }

    /// What is known of endpoints.
    #[must_use]
    pub fn table(&self) -> &EndpointTable {
        &self.core.table
    }

    /// The health of endpoints.
    #[must_use]
    pub fn health(&self) -> &HealthTracker {
        &self.core.health
    }

    /// Who is expected to have prefixes cached.
    #[must_use]
    pub fn prefix(&self) -> &PrefixIndex {
        &self.core.prefix
    }

    /// The retry budgets.
    #[must_use]
    pub fn retry(&self) -> &RetryBudget {
        &self.core.retry
    }

    /// The bound on concurrent requests.
    #[must_use]
    pub fn limiter(&self) -> &EntryLimiter {
        &self.limiter
    }

    /// The attained shares.
    #[must_use]
    pub fn ledger(&self) -> &AttainmentLedger {
        &self.ledger
    }

    /// The index of a class that was ever configured.
    #[must_use]
    pub fn class_index(&self, class: &ClassName) -> Option<ClassIndex> {
        self.work.index(class)
    }

    /// Counts for metrics.
    #[must_use]
    pub fn counts(&self) -> &EntryCounts {
        &self.counts
    }

    fn handle_late(&mut self, request: RequestId, event: &EntryEvent) -> EntryActions {
        let settled = match event {
            EntryEvent::CancelAnswered { attempt, verdict } => {
                self.seals.answered(request, *attempt, *verdict)
            }
            _ => None,
        };
        self.counts.dropped += u64::from(settled.is_none());
        settled.into_iter().collect()
    }

    fn admit(&mut self, intake: &RequestIntake, now: ClockTime) -> Result<RequestFrame, Refusal> {
        if self.stopping {
            return Err(self.refusal(RefusalCause::Leaving));
        }
        let known = self.work.class(&intake.class);
        let (class, target) = known
            .filter(|_| self.work.knows(&intake.goal))
            .ok_or(Refusal {
                cause: RefusalCause::Unknown,
                retry_after: None,
            })?;
        let goal = self.core.table.find_goal(&intake.goal);
        let goal = goal.ok_or_else(|| self.refusal(RefusalCause::NoEndpoint))?;
        let standing = self.standing(class, now);
        self.limiter.admit(&intake.caller, standing)?;
        Ok(RequestFrame {
            class,
            target,
            goal,
        })
    }

    fn standing(&self, class: ClassIndex, now: ClockTime) -> ClassStanding {
        if self.ledger.has_need(class, now) {
            ClassStanding::Need
        } else if self.ledger.any_need(now) {
            ClassStanding::Slack
        } else {
            ClassStanding::Level
        }
    }

    fn refusal(&self, cause: RefusalCause) -> Refusal {
        Refusal {
            cause,
            retry_after: Some(self.settings.router.retry_after),
        }
    }

    fn refuse(&mut self, intake: &RequestIntake, refusal: Refusal, now: ClockTime) -> EntryActions {
        let answer = FinalAnswer::refused(refusal);
        self.note_answer(self.work.index(&intake.class), &answer, now);
        EntryActions::from_iter([EntryAction::Answer(answer)])
    }

    fn resettle(&mut self, request: RequestId, actions: &EntryActions, now: ClockTime) {
        if let Some(open) = self.requests.remove(&request) {
            self.settle(request, open, actions, now);
        }
    }

    /// Keeps a request with its timer armed, or accounts for its end.
    fn settle(
        &mut self,
        request: RequestId,
        mut open: OpenRequest,
        actions: &EntryActions,
        now: ClockTime,
    ) {
        let timer = open.machine.timer();
        self.timers.rearm(request, open.armed, timer);
        open.armed = timer;
        let machine = &open.machine;
        let Some(EntryAction::Answer(answer)) = actions.last().filter(|_| machine.is_done()) else {
            self.requests.insert(request, open);
            return;
        };
        if let Some(seal) = machine.open_seal() {
            self.seals.keep(request, seal, now);
        }
        let caller = &machine.intake().caller;
        self.limiter.release(caller, now.since(machine.arrived()));
        self.counts.attempts += u64::from(machine.attempts());
        self.counts.dropped += u64::from(machine.dropped());
        self.core.retry.note_ended(machine.class());
        if answer.cause == FinalCause::Whole {
            self.core.retry.note_success(machine.class());
        }
        self.note_answer(Some(machine.class()), answer, now);
    }

    fn note_answer(&mut self, class: Option<ClassIndex>, answer: &FinalAnswer, now: ClockTime) {
        self.counts.note_answer(answer);
        if let Some(class) = class.filter(|_| counts_for_target(answer.cause)) {
            self.ledger.record(class, answer.in_time, now);
        }
    }
}

/// The pulse of an event of the live attempt, and the endpoint that it is of.
fn live_pulse<'a>(
    machine: &RequestMachine,
    event: &'a EntryEvent,
) -> Option<(EndpointIndex, &'a AgentPulse)> {
    let is_live = machine.attempt().is_some() && machine.attempt() == event.attempt();
    let endpoint = machine.endpoint().filter(|_| is_live)?;
    event.pulse().map(|pulse| (endpoint, pulse))
}
