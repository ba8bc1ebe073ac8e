//! Façade over all decisions of an entry about requests.

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
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::status::{EndpointStatus, QueueReport};

use crate::action::{EntryAction, EntryActions};
use crate::attainment::AttainmentTracker;
use crate::event::{EntryEvent, RequestIntake};
use crate::health::{HealthTracker, HealthTransition};
use crate::index::{ClassIndex, EndpointIndex};
use crate::limit::{ClassStatus, EntryLimiter};
use crate::machine::{RequestLookup, RequestMachine};
use crate::outcome::{FinalAnswer, FinalCause};
use crate::prefix::PrefixIndex;
use crate::retry::RetryBudget;
use crate::table::EndpointTable;
use crate::units::parts_per_million;

use self::classes::ConfigCatalog;
use self::core::EntryCore;
use self::counts::counts_for_target;
use self::seals::SealTracker;
use self::timers::TimerQueue;

pub use counts::EntryCounts;
pub use settings::EntrySettings;

/// A request without a final answer.
#[derive(Debug)]
struct OpenRequest {
    machine: RequestMachine,
    /// Time for which the request's timer is armed.
    timer_at: ClockTime,
}

/// All decisions of one entry about requests.
///
/// The driver reports changes of endpoints (`on_*`, `mark_leaving`, `forget`) and of requests
/// (`start`, `handle`, `fire_timers`), and performs the returned actions in order. No method blocks
/// or does I/O. One instance serves one thread.
#[derive(Debug)]
pub struct EntryPolicy {
    settings: EntrySettings,
    core: EntryCore,
    catalog: ConfigCatalog,
    limiter: EntryLimiter,
    attainment: AttainmentTracker,
    /// Must not be iterated: the order differs between runs.
    requests: HashMap<RequestId, OpenRequest>,
    timers: TimerQueue,
    seals: SealTracker,
    counts: EntryCounts,
    is_stopping: bool,
}

impl EntryPolicy {
    /// Creates the policy of an entry in `own_zone`.
    ///
    /// `seed` must differ between processes that run at the same time, because attempt ids are
    /// generated from it.
    #[must_use]
    pub fn new(settings: EntrySettings, own_zone: ZoneName, seed: u64) -> Self {
        Self {
            core: EntryCore::new(&settings, own_zone, seed),
            catalog: ConfigCatalog::default(),
            limiter: EntryLimiter::new(settings.limit),
            attainment: AttainmentTracker::new(settings.attainment),
            requests: HashMap::new(),
            timers: TimerQueue::default(),
            seals: SealTracker::default(),
            counts: EntryCounts::default(),
            is_stopping: false,
            settings,
        }
    }

    /// Applies a configuration: classes with their targets, regions and known goals. Requests in
    /// flight keep the targets that applied when they arrived.
    pub fn apply_config(&mut self, config: &FleetConfig) {
        self.core.table.apply_config(config);
        self.catalog.apply_config(config);
        for (name, spec) in &config.classes {
            if let Some(class) = self.catalog.index(name) {
                self.attainment
                    .set_target(class, parts_per_million(spec.attain));
            }
        }
    }

    /// Applies an agent's full status of its endpoint, received from the agent or through the
    /// registrars.
    pub fn on_status(&mut self, status: &EndpointStatus, now: ClockTime) {
        self.core.table.on_status(status, now);
        self.core.reinstate_retained(now);
    }

    /// Applies an agent's queue report that was received outside a request's event. A report of an unknown
    /// endpoint is ignored.
    pub fn on_queue_report(
        &mut self,
        endpoint: &EndpointName,
        report: &QueueReport,
        now: ClockTime,
    ) {
        if let Some(index) = self.core.table.find(endpoint) {
            self.core.table.on_queue_report(index, report, now);
        }
    }

    /// Applies an engine's load report, which lags behind its actual load.
    pub fn on_report(&mut self, endpoint: &EndpointName, report: &LoadReport, _now: ClockTime) {
        if let Some(index) = self.core.table.find(endpoint) {
            self.core.table.on_report(index, report);
        }
    }

    /// Applies an engine's cache event, which may be late and follow a gap.
    pub fn on_cache_event(&mut self, endpoint: &EndpointName, event: &CacheEvent, now: ClockTime) {
        if let Some(index) = self.core.table.find(endpoint) {
            self.core.prefix.on_event(index, event, now);
        }
    }

    /// Marks an endpoint as leaving because it or its VM is reported to leave.
    ///
    /// It gets no new work until it restarts or [`Self::clear_leaving`] is called. Requests in
    /// flight there continue. An unknown endpoint is marked when its first status arrives.
    pub fn mark_leaving(&mut self, endpoint: &EndpointName, now: ClockTime) {
        match self.core.table.find(endpoint) {
            Some(index) => {
                self.core.table.mark_leaving(index);
                self.core.reinstate_retained(now);
            }
            None => self.core.table.mark_unknown_leaving(endpoint),
        }
    }

    /// Withdraws the mark that an endpoint is leaving.
    pub fn clear_leaving(&mut self, endpoint: &EndpointName) {
        match self.core.table.find(endpoint) {
            Some(index) => self.core.table.clear_leaving(index),
            None => self.core.table.clear_unknown_leaving(endpoint),
        }
    }

    /// Marks an endpoint as removed from the directory, until a status of it arrives. Requests in
    /// flight there continue.
    pub fn forget(&mut self, endpoint: &EndpointName, now: ClockTime) {
        if let Some(index) = self.core.table.find(endpoint) {
            self.core.table.forget(index);
            self.core.prefix.invalidate(index, now);
            self.core.reinstate_retained(now);
        }
    }

    /// Returns the endpoints that were ejected or reinstated since the last call, in order.
    pub fn take_health_transitions(&mut self) -> Vec<HealthTransition> {
        std::mem::take(&mut self.core.transitions)
    }

    /// Starts a request. The actions may already hold its final answer, if it is refused at once.
    /// `intake.request` must be a new id.
    pub fn start(&mut self, intake: RequestIntake, now: ClockTime) -> EntryActions {
        self.counts.started += 1;
        let lookup = match self.admit(&intake, now) {
            Ok(lookup) => lookup,
            Err(refusal) => return self.refuse(&intake, refusal, now),
        };
        let request = intake.request;
        self.core.retry.record_started(lookup.class);
        let mut machine = RequestMachine::new(self.settings.machine, intake, lookup, now);
        let actions = machine.start(&mut self.core, now);
        let timer_at = ClockTime::NEVER;
        let open = OpenRequest { machine, timer_at };
        self.store_or_finish(request, open, &actions, now);
        actions
    }

    /// Handles an event of a request.
    ///
    /// Events of finished requests are dropped and counted, except for the answer to a seal of a
    /// claimed key: it settles the claim again.
    pub fn handle(
        &mut self,
        request: RequestId,
        event: &EntryEvent,
        now: ClockTime,
    ) -> EntryActions {
        let Some(open) = self.requests.get_mut(&request) else {
            return self.handle_late(request, event);
        };
        if let Some((endpoint, report)) = live_queue_report(&open.machine, event) {
            self.core.table.on_queue_report(endpoint, report, now);
        }
        let actions = open.machine.handle(event, &mut self.core, now);
        if open.machine.is_done() || open.machine.timer() < open.timer_at {
            self.update(request, &actions, now);
        }
        actions
    }

    /// Returns the time at which [`Self::fire_timers`] must be called next.
    #[must_use]
    pub fn next_timer(&self) -> Option<ClockTime> {
        self.timers.next()
    }

    /// Delivers `Timer` to the requests whose timer is due, in order of time, and appends their
    /// actions to `fired`.
    pub fn fire_timers(&mut self, now: ClockTime, fired: &mut Vec<(RequestId, EntryActions)>) {
        while let Some(request) = self.timers.take_due(now) {
            let Some(open) = self.requests.get_mut(&request) else {
                continue;
            };
            open.timer_at = ClockTime::NEVER;
            let is_due = open.machine.timer() <= now;
            let actions = if is_due {
                open.machine.handle(&EntryEvent::Timer, &mut self.core, now)
            } else {
                EntryActions::new()
            };
            self.update(request, &actions, now);
            if !actions.is_empty() {
                fired.push((request, actions));
            }
        }
    }

    /// Begins to stop the entry: new requests are refused, those in flight continue.
    pub fn begin_stop(&mut self) {
        self.is_stopping = true;
    }

    /// Returns the number of requests without a final answer. A stopping entry ends at 0.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the live attempt of a request, if it has one.
    #[must_use]
    pub fn live_attempt(&self, request: RequestId) -> Option<AttemptId> {
        self.requests.get(&request)?.machine.attempt()
    }

    /// Returns the known state of the endpoints.
    #[must_use]
    pub fn table(&self) -> &EndpointTable {
        &self.core.table
    }

    /// Returns the health of the endpoints.
    #[must_use]
    pub fn health(&self) -> &HealthTracker {
        &self.core.health
    }

    /// Returns the index of expected prefix caches.
    #[must_use]
    pub fn prefix(&self) -> &PrefixIndex {
        &self.core.prefix
    }

    /// Returns the retry budgets.
    #[must_use]
    pub fn retry(&self) -> &RetryBudget {
        &self.core.retry
    }

    /// Returns the limiter of concurrent requests.
    #[must_use]
    pub fn limiter(&self) -> &EntryLimiter {
        &self.limiter
    }

    /// Returns the attained shares of the classes.
    #[must_use]
    pub fn attainment(&self) -> &AttainmentTracker {
        &self.attainment
    }

    /// Returns the index of a class that was ever configured.
    #[must_use]
    pub fn class_index(&self, class: &ClassName) -> Option<ClassIndex> {
        self.catalog.index(class)
    }

    /// Returns the counters for metrics.
    #[must_use]
    pub fn counts(&self) -> &EntryCounts {
        &self.counts
    }

    fn handle_late(&mut self, request: RequestId, event: &EntryEvent) -> EntryActions {
        let settlement = match event {
            EntryEvent::CancelAnswered { attempt, verdict } => {
                self.seals.resolve(request, *attempt, *verdict)
            }
            _ => None,
        };
        self.counts.dropped += u64::from(settlement.is_none());
        settlement.into_iter().collect()
    }

    fn admit(&mut self, intake: &RequestIntake, now: ClockTime) -> Result<RequestLookup, Refusal> {
        if self.is_stopping {
            return Err(self.refusal(RefusalCause::Leaving));
        }
        let known = self.catalog.class(&intake.class);
        let (class, target) = known
            .filter(|_| self.catalog.has_goal(&intake.goal))
            .ok_or(Refusal {
                cause: RefusalCause::Unknown,
                retry_after: None,
            })?;
        let goal = self.core.table.find_goal(&intake.goal);
        let goal = goal.ok_or_else(|| self.refusal(RefusalCause::NoEndpoint))?;
        let class_status = self.class_status(class, now);
        self.limiter.admit(&intake.caller, class_status)?;
        Ok(RequestLookup {
            class,
            target,
            goal,
        })
    }

    fn class_status(&self, class: ClassIndex, now: ClockTime) -> ClassStatus {
        if self.attainment.is_below_target(class, now) {
            ClassStatus::BelowTarget
        } else if self.attainment.is_any_below_target(now) {
            ClassStatus::Slack
        } else {
            ClassStatus::Balanced
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
        self.record_answer(self.catalog.index(&intake.class), &answer, now);
        EntryActions::from_iter([EntryAction::Answer(answer)])
    }

    fn update(&mut self, request: RequestId, actions: &EntryActions, now: ClockTime) {
        if let Some(open) = self.requests.remove(&request) {
            self.store_or_finish(request, open, actions, now);
        }
    }

    /// Stores an unfinished request with its timer armed, or accounts for the end of a finished
    /// one.
    fn store_or_finish(
        &mut self,
        request: RequestId,
        mut open: OpenRequest,
        actions: &EntryActions,
        now: ClockTime,
    ) {
        let timer = open.machine.timer();
        self.timers.rearm(request, open.timer_at, timer);
        open.timer_at = timer;
        let machine = &open.machine;
        let Some(EntryAction::Answer(answer)) = actions.last().filter(|_| machine.is_done()) else {
            self.requests.insert(request, open);
            return;
        };
        if let Some(seal) = machine.pending_seal() {
            self.seals.insert(request, seal, now);
        }
        let caller = &machine.intake().caller;
        self.limiter
            .release(caller, now.since(machine.arrived_at()));
        self.counts.attempts += u64::from(machine.attempts());
        self.counts.dropped += u64::from(machine.dropped());
        self.core.retry.record_ended(machine.class());
        if answer.cause == FinalCause::Complete {
            self.core.retry.record_success(machine.class());
        }
        self.record_answer(Some(machine.class()), answer, now);
    }

    fn record_answer(&mut self, class: Option<ClassIndex>, answer: &FinalAnswer, now: ClockTime) {
        self.counts.record_answer(answer);
        if let Some(class) = class.filter(|_| counts_for_target(answer.cause)) {
            self.attainment.record(class, answer.in_time, now);
        }
    }
}

/// Returns the queue report that an event of the live attempt carries, with the attempt's endpoint.
fn live_queue_report<'a>(
    machine: &RequestMachine,
    event: &'a EntryEvent,
) -> Option<(EndpointIndex, &'a QueueReport)> {
    let is_live = machine.attempt().is_some() && machine.attempt() == event.attempt();
    let endpoint = machine.endpoint().filter(|_| is_live)?;
    event.queue_report().map(|report| (endpoint, report))
}
