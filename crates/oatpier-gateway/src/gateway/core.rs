//! State that all requests of a gateway share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use oatpier_duty::duty::{RingSender, RuntimeClock};
use oatpier_serving::admission::AdmissionController;
use oatpier_serving::budget::RetryAllowance;
use oatpier_serving::capacity::exposure::LengthEstimator;
use oatpier_serving::crashes::broken_attempts::AttemptWatch;
use oatpier_serving::crashes::changes::CrashChange;
use oatpier_serving::crashes::prompt_parts::tracker::PartTracker;
use oatpier_serving::crashes::suspects::SuspectTable;
use oatpier_serving::demand::DemandTracker;
use oatpier_serving::directory::EndpointDirectory;
use oatpier_serving::message::{EngineStatus, EngineUpdate};
use oatpier_serving::origins::{OriginAttestation, OriginTracker};
use oatpier_serving::peers::PeerTable;
use oatpier_serving::planner::LoadPlanner;
use oatpier_serving::quota::grants::GrantCache;
use oatpier_serving::quota::holder::{PartAnswer, PartHolder};
use oatpier_serving::quota::lease::{HolderIdentity, PartLeases, StoreEra};
use oatpier_serving::quota::turns::TurnAnswer;
use oatpier_serving::relays::RelayQueue;
use oatpier_serving::site::{RouteRule, SiteConfig};
use oatpier_serving::subscriptions::SubscriptionSchedule;
use oatpier_serving::workspace::quota::QuotaRule;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{DaemonName, PoolName, WorkspaceName, ZoneName};
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_wire::client::{ClientLimits, HttpClient};
use rand::RngExt;
use tokio::sync::{Notify, watch};

use super::buffers::{BufferBudget, IncomingLease};
use super::pending_calls::PendingCalls;
use super::shares::ShareState;
use super::store_knowledge::StoreAge;
use crate::decisions::{DecisionLine, DecisionLog, LinePriority};
use crate::exchange::MessageOutlet;
use crate::metrics::ServingMetrics;
use crate::parts_writer::DueClaim;
use crate::reload::SettingsFeed;
use crate::store_reader::{ReceivedDelta, StorePeers};

/// Connect timeout for endpoints. Endpoints are a few milliseconds away; one that is down does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle connections to endpoints are closed before the endpoint closes them. A request that crosses the endpoint's
/// close may have run, so it could not be sent again safely.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Size of the buffer of an endpoint's response, in bytes. A caller that does not read leaves it full.
const RESPONSE_BUFFER_BYTES: usize = 32 << 10;

/// Maximum number of idle connections kept for each endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 24;

/// Bound of the random position in the list of sidecars at which a gateway begins to subscribe.
const MAX_START: usize = 1 << 16;

/// Inputs of a [`GatewayCore`], apart from the settings.
pub struct CoreInputs {
    /// The runtime's clock.
    pub clock: RuntimeClock,
    /// The process's metrics.
    pub metrics: ServingMetrics,
    /// The decision log.
    pub log: DecisionLog,
    /// Readiness flag: whether the process can serve.
    pub can_serve: Arc<AtomicBool>,
    /// Queue of store deltas from other gateways, read by the thread that reads the store.
    pub store_deltas: RingSender<ReceivedDelta>,
    /// Publishes the other gateways, which the thread that reads the store may ask.
    pub store_peers: watch::Sender<StorePeers>,
    /// Queue of crash records to write, read by the thread that writes crashes.
    pub crash_changes: RingSender<CrashChange>,
    /// Publishes the configuration in force.
    pub shared_config: watch::Sender<Option<Arc<SiteConfig>>>,
    /// Queue of gateways that have a newer configuration, read by the thread that fetches configurations.
    pub config_sources: RingSender<SocketAddr>,
    /// Queue of due claims of limit parts, read by the thread that claims parts.
    pub claims: RingSender<DueClaim>,
}

/// Mutable state shared by all tasks. They run on one thread, so the lock is never contended. It is held for one
/// decision and never across an await.
pub(super) struct CoreState {
    pub(super) config: Option<Arc<SiteConfig>>,
    pub(super) directory: EndpointDirectory,
    pub(super) demand: DemandTracker,
    pub(super) allowance: RetryAllowance,
    /// Requests that were running at endpoints when these ended.
    pub(super) suspects: SuspectTable,
    /// Broken attempts, kept until it is known whether their endpoint ended.
    pub(super) broken_attempts: AttemptWatch,
    /// Prompt parts that may crash endpoints.
    pub(super) part_tracker: PartTracker,
    pub(super) peers: PeerTable,
    /// When subscriptions are sent to which sidecars.
    pub(super) subscription_schedule: SubscriptionSchedule,
    /// Quota rules of the workspaces that have limits.
    pub(super) limits: HashMap<WorkspaceName, QuotaRule>,
    /// Which gateway holds which part of the limits.
    pub(super) leases: PartLeases,
    /// Units of the limit parts that this gateway holds.
    pub(super) holder: PartHolder,
    /// Units that were granted to this gateway.
    pub(super) grants: GrantCache,
    /// Status updates from sidecars, to pass on as a relay of this availability zone.
    pub(super) relayed: RelayQueue,
    pub(super) planner: LoadPlanner,
    pub(super) admission: AdmissionController,
    /// Use of engines by workspaces.
    pub(super) shares: ShareState,
    /// Lengths of the responses of each route.
    pub(super) lengths: LengthEstimator,
    pub(super) store_age: StoreAge,
    /// When the configuration was last known to match the store, from an own read or from another gateway.
    pub(super) config_known_at: Option<ClockTime>,
    /// When a newer configuration was last requested.
    pub(super) config_requested_at: Option<ClockTime>,
    /// Era of the store at the last read; it changes when the store is restored from an older copy.
    pub(super) store_era: Option<StoreEra>,
    /// The versions at which streams begin.
    pub(super) origins: OriginTracker,
    /// Whether demand that can't be served has arrived since the last report to peers.
    pub(super) has_unserved_demand: bool,
}

/// Shared state of a gateway.
pub struct GatewayCore {
    state: Mutex<CoreState>,
    /// Wakes waiting requests after a change of weights or endpoints.
    pub(super) changed: Notify,
    /// Wakes the subscription loop after endpoints have appeared.
    pub(super) endpoints_appeared: Notify,
    /// Wakes the reporting loop when demand can't be served.
    pub(super) demand_unserved: Notify,
    pub(super) zone: ZoneName,
    pub(super) inner_port: u16,
    /// The settings in force.
    pub(super) settings: SettingsFeed,
    pub(super) name: DaemonName,
    pub(super) outlet: Arc<dyn MessageOutlet>,
    /// The runtime's clock.
    pub clock: RuntimeClock,
    /// The process's metrics.
    pub metrics: ServingMetrics,
    /// The decision log.
    pub log: DecisionLog,
    /// Pending permit requests.
    pub(super) permits: PendingCalls<()>,
    /// Pending requests for units of limits.
    pub(super) quota_asks: PendingCalls<PartAnswer>,
    /// Pending requests for turns at endpoints.
    pub(super) turn_asks: PendingCalls<TurnAnswer>,
    /// Pending questions about the beginnings of streams.
    pub(super) origin_asks: PendingCalls<OriginAttestation>,
    /// Pending requests for trials of prompt parts.
    pub(super) trial_asks: PendingCalls<bool>,
    pub(super) claims: RingSender<DueClaim>,
    pub(super) shared_config: watch::Sender<Option<Arc<SiteConfig>>>,
    pub(super) config_sources: RingSender<SocketAddr>,
    /// HTTP client for endpoints.
    pub client: HttpClient,
    pub(super) can_serve: Arc<AtomicBool>,
    pub(super) store_deltas: RingSender<ReceivedDelta>,
    pub(super) store_peers: watch::Sender<StorePeers>,
    pub(super) crash_changes: RingSender<CrashChange>,
    /// The memory that request bodies and whole responses take.
    pub(super) buffers: Arc<BufferBudget>,
    closed: AtomicBool,
    behind: AtomicBool,
    /// Whether requests without a response are given up.
    given_up: watch::Sender<bool>,
}

impl GatewayCore {
    /// Creates the shared state without configuration or endpoints.
    #[must_use]
    pub fn new(feed: SettingsFeed, inputs: CoreInputs, outlet: Arc<dyn MessageOutlet>) -> Self {
        let settings = Arc::clone(&feed.borrow());
        let bounds = settings.bounds;
        let state = CoreState {
            config: None,
            directory: EndpointDirectory::default(),
            demand: DemandTracker::default(),
            allowance: RetryAllowance::new(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
            ),
            suspects: SuspectTable::default(),
            broken_attempts: AttemptWatch::default(),
            part_tracker: PartTracker::default(),
            peers: PeerTable::new(settings.inner_address(), settings.processor),
            subscription_schedule: SubscriptionSchedule::starting_at(rand::random_range(
                0..MAX_START,
            )),
            limits: HashMap::new(),
            leases: PartLeases::new(HolderIdentity {
                address: settings.inner_address(),
                boot: rand::random(),
                started_at: ClockTime::ZERO,
                is_first_start: settings.is_first_start,
            }),
            holder: PartHolder::default(),
            grants: GrantCache::default(),
            config_known_at: None,
            config_requested_at: None,
            store_era: None,
            relayed: RelayQueue::default(),
            planner: LoadPlanner::default(),
            admission: AdmissionController::new(rand::random()),
            shares: ShareState::default(),
            lengths: LengthEstimator::default(),
            store_age: StoreAge::default(),
            origins: OriginTracker::new(settings.inner_address(), settings.is_first_start),
            has_unserved_demand: false,
        };
        Self {
            state: Mutex::new(state),
            changed: Notify::new(),
            endpoints_appeared: Notify::new(),
            demand_unserved: Notify::new(),
            zone: settings.zone.clone(),
            inner_port: settings.inner_port,
            name: settings.name.clone(),
            settings: feed,
            outlet,
            clock: inputs.clock,
            metrics: inputs.metrics,
            log: inputs.log,
            permits: PendingCalls::default(),
            quota_asks: PendingCalls::default(),
            turn_asks: PendingCalls::default(),
            origin_asks: PendingCalls::default(),
            trial_asks: PendingCalls::default(),
            claims: inputs.claims,
            shared_config: inputs.shared_config,
            config_sources: inputs.config_sources,
            client: HttpClient::new(ClientLimits {
                connect_timeout: CONNECT_TIMEOUT,
                idle_timeout: IDLE_TIMEOUT,
                max_idle_per_address: MAX_IDLE_PER_ENDPOINT,
                discard_on_close: true,
                buffer_bytes: Some(RESPONSE_BUFFER_BYTES),
            }),
            can_serve: inputs.can_serve,
            store_deltas: inputs.store_deltas,
            store_peers: inputs.store_peers,
            crash_changes: inputs.crash_changes,
            buffers: Arc::default(),
            closed: AtomicBool::new(false),
            behind: AtomicBool::new(false),
            given_up: watch::Sender::new(false),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, CoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether this process has more work than its processor can do.
    pub fn set_behind(&self, behind: bool) {
        if self.behind.swap(behind, Ordering::Relaxed) != behind {
            let line = DecisionLine::new(LinePriority::Notable, "processor");
            self.log.write(line.with("behind", behind));
        }
    }

    /// Returns whether this process has more work than its processor can do. Requests accepted now would be late.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.behind.load(Ordering::Relaxed)
    }

    /// Returns whether bodies take so much memory that a new request with a body of this size, in bytes, must be refused.
    #[must_use]
    pub fn is_memory_short(&self, body_bytes: usize) -> bool {
        let memory_bytes = self.settings.borrow().memory_bytes;
        self.buffers.is_exceeded(memory_bytes, body_bytes)
    }

    /// Returns whether bodies take so much memory that large responses must be given up.
    #[must_use]
    pub fn is_memory_critical(&self) -> bool {
        let memory_bytes = self.settings.borrow().memory_bytes;
        self.buffers.is_critical(memory_bytes)
    }

    /// Starts to count the memory of a response that is being read.
    pub(super) fn begin_response(&self) -> IncomingLease {
        let memory_bytes = self.settings.borrow().memory_bytes;
        self.buffers.begin_response(memory_bytes)
    }

    /// Refuses new requests from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Returns whether new requests are refused.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Gives up the requests that have no response yet, because the process is about to be killed.
    pub fn give_up_requests(&self) {
        self.given_up.send_replace(true);
    }

    /// Waits until requests without a response are given up.
    pub(super) async fn requests_given_up(&self) {
        let mut given_up = self.given_up.subscribe();
        // The wait can't fail, because `self` owns the sender.
        let _ = given_up.wait_for(|given_up| *given_up).await;
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<SiteConfig>> {
        self.lock().config.clone()
    }

    /// Applies a sidecar's status update.
    pub fn apply_status(&self, status: EngineStatus) {
        self.apply_engine_update(EngineUpdate::Status(Box::new(status)));
    }

    /// Applies a status update from a sidecar, and queues it for the other gateways of the availability zone.
    pub fn relay_update(&self, update: EngineUpdate) {
        self.lock().relayed.push(update.clone());
        self.apply_engine_update(update);
    }

    /// Applies status updates that a relay passed on.
    pub fn apply_relayed(&self, updates: Vec<EngineUpdate>) {
        for update in updates {
            self.lock().relayed.note_forwarded(&update);
            self.apply_engine_update(update);
        }
    }

    fn apply_engine_update(&self, update: EngineUpdate) {
        let now = self.clock.now();
        let mut state = self.lock();
        let changed = match update {
            EngineUpdate::Status(status) => {
                state.peers.note_named(&status.gateways, now);
                state.directory.apply_status(*status, now)
            }
            EngineUpdate::Load(load) => {
                state.directory.apply_load_status(&load, now);
                false
            }
            EngineUpdate::Pace(pace) => {
                state.directory.apply_pace(&pace, now);
                false
            }
            EngineUpdate::Shares(shares) => {
                state.directory.apply_shares(shares, now);
                false
            }
        };
        Self::observe_versions(&mut state, now);
        let lines = Self::take_adopted_lines(&mut state);
        drop(state);
        for line in lines {
            self.log.write(line);
        }
        self.resolve_broken();
        if changed {
            self.changed.notify_waiters();
        }
    }

    /// Picks the service for a request of the route, at random by the weights of the route's targets.
    #[must_use]
    pub fn pick_service(&self, route: &RouteRule) -> PoolName {
        let total: u32 = route.targets.iter().map(|target| target.weight).sum();
        let mut draw = rand::rng().random_range(0..total.max(1));
        for target in &route.targets {
            if draw < target.weight {
                return target.service.clone();
            }
            draw -= target.weight;
        }
        route.targets[0].service.clone()
    }

    /// Takes one retry from the service's retry budget. Returns false if the budget is used up.
    pub fn take_retry(&self, service: &PoolName) -> bool {
        let now = self.clock.now();
        self.lock().allowance.take(service, now)
    }

    /// Returns a refusal whose retry time is randomly spread.
    pub fn refusal(&self, cause: RefusalCause, after: Duration) -> Refusal {
        self.lock().admission.refusal(cause, after)
    }
}
