//! The callers duty: accepts requests and owns the routing policy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Request, StatusCode};
use oatpier_types::config::FleetConfig;
use oatpier_types::ids::RequestId;
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::{self, RequestHandler, ServerCounters, ServerLimits};
use opentelemetry::trace::{SpanKind, TraceContextExt};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::claims::ClaimCommand;
use crate::core::EntryCore;
use crate::errors::{CallerError, RequestIdentity, identify};
use crate::intake::{CallRoute, IntakeError, parse_call};
use crate::planner::PlannerUpdate;
use crate::run::RequestRun;
use crate::sink::CallerSink;
use crate::updates::CallersUpdate;
use oatpier_duty::duty::{RingReceiver, RingSender, StopPhase, StopSignal};
use oatpier_duty::observe::refusals::log_refused_bodies;
use oatpier_duty::observe::trace::extract_parent;

/// Interval at which the planner duty receives the demand.
const DEMAND_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time a stopping entry waits for its claim settlements to reach the store. Claims not
/// settled by then stay held in the store: a repeat is told that the request may have run.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a stopping entry checks whether its last requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Inputs of the callers duty.
pub struct CallersInputs {
    /// Routing policy and shared state.
    pub core: Arc<EntryCore>,
    /// Listener for callers.
    pub listener: std::net::TcpListener,
    /// Limits on connections and requests of callers.
    pub limits: ServerLimits,
    /// Updates from the other duties.
    pub updates: RingReceiver<CallersUpdate>,
    /// Channel for the demand.
    pub planner: RingSender<PlannerUpdate>,
    /// Signals the process to stop.
    pub stop: StopSignal,
    /// How long the process reports that it is not ready before it refuses new requests.
    pub notice: Duration,
}

/// Serves callers until the process drains and the last request is answered.
///
/// # Panics
///
/// Panics if called outside a runtime or if the runtime can't register the socket.
pub async fn run_callers(inputs: CallersInputs) {
    let CallersInputs {
        core,
        listener,
        limits,
        updates,
        planner,
        stop,
        notice,
    } = inputs;
    let listener =
        tokio::net::TcpListener::from_std(listener).expect("the runtime registers the socket");
    let handler = Arc::new(CallerHandler {
        core: Arc::clone(&core),
    });
    let closing = wait_for_drain(Arc::clone(&core), stop.clone(), notice);
    let counters = Arc::<ServerCounters>::default();
    let serving = async {
        server::serve(listener, handler, limits, Arc::clone(&counters), closing).await;
        finish_work(&core).await;
    };
    tokio::select! {
        () = serving => {}
        () = send_demand(&core, &planner) => {}
        () = apply_updates(&core, &updates) => {}
        () = core.run_timers() => {}
        () = log_refused_bodies(&counters) => {}
    }
    stop.advance(StopPhase::Ended);
}

/// Waits until new requests are to be refused. During `notice` the load balancer can detect that
/// the entry is not ready. The entry still serves requests in that time, so that no connection is
/// refused.
async fn wait_for_drain(core: Arc<EntryCore>, stop: StopSignal, notice: Duration) {
    stop.reached(StopPhase::Draining).await;
    tokio::time::sleep(notice).await;
    core.begin_stop();
}

/// Finishes the remaining work after the last callers have their answers: requests of disconnected
/// callers cancel their attempts, and claim settlements go to the store. Ending earlier would leave
/// keys held whose requests did not run.
async fn finish_work(core: &EntryCore) {
    while core.in_flight() > 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let (reply, flushed) = oneshot::channel();
    core.claims().send(ClaimCommand::Flush { reply }).await;
    if tokio::time::timeout(FLUSH_TIMEOUT, flushed).await.is_err() {
        spdlog::warn!("some claims were not settled in the store before the process ended");
    }
}

async fn send_demand(core: &EntryCore, planner: &RingSender<PlannerUpdate>) {
    loop {
        tokio::time::sleep(DEMAND_INTERVAL).await;
        // The ring counts dropped messages; the next one carries the complete demand.
        let _ = planner.try_send(PlannerUpdate::OwnDemand(core.demand()));
    }
}

async fn apply_updates(core: &EntryCore, updates: &RingReceiver<CallersUpdate>) {
    while let Some(update) = updates.receive().await {
        core.apply_update(update);
    }
    // The other duties have ended; requests in flight continue.
    std::future::pending::<()>().await;
}

struct CallerHandler {
    core: Arc<EntryCore>,
}

impl RequestHandler for CallerHandler {
    fn handle(&self, request: Request<Bytes>, caller: SocketAddr) -> BoxFuture<'_, Reply> {
        answer(Arc::clone(&self.core), request, caller).boxed()
    }
}

async fn answer(core: Arc<EntryCore>, request: Request<Bytes>, caller: SocketAddr) -> Reply {
    let parent = extract_parent(request.headers());
    let span = core
        .tracer
        .start("entry.request", SpanKind::Server, &parent);
    let trace = span.trace_id();
    // Two requests may share a caller's trace, so the trace ID serves as request ID only if the
    // trace starts here.
    let is_own_trace = !parent.has_active_span();
    let id = if is_own_trace { trace } else { rand::random() };
    let identity = RequestIdentity {
        request: RequestId(id),
        trace,
    };
    span.set_attribute("request", identity.request.to_string());
    let admit = core
        .tracer
        .start("entry.admit", SpanKind::Internal, span.context());
    let (head, body) = request.into_parts();
    let parsed = core
        .config()
        .ok_or(IntakeError::NoConfig)
        .and_then(|config| {
            let route = CallRoute::of(&head.method, head.uri.path())?;
            if route == CallRoute::Models {
                return Ok((config, None));
            }
            let call = parse_call(&config, route, &head, body, caller.ip())?;
            Ok((config, Some(call)))
        });
    drop(admit);
    let call = match parsed {
        Ok((_, Some(call))) => call,
        Ok((config, None)) => return identify(model_list(&config), identity),
        Err(error) => return CallerError::of_intake(&error).reply(identity),
    };
    let (sink, reply) = CallerSink::new(identity);
    // The request runs in its own task: if the caller disconnects, it still has to cancel its
    // attempts.
    tokio::spawn(RequestRun::new(core, identity, call, sink, span).run());
    reply
        .await
        .unwrap_or_else(|_| reply::text(StatusCode::INTERNAL_SERVER_ERROR, "no answer was made\n"))
}

#[derive(Serialize)]
struct ModelList<'c> {
    object: &'static str,
    data: Vec<ModelRow<'c>>,
}

#[derive(Serialize)]
struct ModelRow<'c> {
    id: &'c str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
    /// Base model of an adapter.
    parent: Option<&'c str>,
}

fn model_list(config: &FleetConfig) -> Reply {
    let row = |id, parent| ModelRow {
        id,
        object: "model",
        created: 0,
        owned_by: "oatpier",
        parent,
    };
    let models = config.models.keys().map(|name| row(name.as_str(), None));
    let adapters = config
        .adapters
        .iter()
        .map(|(name, spec)| row(name.as_str(), Some(spec.model.as_str())));
    let list = ModelList {
        object: "list",
        data: models.chain(adapters).collect(),
    };
    match serde_json::to_vec(&list) {
        Ok(body) => reply::whole(StatusCode::OK, "application/json", body),
        Err(error) => reply::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
