//! Drives the membership state machine: passes events to it and executes its actions.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oatpier_duty::duty::{RuntimeClock, StopPhase, StopSignal};
use oatpier_duty::messages::{FleetAnswer, FleetCall};
use oatpier_membership::entry::{CallNumber, EntryAction, EntryEvent, EntryMember};
use oatpier_membership::exchange::ExchangeScope;
use oatpier_membership::members::{MemberChange, MemberFacts, TableLimits, VmHint};
use oatpier_membership::messages::{EntryContact, HeartbeatBody, NamedStop, PeerCall};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::{DaemonName, EndpointName};
use oatpier_types::status::QueueReport;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;

use super::PeersRings;
use super::directory::{self, DutyMessage};
use super::stops::StopQueue;
use crate::configuration::StoreRequest;
use crate::links::EntryLinks;
use crate::planner::FleetSnapshot;

/// Time after start by which all live agents and entries have sent a heartbeat. A member missing
/// from the table before that may be missing only because this entry has just started.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time after start from which the table counts as settled even if the list of VMs names unknown
/// agents.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(30);

/// Number of entries in `last_heard` beyond twice the table's size before unknown members are removed.
const LAST_HEARD_MARGIN: usize = 64;

/// State shared by the duty's tasks. All of them run on one thread, so the lock is never contended.
/// It is held for one decision and never across an await.
pub(super) struct DriverState {
    pub(super) member: EntryMember<FleetConfig>,
    pub(super) stops: StopQueue,
    /// Time of the last heartbeat or row update of each member.
    pub(super) last_heard: HashMap<DaemonName, ClockTime>,
    /// Members whose state has to be sent to the callers duty. Bounded by the table.
    pub(super) dirty: IndexSet<DaemonName>,
    /// Queue reports to send to the callers duty; a later report replaces an earlier one.
    pub(super) reports: IndexMap<EndpointName, QueueReport>,
    /// The store call that the state machine requests; there is at most one at a time.
    pub(super) store_request: Option<StoreRequest>,
    /// Generation last sent to the callers duty.
    pub(super) sent_generation: Generation,
    /// Number of agents that are in the list of VMs but not in the table; `None` before the first
    /// list.
    pub(super) unknown_agents: Option<usize>,
    /// Entries last sent to the claims duty.
    pub(super) sent_entries: Vec<EntryContact>,
    mark: u64,
    leaving_hints: IndexSet<DaemonName>,
}

/// Drives the membership state machine.
pub(super) struct MemberDriver {
    state: Mutex<DriverState>,
    /// Notified when there may be something to publish.
    changed: Notify,
    woken: Notify,
    stop: StopSignal,
    pub(super) own: EntryContact,
    pub(super) links: Arc<dyn EntryLinks>,
    pub(super) clock: RuntimeClock,
    started: ClockTime,
}

impl MemberDriver {
    pub(super) fn new(
        own: EntryContact,
        boot: BootId,
        links: Arc<dyn EntryLinks>,
        clock: RuntimeClock,
        mut generator: ChaCha8Rng,
        stop: StopSignal,
    ) -> Self {
        let limits = TableLimits::default();
        let now = clock.now();
        let member = EntryMember::new(own.clone(), boot, Vec::new(), limits, &mut generator, now);
        let state = DriverState {
            member,
            stops: StopQueue::default(),
            last_heard: HashMap::new(),
            dirty: IndexSet::new(),
            reports: IndexMap::new(),
            store_request: None,
            sent_generation: Generation(0),
            unknown_agents: None,
            sent_entries: Vec::new(),
            mark: 0,
            leaving_hints: IndexSet::new(),
        };
        Self {
            state: Mutex::new(state),
            changed: Notify::new(),
            woken: Notify::new(),
            stop,
            own,
            links,
            clock,
            started: now,
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, DriverState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the state machine.
    pub(super) fn handle_event(self: &Arc<Self>, event: EntryEvent<FleetConfig>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let actions = state.member.handle(event, now);
        self.execute(&mut state, actions, now);
    }

    /// Answers a call of another process.
    pub(super) fn answer(self: &Arc<Self>, call: FleetCall) -> FleetAnswer {
        let now = self.clock.now();
        let mut state = self.lock();
        if let PeerCall::Heartbeat(heartbeat) = &call {
            state.last_heard.insert(heartbeat.daemon.clone(), now);
            state.record_queue_report(&heartbeat.daemon, &heartbeat.body);
        }
        let (answer, actions) = state.member.answer(call, now);
        self.execute(&mut state, actions, now);
        answer
    }

    /// Applies the complete list of planned stops.
    pub(super) fn apply_stop_list(self: &Arc<Self>, stops: Vec<NamedStop>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let DriverState {
            stops: queue,
            member,
            ..
        } = &mut *state;
        let released = queue.apply_list(stops, member, now);
        drop(state);
        self.handle_event(EntryEvent::StopsListed(released));
    }

    /// Applies one planned stop that was requested or withdrawn.
    pub(super) fn apply_stop(self: &Arc<Self>, stop: NamedStop) {
        let now = self.clock.now();
        let mut state = self.lock();
        let DriverState {
            stops: queue,
            member,
            ..
        } = &mut *state;
        let released = queue.apply(stop, member, now);
        drop(state);
        if let Some(stop) = released {
            self.handle_event(EntryEvent::StopChanged(stop));
        }
    }

    /// Applies a new list of VMs.
    pub(super) fn apply_vm_list(self: &Arc<Self>, hints: Vec<VmHint>) {
        let leaving = hints.iter().filter(|hint| hint.leaving);
        let leaving: IndexSet<DaemonName> =
            leaving.map(|hint| hint.contact.daemon.clone()).collect();
        let mut state = self.lock();
        let before = std::mem::replace(&mut state.leaving_hints, leaving);
        let changed = before.symmetric_difference(&state.leaving_hints);
        let changed: Vec<DaemonName> = changed.cloned().collect();
        state.dirty.extend(changed);
        drop(state);
        self.handle_event(EntryEvent::Hints(hints));
    }

    fn execute(
        self: &Arc<Self>,
        state: &mut DriverState,
        actions: Vec<EntryAction<FleetConfig>>,
        now: ClockTime,
    ) {
        for action in actions {
            match action {
                EntryAction::Call { call, to, body } => {
                    tokio::spawn(make_call(Arc::clone(self), call, to, body));
                }
                EntryAction::ReadConfig => state.store_request = Some(StoreRequest::Read),
                EntryAction::WatchConfig { after, wait } => {
                    state.store_request = Some(StoreRequest::Watch { after, wait });
                }
                EntryAction::InForce(held) => state.set_scope(&held.value, now),
                EntryAction::Changed(change) => {
                    log_change(&change);
                    state.dirty.insert(change.daemon);
                }
                // Withdrawing a stop has no effect once the process has begun to drain.
                EntryAction::Stop(request) if !request.withdrawn => {
                    self.stop.advance(StopPhase::Draining);
                }
                EntryAction::Stop(_) => {}
            }
        }
        state.mark_changed_members(now);
        self.changed.notify_one();
        self.woken.notify_one();
    }

    /// Sends ticks to the state machine until the future is dropped.
    pub(super) async fn run_timers(self: &Arc<Self>) {
        loop {
            let wake = self.lock().member.next_wake();
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(wake)) => self.tick(),
                () = self.woken.notified() => {}
            }
        }
    }

    fn tick(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let DriverState { stops, member, .. } = &mut *state;
        let due = stops.take_due(member, now);
        drop(state);
        for stop in due {
            self.handle_event(EntryEvent::StopChanged(stop));
        }
        self.handle_event(EntryEvent::Tick);
    }

    /// Sends changes to the other duties until the future is dropped. Pending changes are kept per
    /// member and not per event. A duty that is slow for a while thus receives the latest state and
    /// no backlog.
    pub(super) async fn publish(&self, rings: &PeersRings, can_serve: &AtomicBool) {
        loop {
            self.changed.notified().await;
            loop {
                let messages = directory::collect_messages(&mut self.lock());
                if messages.is_empty() {
                    break;
                }
                for message in messages {
                    send(message, rings, can_serve).await;
                }
            }
        }
    }

    /// Returns the numbers of live entries and usable agents, at least one each.
    pub(super) fn counts(&self) -> (u32, u32) {
        let state = self.lock();
        let table = state.member.table();
        let entries = table.live_entries().count();
        let agents = table.usable_agents().count();
        let count = |count: usize| u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        (count(entries), count(agents))
    }

    /// Returns whether members missing from the table are likely not to exist. This holds once the
    /// table had time to fill since the start and contains every agent in the list of VMs, or after
    /// [`MAX_SETTLE_TIME`].
    pub(super) fn is_settled(&self) -> bool {
        let waited = self.clock.now().since(self.started);
        let is_complete = self.lock().unknown_agents == Some(0);
        waited >= MAX_SETTLE_TIME || (is_complete && waited >= SETTLE_TIME)
    }

    /// Returns the fleet state for the planner, or `None` before the table has settled. A plan
    /// computed from an incomplete table would load weights that are already loaded elsewhere and
    /// unload them from the endpoints missing from the table.
    pub(super) fn settled_snapshot(&self) -> Option<FleetSnapshot> {
        self.snapshot().filter(|_| self.is_settled())
    }

    /// Returns the fleet state, or `None` without a configuration.
    pub(super) fn snapshot(&self) -> Option<FleetSnapshot> {
        directory::fleet_snapshot(&self.lock(), &self.own.zone)
    }
}

impl DriverState {
    /// Records the queue report of a heartbeat. A full heartbeat may change only the queue of the
    /// row, so its queue report is recorded as well.
    fn record_queue_report(&mut self, daemon: &DaemonName, body: &HeartbeatBody) {
        match body {
            HeartbeatBody::Full(status) => {
                self.reports.insert(status.endpoint.clone(), status.queue);
            }
            HeartbeatBody::QueueReport { report, .. } => {
                let view = self.member.table().get(daemon);
                let status = view.and_then(|view| view.facts.status());
                if let Some(endpoint) = status.map(|status| status.endpoint.clone()) {
                    self.reports.insert(endpoint, *report);
                }
            }
        }
    }

    fn set_scope(&mut self, config: &FleetConfig, now: ClockTime) {
        let endpoints = config.pools.values().map(|pool| pool.endpoints.len());
        let scope = ExchangeScope::for_fleet(endpoints.sum());
        let actions = self.member.handle(EntryEvent::Scope(scope), now);
        // A change of scope triggers only state changes, which go into `dirty`.
        for action in actions {
            if let EntryAction::Changed(change) = action {
                self.dirty.insert(change.daemon);
            }
        }
    }

    /// Marks the members whose rows changed.
    fn mark_changed_members(&mut self, now: ClockTime) {
        let table = self.member.table();
        if table.mark() == self.mark {
            return;
        }
        if let Some(deltas) = table.deltas_since(self.mark) {
            for row in deltas.rows {
                self.last_heard.insert(row.facts.daemon.clone(), now);
                self.dirty.insert(row.facts.daemon);
            }
        } else {
            let all = table.members().map(|view| view.facts.daemon.clone());
            self.dirty.extend(all);
        }
        self.mark = table.mark();
        // The table removes members that are long gone; their times are removed here.
        if self.last_heard.len() > LAST_HEARD_MARGIN + 2 * table.members().count() {
            self.last_heard
                .retain(|daemon, _| table.get(daemon).is_some());
        }
    }

    /// Returns the live entries including this one.
    pub(super) fn entries(&self) -> Vec<EntryContact> {
        let live = self.member.table().live_entries();
        let mut entries: Vec<EntryContact> = live.map(MemberFacts::contact).collect();
        entries.sort_by(|left, right| left.daemon.cmp(&right.daemon));
        entries
    }
}

fn log_change(change: &MemberChange) {
    let daemon = &change.daemon;
    let (before, state) = (
        format!("{:?}", change.before),
        format!("{:?}", change.state),
    );
    spdlog::info!("a member's state changed", kv: { daemon:, before, state });
}

async fn make_call(driver: Arc<MemberDriver>, call: CallNumber, to: EntryContact, body: FleetCall) {
    let answer = driver.links.call(to.address, body).await;
    let answer = answer.map(Box::new);
    driver.handle_event(EntryEvent::CallEnded { call, answer });
}

async fn send(message: DutyMessage, rings: &PeersRings, can_serve: &AtomicBool) {
    match message {
        DutyMessage::Config(update) => {
            rings.updates.send(update).await;
            can_serve.store(true, Ordering::Relaxed);
        }
        DutyMessage::Update(update) => rings.updates.send(update).await,
        DutyMessage::StoreRequest(request) => rings.store_requests.send(request).await,
        DutyMessage::Claims(command) => rings.claims.send(command).await,
    }
}
