//! One request, from its head to its final answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::header::HOST;
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use oatpier_platform::headers::{self, HeaderError};
use oatpier_serving::choice::EndpointChoice;
use oatpier_serving::crashes::book::SuspectVerdict;
use oatpier_serving::fingerprint::{RequestContent, RequestFingerprint};
use oatpier_serving::site::{RouteKind, RouteRule, SiteConfig};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::verdict::{Repeat, RunVerdict};
use oatpier_wire::reply::Reply;
use oatpier_wire::server::RequestHandler;
use smallvec::SmallVec;
use tokio::time::{sleep_until, timeout_at};

use super::answers::OwnAnswer;
use super::attempt::{self, AttemptFailure, CallerMessage};
use super::core::GatewayCore;
use super::identity::CallerIdentity;
use super::permits::{self, PermitVerdict};
use super::placement::{PlacedSend, Placement, RequestPlan};
use super::quota::{self, ChargeCell};
use super::relay;
use crate::decisions::{DecisionLine, LineWeight};

/// The least silence after which an idempotent request is sent elsewhere.
const SILENCE_LEAST: Duration = Duration::from_millis(120);

/// A request is silent when its answer takes this many times as long as predicted.
const SILENCE_FACTOR: u32 = 5;

/// The share of a class's target after which silence is acted upon at the latest.
const SILENCE_TARGET_FACTOR: f64 = 1.5;

/// When to come back after an endpoint refused and the request may go nowhere else.
const REFUSED_RETURN: Duration = Duration::from_millis(80);

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
    let Some(rule) = core.limit_of(workspace) else {
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
        let limit = core.limit_of(workspace);
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

/// A request that is being served.
#[derive(Clone)]
pub(super) struct RequestRun {
    pub(super) core: Arc<GatewayCore>,
    pub(super) plan: Arc<RequestPlan>,
    pub(super) message: CallerMessage,
    /// Endpoints that a byte of it reached.
    reached: SmallVec<[EndpointName; 2]>,
    /// Endpoints that it does not go to again.
    pub(super) excluded: SmallVec<[EndpointName; 2]>,
    /// The verdict on all attempts that have ended.
    settled: RunVerdict,
    /// Whether an attempt is under way.
    sending: bool,
    /// The endpoint of the last attempt.
    pub(super) endpoint: Option<EndpointName>,
    /// The endpoint that was best and too busy, where the request was refused.
    pub(super) too_busy: Option<EndpointChoice>,
}

/// What became of a request.
enum RunEnd {
    Answered(Reply),
    Own(OwnAnswer),
}

impl RequestRun {
    fn new(core: &Arc<GatewayCore>, plan: Arc<RequestPlan>, message: CallerMessage) -> Self {
        Self {
            core: Arc::clone(core),
            plan,
            message,
            reached: SmallVec::new(),
            excluded: SmallVec::new(),
            settled: RunVerdict::NotRun,
            sending: false,
            endpoint: None,
            too_busy: None,
        }
    }

    async fn serve(&mut self) -> Reply {
        let deadline = self.core.clock.instant(self.plan.deadline);
        let end = match timeout_at(deadline, self.attempts()).await {
            Ok(end) => end,
            Err(_) if self.verdict() == RunVerdict::NotRun => RunEnd::Own(OwnAnswer::ExpiredUnsent),
            Err(_) => RunEnd::Own(OwnAnswer::ExpiredSent),
        };
        match end {
            RunEnd::Answered(reply) => reply,
            RunEnd::Own(own) => {
                self.log_own(own);
                own.reply(&self.plan.request.id)
            }
        }
    }

    /// Whether the request may have run, as far as known.
    pub(super) fn verdict(&self) -> RunVerdict {
        if self.sending {
            self.settled.and(RunVerdict::MayHaveRun)
        } else {
            self.settled
        }
    }

    async fn attempts(&mut self) -> RunEnd {
        loop {
            let mut placed = match self.placement().await {
                Ok(placed) => placed,
                Err(own) => return RunEnd::Own(own),
            };
            self.sending = true;
            self.plan.charge.set_spent(true);
            self.endpoint = Some(placed.choice.endpoint.clone());
            let failure = match self.attempt(&mut placed).await {
                Ok(reply) => return RunEnd::Answered(reply),
                Err(failure) => failure,
            };
            self.log_failure(&placed, failure);
            if let Some(own) = self.after(&placed.choice.endpoint, failure) {
                return RunEnd::Own(own);
            }
        }
    }

    /// Waits until the request can be sent.
    ///
    /// A gateway that is being stopped ends what still waits: kept until the process is killed, its caller
    /// would see a closed connection, and could not tell whether the request ran. Each wait below is a
    /// tenth of a second at most, so this is seen long before the end.
    pub(super) async fn placement(&mut self) -> Result<PlacedSend, OwnAnswer> {
        let core = Arc::clone(&self.core);
        loop {
            let changed = core.changed.notified();
            if core.is_closed() {
                let refusal = core.refusal(RefusalCause::Leaving, Duration::ZERO);
                return Err(self.refused(refusal));
            }
            self.check_identity()?;
            self.check_suspect()?;
            match core.place(&self.plan, &self.excluded) {
                Placement::Send(placed) => {
                    if let Some(permitted) = self.permitted(placed).await? {
                        self.check_suspect()?;
                        self.renew_charge().await?;
                        return Ok(permitted);
                    }
                }
                Placement::Refuse(refused) => {
                    self.too_busy = refused.best;
                    return Err(self.refused(refused.refusal));
                }
                Placement::Pause(span) => tokio::time::sleep(span).await,
                Placement::Wait(most) => {
                    let at = self.core.clock.instant(self.core.clock.now() + most);
                    tokio::select! {
                        () = changed => {}
                        () = sleep_until(at) => {}
                    }
                }
            }
        }
    }

    /// Refuses a request that ends the endpoints that run it. Looked at before each send and while it waits: the
    /// verdict may come from another gateway meanwhile.
    fn check_suspect(&self) -> Result<(), OwnAnswer> {
        let own = match self.core.judge_suspect(&self.plan) {
            SuspectVerdict::Clear => return Ok(()),
            SuspectVerdict::Held => OwnAnswer::Held,
            SuspectVerdict::Barred => OwnAnswer::Barred,
        };
        Err(self.if_not_run(own))
    }

    /// Charges a request anew that waited for longer than its charge counts.
    async fn renew_charge(&self) -> Result<(), OwnAnswer> {
        let patience = quota::unit_patience(&self.plan.route);
        let renewed = quota::renew_charge(&self.core, &self.plan.charge, patience).await;
        renewed.map_err(|own| self.if_not_run(own))
    }

    /// Refuses a request whose key was taken away while it waited.
    fn check_identity(&self) -> Result<(), OwnAnswer> {
        if self.core.still_holds(&self.plan.identity, &self.plan.route) {
            return Ok(());
        }
        Err(self.if_not_run(OwnAnswer::UnknownKey))
    }

    /// Waits until the endpoint may be sent the prompt; none if the request has to be placed anew.
    async fn permitted(&mut self, placed: PlacedSend) -> Result<Option<PlacedSend>, OwnAnswer> {
        match permits::permit(&self.core, &self.plan, &placed).await {
            PermitVerdict::Free => return Ok(Some(placed)),
            PermitVerdict::Given(permit) => {
                return Ok(Some(PlacedSend {
                    permit: Some(permit),
                    ..placed
                }));
            }
            PermitVerdict::Withdrawn => {}
        }
        let Some(refusal) = self.core.give_up_wait(&self.plan) else {
            return Ok(None);
        };
        self.too_busy = Some(placed.choice);
        Err(self.refused(refusal))
    }

    /// A refusal promises that the request did not run, so it is given only where that is known.
    fn refused(&self, refusal: Refusal) -> OwnAnswer {
        self.if_not_run(OwnAnswer::Refused(refusal))
    }

    fn if_not_run(&self, own: OwnAnswer) -> OwnAnswer {
        if self.settled == RunVerdict::NotRun {
            own
        } else {
            OwnAnswer::Broken
        }
    }

    async fn attempt(&self, placed: &mut PlacedSend) -> Result<Reply, AttemptFailure> {
        let choice = placed.choice.clone();
        let sending = attempt::send(&self.core, &self.plan, &self.message, placed, None);
        let answer = self.or_silence(sending, &choice).await?;
        if self.plan.route.kind.is_stream() && answer.status.is_success() {
            return relay::relay(self, answer).await;
        }
        let whole = attempt::collect(answer).await?;
        self.check_whole(whole)
    }

    /// When an attempt is called silent.
    fn silence_after(&self, choice: &EndpointChoice) -> Duration {
        let predicted = choice.predicted * SILENCE_FACTOR;
        let latest = self.plan.route.target.mul_f64(SILENCE_TARGET_FACTOR);
        let silence = predicted.min(latest).max(choice.predicted * 2);
        silence.max(SILENCE_LEAST)
    }

    /// Waits for an answer's head. Silence always counts against the endpoint: a frozen one takes
    /// requests and brings nothing, and those that come after should go elsewhere, also where this one
    /// can't. The attempt is given up only where a second send is allowed.
    async fn or_silence<T>(
        &self,
        sending: impl Future<Output = Result<T, AttemptFailure>>,
        choice: &EndpointChoice,
    ) -> Result<T, AttemptFailure> {
        let sent_at = self.core.clock.now();
        let silent_at = sent_at + self.silence_after(choice);
        let mut sending = std::pin::pin!(sending);
        tokio::select! {
            biased;
            answer = sending.as_mut() => return answer,
            () = sleep_until(self.core.clock.instant(silent_at)) => {}
        }
        self.core.note_silence(&choice.endpoint, sent_at);
        let may_repeat = self.plan.route.kind.is_idempotent() && self.sends_left() >= 2;
        if may_repeat && self.may_move_from(&choice.endpoint) {
            return Err(AttemptFailure::Silent);
        }
        sending.await
    }

    /// Whether the request can be sent to another endpoint at once; takes the second send from the
    /// allowance if so.
    pub(super) fn may_move_from(&self, endpoint: &EndpointName) -> bool {
        let mut excluded = self.excluded.clone();
        excluded.push(endpoint.clone());
        let elsewhere = self.core.place(&self.plan, &excluded);
        matches!(elsewhere, Placement::Send(_)) && self.core.take_retry(&self.plan.service)
    }

    fn check_whole(&self, whole: Response<Bytes>) -> Result<Reply, AttemptFailure> {
        let status = whole.status();
        let again = status.is_server_error()
            && self.plan.route.kind == RouteKind::Safe
            && self.sends_left() >= 2;
        if again && self.core.take_retry(&self.plan.service) {
            return Err(AttemptFailure::ServerError);
        }
        self.log_answered(status);
        Ok(whole.map(|body| {
            Full::new(body)
                .map_err(|never| match never {})
                .boxed_unsync()
        }))
    }

    /// Endpoints that the request may still be sent to, the present one included.
    pub(super) fn sends_left(&self) -> u32 {
        let sent = u32::try_from(self.reached.len()).unwrap_or(u32::MAX);
        self.plan.route.max_attempts.saturating_sub(sent)
    }

    /// What follows from a failed attempt: a final answer, or another attempt.
    pub(super) fn after(
        &mut self,
        endpoint: &EndpointName,
        failure: AttemptFailure,
    ) -> Option<OwnAnswer> {
        self.core.metrics.attempted(failure.as_str());
        self.sending = false;
        self.settled = self.settled.and(failure.verdict());
        self.plan
            .charge
            .set_spent(self.settled != RunVerdict::NotRun);
        self.excluded.push(endpoint.clone());
        if failure.has_reached() {
            self.reached.push(endpoint.clone());
        }
        if !self.settled.may_repeat(self.repeat()) {
            return Some(OwnAnswer::Broken);
        }
        let paid = failure.is_paid() || self.core.take_retry(&self.plan.service);
        if self.sends_left() == 0 || !paid {
            return Some(self.refused_after(failure));
        }
        None
    }

    fn repeat(&self) -> Repeat {
        if self.plan.route.kind.is_idempotent() {
            Repeat::Idempotent
        } else {
            Repeat::AtMostOnce
        }
    }

    fn refused_after(&self, failure: AttemptFailure) -> OwnAnswer {
        let cause = match failure {
            AttemptFailure::WeightsMissing => RefusalCause::WeightsMissing,
            AttemptFailure::Refused => RefusalCause::QueueFull,
            _ => RefusalCause::EndpointDown,
        };
        self.refused(self.core.refusal(cause, REFUSED_RETURN))
    }
}
