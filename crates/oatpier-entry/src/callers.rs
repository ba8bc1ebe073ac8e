//! The callers duty: takes requests, and owns the decisions about them.

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
use crate::intake::{CallRoute, IntakeError, understand};
use crate::news::EntryNews;
use crate::planner::PlannerNews;
use crate::run::RequestRun;
use crate::sink::CallerSink;
use oatpier_duty::duty::{RingReceiver, RingSender, StopPhase, StopSignal};
use oatpier_duty::observe::trace::extract_parent;

/// How often the planner duty is told the demand.
const DEMAND_PERIOD: Duration = Duration::from_secs(2);
/// How long a stopping entry waits for its settlements of claims to be in the store. What is not
/// by then stays held in the store: a repeat is told that the request may have run.
const FLUSH_WAIT: Duration = Duration::from_secs(3);
/// How often a stopping entry looks whether its last requests are over.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// What the callers duty works on.
pub struct CallersInputs {
    /// The decisions and what they share.
    pub core: Arc<EntryCore>,
    /// Where callers connect.
    pub listener: std::net::TcpListener,
    /// Limits on callers.
    pub limits: ServerLimits,
    /// News of the other duties.
    pub news: RingReceiver<EntryNews>,
    /// Where the demand is told.
    pub planner: RingSender<PlannerNews>,
    /// Tells to stop.
    pub stop: StopSignal,
    /// How long the process says that it is not ready before it takes no more requests.
    pub notice: Duration,
}

/// Serves callers until the process drains and the last request has its answer.
///
/// # Panics
///
/// Panics if it runs on no runtime, or the runtime does not take the socket.
pub async fn callers(inputs: CallersInputs) {
    let CallersInputs {
        core,
        listener,
        limits,
        news,
        planner,
        stop,
        notice,
    } = inputs;
    let listener =
        tokio::net::TcpListener::from_std(listener).expect("the runtime takes the socket");
    let handler = Arc::new(CallerHandler {
        core: Arc::clone(&core),
    });
    let closing = drain_start(Arc::clone(&core), stop.clone(), notice);
    let counters = Arc::<ServerCounters>::default();
    let serving = async {
        server::serve(listener, handler, limits, counters, closing).await;
        finish_work(&core).await;
    };
    tokio::select! {
        () = serving => {}
        () = tell_demand(&core, &planner) => {}
        () = take_news(&core, &news) => {}
        () = core.run_timers() => {}
    }
    stop.advance(StopPhase::Ended);
}

/// Waits until new requests are to be refused. The balancer is given `notice` to see that the
/// entry is not ready; until then it still serves, so that no caller meets a closed door.
async fn drain_start(core: Arc<EntryCore>, stop: StopSignal, notice: Duration) {
    stop.reached(StopPhase::Draining).await;
    tokio::time::sleep(notice).await;
    core.begin_stop();
}

/// The last callers have their answers. What is still to be done: requests whose callers went
/// away cancel their work, and the ends of requests under keys go to the store. Ending before
/// that would leave keys held whose requests did not run.
async fn finish_work(core: &EntryCore) {
    while core.in_flight() > 0 {
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    let (reply, flushed) = oneshot::channel();
    core.claims().send(ClaimCommand::Flush { reply }).await;
    if tokio::time::timeout(FLUSH_WAIT, flushed).await.is_err() {
        spdlog::warn!("some claims were not settled in the store");
    }
}

async fn tell_demand(core: &EntryCore, planner: &RingSender<PlannerNews>) {
    loop {
        tokio::time::sleep(DEMAND_PERIOD).await;
        // Counted by the ring if it is full; the next word says it all.
        let _ = planner.try_send(PlannerNews::Own(core.demand()));
    }
}

async fn take_news(core: &EntryCore, news: &RingReceiver<EntryNews>) {
    while let Some(news) = news.receive().await {
        core.take_news(news);
    }
    // The other duties are gone; requests in flight go on.
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
    // Two requests may share a caller's trace, so only a trace that begins here names one.
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
    let understood = core
        .config()
        .ok_or(IntakeError::NoConfig)
        .and_then(|config| {
            let route = CallRoute::of(&head.method, head.uri.path())?;
            if route == CallRoute::Models {
                return Ok((config, None));
            }
            let call = understand(&config, route, &head, body, caller.ip())?;
            Ok((config, Some(call)))
        });
    drop(admit);
    let call = match understood {
        Ok((_, Some(call))) => call,
        Ok((config, None)) => return identify(model_list(&config), identity),
        Err(error) => return CallerError::of_intake(&error).reply(identity),
    };
    let (sink, reply) = CallerSink::new(identity);
    // A task of its own: when the caller goes away, the request still has to cancel its work.
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
    /// The base model of an adapter.
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
