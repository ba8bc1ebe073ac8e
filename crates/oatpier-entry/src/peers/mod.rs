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
use crate::configuration::{StoreNews, StoreOrder};
use crate::links::EntryLinks;
use crate::news::EntryNews;
use crate::planner::{PlannerBoard, PlannerNews};
use crate::store::StoreGate;
use driver::MemberDriver;
use handler::PeerHandler;
use oatpier_duty::duty::{RingReceiver, RingSender, RuntimeClock, StopPhase, StopSignal};
use oatpier_duty::observe::metrics::MetricSet;

/// Interval at which the planner receives the fleet state.
const PICTURE_PERIOD: Duration = Duration::from_secs(1);

/// Reachability evidence of an agent from the data path.
#[derive(Debug, Clone)]
pub struct PathNews {
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
    pub news: RingSender<EntryNews>,
    /// Requested store calls for the configuration duty.
    pub orders: RingSender<StoreOrder>,
    /// Results of store calls.
    pub store_news: RingReceiver<StoreNews>,
    /// Data path evidence.
    pub paths: RingReceiver<PathNews>,
    /// Updates for the planner duty.
    pub planner: RingSender<PlannerNews>,
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
    pub gate: Arc<StoreGate>,
    /// Planner state for operators and agents.
    pub board: Arc<PlannerBoard>,
    /// Channels to and from the other duties.
    pub rings: PeersRings,
    /// Set once a configuration is known.
    pub able: Arc<AtomicBool>,
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
pub async fn peers(inputs: PeersInputs) {
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
        news: inputs.rings.news.clone(),
        planner: inputs.rings.planner.clone(),
        claims: inputs.rings.claims.clone(),
        gate: Arc::clone(&inputs.gate),
        board: inputs.board,
    });
    let ended = stop.clone();
    let closing = async move { ended.reached(StopPhase::Ended).await };
    let rings = inputs.rings;
    tokio::select! {
        () = server::serve(listener, handler, inputs.limits, Arc::default(), closing) => {}
        () = driver.run_timers() => {}
        () = driver.publish(&rings, &inputs.able) => {}
        () = hints::follow(&driver, inputs.vms.as_ref(), &rings.news, &inputs.metrics) => {}
        () = take_store_news(&driver, &rings.store_news) => {}
        () = take_paths(&driver, &rings.paths) => {}
        () = draw_pictures(&driver, &rings.planner, &inputs.gate) => {}
        () = leave_when_told(&driver, &stop) => {}
    }
}

async fn take_store_news(driver: &Arc<MemberDriver>, news: &RingReceiver<StoreNews>) {
    while let Some(news) = news.receive().await {
        match news {
            StoreNews::Config(reply) => driver.hear(EntryEvent::StoreEnded(reply)),
            StoreNews::Stops(stops) => driver.take_stops(stops),
            StoreNews::Stop(stop) => driver.take_stop(stop),
        }
    }
    std::future::pending::<()>().await;
}

async fn take_paths(driver: &Arc<MemberDriver>, paths: &RingReceiver<PathNews>) {
    while let Some(news) = paths.receive().await {
        let PathNews {
            daemon,
            evidence,
            report,
        } = news;
        if let Some(report) = report {
            let daemon = daemon.clone();
            driver.hear(EntryEvent::QueueReport { daemon, report });
        }
        driver.hear(EntryEvent::Path { daemon, evidence });
    }
    std::future::pending::<()>().await;
}

/// Sends the fleet state to the planner periodically. If the ring is full it is dropped, because
/// the next one replaces it.
async fn draw_pictures(driver: &MemberDriver, planner: &RingSender<PlannerNews>, gate: &StoreGate) {
    loop {
        tokio::time::sleep(PICTURE_PERIOD).await;
        let (entries, agents) = driver.counts();
        gate.set_fleet(entries, agents);
        if let Some(picture) = driver.settled_picture() {
            let _ = planner.try_send(PlannerNews::Fleet(Box::new(picture)));
        }
    }
}

async fn leave_when_told(driver: &Arc<MemberDriver>, stop: &StopSignal) {
    stop.reached(StopPhase::Draining).await;
    driver.hear(EntryEvent::Phase(MemberPhase::Leaving));
    std::future::pending::<()>().await;
}
