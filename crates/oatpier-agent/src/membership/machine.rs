//! The decisions of the membership duty, and its pending calls.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::stream::FuturesUnordered;
use oatpier_membership::agent::{AgentAction, AgentEvent, AgentMember};
use oatpier_membership::backoff::jittered;
use oatpier_membership::entry::CallNumber;
use oatpier_membership::generation::{ConfigContent, HeldConfig};
use oatpier_membership::members::MemberPhase;
use oatpier_membership::messages::{ConfigPush, EntryContact, PeerCall};
use oatpier_ports::vms::VmRow;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::config::record::ConfigRecord;
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::DaemonName;
use oatpier_types::status::{EndpointStatus, QueueReport};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fallback::{FallbackTimer, StoreView, read_store};
use super::{MembershipInputs, is_entry, is_leaving};
use crate::channels::{MembershipCall, PlanUpdate, StatusUpdate, WorkUpdate};
use crate::peers::PeerFuture;
use oatpier_duty::duty::StopPhase;
use oatpier_duty::messages::{FleetAnswer, FleetCall};
use oatpier_duty::placement::{PlacementQuery, PlacementView};

/// Maximum time between two reads of the list of VMs. The agent must learn of a planned stop within
/// two seconds after the list shows it.
const HINTS_PERIOD: Duration = Duration::from_millis(1_200);
/// Maximum time between two queries for the plan and replicas.
const PLACEMENT_PERIOD: Duration = Duration::from_millis(1_200);
/// How long an answer about the plan and replicas stays valid.
const VIEW_MAX_AGE: Duration = Duration::from_secs(6);

/// Result of a call.
pub(super) enum CallResult {
    Call(CallNumber, Option<Box<FleetAnswer>>),
    Placement(Option<Box<PlacementView>>),
    Hints(Option<Vec<VmRow>>),
    Store(Box<StoreView>),
}

/// Schedule of a periodic task of which at most one run is in progress.
struct PeriodicCall {
    every: Duration,
    next: ClockTime,
    is_running: bool,
}

impl PeriodicCall {
    fn new(every: Duration, now: ClockTime) -> Self {
        Self {
            every,
            next: now,
            is_running: false,
        }
    }

    fn wake(&self) -> ClockTime {
        if self.is_running {
            ClockTime::NEVER
        } else {
            self.next
        }
    }

    fn begin(&mut self, now: ClockTime) -> bool {
        let due = !self.is_running && now >= self.next;
        self.is_running |= due;
        due
    }

    fn ended(&mut self, generator: &mut ChaCha8Rng, now: ClockTime) {
        self.is_running = false;
        self.next = now + jittered(self.every, generator);
    }
}

pub(super) struct MemberMachine {
    daemon: DaemonName,
    member: AgentMember<FleetConfig>,
    generator: ChaCha8Rng,
    pub(super) pending: FuturesUnordered<PeerFuture<CallResult>>,
    peers: Arc<dyn crate::peers::AgentPeers>,
    actions: Vec<AgentAction<FleetConfig>>,
    plan_updates: Vec<PlanUpdate>,
    weights: Vec<WeightsKey>,
    hints: PeriodicCall,
    placement: PeriodicCall,
    next_registrar: usize,
    view_until: Option<ClockTime>,
    fallback: FallbackTimer,
    is_leaving: bool,
    now: ClockTime,
}

impl MemberMachine {
    pub(super) fn new(inputs: &MembershipInputs) -> Self {
        let now = inputs.clock.now();
        let mut generator = ChaCha8Rng::seed_from_u64(inputs.seed);
        let own = EntryContact {
            daemon: inputs.daemon.clone(),
            zone: inputs.identity.zone.clone(),
            address: inputs.address,
        };
        let status = empty_status(inputs);
        let member = AgentMember::new(own, inputs.boot, Vec::new(), status, &mut generator, now);
        Self {
            daemon: inputs.daemon.clone(),
            member,
            fallback: FallbackTimer::new(&mut generator, now),
            generator,
            pending: FuturesUnordered::new(),
            peers: Arc::clone(&inputs.peers),
            actions: Vec::new(),
            plan_updates: Vec::new(),
            weights: Vec::new(),
            hints: PeriodicCall::new(HINTS_PERIOD, now),
            placement: PeriodicCall::new(PLACEMENT_PERIOD, now),
            next_registrar: 0,
            view_until: None,
            is_leaving: false,
            now,
        }
    }

    pub(super) fn next_wake(&self) -> ClockTime {
        let view = self.view_until.unwrap_or(ClockTime::NEVER);
        [
            self.member.next_wake(),
            self.hints.wake(),
            self.placement.wake(),
            self.fallback.next_wake(),
            view,
        ]
        .into_iter()
        .min()
        .unwrap_or(ClockTime::NEVER)
    }

    /// Starts the calls that are due, and sends updates to the other duties.
    pub(super) async fn act(&mut self, inputs: &MembershipInputs) {
        self.now = inputs.clock.now();
        if inputs.stop.phase() >= StopPhase::Draining && !self.is_leaving {
            self.is_leaving = true;
            self.handle(AgentEvent::Phase(MemberPhase::Leaving));
        }
        self.handle(AgentEvent::Tick);
        self.begin_hints(inputs);
        self.begin_placement(inputs);
        self.begin_fallback(inputs);
        self.expire_view();
        for action in std::mem::take(&mut self.actions) {
            self.execute(action, inputs).await;
        }
        for update in std::mem::take(&mut self.plan_updates) {
            inputs.plan.send(update).await;
        }
    }

    async fn execute(&mut self, action: AgentAction<FleetConfig>, inputs: &MembershipInputs) {
        match action {
            AgentAction::Call { call, to, body } => self.start_call(call, &to, body),
            AgentAction::InForce(held) => send_config(held, inputs).await,
            AgentAction::Stop(word) if !word.withdrawn => {
                spdlog::info!("planned stop requested, draining");
                inputs.stop.advance(StopPhase::Draining);
            }
            // Logged only while the last view of an entry is valid, so that an outage of all entries
            // does not repeat it.
            AgentAction::RegistrarLost(lost) if self.view_until.is_some() => {
                spdlog::warn!(
                    "registrar {} does not answer and is replaced by another entry",
                    lost.daemon
                );
            }
            // A drain can't be reverted once it has begun, as entries send no more work to this agent.
            AgentAction::Stop(_) | AgentAction::RegistrarLost(_) => {}
        }
    }

    fn start_call(&mut self, call: CallNumber, to: &EntryContact, body: FleetCall) {
        let calling = self.peers.call(to.address, body);
        let done = calling.map(move |answer| CallResult::Call(call, answer.map(Box::new)));
        self.pending.push(done.boxed());
    }

    fn begin_hints(&mut self, inputs: &MembershipInputs) {
        if self.hints.begin(self.now) {
            let vms = Arc::clone(&inputs.vms);
            let listing = async move { CallResult::Hints(vms.list().await.ok()) };
            self.pending.push(listing.boxed());
        }
    }

    /// Queries the registrars in turn.
    fn begin_placement(&mut self, inputs: &MembershipInputs) {
        if !self.placement.begin(self.now) {
            return;
        }
        let registrars: Vec<_> = self.member.heartbeats().registrars().collect();
        let to = registrars.get(self.next_registrar % registrars.len().max(1));
        let Some(address) = to.map(|to| to.address) else {
            self.placement.ended(&mut self.generator, self.now);
            return;
        };
        self.next_registrar += 1;
        let request = PlacementQuery {
            daemon: self.daemon.clone(),
            endpoint: inputs.identity.endpoint.clone(),
            pool: inputs.identity.pool.clone(),
            weights: self.weights.clone(),
        };
        let asking = self.peers.query_placement(address, request);
        let done = asking.map(|view| CallResult::Placement(view.map(Box::new)));
        self.pending.push(done.boxed());
    }

    fn begin_fallback(&mut self, inputs: &MembershipInputs) {
        if self.fallback.begin(self.now) {
            let identity = &inputs.identity;
            let (zone, endpoint) = (identity.zone.clone(), identity.endpoint.clone());
            let reading = read_store(Arc::clone(&inputs.store), zone, endpoint);
            self.pending.push(
                reading
                    .map(|view| CallResult::Store(Box::new(view)))
                    .boxed(),
            );
        }
    }

    /// Discards a view that is too old. Repair would otherwise use outdated replicas and take a
    /// model that is served for one that is not.
    fn expire_view(&mut self) {
        if self.view_until.is_some_and(|until| self.now >= until) {
            self.view_until = None;
            self.plan_updates.push(PlanUpdate::ViewExpired);
        }
    }

    pub(super) fn apply_result(&mut self, done: CallResult, inputs: &MembershipInputs) {
        self.now = inputs.clock.now();
        match done {
            CallResult::Call(call, answer) => self.end_call(call, answer),
            CallResult::Placement(view) => {
                self.placement.ended(&mut self.generator, self.now);
                if let Some(view) = view {
                    self.fallback.entry_answered(&mut self.generator, self.now);
                    self.view_until = Some(self.now + VIEW_MAX_AGE);
                    self.plan_updates.push(PlanUpdate::View(view));
                }
            }
            CallResult::Hints(rows) => self.apply_hints(rows, inputs),
            CallResult::Store(view) => self.apply_store_view(*view),
        }
    }

    fn end_call(&mut self, call: CallNumber, answer: Option<Box<FleetAnswer>>) {
        self.handle(AgentEvent::CallEnded { call, answer });
    }

    fn apply_hints(&mut self, rows: Option<Vec<VmRow>>, inputs: &MembershipInputs) {
        self.hints.ended(&mut self.generator, self.now);
        // After a failed read the last list stays in use, as it is only a hint.
        let Some(rows) = rows else {
            return;
        };
        if is_leaving(&rows, &self.daemon) {
            inputs.stop.advance(StopPhase::Draining);
        }
        let known: Vec<_> = self.member.heartbeats().entries().cloned().collect();
        let contacts = rows.into_iter().filter(is_entry).map(|row| EntryContact {
            daemon: row.daemon,
            zone: row.zone,
            address: row.peer_address,
        });
        // An address that an entry reported itself takes precedence over the list, which lags.
        let is_new = |contact: &EntryContact| {
            !known.iter().any(|known| known.daemon == contact.daemon) || self.view_until.is_none()
        };
        let contacts: Vec<_> = contacts.filter(is_new).collect();
        if !contacts.is_empty() {
            self.handle(AgentEvent::Hints(contacts));
        }
    }

    fn apply_store_view(&mut self, view: StoreView) {
        self.fallback.ended(&mut self.generator, self.now);
        let row = view.row.map(Box::new);
        self.plan_updates.extend(row.map(PlanUpdate::Row));
        if let Some(record) = view.config {
            self.offer_config(&record);
        }
    }

    /// Handles the stored configuration like one that an entry pushes: the member keeps the later
    /// generation.
    fn offer_config(&mut self, record: &ConfigRecord) {
        let content = ConfigContent::Full {
            generation: record.generation,
            value: Arc::new(record.content.clone()),
        };
        let push = ConfigPush {
            daemon: self.daemon.clone(),
            generation: record.generation,
            content,
        };
        let call = PeerCall::Push(Arc::new(push));
        let (_, actions) = self.member.answer(call, self.now);
        self.actions.extend(actions);
    }

    pub(super) fn apply_status(&mut self, status: StatusUpdate, inputs: &MembershipInputs) {
        self.now = inputs.clock.now();
        match status {
            StatusUpdate::Status(status) => self.handle(AgentEvent::Status(status)),
            StatusUpdate::Weights(weights) => self.weights = weights,
        }
    }

    pub(super) fn answer(&mut self, call: MembershipCall, inputs: &MembershipInputs) {
        self.now = inputs.clock.now();
        let (answer, actions) = self.member.answer(call.call, self.now);
        self.actions.extend(actions);
        // An entry that misses the answer pushes again.
        let _ = call.reply.send(answer);
    }

    /// Sends the last heartbeats, which tell the registrars that this process has left.
    pub(super) fn announce_left(&mut self) {
        self.pending.clear();
        self.handle(AgentEvent::Phase(MemberPhase::Left));
        for action in std::mem::take(&mut self.actions) {
            if let AgentAction::Call { call, to, body } = action {
                self.start_call(call, &to, body);
            }
        }
    }

    fn handle(&mut self, event: AgentEvent<FleetConfig>) {
        let actions = self.member.handle(event, self.now);
        self.actions.extend(actions);
    }
}

async fn send_config(held: HeldConfig<FleetConfig>, inputs: &MembershipInputs) {
    let (generation, config) = (held.generation, held.value);
    let plan = PlanUpdate::Config(Arc::clone(&config));
    inputs
        .updates
        .send(WorkUpdate::Config { generation, config })
        .await;
    inputs.plan.send(plan).await;
}

/// Returns the status of an agent that does not know its endpoint's state yet and accepts no work.
fn empty_status(inputs: &MembershipInputs) -> EndpointStatus {
    let identity = &inputs.identity;
    EndpointStatus {
        endpoint: identity.endpoint.clone(),
        pool: identity.pool.clone(),
        zone: identity.zone.clone(),
        ready: smallvec::SmallVec::new(),
        ready_sequence: 0,
        generation: oatpier_types::ids::Generation(0),
        queue: QueueReport {
            boot: inputs.boot,
            sequence: 0,
            queued: 0,
            running: 0,
            slots: 0,
            wait: Duration::ZERO,
            prompt_token_ns: 0,
            step_us: 0,
            accepting: false,
        },
    }
}
