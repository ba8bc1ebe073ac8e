//! State shared by the tasks of the callers duty.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use oatpier_membership::members::PathEvidence;
use oatpier_placement::demand::{DemandKey, DemandLedger, DemandSummary};
use oatpier_policy::action::EntryActions;
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::health::HealthTransition;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::ids::{Generation, RequestId};
use oatpier_types::names::{DaemonName, EndpointName};
use oatpier_types::operator::ExplainRequest;
use oatpier_types::request::RequestGoal;
use oatpier_types::status::{AdmissionTicket, QueueReport};
use oatpier_wire::peer::PeerClient;
use tokio::sync::{Notify, mpsc};

use crate::claims::ClaimCommand;
use crate::history::RequestHistory;
use crate::peers::{PathReport, evidence_of};
use crate::policy::RequestPolicy;
use crate::updates::{CallersQuery, CallersStatus, CallersUpdate, DirectoryUpdate};
use oatpier_duty::duty::{RingSender, RuntimeClock};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;

/// Channel for the timer actions of a request.
pub type TimerSender = mpsc::UnboundedSender<EntryActions>;

/// Minimum interval between two reports to the peers duty that an agent answers.
const ANSWERED_INTERVAL: Duration = Duration::from_secs(1);

/// Address and last known state of an agent.
#[derive(Debug, Clone)]
pub struct AgentContact {
    /// Name of the agent.
    pub daemon: DaemonName,
    /// Address the agent listens on.
    pub address: SocketAddr,
    /// Newest queue report received, sent along with each attempt.
    pub ticket: AdmissionTicket,
    /// Number of weights that are ready on the agent.
    pub replicas: usize,
    /// Whether the agent accepts work, according to its newest report.
    pub accepting: bool,
    /// Time of the last report to the peers duty that the agent answers.
    last_answered: Option<ClockTime>,
}

/// State shared by the duty's tasks. All of them run on one thread, so the lock is never contended.
/// It is held for one decision and never across an await.
struct CoreState {
    policy: Box<dyn RequestPolicy>,
    config: Option<Arc<FleetConfig>>,
    generation: Generation,
    agents: HashMap<EndpointName, AgentContact>,
    timers: HashMap<RequestId, TimerSender>,
    demand: DemandLedger,
    history: RequestHistory,
}

/// Channels from the callers duty to the other duties.
#[derive(Clone)]
pub struct CoreRings {
    /// Data path evidence for the peers duty. A full ring drops it: the next attempt produces the
    /// same evidence.
    pub paths: RingSender<PathReport>,
    /// Commands for the claims duty. If the ring is full, a query is answered "unavailable", which
    /// is correct; a settlement waits.
    pub claims: RingSender<ClaimCommand>,
}

/// Shared state of the callers duty.
pub struct EntryCore {
    rings: CoreRings,
    state: Mutex<CoreState>,
    timer_changed: Notify,
    /// Clock of the runtime.
    pub clock: RuntimeClock,
    /// Metrics of the process.
    pub metrics: MetricSet,
    /// Creates spans.
    pub tracer: HopTracer,
    /// Client for calls to agents.
    pub peers: PeerClient,
}

impl EntryCore {
    /// Creates the shared state around a policy.
    #[must_use]
    pub fn new(
        policy: Box<dyn RequestPolicy>,
        clock: RuntimeClock,
        metrics: MetricSet,
        tracer: HopTracer,
        peers: PeerClient,
        rings: CoreRings,
    ) -> Self {
        let state = CoreState {
            policy,
            config: None,
            generation: Generation(0),
            agents: HashMap::new(),
            timers: HashMap::new(),
            demand: DemandLedger::new(),
            history: RequestHistory::default(),
        };
        Self {
            rings,
            state: Mutex::new(state),
            timer_changed: Notify::new(),
            clock,
            metrics,
            tracer,
            peers,
        }
    }

    fn lock(&self) -> MutexGuard<'_, CoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the active configuration.
    #[must_use]
    pub fn config(&self) -> Option<Arc<FleetConfig>> {
        self.lock().config.clone()
    }

    /// Returns the contact of an endpoint's agent.
    #[must_use]
    pub fn contact(&self, endpoint: &EndpointName) -> Option<AgentContact> {
        self.lock().agents.get(endpoint).cloned()
    }

    /// Returns the number of requests without a final answer.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.lock().policy.in_flight()
    }

    /// Applies an update from another duty.
    pub fn apply_update(&self, update: CallersUpdate) {
        match update {
            CallersUpdate::Config { generation, config } => self.apply_config(generation, config),
            CallersUpdate::Directory(update) => self.apply_directory_update(update),
            CallersUpdate::Query(query) => self.answer_query(query),
        }
    }

    /// Answers a query. The answer is discarded if the sender of the query no longer waits.
    fn answer_query(&self, query: CallersQuery) {
        match query {
            CallersQuery::Status { reply } => {
                let _ = reply.send(self.callers_status());
            }
            CallersQuery::Request { request, reply } => {
                let _ = reply.send(self.lock().history.get(request));
            }
        }
    }

    fn callers_status(&self) -> CallersStatus {
        let now = self.clock.now();
        let state = self.lock();
        let Some(config) = &state.config else {
            return CallersStatus::default();
        };
        state.policy.callers_status(config, now)
    }

    /// Returns the demand of this entry's callers.
    #[must_use]
    pub fn demand(&self) -> DemandSummary {
        let now = self.clock.now();
        self.lock().demand.summary(now)
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&self, explained: ExplainRequest) {
        self.lock().history.push(explained);
    }

    /// Returns the channel to the claims duty.
    #[must_use]
    pub fn claims(&self) -> &RingSender<ClaimCommand> {
        &self.rings.claims
    }

    /// Applies a configuration. Generations only increase: an older one that arrives late is
    /// ignored.
    fn apply_config(&self, generation: Generation, config: Arc<FleetConfig>) {
        let mut state = self.lock();
        if generation <= state.generation {
            return;
        }
        state.policy.apply_config(&config);
        state.generation = generation;
        state.config = Some(config);
        let value = i64::try_from(generation.0).unwrap_or(i64::MAX);
        self.metrics.generation.set(value);
    }

    fn apply_directory_update(&self, update: DirectoryUpdate) {
        let now = self.clock.now();
        let mut state = self.lock();
        match update {
            DirectoryUpdate::Status {
                daemon,
                address,
                status,
            } => {
                let contact = AgentContact {
                    daemon,
                    address,
                    ticket: AdmissionTicket::of(&status.queue),
                    replicas: status.ready.len(),
                    accepting: status.queue.accepting,
                    last_answered: None,
                };
                state.update_contact(&status.endpoint, contact);
                state.policy.on_status(&status, now);
            }
            DirectoryUpdate::QueueReport { endpoint, report } => {
                state.update_ticket(&endpoint, &report);
                state.policy.on_queue_report(&endpoint, &report, now);
            }
            DirectoryUpdate::Leaving(endpoint) => state.policy.mark_leaving(&endpoint, now),
            DirectoryUpdate::NotLeaving(endpoint) => state.policy.clear_leaving(&endpoint),
            DirectoryUpdate::Gone(endpoint) => {
                state.agents.remove(&endpoint);
                state.policy.forget(&endpoint, now);
            }
        }
        state.log_health_transitions();
        self.update_gauges(&state);
        drop(state);
        self.timer_changed.notify_one();
    }

    fn update_gauges(&self, state: &CoreState) {
        let open = || state.agents.values().filter(|contact| contact.accepting);
        let replicas = open().map(|contact| contact.replicas).sum();
        self.metrics
            .endpoints_known
            .set(gauge_value(open().count()));
        self.metrics.replicas_known.set(gauge_value(replicas));
    }

    /// Starts a request. Actions of its timers are sent to `timers`.
    pub fn start(&self, intake: RequestIntake, timers: TimerSender) -> EntryActions {
        let now = self.clock.now();
        let mut state = self.lock();
        state.timers.insert(intake.request, timers);
        state.record_demand(&intake, now);
        let actions = state.policy.start(intake, now);
        drop(state);
        self.timer_changed.notify_one();
        actions
    }

    /// Handles an event of a request; `endpoint` is set if the event comes from an endpoint.
    pub fn handle(
        &self,
        request: RequestId,
        endpoint: Option<&EndpointName>,
        event: &EntryEvent,
    ) -> EntryActions {
        let now = self.clock.now();
        let mut state = self.lock();
        if let (Some(endpoint), Some(report)) = (endpoint, event.queue_report()) {
            state.update_ticket(endpoint, report);
        }
        let report = endpoint.and_then(|endpoint| state.path_report(endpoint, event, now));
        let actions = state.policy.handle(request, event, now);
        state.log_health_transitions();
        drop(state);
        if let Some(report) = report {
            // The ring counts events dropped because it is full.
            let _ = self.rings.paths.try_send(report);
        }
        self.timer_changed.notify_one();
        actions
    }

    /// Removes the timer channel of a finished request.
    pub fn finish(&self, request: RequestId) {
        self.lock().timers.remove(&request);
    }

    /// Refuses new requests from now on.
    pub fn begin_stop(&self) {
        self.lock().policy.begin_stop();
    }

    /// Fires timers until the future is dropped.
    pub async fn run_timers(&self) {
        loop {
            let next = self.lock().policy.next_timer();
            let wait = async {
                match next {
                    Some(at) => tokio::time::sleep_until(self.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = wait => self.fire_timers(),
                () = self.timer_changed.notified() => {}
            }
        }
    }

    fn fire_timers(&self) {
        let now = self.clock.now();
        let mut fired = Vec::new();
        let mut state = self.lock();
        state.policy.fire_timers(now, &mut fired);
        state.log_health_transitions();
        for (request, actions) in fired {
            if let Some(timers) = state.timers.get(&request) {
                // The task of the request may have ended; its actions are no longer needed.
                let _ = timers.send(actions);
            }
        }
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

impl CoreState {
    /// Logs the endpoints that were ejected or reinstated.
    fn log_health_transitions(&mut self) {
        for HealthTransition { endpoint, fault } in self.policy.take_health_transitions() {
            let endpoint = endpoint.as_str();
            if let Some(fault) = fault {
                spdlog::warn!("ejected an endpoint", kv: { endpoint, fault = fault.as_str() });
            } else {
                spdlog::info!("reinstated an endpoint", kv: { endpoint });
            }
        }
    }

    /// Stores an agent's contact, but keeps the known ticket if it is newer than the received one.
    fn update_contact(&mut self, endpoint: &EndpointName, fresh: AgentContact) {
        let known = self.agents.get(endpoint);
        let known = known.filter(|known| known.ticket.boot == fresh.ticket.boot);
        let contact = match known {
            Some(known) if known.ticket.sequence > fresh.ticket.sequence => AgentContact {
                ticket: known.ticket,
                accepting: known.accepting,
                ..fresh
            },
            _ => fresh,
        };
        self.agents.insert(endpoint.clone(), contact);
    }

    fn update_ticket(&mut self, endpoint: &EndpointName, report: &QueueReport) {
        let Some(contact) = self.agents.get_mut(endpoint) else {
            return;
        };
        let fresh = AdmissionTicket::of(report);
        let is_newer =
            fresh.boot != contact.ticket.boot || fresh.sequence > contact.ticket.sequence;
        if is_newer {
            contact.ticket = fresh;
            contact.accepting = report.accepting;
        }
    }

    fn record_demand(&mut self, intake: &RequestIntake, now: ClockTime) {
        let RequestGoal::Model { model, adapter } = &intake.goal else {
            return;
        };
        let key = DemandKey {
            model: model.clone(),
            adapter: adapter.clone(),
        };
        let tokens = intake.tokens;
        self.demand.record(&key, tokens.prompt, tokens.output, now);
    }

    /// Returns the reachability evidence of an event if the peers duty needs it.
    fn path_report(
        &mut self,
        endpoint: &EndpointName,
        event: &EntryEvent,
        now: ClockTime,
    ) -> Option<PathReport> {
        let evidence = evidence_of(event)?;
        let contact = self.agents.get_mut(endpoint)?;
        let is_recent = evidence == PathEvidence::Answered
            && contact
                .last_answered
                .is_some_and(|at| now.since(at) < ANSWERED_INTERVAL);
        if is_recent {
            return None;
        }
        contact.last_answered = (evidence == PathEvidence::Answered).then_some(now);
        Some(PathReport {
            daemon: contact.daemon.clone(),
            evidence,
            report: event.queue_report().copied(),
        })
    }
}
