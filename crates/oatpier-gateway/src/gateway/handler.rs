//! Handles an incoming request: finds its route and workspace, checks limits, and refuses it or starts to serve it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::header::HOST;
use http::request::Parts;
use http::uri::PathAndQuery;
use oatpier_platform::headers::{self, HeaderError};
use oatpier_serving::choice::VersionPin;
use oatpier_serving::fingerprint::{RequestContent, RequestFingerprint};
use oatpier_serving::site::{RouteRule, SiteConfig};
use oatpier_types::clock::ClockTime;
use oatpier_types::refusal::RefusalCause;
use oatpier_wire::reply::Reply;
use oatpier_wire::server::RequestHandler;

use super::arrivals::ArrivalForecast;
use super::attempt::CallerMessage;
use super::core::GatewayCore;
use super::identity::CallerIdentity;
use super::local_responses::LocalResponse;
use super::origins;
use super::placement::RequestContext;
use super::quota::{self, ChargeCell};
use super::run::RequestRun;
use crate::decisions::{DecisionLine, LinePriority};

/// The `Retry-After` of an overloaded gateway; the next attempt reaches another one.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Handles the requests of callers.
pub struct GatewayHandler {
    core: Arc<GatewayCore>,
}

impl GatewayHandler {
    /// Creates a handler over the shared state.
    #[must_use]
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self { core }
    }
}

impl RequestHandler for GatewayHandler {
    fn handle(&self, request: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        let core = Arc::clone(&self.core);
        async move {
            core.metrics.in_flight.inc();
            let reply = handle_request(&core, request).await;
            core.metrics.in_flight.dec();
            reply
        }
        .boxed()
    }
}

async fn handle_request(core: &Arc<GatewayCore>, request: Request<Bytes>) -> Reply {
    let arrived = core.clock.now();
    let (head, body) = request.into_parts();
    if core.is_behind() || core.is_memory_short(body.len()) {
        let refusal = core.refusal(RefusalCause::QueueFull, OVERLOADED_RETRY_AFTER);
        return reject_early(core, &head, LocalResponse::Refused(refusal));
    }
    if core.is_closed() {
        let refusal = core.refusal(RefusalCause::Leaving, Duration::ZERO);
        return reject_early(core, &head, LocalResponse::Refused(refusal));
    }
    let Some(config) = core.config() else {
        return reject_early(core, &head, LocalResponse::NoConfiguration);
    };
    let Some(route) = find_route(&config, &head) else {
        return reject_early(core, &head, core.or_outdated(LocalResponse::NoRoute));
    };
    let identity = match core.identify(&config, &route, &head.headers) {
        Ok(identity) => identity,
        Err(response) => return reject_early(core, &head, response),
    };
    if body.len() > config.limits.body_bytes {
        return reject_early(core, &head, LocalResponse::TooLarge);
    }
    let _lease = core.buffers.hold(body.len());
    let message = CallerMessage {
        head: Arc::new(head),
        body,
    };
    let mut context = match build_context(core, route, identity, &message, arrived) {
        Ok(context) => context,
        Err(error) => {
            core.metrics
                .count_request("", LocalResponse::Malformed.as_str());
            return LocalResponse::Malformed.reply_with_text("", &error.to_string());
        }
    };
    if let Err(response) = origins::take_up(core, &mut context).await {
        return RequestRun::new(core, Arc::new(context), message).refuse(response);
    }
    if let Err(response) = charge(core, &mut context).await {
        return reject_over_limit(core, &context, response);
    }
    let context = Arc::new(context);
    core.record_arrival(&context);
    let mut run = RequestRun::new(core, context, message);
    run.serve().await
}

/// Charges the request to its workspace if the workspace has a limit.
async fn charge(
    core: &Arc<GatewayCore>,
    context: &mut RequestContext,
) -> Result<(), LocalResponse> {
    let Some(workspace) = context.identity.workspace() else {
        return Ok(());
    };
    let Some(rule) = workspace.quota else {
        return Ok(());
    };
    let units = rule.cost(&context.request);
    let max_wait = quota::max_unit_wait(&context.route);
    let charge = quota::charge(core, workspace, units, max_wait).await?;
    context.charge = ChargeCell::new(Some(charge));
    Ok(())
}

fn find_route(config: &SiteConfig, head: &Parts) -> Option<Arc<RouteRule>> {
    config.route(request_host(head), head.uri.path()).cloned()
}

fn request_host(head: &Parts) -> &str {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| head.uri.host()).unwrap_or_default()
}

fn compute_fingerprint(message: &CallerMessage) -> RequestFingerprint {
    let head = &message.head;
    let path = head.uri.path_and_query();
    RequestFingerprint::of(&RequestContent {
        method: head.method.as_str(),
        host: request_host(head),
        path: path.map_or_else(|| head.uri.path(), PathAndQuery::as_str),
        body: &message.body,
    })
}

fn reject_early(core: &GatewayCore, head: &Parts, response: LocalResponse) -> Reply {
    let id = headers::decode_request(&head.headers).map_or(String::new(), |call| call.id);
    let line = DecisionLine::new(LinePriority::Notable, "answer")
        .with("request", id.as_str())
        .with("outcome", response.as_str())
        .with("path", head.uri.path());
    core.log.write(line);
    core.metrics.count_request("", response.as_str());
    response.reply(&id)
}

/// Responds to a request that exceeds, or may exceed, the limit of its workspace.
fn reject_over_limit(
    core: &GatewayCore,
    context: &RequestContext,
    response: LocalResponse,
) -> Reply {
    let id = context.request.id.as_str();
    let mut line = DecisionLine::new(LinePriority::Notable, "answer")
        .with("request", id)
        .with("outcome", response.as_str())
        .with("route", context.route.name.as_str());
    if let Some(workspace) = context.identity.workspace() {
        let limit = workspace.quota;
        line = line
            .with("workspace", workspace.name.as_str())
            .with("units", limit.map(|rule| rule.cost(&context.request)))
            .with("limit_per_s", limit.map(|rule| rule.rate))
            .with("burst", limit.map(|rule| rule.burst));
        core.metrics
            .workspaces
            .count_request(&workspace.name, response.as_str());
    }
    core.log.write(line);
    core.metrics
        .count_request(context.route.name.as_str(), response.as_str());
    response.reply(id)
}

fn build_context(
    core: &GatewayCore,
    route: Arc<RouteRule>,
    identity: CallerIdentity,
    message: &CallerMessage,
    arrived: ClockTime,
) -> Result<RequestContext, HeaderError> {
    let request = headers::decode_request(&message.head.headers)?;
    let service = core.pick_service(&route);
    let timeout = request.caller_timeout.unwrap_or(route.timeout);
    Ok(RequestContext {
        deadline: arrived + timeout.min(route.timeout),
        route,
        identity,
        service,
        request,
        fingerprint: compute_fingerprint(message),
        arrived,
        charge: ChargeCell::default(),
        is_counted_unserved: AtomicBool::new(false),
        forecast: ArrivalForecast::default(),
        pin: VersionPin::Any,
        finding: None,
    })
}
