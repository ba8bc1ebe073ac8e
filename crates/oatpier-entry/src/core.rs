//! What the tasks of the callers duty share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use oatpier_membership::members::PathEvidence;
use oatpier_placement::demand::{DemandKey, DemandLedger, DemandSummary};
use oatpier_policy::action::EntryActions;
use oatpier_policy::event::{EntryEvent, RequestIntake};
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
use crate::decisions::EntryDecisions;
use crate::history::RequestHistory;
use crate::news::{CallersQuestion, CallersStanding, DirectoryNews, EntryNews};
use crate::peers::{PathNews, evidence_of};
use oatpier_duty::duty::{RingSender, RuntimeClock};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;

/// Where timer actions of a request go.
pub type TimerSender = mpsc::UnboundedSender<EntryActions>;

/// The least time between two words to the peers duty that an agent answers.
const ANSWERED_EVERY: Duration = Duration::from_secs(1);

/// How an agent is reached.
#[derive(Debug, Clone)]
pub struct AgentContact {
    /// The agent.
    pub daemon: DaemonName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The newest queue report seen, which an attempt carries.
    pub ticket: AdmissionTicket,
    /// How many weights are ready there.
    pub replicas: usize,
    /// Whether it takes work, as it last said.
    pub accepting: bool,
    /// When the peers duty was last told that it answers.
    answered: Option<ClockTime>,
}

/// The state that the duty's tasks share. They run on one thread, so the lock is never waited
/// for; it is held for a decision and never across an await.
struct CoreState {
    policy: Box<dyn EntryDecisions>,
    config: Option<Arc<FleetConfig>>,
    generation: Generation,
    agents: HashMap<EndpointName, AgentContact>,
    timers: HashMap<RequestId, TimerSender>,
    demand: DemandLedger,
    history: RequestHistory,
}

/// The ways from the callers duty to the others.
#[derive(Clone)]
pub struct CoreRings {
    /// Evidence of the data path, for the peers duty. A full ring drops it: the next attempt
    /// tells the same.
    pub paths: RingSender<PathNews>,
    /// Claims, for the claims duty. A full ring turns an ask back as "unavailable", which is
    /// true; a settlement waits.
    pub claims: RingSender<ClaimCommand>,
}

/// The callers duty's shared parts.
pub struct EntryCore {
    rings: CoreRings,
    state: Mutex<CoreState>,
    timer_changed: Notify,
    /// The runtime's clock.
    pub clock: RuntimeClock,
    /// The process's metrics.
    pub metrics: MetricSet,
    /// Makes spans.
    pub tracer: HopTracer,
    /// Calls agents.
    pub peers: PeerClient,
}

impl EntryCore {
    /// The shared parts around a policy.
    #[must_use]
    pub fn new(
        policy: Box<dyn EntryDecisions>,
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

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<FleetConfig>> {
        self.lock().config.clone()
    }

    /// How an endpoint's agent is reached.
    #[must_use]
    pub fn contact(&self, endpoint: &EndpointName) -> Option<AgentContact> {
        self.lock().agents.get(endpoint).cloned()
    }

    /// Requests without a final answer.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.lock().policy.in_flight()
    }

    /// Takes news from another duty.
    pub fn take_news(&self, news: EntryNews) {
        match news {
            EntryNews::Config { generation, config } => self.take_config(generation, config),
            EntryNews::Directory(news) => self.take_directory(news),
            EntryNews::Question(question) => self.answer(question),
        }
    }

    /// Answers a question; one who no longer waits gets no answer.
    fn answer(&self, question: CallersQuestion) {
        match question {
            CallersQuestion::Standing { reply } => {
                let _ = reply.send(self.standing());
            }
            CallersQuestion::Request { request, reply } => {
                let _ = reply.send(self.lock().history.get(request));
            }
        }
    }

    fn standing(&self) -> CallersStanding {
        let now = self.clock.now();
        let state = self.lock();
        let Some(config) = &state.config else {
            return CallersStanding::default();
        };
        state.policy.standing(config, now)
    }

    /// The demand of this entry's callers.
    #[must_use]
    pub fn demand(&self) -> DemandSummary {
        let now = self.clock.now();
        self.lock().demand.summary(now)
    }

    /// Remembers what became of a request.
    pub fn remember(&self, explained: ExplainRequest) {
        self.lock().history.push(explained);
    }

    /// The way to the claims duty.
    #[must_use]
    pub fn claims(&self) -> &RingSender<ClaimCommand> {
        &self.rings.claims
    }

    /// A generation only rises: an older one that comes late changes nothing.
    fn take_config(&self, generation: Generation, config: Arc<FleetConfig>) {
        let mut state = self.lock();
        if generation <= state.generation {
            return;
        }
        state.policy.apply_config(&config);
        state.generation = generation;
        state.config = Some(config);
        let shown = i64::try_from(generation.0).unwrap_or(i64::MAX);
        self.metrics.generation.set(shown);
    }

    fn take_directory(&self, news: DirectoryNews) {
        let now = self.clock.now();
        let mut state = self.lock();
        match news {
            DirectoryNews::Status {
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
                    answered: None,
                };
                state.take_contact(&status.endpoint, contact);
                state.policy.on_status(&status, now);
            }
            DirectoryNews::QueueReport { endpoint, report } => {
                state.renew_ticket(&endpoint, &report);
                state.policy.on_queue_report(&endpoint, &report, now);
            }
            DirectoryNews::Leaving(endpoint) => state.policy.mark_leaving(&endpoint, now),
            DirectoryNews::Staying(endpoint) => state.policy.clear_leaving(&endpoint),
            DirectoryNews::Gone(endpoint) => {
                state.agents.remove(&endpoint);
                state.policy.forget(&endpoint, now);
            }
        }
        self.show_directory(&state);
        drop(state);
        self.timer_changed.notify_one();
    }

    fn show_directory(&self, state: &CoreState) {
        let open = || state.agents.values().filter(|contact| contact.accepting);
        let replicas = open().map(|contact| contact.replicas).sum();
        self.metrics.endpoints_known.set(shown(open().count()));
        self.metrics.replicas_known.set(shown(replicas));
    }

    /// A request came in; actions of its timers will go to `timers`.
    pub fn start(&self, intake: RequestIntake, timers: TimerSender) -> EntryActions {
        let now = self.clock.now();
        let mut state = self.lock();
        state.timers.insert(intake.request, timers);
        state.count_demand(&intake, now);
        let actions = state.policy.start(intake, now);
        drop(state);
        self.timer_changed.notify_one();
        actions
    }

    /// Something happened to a request; `endpoint` is where, if at one.
    pub fn handle(
        &self,
        request: RequestId,
        endpoint: Option<&EndpointName>,
        event: &EntryEvent,
    ) -> EntryActions {
        let now = self.clock.now();
        let mut state = self.lock();
        if let (Some(endpoint), Some(report)) = (endpoint, event.queue_report()) {
            state.renew_ticket(endpoint, report);
        }
        let news = endpoint.and_then(|endpoint| state.path_news(endpoint, event, now));
        let actions = state.policy.handle(request, event, now);
        drop(state);
        if let Some(news) = news {
            // Counted by the ring if it is full.
            let _ = self.rings.paths.try_send(news);
        }
        self.timer_changed.notify_one();
        actions
    }

    /// A request is over.
    pub fn finish(&self, request: RequestId) {
        self.lock().timers.remove(&request);
    }

    /// New requests are refused from now on.
    pub fn begin_stop(&self) {
        self.lock().policy.begin_stop();
    }

    /// Fires timers for ever.
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
        for (request, actions) in fired {
            if let Some(timers) = state.timers.get(&request) {
                // A request whose task has ended needs no more actions.
                let _ = timers.send(actions);
            }
        }
    }
}

fn shown(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

impl CoreState {
    /// Takes an agent's contact; a ticket that is later than the one that came stays.
    fn take_contact(&mut self, endpoint: &EndpointName, fresh: AgentContact) {
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

    fn renew_ticket(&mut self, endpoint: &EndpointName, report: &QueueReport) {
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

    fn count_demand(&mut self, intake: &RequestIntake, now: ClockTime) {
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

    /// What an event tells of whether the agent is there, if the peers duty is to know.
    fn path_news(
        &mut self,
        endpoint: &EndpointName,
        event: &EntryEvent,
        now: ClockTime,
    ) -> Option<PathNews> {
        let evidence = evidence_of(event)?;
        let contact = self.agents.get_mut(endpoint)?;
        let is_known = evidence == PathEvidence::Answered
            && contact
                .answered
                .is_some_and(|at| now.since(at) < ANSWERED_EVERY);
        if is_known {
            return None;
        }
        contact.answered = (evidence == PathEvidence::Answered).then_some(now);
        Some(PathNews {
            daemon: contact.daemon.clone(),
            evidence,
            report: event.queue_report().copied(),
        })
    }
}
