//! The peers duty: what is known of agents and other entries, and their ways in.
//!
//! [`oatpier_membership`] decides; this duty serves the peer listener, makes the calls, and tells
//! the other duties what follows. The list of VMs is a hint of whom to turn to and who leaves.

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

/// How often the planner gets a picture of the fleet.
const PICTURE_PERIOD: Duration = Duration::from_secs(1);

/// What the data path told of an agent.
#[derive(Debug, Clone)]
pub struct PathNews {
    /// The agent.
    pub daemon: DaemonName,
    /// Whether it is there.
    pub evidence: PathEvidence,
    /// Its queue, if it said.
    pub report: Option<QueueReport>,
}

/// What an event of an attempt tells of whether its agent is there.
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

/// The ways from and to the other duties.
pub struct PeersRings {
    /// News for the callers duty.
    pub news: RingSender<EntryNews>,
    /// Orders for the configuration duty.
    pub orders: RingSender<StoreOrder>,
    /// What the store said.
    pub store_news: RingReceiver<StoreNews>,
    /// What the data path told.
    pub paths: RingReceiver<PathNews>,
    /// News for the planner duty.
    pub planner: RingSender<PlannerNews>,
    /// Commands for the claims duty.
    pub claims: RingSender<ClaimCommand>,
}

/// What the peers duty works on.
pub struct PeersInputs {
    /// Where agents, other entries and operators connect.
    pub listener: std::net::TcpListener,
    /// Limits on them.
    pub limits: ServerLimits,
    /// How others reach this entry.
    pub own: EntryContact,
    /// The own start.
    pub boot: BootId,
    /// The platform's list of VMs.
    pub vms: Arc<dyn VmList>,
    /// Calls other processes.
    pub links: Arc<dyn EntryLinks>,
    /// The way to the store, for what operators ask.
    pub gate: Arc<StoreGate>,
    /// What the planner duty knows.
    pub board: Arc<PlannerBoard>,
    /// The ways to the other duties.
    pub rings: PeersRings,
    /// Set once a configuration is known.
    pub able: Arc<AtomicBool>,
    /// The runtime's clock.
    pub clock: RuntimeClock,
    /// The process's metrics.
    pub metrics: MetricSet,
    /// For all random choices.
    pub generator: ChaCha8Rng,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Keeps up with the other processes until this one ends.
///
/// # Panics
///
/// Panics if it runs on no runtime, or the runtime does not take the socket.
pub async fn peers(inputs: PeersInputs) {
    let stop = inputs.stop.clone();
    let listener =
        tokio::net::TcpListener::from_std(inputs.listener).expect("the runtime takes the socket");
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

/// Gives the planner a picture of the fleet now and then; one that does not fit into the ring is
/// dropped, as the next one says it all.
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
