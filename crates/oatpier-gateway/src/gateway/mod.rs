//! A gateway: accepts callers' requests, sends them directly to endpoints and answers with the outcome.
//!
//! - `configuration`: the configuration in force and its sources.
//! - [`core`]: state shared by all requests: configuration, directory, demand, retry budget.
//! - [`handler`]: entry point of incoming requests.
//! - `run`: the course of one request, from placement to the final answer.
//! - [`placement`]: a request in progress and the next action for it.
//! - `placement_decision`: choice of the endpoint for a request.
//! - [`attempt`]: one attempt at one endpoint.
//! - [`permits`]: requests to sidecars for permits to send prompts to their engines.
//! - `part_check`: check of the parts of a request's prompt before each send.
//! - [`pauses`]: causes of late streams.
//! - [`relay`]: answers forwarded as a stream of events.
//! - [`local_responses`]: answers that the gateway itself generates.
//! - `pending_calls`: calls to other processes that wait for an answer.
//! - `run_log`: decision lines about requests.
//! - `accounting`: bookkeeping of request outcomes.
//! - `crashes`: requests that crash the endpoints that run them.
//! - `prompt_parts`: prompt parts that crash the endpoints that run requests with them.
//! - [`stopping`]: the course of a planned stop.
//! - `store_knowledge`: what is known of the store, and how old that is.
//! - `notices`: what endpoints report about themselves in answer headers.
//! - [`origins`]: the software versions at which streams begin.
//! - [`mod@caller_limits`]: limits on what callers send.
//! - [`overload`]: whether the gateway has more work than its processor can do.
//! - [`identity`]: authentication of requests, and the workspace they belong to.
//! - [`quota`]: units of workspaces' limits.
//! - `shares`: standings of workspaces that compete for engines.
//! - `subscriptions`: subscriptions to sidecars' status updates.
//! - [`messaging`]: messages between gateways and sidecars.
//! - `turns`: turns at endpoints that limit the requests of all gateways together.
//! - `reports`: reports between gateways.
//! - `planning`: rounds of the load planner.

mod accounting;
mod arrivals;
pub mod attempt;
pub mod attempt_failure;
mod buffers;
pub mod caller_limits;
mod configuration;
pub mod core;
mod crashes;
pub mod handler;
pub mod identity;
pub mod local_responses;
pub mod messaging;
mod notices;
pub mod origins;
pub mod overload;
mod part_check;
pub mod pauses;
mod pending_calls;
pub mod permits;
pub mod placement;
mod placement_decision;
mod planning;
mod prompt_parts;
pub mod quota;
mod received;
pub mod relay;
mod reports;
mod run;
mod run_log;
mod shares;
pub mod stopping;
mod store_knowledge;
mod subscriptions;
mod turns;

use std::net::{TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{
    DutyProcess, RingReceiver, RingRule, RuntimeClock, StartError, StopPhase, StopSignal, bind,
    ring,
};
use oatpier_serving::node::NodeSettings;
use oatpier_serving::site::SiteConfig;
use oatpier_wire::server::{self, ServerCounters};
use tokio::sync::watch;

use crate::crash_writer::{CrashWriterInputs, write_crashes};
use crate::exchange::{MessageOutlet, MessageSocket};
use crate::node_process::{NodeProcess, ProcessInputs};
use crate::parts_writer::{ClaimResult, PartsWriterInputs, write_parts};
use crate::reload::{SettingsFeed, SettingsSource};
use crate::share::{ShareInputs, share};
use crate::store_reader::{ReaderInputs, StoreEvent, StorePeers, read_store};

use self::caller_limits::caller_limits;
use self::core::{CoreInputs, GatewayCore};
use self::handler::GatewayHandler;
use self::messaging::MessagingInputs;
use self::stopping::stop_requests;

/// Capacity of the queue of store reads that wait to be applied. When it is full, the reader waits.
const EVENT_RING: usize = 4;

/// Capacity of the queue of store deltas from other gateways. A delta that finds the ring full is dropped; the
/// store is then read at the usual time.
const DELTA_RING: usize = 8;

/// Capacity of the queue of other gateways' questions about the store. One that finds the ring full is refused, and asks
/// another gateway.
const QUESTION_RING: usize = 32;

/// Time from SIGTERM to closing the listener. The platform's readiness probe runs once a second and stops new
/// connections after two failures. A connection that was routed just before must still be answered.
const LISTENER_LINGER: Duration = Duration::from_millis(3_200);

/// Capacity of the queue of crash records to write. Engines that end together leave some hundred records. A record
/// that finds the ring full is still known to the gateways that were sent it directly.
const CRASH_RING: usize = 512;

/// Capacity of the queue of gateways with a newer configuration, and of the queue of fetched configurations.
const FETCH_RING: usize = 2;

/// Capacity of the queue of claims of limit parts to the store, and of the queue of their results. There are a few
/// parts.
const CLAIM_RING: usize = 8;

/// Maximum time from accepting a connection until it is served. The callers of further ones are better off at another
/// gateway at once.
const MAX_START_DELAY: Duration = Duration::from_millis(50);

/// Inputs of the callers thread.
struct CallersInputs {
    settings: SettingsFeed,
    listener: TcpListener,
    socket: UdpSocket,
    core: CoreInputs,
    events: RingReceiver<StoreEvent>,
    claims: RingReceiver<ClaimResult>,
    fetched: RingReceiver<Arc<SiteConfig>>,
    stop: StopSignal,
}

/// Starts the threads of a gateway.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub fn start(
    settings: &NodeSettings,
    source: Box<dyn SettingsSource>,
) -> Result<DutyProcess, StartError> {
    let callers = settings.callers.unwrap_or(settings.inner_address());
    let listener = bind(callers, "callers")?;
    let metrics_listener = bind(settings.metrics, "metrics")?;
    let readiness_listener = settings
        .readiness
        .map(|address| bind(address, "readiness"))
        .transpose()?;
    let inner = settings.inner_address();
    let socket = UdpSocket::bind(inner).map_err(|cause| StartError::Listen {
        address: inner,
        purpose: "gateways and sidecars",
        cause,
    })?;
    let can_serve = Arc::default();
    let process_inputs = ProcessInputs {
        source,
        metrics_listener,
        readiness_listener,
        can_serve: Arc::clone(&can_serve),
    };
    let mut node = NodeProcess::start(settings, process_inputs);
    let stop = node.process.stop.clone();
    let (event_sender, events) = ring(EVENT_RING, RingRule::Wait, node.metrics.ring_full.clone());
    let (delta_sender, deltas) = ring(DELTA_RING, RingRule::Drop, node.metrics.ring_full.clone());
    let (crash_sender, crash_changes) =
        ring(CRASH_RING, RingRule::Drop, node.metrics.ring_full.clone());
    let (claim_sender, due_claims) =
        ring(CLAIM_RING, RingRule::Drop, node.metrics.ring_full.clone());
    let (result_sender, claims) = ring(CLAIM_RING, RingRule::Wait, node.metrics.ring_full.clone());
    let (question_sender, questions) = ring(
        QUESTION_RING,
        RingRule::Drop,
        node.metrics.ring_full.clone(),
    );
    let (store_peers, store_peer_feed) = watch::channel(StorePeers::default());
    let (shared_config, config_feed) = watch::channel(None);
    let (source_sender, sources) = ring(FETCH_RING, RingRule::Drop, node.metrics.ring_full.clone());
    let (fetched_sender, fetched) =
        ring(FETCH_RING, RingRule::Wait, node.metrics.ring_full.clone());
    let core = CoreInputs {
        shared_config,
        config_sources: source_sender,
        claims: claim_sender,
        clock: RuntimeClock::start(),
        metrics: node.metrics.clone(),
        log: node.log,
        can_serve,
        store_deltas: delta_sender,
        store_peers,
        crash_changes: crash_sender,
    };
    let writer_inputs = CrashWriterInputs {
        settings: node.settings.clone(),
        changes: crash_changes,
        metrics: node.metrics.clone(),
        stop: stop.clone(),
    };
    node.process
        .spawn("crashes", || write_crashes(writer_inputs));
    let share_inputs = ShareInputs {
        listener: bind(inner, "other gateways")?,
        config: config_feed,
        sources,
        fetched: fetched_sender,
        excerpts: question_sender,
        stop: stop.clone(),
    };
    node.process.spawn("share", || share(share_inputs));
    let parts_inputs = PartsWriterInputs {
        settings: node.settings.clone(),
        claims: due_claims,
        results: result_sender,
        metrics: node.metrics.clone(),
        stop: stop.clone(),
    };
    node.process.spawn("parts", || write_parts(parts_inputs));
    let reader_inputs = ReaderInputs {
        settings: node.settings.clone(),
        events: event_sender,
        deltas,
        questions,
        peers: store_peer_feed,
        metrics: node.metrics,
        stop: stop.clone(),
    };
    node.process.spawn("records", || read_store(reader_inputs));
    let callers_inputs = CallersInputs {
        settings: node.settings,
        listener,
        socket,
        core,
        events,
        claims,
        fetched,
        stop,
    };
    node.process
        .spawn("callers", || run_callers(callers_inputs));
    Ok(node.process)
}

/// Serves callers until, after a stop, the last request is answered.
async fn run_callers(inputs: CallersInputs) {
    let stop = inputs.stop.clone();
    let socket = match MessageSocket::new(inputs.socket, inputs.core.metrics.clone()) {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            spdlog::critical!("failed to register the socket with the runtime", kv: { error: = error.to_string() });
            stop.advance(StopPhase::Ended);
            return;
        }
    };
    let outlet: Arc<dyn MessageOutlet> = Arc::clone(&socket) as Arc<dyn MessageOutlet>;
    let core = Arc::new(GatewayCore::new(inputs.settings, inputs.core, outlet));
    let exchange_inputs = MessagingInputs {
        events: inputs.events,
        claims: inputs.claims,
        fetched: inputs.fetched,
    };
    let serving = serve_callers(inputs.listener, Arc::clone(&core), &stop);
    tokio::select! {
        () = serving => {}
        () = stop_requests(&core, &stop) => {}
        () = overload::watch(&core) => {}
        () = messaging::run(Arc::clone(&core), &socket, exchange_inputs, &stop) => {}
    }
    stop.advance(StopPhase::Ended);
}

async fn serve_callers(listener: TcpListener, core: Arc<GatewayCore>, stop: &StopSignal) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            spdlog::critical!("failed to register the listener with the runtime", kv: { error: = error.to_string() });
            return;
        }
    };
    let limits = caller_limits(&core.settings.borrow());
    let handler = Arc::new(GatewayHandler::new(Arc::clone(&core)));
    let draining = stop.reached(StopPhase::Draining);
    let counters = Arc::<ServerCounters>::default();
    let serving = server::serve(listener, handler, limits, Arc::clone(&counters), draining);
    tokio::select! {
        () = serving => {}
        () = overload::report_turned_away(&core, &counters) => {}
    }
}
