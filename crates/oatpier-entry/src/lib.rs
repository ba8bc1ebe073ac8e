//! The entry process: accepts client requests, selects an endpoint, and returns the outcome to the
//! client.
//!
//! | duty | module | owns |
//! | --- | --- | --- |
//! | callers | [`callers`] | request routing policy ([`oatpier_policy`]) |
//! | peers | [`peers`] | membership and configuration ([`oatpier_membership`]), the peer listener |
//! | configuration | [`configuration`] | store access for configuration and planned stops |
//! | claims | [`claims`] | idempotency keys ([`oatpier_claims`]) |
//! | planner | [`planner`] | the planner's lease and the plan ([`oatpier_placement`]) |
//! | observe | [`oatpier_duty::observe`] | metrics, health checks, span export |

pub mod attempt;
pub mod callers;
pub mod claims;
pub mod completion;
pub mod configuration;
pub mod core;
pub mod errors;
pub mod history;
pub mod intake;
pub mod links;
pub mod messages;
pub mod peers;
pub mod planner;
pub mod policy;
pub mod prompt_text;
mod rings;
pub mod run;
pub mod sink;
pub mod store;
pub mod updates;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use oatpier_membership::messages::EntryContact;
use oatpier_policy::entry::EntryPolicy;
use oatpier_ports::http::{HttpStore, HttpVmList};
use oatpier_types::ids::BootId;
use oatpier_wire::client::ClientLimits;
use oatpier_wire::peer::PeerClient;
use rand_chacha::ChaCha8Rng;

use crate::callers::CallersInputs;
use crate::claims::ClaimsInputs;
use crate::configuration::ConfigurationInputs;
use crate::core::{CoreRings, EntryCore};
use crate::links::HttpLinks;
use crate::peers::{PeersInputs, PeersRings};
use crate::planner::{PlanCache, PlannerInputs};
use crate::rings::EntryRings;
use crate::store::StoreClient;
use oatpier_duty::duty::{DutyProcess, RuntimeClock, StartError, bind};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;
use oatpier_duty::observe::{ObserveInputs, observe};
use oatpier_duty::settings::EntrySettings;

/// Timeout of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by all duties of an entry.
struct EntryState {
    boot: BootId,
    clock: RuntimeClock,
    metrics: MetricSet,
    client: Arc<StoreClient>,
    can_serve: Arc<AtomicBool>,
    cache: Arc<PlanCache>,
}

impl EntryState {
    fn new(settings: &EntrySettings) -> Self {
        let clock = RuntimeClock::start();
        let metrics = MetricSet::default();
        let store = Arc::new(HttpStore::new(settings.store, PLATFORM_TIMEOUT));
        let client = StoreClient::new(store, clock, metrics.clone(), generator());
        Self {
            boot: BootId(rand::random()),
            clock,
            metrics,
            client: Arc::new(client),
            can_serve: Arc::new(AtomicBool::new(false)),
            cache: Arc::default(),
        }
    }
}

fn generator() -> ChaCha8Rng {
    rand::make_rng()
}

/// Starts the duties of an entry.
///
/// # Errors
///
/// Returns an error if a listen address can't be bound.
pub fn start(settings: &EntrySettings) -> Result<DutyProcess, StartError> {
    let caller_listener = bind(settings.caller_listen, "callers")?;
    let peer_listener = bind(settings.peer_listen, "peers")?;
    let observe_listener = bind(settings.observe_listen, "observers")?;
    let state = EntryState::new(settings);
    let rings = EntryRings::new(&state.metrics);
    let mut process = DutyProcess::default();
    start_observe(&mut process, &state, observe_listener, rings.spans.1);
    let tracer = HopTracer::new(&settings.name, rings.spans.0);
    let core_rings = CoreRings {
        paths: rings.paths.0,
        claims: rings.claims.0.clone(),
    };
    let callers_inputs = CallersInputs {
        core: Arc::new(entry_core(settings, &state, tracer, core_rings)),
        listener: caller_listener,
        limits: settings.limits.server_limits(),
        updates: rings.updates.1,
        planner: rings.planner.0.clone(),
        stop: process.stop.clone(),
        notice: settings.stop_notice,
    };
    process.spawn("callers", || callers::run_callers(callers_inputs));
    let peers_rings = PeersRings {
        updates: rings.updates.0,
        store_requests: rings.store_requests.0,
        store_updates: rings.store_updates.1,
        paths: rings.paths.1,
        planner: rings.planner.0,
        claims: rings.claims.0,
    };
    start_peers(&mut process, settings, &state, peer_listener, peers_rings);
    let configuration_inputs = ConfigurationInputs {
        client: Arc::clone(&state.client),
        requests: rings.store_requests.1,
        updates: rings.store_updates.0,
        stop: process.stop.clone(),
    };
    process.spawn("configuration", || {
        configuration::run_configuration(configuration_inputs)
    });
    let claims_inputs = ClaimsInputs {
        own: settings.name.clone(),
        boot: state.boot,
        client: Arc::clone(&state.client),
        links: Arc::new(HttpLinks::default()),
        clock: state.clock,
        metrics: state.metrics.clone(),
        commands: rings.claims.1,
        stop: process.stop.clone(),
    };
    process.spawn("claims", || claims::run_claims(claims_inputs));
    let planner_inputs = PlannerInputs {
        own: settings.name.clone(),
        boot: state.boot,
        client: state.client,
        links: Arc::new(HttpLinks::default()),
        cache: state.cache,
        updates: rings.planner.1,
        clock: state.clock,
        generator: generator(),
        stop: process.stop.clone(),
    };
    process.spawn("planner", || planner::run_planner(planner_inputs));
    Ok(process)
}

fn start_observe(
    process: &mut DutyProcess,
    state: &EntryState,
    listener: std::net::TcpListener,
    spans: oatpier_duty::duty::RingReceiver<oatpier_duty::observe::trace::SpanLine>,
) {
    let inputs = ObserveInputs {
        listener,
        metrics: state.metrics.clone(),
        can_serve: Arc::clone(&state.can_serve),
        spans,
        output: Box::new(std::io::stdout()),
        stop: process.stop.clone(),
    };
    process.spawn("observe", || observe(inputs));
}

fn entry_core(
    settings: &EntrySettings,
    state: &EntryState,
    tracer: HopTracer,
    rings: CoreRings,
) -> EntryCore {
    let mut decisions = oatpier_policy::entry::EntrySettings::default();
    decisions.health.silence_floor = settings.silence_floor;
    let policy = EntryPolicy::new(decisions, settings.zone.clone(), rand::random());
    EntryCore::new(
        Box::new(policy),
        state.clock,
        state.metrics.clone(),
        tracer,
        PeerClient::new(ClientLimits::default()),
        rings,
    )
}

fn start_peers(
    process: &mut DutyProcess,
    settings: &EntrySettings,
    state: &EntryState,
    listener: std::net::TcpListener,
    rings: PeersRings,
) {
    // Port 0 in the settings binds a free port, so peers need the bound address.
    let address = listener.local_addr().unwrap_or(settings.peer_listen);
    let inputs = PeersInputs {
        listener,
        limits: settings.limits.server_limits(),
        own: EntryContact {
            daemon: settings.name.clone(),
            zone: settings.zone.clone(),
            address,
        },
        boot: state.boot,
        vms: Arc::new(HttpVmList::new(settings.vm_list, PLATFORM_TIMEOUT)),
        links: Arc::new(HttpLinks::default()),
        client: Arc::clone(&state.client),
        cache: Arc::clone(&state.cache),
        rings,
        can_serve: Arc::clone(&state.can_serve),
        clock: state.clock,
        metrics: state.metrics.clone(),
        generator: generator(),
        stop: process.stop.clone(),
    };
    process.spawn("peers", || peers::run_peers(inputs));
}
