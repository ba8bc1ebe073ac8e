//! A request as it comes in: route, workspace, limits, and its own answers before it goes on its way.

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
use oatpier_serving::fingerprint::{RequestContent, RequestFingerprint};
use oatpier_serving::site::{RouteRule, SiteConfig};
use oatpier_types::clock::ClockTime;
use oatpier_types::refusal::RefusalCause;
use oatpier_wire::reply::Reply;
use oatpier_wire::server::RequestHandler;

use super::answers::OwnAnswer;
use super::attempt::CallerMessage;
use super::core::GatewayCore;
use super::identity::CallerIdentity;
use super::placement::RequestPlan;
use super::quota::{self, ChargeCell};
use super::run::RequestRun;
use crate::decisions::{DecisionLine, LineWeight};

/// When to come back to a gateway that is behind; the next try reaches another one.
const BEHIND_RETURN: Duration = Duration::from_millis(60);

/// Takes callers' requests.
pub struct GatewayHandler {
    core: Arc<GatewayCore>,
}

impl GatewayHandler {
    /// A handler over shared parts.
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
            let reply = answer(&core, request).await;
            core.metrics.in_flight.dec();
            reply
        }
        .boxed()
    }
}

async fn answer(core: &Arc<GatewayCore>, request: Request<Bytes>) -> Reply {
    let arrived = core.clock.now();
    let (head, body) = request.into_parts();
    if core.is_behind() {
        let refusal = core.refusal(RefusalCause::QueueFull, BEHIND_RETURN);
        return unplanned(core, &head, OwnAnswer::Refused(refusal));
    }
    if core.is_closed() {
        let refusal = core.refusal(RefusalCause::Leaving, Duration::ZERO);
        return unplanned(core, &head, OwnAnswer::Refused(refusal));
    }
    let Some(config) = core.config() else {
        return unplanned(core, &head, OwnAnswer::NoConfiguration);
    };
    let Some(route) = find_route(&config, &head) else {
        return unplanned(core, &head, core.unless_outdated(OwnAnswer::NoRoute));
    };
    let identity = match core.identify(&config, &route, &head.headers) {
        Ok(identity) => identity,
        Err(own) => return unplanned(core, &head, own),
    };
    if body.len() > config.limits.body_bytes {
        return unplanned(core, &head, OwnAnswer::TooLarge);
    }
    let message = CallerMessage {
        head: Arc::new(head),
        body,
    };
    let mut plan = match plan(core, route, identity, &message, arrived) {
        Ok(plan) => plan,
        Err(error) => {
            core.metrics.answered("", OwnAnswer::Malformed.as_str());
            return OwnAnswer::Malformed.explained("", &error.to_string());
        }
    };
    if let Err(own) = charge(core, &mut plan).await {
        return uncharged(core, &plan, own);
    }
    let plan = Arc::new(plan);
    core.note_arrival(&plan);
    let mut run = RequestRun::new(core, plan, message);
    run.serve().await
}

/// Charges a request's workspace, where that has a limit.
async fn charge(core: &Arc<GatewayCore>, plan: &mut RequestPlan) -> Result<(), OwnAnswer> {
    let Some(workspace) = plan.identity.workspace() else {
        return Ok(());
    };
    let Some(rule) = workspace.quota else {
        return Ok(());
    };
    let units = rule.cost(&plan.request);
    let patience = quota::unit_patience(&plan.route);
    let charge = quota::charge(core, workspace, units, patience).await?;
    plan.charge = ChargeCell::new(Some(charge));
    Ok(())
}

fn find_route(config: &SiteConfig, head: &Parts) -> Option<Arc<RouteRule>> {
    config.route(host_of(head), head.uri.path()).cloned()
}

fn host_of(head: &Parts) -> &str {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| head.uri.host()).unwrap_or_default()
}

fn fingerprint(message: &CallerMessage) -> RequestFingerprint {
    let head = &message.head;
    let path = head.uri.path_and_query();
    RequestFingerprint::of(&RequestContent {
        method: head.method.as_str(),
        host: host_of(head),
        path: path.map_or_else(|| head.uri.path(), PathAndQuery::as_str),
        body: &message.body,
    })
}

fn unplanned(core: &GatewayCore, head: &Parts, own: OwnAnswer) -> Reply {
    let id = headers::decode_request(&head.headers).map_or(String::new(), |call| call.id);
    let line = DecisionLine::new(LineWeight::Notable, "answer")
        .with("request", id.as_str())
        .with("outcome", own.as_str())
        .with("path", head.uri.path());
    core.log.write(line);
    core.metrics.answered("", own.as_str());
    own.reply(&id)
}

/// Answers a request that its workspace's limit keeps out, or may keep out.
fn uncharged(core: &GatewayCore, plan: &RequestPlan, own: OwnAnswer) -> Reply {
    let id = plan.request.id.as_str();
    let mut line = DecisionLine::new(LineWeight::Notable, "answer")
        .with("request", id)
        .with("outcome", own.as_str())
        .with("route", plan.route.name.as_str());
    if let Some(workspace) = plan.identity.workspace() {
        let limit = workspace.quota;
        line = line
            .with("workspace", workspace.name.as_str())
            .with("units", limit.map(|rule| rule.cost(&plan.request)))
            .with("limit_per_s", limit.map(|rule| rule.rate))
            .with("burst", limit.map(|rule| rule.burst));
        core.metrics.workspaces.asked(&workspace.name, own.as_str());
    }
    core.log.write(line);
    core.metrics
        .answered(plan.route.name.as_str(), own.as_str());
    own.reply(id)
}

fn plan(
    core: &GatewayCore,
    route: Arc<RouteRule>,
    identity: CallerIdentity,
    message: &CallerMessage,
    arrived: ClockTime,
) -> Result<RequestPlan, HeaderError> {
    let request = headers::decode_request(&message.head.headers)?;
    let service = core.pick_service(&route);
    let patience = request.patience.unwrap_or(route.timeout);
    Ok(RequestPlan {
        deadline: arrived + patience.min(route.timeout),
        route,
        identity,
        service,
        request,
        fingerprint: fingerprint(message),
        arrived,
        charge: ChargeCell::default(),
        unserved: AtomicBool::new(false),
    })
}
