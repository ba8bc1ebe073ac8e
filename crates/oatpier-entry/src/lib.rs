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
pub mod decisions;
pub mod errors;
pub mod history;
pub mod intake;
pub mod links;
pub mod messages;
pub mod news;
pub mod peers;
pub mod planner;
mod rings;
pub mod run;
pub mod sink;
pub mod store;

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
use crate::planner::{PlannerBoard, PlannerInputs};
use crate::rings::EntryRings;
use crate::store::StoreGate;
use oatpier_duty::duty::{DutyProcess, RuntimeClock, StartError, bind};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;
use oatpier_duty::observe::{ObserveInputs, observe};
use oatpier_duty::settings::EntrySettings;

/// Timeout of one call to the platform.
const PLATFORM_WAIT: Duration = Duration::from_secs(2);

/// State shared by all duties of an entry.
struct EntryParts {
    boot: BootId,
    clock: RuntimeClock,
    metrics: MetricSet,
    gate: Arc<StoreGate>,
    able: Arc<AtomicBool>,
    board: Arc<PlannerBoard>,
}

impl EntryParts {
    fn new(settings: &EntrySettings) -> Self {
        let clock = RuntimeClock::start();
        let metrics = MetricSet::default();
        let store = Arc::new(HttpStore::new(settings.store, PLATFORM_WAIT));
        let gate = StoreGate::new(store, clock, metrics.clone(), generator());
        Self {
            boot: BootId(rand::random()),
            clock,
            metrics,
            gate: Arc::new(gate),
            able: Arc::new(AtomicBool::new(false)),
            board: Arc::default(),
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
    let parts = EntryParts::new(settings);
    let rings = EntryRings::new(&parts.metrics);
    let mut process = DutyProcess::default();
    start_observe(&mut process, &parts, observe_listener, rings.spans.1);
    let tracer = HopTracer::new(&settings.name, rings.spans.0);
    let core_rings = CoreRings {
        paths: rings.paths.0,
        claims: rings.claims.0.clone(),
    };
    let callers_inputs = CallersInputs {
        core: Arc::new(entry_core(settings, &parts, tracer, core_rings)),
        listener: caller_listener,
        limits: settings.limits.server_limits(),
        news: rings.news.1,
        planner: rings.planner.0.clone(),
        stop: process.stop.clone(),
        notice: settings.stop_notice,
    };
    process.spawn("callers", || callers::callers(callers_inputs));
    let peers_rings = PeersRings {
        news: rings.news.0,
        orders: rings.orders.0,
        store_news: rings.store_news.1,
        paths: rings.paths.1,
        planner: rings.planner.0,
        claims: rings.claims.0,
    };
    start_peers(&mut process, settings, &parts, peer_listener, peers_rings);
    let configuration_inputs = ConfigurationInputs {
        gate: Arc::clone(&parts.gate),
        orders: rings.orders.1,
        news: rings.store_news.0,
        stop: process.stop.clone(),
    };
    process.spawn("configuration", || {
        configuration::configuration(configuration_inputs)
    });
    let claims_inputs = ClaimsInputs {
        own: settings.name.clone(),
        boot: parts.boot,
        gate: Arc::clone(&parts.gate),
        links: Arc::new(HttpLinks::default()),
        clock: parts.clock,
        metrics: parts.metrics.clone(),
        commands: rings.claims.1,
        stop: process.stop.clone(),
    };
    process.spawn("claims", || claims::claims(claims_inputs));
    let planner_inputs = PlannerInputs {
        own: settings.name.clone(),
        boot: parts.boot,
        gate: parts.gate,
        links: Arc::new(HttpLinks::default()),
        board: parts.board,
        news: rings.planner.1,
        clock: parts.clock,
        generator: generator(),
        stop: process.stop.clone(),
    };
    process.spawn("planner", || planner::planner(planner_inputs));
    Ok(process)
}

fn start_observe(
    process: &mut DutyProcess,
    parts: &EntryParts,
    listener: std::net::TcpListener,
    spans: oatpier_duty::duty::RingReceiver<oatpier_duty::observe::trace::SpanLine>,
) {
    let inputs = ObserveInputs {
        listener,
        metrics: parts.metrics.clone(),
        can_serve: Arc::clone(&parts.able),
        spans,
        output: Box::new(std::io::stdout()),
        stop: process.stop.clone(),
    };
    process.spawn("observe", || observe(inputs));
}

fn entry_core(
    settings: &EntrySettings,
    parts: &EntryParts,
    tracer: HopTracer,
    rings: CoreRings,
) -> EntryCore {
    let mut decisions = oatpier_policy::entry::EntrySettings::default();
    decisions.health.silence_floor = settings.silence_floor;
    let policy = EntryPolicy::new(decisions, settings.zone.clone(), rand::random());
    EntryCore::new(
        Box::new(policy),
        parts.clock,
        parts.metrics.clone(),
        tracer,
        PeerClient::new(ClientLimits::default()),
        rings,
    )
}

fn start_peers(
    process: &mut DutyProcess,
    settings: &EntrySettings,
    parts: &EntryParts,
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
        boot: parts.boot,
        vms: Arc::new(HttpVmList::new(settings.vm_list, PLATFORM_WAIT)),
        links: Arc::new(HttpLinks::default()),
        gate: Arc::clone(&parts.gate),
        board: Arc::clone(&parts.board),
        rings,
        able: Arc::clone(&parts.able),
        clock: parts.clock,
        metrics: parts.metrics.clone(),
        generator: generator(),
        stop: process.stop.clone(),
    };
    process.spawn("peers", || peers::peers(inputs));
}
