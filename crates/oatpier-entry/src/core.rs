//! What the tasks of the callers duty share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use oatpier_admission::event::AdmissionTicket;
use oatpier_policy::action::EntryActions;
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_types::config::FleetConfig;
use oatpier_types::ids::{Generation, RequestId};
use oatpier_types::names::EndpointName;
use oatpier_types::pulse::AgentPulse;
use oatpier_wire::peer::PeerClient;
use tokio::sync::{Notify, mpsc};

use crate::decisions::EntryDecisions;
use crate::news::{DirectoryNews, EntryNews};
use oatpier_duty::duty::RuntimeClock;
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;

/// Where timer actions of a request go.
pub type TimerSender = mpsc::UnboundedSender<EntryActions>;

/// How an agent is reached.
#[derive(Debug, Clone, Copy)]
pub struct AgentContact {
    /// Where it listens.
    pub address: SocketAddr,
    /// The newest pulse seen, which an attempt carries.
    pub ticket: AdmissionTicket,
    /// How many weights are ready there.
    pub replicas: usize,
}

/// The state that the duty's tasks share. They run on one thread, so the lock is never waited
/// for; it is held for a decision and never across an await.
struct CoreState {
    policy: Box<dyn EntryDecisions>,
    config: Option<Arc<FleetConfig>>,
    generation: Generation,
    agents: HashMap<EndpointName, AgentContact>,
    timers: HashMap<RequestId, TimerSender>,
}

/// The callers duty's shared parts.
pub struct EntryCore {
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
    ) -> Self {
        let state = CoreState {
            policy,
            config: None,
            generation: Generation(0),
            agents: HashMap::new(),
            timers: HashMap::new(),
        };
        Self {
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
        self.lock().agents.get(endpoint).copied()
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
        }
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
            DirectoryNews::Status { address, status } => {
                let ticket = AdmissionTicket::of(&status.pulse);
                let contact = AgentContact {
                    address,
                    ticket,
                    replicas: status.ready.len(),
                };
                state.agents.insert(status.endpoint.clone(), contact);
                state.policy.on_status(&status, now);
            }
            DirectoryNews::Leaving(endpoint) => state.policy.mark_leaving(&endpoint, now),
            DirectoryNews::Gone(endpoint) => {
                state.agents.remove(&endpoint);
                state.policy.forget(&endpoint, now);
            }
        }
        let replicas = state.agents.values().map(|contact| contact.replicas).sum();
        self.metrics.endpoints_known.set(shown(state.agents.len()));
        self.metrics.replicas_known.set(shown(replicas));
        drop(state);
        self.timer_changed.notify_one();
    }

    /// A request came in; actions of its timers will go to `timers`.
    pub fn start(&self, intake: RequestIntake, timers: TimerSender) -> EntryActions {
        let now = self.clock.now();
        let mut state = self.lock();
        state.timers.insert(intake.request, timers);
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
        if let (Some(endpoint), Some(pulse)) = (endpoint, event.pulse()) {
            state.renew_ticket(endpoint, pulse);
        }
        let actions = state.policy.handle(request, event, now);
        drop(state);
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
    fn renew_ticket(&mut self, endpoint: &EndpointName, pulse: &AgentPulse) {
        let Some(contact) = self.agents.get_mut(endpoint) else {
            return;
        };
        let fresh = AdmissionTicket::of(pulse);
        let is_newer =
            fresh.boot != contact.ticket.boot || fresh.sequence > contact.ticket.sequence;
        if is_newer {
            contact.ticket = fresh;
        }
    }
}
