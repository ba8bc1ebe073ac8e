//! What all requests of a gateway share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use oatpier_duty::duty::{RingSender, RuntimeClock};
use oatpier_serving::admission::AdmissionJudge;
use oatpier_serving::budget::RetryAllowance;
use oatpier_serving::crashes::book::CrashBook;
use oatpier_serving::crashes::changes::CrashChange;
use oatpier_serving::crashes::cuts::CutWatch;
use oatpier_serving::demand::DemandBook;
use oatpier_serving::directory::{EndpointDirectory, EndpointRecord};
use oatpier_serving::greetings::GreetingPaces;
use oatpier_serving::message::{EnginePulse, EngineWord, InnerMessage};
use oatpier_serving::peers::PeerBook;
use oatpier_serving::planner::LoadPlanner;
use oatpier_serving::quota::grants::GrantBook;
use oatpier_serving::quota::holder::{PartAnswer, PartHolder};
use oatpier_serving::quota::tenure::{PartTenure, StoreEra, TenureIdentity};
use oatpier_serving::quota::turns::TurnAnswer;
use oatpier_serving::reads::StoreWord;
use oatpier_serving::relays::RelayQueue;
use oatpier_serving::site::{RouteRule, SiteConfig};
use oatpier_serving::workspace::quota::QuotaRule;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{DaemonName, PoolName, WorkspaceName, ZoneName};
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_wire::client::{ClientLimits, HttpClient};
use rand::RngExt;
use tokio::sync::{Notify, watch};

use super::asks::AskBook;
use crate::decisions::{DecisionLine, DecisionLog, LineWeight};
use crate::exchange::MessageOutlet;
use crate::metrics::ServingMetrics;
use crate::parts_writer::DueClaim;
use crate::reload::SettingsFeed;

/// How long a connection to an endpoint may take. Endpoints are a few milliseconds away; one that
/// is dark answers nothing at all.
const CONNECT_WAIT: Duration = Duration::from_millis(400);

/// Unused connections to endpoints are closed before the endpoint would do it: a request that
/// crosses its close may have run.
const IDLE_CONNECTION: Duration = Duration::from_millis(2_500);

/// Unused connections that are kept for each endpoint.
const IDLE_PER_ENDPOINT: usize = 24;

/// What a core is made of, beside the settings.
pub struct CoreInputs {
    /// The runtime's clock.
    pub clock: RuntimeClock,
    /// The process's metrics.
    pub metrics: ServingMetrics,
    /// Where decisions are logged.
    pub log: DecisionLog,
    /// Whether the process can serve.
    pub able: Arc<AtomicBool>,
    /// Where the duty that reads the store hears what other gateways saw there.
    pub words: RingSender<StoreWord>,
    /// Where the duty that writes crashes hears what is to be written.
    pub crash_changes: RingSender<CrashChange>,
    /// Where the configuration in force is passed on.
    pub shared_config: watch::Sender<Option<Arc<SiteConfig>>>,
    /// Where the duty that fetches configurations hears who has a newer one.
    pub config_wanted: RingSender<SocketAddr>,
    /// Where the duty that claims parts of limits hears which are due.
    pub claims: RingSender<DueClaim>,
}

/// The state that all tasks share. They run on one thread, so the lock is never waited for; it is
/// held for a decision and never across an await.
pub(super) struct CoreState {
    pub(super) config: Option<Arc<SiteConfig>>,
    pub(super) directory: EndpointDirectory,
    pub(super) demand: DemandBook,
    pub(super) allowance: RetryAllowance,
    /// Requests that were at endpoints that ended.
    pub(super) crashes: CrashBook,
    /// Attempts that were cut off, until it is known whether their endpoint ended.
    pub(super) cuts: CutWatch,
    pub(super) peers: PeerBook,
    /// How often sidecars are greeted that are not heard.
    pub(super) greeting_paces: GreetingPaces,
    /// The workspaces with limits.
    pub(super) limits: HashMap<WorkspaceName, QuotaRule>,
    /// Who holds which part of the limits.
    pub(super) tenure: PartTenure,
    /// What the parts give that this gateway holds.
    pub(super) holder: PartHolder,
    /// What this gateway was given.
    pub(super) grants: GrantBook,
    /// What sidecars told this gateway as a relay of its zone.
    pub(super) relayed: RelayQueue,
    pub(super) planner: LoadPlanner,
    pub(super) judge: AdmissionJudge,
    pub(super) store_read_at: Option<ClockTime>,
    /// When the configuration was last known to be the store's, by an own read or another gateway's.
    pub(super) config_known_at: Option<ClockTime>,
    /// When a newer configuration was last asked for.
    pub(super) config_wanted_at: Option<ClockTime>,
    /// Which copy of the store was read last.
    pub(super) store_era: Option<StoreEra>,
    /// Whether demand that can't be served came since the last report to peers.
    pub(super) urgent: bool,
}

/// The shared parts of a gateway.
pub struct GatewayCore {
    state: Mutex<CoreState>,
    /// Tells waiting requests that weights or endpoints have changed.
    pub(super) changed: Notify,
    /// Tells the exchanges that endpoints have appeared.
    pub(super) appeared: Notify,
    /// Tells the exchanges that demand can't be served.
    pub(super) pressed: Notify,
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
    /// Where decisions are logged.
    pub log: DecisionLog,
    /// Permits that are waited for.
    pub(super) permits: AskBook<()>,
    /// Units of limits that are waited for.
    pub(super) quota_asks: AskBook<PartAnswer>,
    /// Turns at endpoints that are waited for.
    pub(super) turn_asks: AskBook<TurnAnswer>,
    pub(super) claims: RingSender<DueClaim>,
    pub(super) shared_config: watch::Sender<Option<Arc<SiteConfig>>>,
    pub(super) config_wanted: RingSender<SocketAddr>,
    /// Calls endpoints.
    pub client: HttpClient,
    able: Arc<AtomicBool>,
    words: RingSender<StoreWord>,
    pub(super) crash_changes: RingSender<CrashChange>,
    closed: AtomicBool,
    behind: AtomicBool,
}

impl GatewayCore {
    /// The shared parts of a gateway without knowledge yet.
    #[must_use]
    pub fn new(feed: SettingsFeed, inputs: CoreInputs, outlet: Arc<dyn MessageOutlet>) -> Self {
        let settings = Arc::clone(&feed.borrow());
        let bounds = settings.bounds;
        let state = CoreState {
            config: None,
            directory: EndpointDirectory::default(),
            demand: DemandBook::default(),
            allowance: RetryAllowance::new(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
            ),
            crashes: CrashBook::default(),
            cuts: CutWatch::default(),
            peers: PeerBook::new(settings.inner_address(), settings.processor),
            greeting_paces: GreetingPaces::default(),
            limits: HashMap::new(),
            tenure: PartTenure::new(TenureIdentity {
                address: settings.inner_address(),
                boot: rand::random(),
                started_at: ClockTime::ZERO,
                first_start: settings.first_start,
            }),
            holder: PartHolder::default(),
            grants: GrantBook::default(),
            config_known_at: None,
            config_wanted_at: None,
            store_era: None,
            relayed: RelayQueue::default(),
            planner: LoadPlanner::default(),
            judge: AdmissionJudge::new(rand::random()),
            store_read_at: None,
            urgent: false,
        };
        Self {
            state: Mutex::new(state),
            changed: Notify::new(),
            appeared: Notify::new(),
            pressed: Notify::new(),
            zone: settings.zone.clone(),
            inner_port: settings.inner_port,
            name: settings.name.clone(),
            settings: feed,
            outlet,
            clock: inputs.clock,
            metrics: inputs.metrics,
            log: inputs.log,
            permits: AskBook::default(),
            quota_asks: AskBook::default(),
            turn_asks: AskBook::default(),
            claims: inputs.claims,
            shared_config: inputs.shared_config,
            config_wanted: inputs.config_wanted,
            client: HttpClient::new(ClientLimits {
                connect: CONNECT_WAIT,
                idle: IDLE_CONNECTION,
                idle_per_address: IDLE_PER_ENDPOINT,
                discard_on_close: true,
            }),
            able: inputs.able,
            words: inputs.words,
            crash_changes: inputs.crash_changes,
            closed: AtomicBool::new(false),
            behind: AtomicBool::new(false),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, CoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes whether this process runs far behind its timers.
    pub fn set_behind(&self, behind: bool) {
        if self.behind.swap(behind, Ordering::Relaxed) != behind {
            let line = DecisionLine::new(LineWeight::Notable, "processor");
            self.log.write(line.with("behind", behind));
        }
    }

    /// Whether this process runs far behind its timers: what it took now would be late.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.behind.load(Ordering::Relaxed)
    }

    /// New requests are refused from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Whether new requests are refused.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<SiteConfig>> {
        self.lock().config.clone()
    }

    /// Takes what the store said. A version never gives way to an older one.
    pub fn take_records(&self, config: Option<Arc<SiteConfig>>, endpoints: Vec<EndpointRecord>) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.store_read_at = Some(now);
        state.config_known_at = Some(now);
        if let Some(config) = config {
            self.take_config(&mut state, config);
        }
        let count = endpoints.len();
        let CoreState {
            directory, holder, ..
        } = &mut *state;
        let changes = directory.apply_registry(endpoints, now);
        holder.retain_endpoints(|endpoint| directory.row(endpoint).is_some());
        let is_able = state.config.is_some();
        drop(state);
        self.metrics.endpoints.set(shown(count));
        self.metrics.store_age_ms.set(0);
        for change in &changes {
            let line = DecisionLine::new(LineWeight::Notable, "directory");
            self.log.write(line.with("change", format!("{change:?}")));
        }
        self.settle_cuts();
        self.able.store(is_able, Ordering::Relaxed);
        if !changes.is_empty() {
            self.appeared.notify_one();
            self.changed.notify_waiters();
        }
    }

    /// Notes which copy of the store was read; says whether it is an older one than before, come back.
    pub fn note_era(&self, era: StoreEra) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let known = state.store_era.replace(era);
        let has_returned = known.is_some_and(|known| known != era);
        if has_returned {
            state.directory.note_store_return(now);
            let line = DecisionLine::new(LineWeight::Notable, "store came back from an older copy");
            self.log.write(line.with("era", era));
        }
        has_returned
    }

    /// Tells the other gateways of the zone what was seen in the store, so that they need not read.
    pub fn tell_word(&self, word: StoreWord) {
        let now = self.clock.now();
        let peers: Vec<SocketAddr> = self.lock().peers.in_zone(&self.zone, now).collect();
        let message = InnerMessage::StoreSeen(Box::new(word));
        for peer in peers {
            self.outlet.send(peer, &message);
        }
    }

    /// Another gateway of the zone has read the store.
    pub fn take_store_word(&self, word: StoreWord) {
        // A full ring counts what it drops. The store is then read when that is due, as without the word.
        let _ = self.words.offer(word);
    }

    /// The store holds what is known.
    pub fn note_store_same(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.store_read_at = Some(now);
        state.config_known_at = Some(now);
    }

    /// The store could not be read.
    pub fn note_store_failure(&self) {
        let now = self.clock.now();
        self.lock().directory.note_store_failure(now);
    }

    /// Takes a sidecar's pulse.
    pub fn take_pulse(&self, pulse: EnginePulse) {
        self.take_word(EngineWord::Pulse(Box::new(pulse)));
    }

    /// Takes what a sidecar told this gateway as a relay of its zone.
    pub fn take_spread(&self, word: EngineWord) {
        self.lock().relayed.take(word.clone());
        self.take_word(word);
    }

    /// Takes what a relay passed on.
    pub fn take_relayed(&self, words: Vec<EngineWord>) {
        for word in words {
            self.lock().relayed.note_passed_on(&word);
            self.take_word(word);
        }
    }

    fn take_word(&self, word: EngineWord) {
        let now = self.clock.now();
        let mut state = self.lock();
        let changed = match word {
            EngineWord::Pulse(pulse) => {
                state.peers.note_named(&pulse.gateways, now);
                state.directory.take_pulse(*pulse, now)
            }
            EngineWord::Load(load) => {
                state.directory.take_load_pulse(&load, now);
                false
            }
        };
        drop(state);
        self.settle_cuts();
        if changed {
            self.changed.notify_waiters();
        }
    }

    /// The service that a request of the route goes to, by the services' shares.
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

    /// Whether a second send may be made.
    pub fn take_retry(&self, service: &PoolName) -> bool {
        let now = self.clock.now();
        self.lock().allowance.take(service, now)
    }

    /// A refusal with a spread time to return.
    pub fn refusal(&self, cause: RefusalCause, after: Duration) -> Refusal {
        self.lock().judge.refusal(cause, after)
    }
}

fn shown(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
