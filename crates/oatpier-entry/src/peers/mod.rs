//! The peers duty: membership of agents and other entries, and the listener for their calls.
//!
//! [`oatpier_membership`] decides; this duty serves the peer listener, makes the calls, and sends
//! the resulting updates to the other duties. The list of VMs is a hint for initial contacts and
//! for VMs that leave.

mod directory;
mod driver;
mod handler;
mod hints;
mod operator;
mod placement;
pub mod stops;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use oatpier_membership::entry::EntryEvent;
use oatpier_membership::members::{MemberPhase, PathEvidence};
use oatpier_membership::messages::EntryContact;
use oatpier_policy::event::EntryEvent as RequestEvent;
use oatpier_ports::vms::VmList;
use oatpier_types::ids::BootId;
use oatpier_types::names::DaemonName;
use oatpier_types::status::QueueReport;
use oatpier_wire::server::{self, ServerLimits};
use rand_chacha::ChaCha8Rng;

use crate::claims::ClaimCommand;
use crate::configuration::{StoreRequest, StoreUpdate};
use crate::links::EntryLinks;
use crate::planner::{PlanCache, PlannerUpdate};
use crate::store::StoreClient;
use crate::updates::CallersUpdate;
use driver::MemberDriver;
use handler::PeerHandler;
use oatpier_duty::duty::{RingReceiver, RingSender, RuntimeClock, StopPhase, StopSignal};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::refusals::log_refused_bodies;

/// Interval at which the planner receives the fleet state.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);

/// Reachability evidence of an agent from the data path.
#[derive(Debug, Clone)]
pub struct PathReport {
    /// Name of the agent.
    pub daemon: DaemonName,
    /// Whether the agent answered.
    pub evidence: PathEvidence,
    /// Queue report of the agent, if the event contained one.
    pub report: Option<QueueReport>,
}

/// Returns the reachability evidence in an event of an attempt.
pub(crate) fn evidence_of(event: &RequestEvent) -> Option<PathEvidence> {
    match event {
        RequestEvent::FirstFrame { .. }
        | RequestEvent::Refused { .. }
        | RequestEvent::Ended { .. } => Some(PathEvidence::Answered),
        RequestEvent::ConnectionLost { .. } | RequestEvent::ConnectFailed { .. } => {
            Some(PathEvidence::Failed)
        }
        _ => None,
    }
}

/// Channels to and from the other duties.
pub struct PeersRings {
    /// Updates for the callers duty.
    pub updates: RingSender<CallersUpdate>,
    /// Requested store calls for the configuration duty.
    pub store_requests: RingSender<StoreRequest>,
    /// Results of store calls.
    pub store_updates: RingReceiver<StoreUpdate>,
    /// Data path evidence.
    pub paths: RingReceiver<PathReport>,
    /// Updates for the planner duty.
    pub planner: RingSender<PlannerUpdate>,
    /// Commands for the claims duty.
    pub claims: RingSender<ClaimCommand>,
}

/// Inputs of the peers duty.
pub struct PeersInputs {
    /// Listener for agents, other entries and operators.
    pub listener: std::net::TcpListener,
    /// Limits on connections and requests.
    pub limits: ServerLimits,
    /// Name and address of this entry.
    pub own: EntryContact,
    /// Boot ID of this process.
    pub boot: BootId,
    /// List of VMs of the platform.
    pub vms: Arc<dyn VmList>,
    /// Client for calls to other processes.
    pub links: Arc<dyn EntryLinks>,
    /// Access to the store, for operator queries.
    pub client: Arc<StoreClient>,
    /// Planner state for operators and agents.
    pub cache: Arc<PlanCache>,
    /// Channels to and from the other duties.
    pub rings: PeersRings,
    /// Set once a configuration is known.
    pub can_serve: Arc<AtomicBool>,
    /// Clock of the runtime.
    pub clock: RuntimeClock,
    /// Metrics of the process.
    pub metrics: MetricSet,
    /// Source of all random choices.
    pub generator: ChaCha8Rng,
    /// Signals the process to stop.
    pub stop: StopSignal,
}

/// Runs the peers duty until the process ends.
///
/// # Panics
///
/// Panics if called outside a runtime or if the runtime can't register the socket.
pub async fn run_peers(inputs: PeersInputs) {
    let stop = inputs.stop.clone();
    let listener = tokio::net::TcpListener::from_std(inputs.listener)
        .expect("the runtime registers the socket");
    let driver = Arc::new(MemberDriver::new(
        inputs.own,
        inputs.boot,
        inputs.links,
        inputs.clock,
        inputs.generator,
        stop.clone(),
    ));
    let handler = Arc::new(PeerHandler {
        driver: Arc::clone(&driver),
        updates: inputs.rings.updates.clone(),
        planner: inputs.rings.planner.clone(),
        claims: inputs.rings.claims.clone(),
        client: Arc::clone(&inputs.client),
        cache: inputs.cache,
    });
    let ended = stop.clone();
    let closing = async move { ended.reached(StopPhase::Ended).await };
    let rings = inputs.rings;
    let counters = Arc::default();
    tokio::select! {
        () = server::serve(listener, handler, inputs.limits, Arc::clone(&counters), closing) => {}
        () = log_refused_bodies(&counters) => {}
        () = driver.run_timers() => {}
        () = driver.publish(&rings, &inputs.can_serve) => {}
        () = hints::poll_vm_list(&driver, inputs.vms.as_ref(), &rings.updates, &inputs.metrics) => {}
        () = handle_store_updates(&driver, &rings.store_updates) => {}
        () = handle_path_reports(&driver, &rings.paths) => {}
        () = send_snapshots(&driver, &rings.planner, &inputs.client) => {}
        () = leave_on_drain(&driver, &stop) => {}
    }
}

async fn handle_store_updates(driver: &Arc<MemberDriver>, updates: &RingReceiver<StoreUpdate>) {
    while let Some(update) = updates.receive().await {
        match update {
            StoreUpdate::Config(reply) => driver.handle_event(EntryEvent::StoreEnded(reply)),
            StoreUpdate::Stops(stops) => driver.apply_stop_list(stops),
            StoreUpdate::Stop(stop) => driver.apply_stop(stop),
        }
    }
    std::future::pending::<()>().await;
}

async fn handle_path_reports(driver: &Arc<MemberDriver>, paths: &RingReceiver<PathReport>) {
    while let Some(report) = paths.receive().await {
        let PathReport {
            daemon,
            evidence,
            report,
        } = report;
        if let Some(report) = report {
            let daemon = daemon.clone();
            driver.handle_event(EntryEvent::QueueReport { daemon, report });
        }
        driver.handle_event(EntryEvent::Path { daemon, evidence });
    }
    std::future::pending::<()>().await;
}

/// Sends the fleet state to the planner periodically. If the ring is full it is dropped, because
/// the next one replaces it.
async fn send_snapshots(
    driver: &MemberDriver,
    planner: &RingSender<PlannerUpdate>,
    client: &StoreClient,
) {
    loop {
        tokio::time::sleep(SNAPSHOT_INTERVAL).await;
        let (entries, agents) = driver.counts();
        client.set_fleet_size(entries, agents);
        if let Some(snapshot) = driver.settled_snapshot() {
            let _ = planner.try_send(PlannerUpdate::Fleet(Box::new(snapshot)));
        }
    }
}

async fn leave_on_drain(driver: &Arc<MemberDriver>, stop: &StopSignal) {
    stop.reached(StopPhase::Draining).await;
    driver.handle_event(EntryEvent::Phase(MemberPhase::Leaving));
    std::future::pending::<()>().await;
}
