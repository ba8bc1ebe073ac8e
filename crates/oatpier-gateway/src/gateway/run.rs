//! One request from its placement to its final response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use oatpier_serving::choice::{EndpointChoice, StreamPrediction, ThrottledService, VersionPin};
use oatpier_serving::crashes::suspects::SuspectVerdict;
use oatpier_serving::site::RouteKind;
use oatpier_types::names::EndpointName;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::software::SoftwareVersion;
use oatpier_types::verdict::{Repeat, RunVerdict};
use oatpier_wire::client::ConnectionChoice;
use oatpier_wire::reply::{LeasedBody, Reply};
use smallvec::SmallVec;
use tokio::time::sleep_until;

use super::attempt::{self, CallerMessage, WholeResponse};
use super::attempt_failure::AttemptFailure;
use super::core::GatewayCore;
use super::local_responses::LocalResponse;
use super::part_check::{self, PartCheck, PartStep};
use super::permits::{self, PermitVerdict};
use super::placement::{PlacedSend, Placement, RequestContext};
use super::quota;
use super::relay;
use super::turns::{self, TurnVerdict};

/// The shortest response timeout after which an idempotent request is retried on another endpoint.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(120);

/// An attempt times out when the response takes this many times as long as predicted.
const RESPONSE_TIMEOUT_FACTOR: u32 = 5;

/// The upper bound of the response timeout, as a multiple of the route's latency target.
const RESPONSE_TIMEOUT_TARGETS: f64 = 1.5;

/// The `Retry-After` sent when an endpoint refused the request and no other endpoint may be tried.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(80);

/// The longest wait for a turn at a rate-limited endpoint while another endpoint can take the request at once.
const MAX_TURN_WAIT_WITH_ALTERNATIVE: Duration = Duration::from_millis(30);

/// The `Retry-After` sent when no gateway that grants turns responds; the next attempt reaches another gateway.
const NO_HOLDER_RETRY_AFTER: Duration = Duration::from_millis(250);

/// A request that is being served, with the state of its attempts.
#[derive(Clone)]
pub(super) struct RequestRun {
    pub(super) core: Arc<GatewayCore>,
    pub(super) context: Arc<RequestContext>,
    pub(super) message: CallerMessage,
    /// Endpoints that received at least one byte of the request.
    reached: SmallVec<[EndpointName; 2]>,
    /// Addresses from which a response to this request came. An endpoint may send it again, late, on the same
    /// connection, where it would be taken for the response to a second send.
    responded: SmallVec<[SocketAddr; 2]>,
    /// Endpoints that the request is not sent to again.
    pub(super) excluded: SmallVec<[EndpointName; 2]>,
    /// The versions at which the request may be served from now on.
    pub(super) pin: VersionPin,
    /// The combined verdict on all attempts that have ended.
    ended_verdict: RunVerdict,
    /// Whether an attempt is in progress.
    is_sending: bool,
    /// The endpoint of the last attempt.
    pub(super) endpoint: Option<EndpointName>,
    /// The version of that endpoint's software, if known.
    pub(super) version: Option<SoftwareVersion>,
    /// Predicted course of the stream of the last attempt.
    pub(super) prediction: Option<StreamPrediction>,
    /// The best endpoint when the request was refused because that endpoint could not take it.
    pub(super) best_choice: Option<EndpointChoice>,
    /// Why no endpoint could be used when the request was refused because all of them are throttled: they asked for
    /// a rest period or are over their rate limit.
    pub(super) throttled: Option<ThrottledService>,
    /// Waits and refusals because of the parts of the prompt.
    pub(super) part_check: PartCheck,
}

/// The final outcome of a request.
enum RunOutcome {
    Relayed(Reply),
    Local(LocalResponse),
}

impl RequestRun {
    pub(super) fn new(
        core: &Arc<GatewayCore>,
        context: Arc<RequestContext>,
        message: CallerMessage,
    ) -> Self {
        Self {
            core: Arc::clone(core),
            pin: context.pin.clone(),
            context,
            message,
            reached: SmallVec::new(),
            responded: SmallVec::new(),
            excluded: SmallVec::new(),
            ended_verdict: RunVerdict::NotRun,
            is_sending: false,
            endpoint: None,
            version: None,
            prediction: None,
            best_choice: None,
            throttled: None,
            part_check: PartCheck::default(),
        }
    }

    pub(super) async fn serve(&mut self) -> Reply {
        let core = Arc::clone(&self.core);
        let deadline = core.clock.instant(self.context.deadline);
        let outcome = tokio::select! {
            biased;
            outcome = self.run_attempts() => outcome,
            () = sleep_until(deadline) => RunOutcome::Local(self.response_when_expired()),
            () = core.requests_given_up() => RunOutcome::Local(self.response_when_stopped()),
        };
        match outcome {
            RunOutcome::Relayed(reply) => reply,
            RunOutcome::Local(response) => self.refuse(response),
        }
    }

    fn response_when_expired(&self) -> LocalResponse {
        match self.verdict() {
            RunVerdict::NotRun => LocalResponse::ExpiredUnsent,
            _ => LocalResponse::ExpiredSent,
        }
    }

    fn response_when_stopped(&self) -> LocalResponse {
        match self.verdict() {
            RunVerdict::NotRun => {
                let refusal = self.core.refusal(RefusalCause::Leaving, Duration::ZERO);
                LocalResponse::Refused(refusal)
            }
            _ => LocalResponse::Stopped,
        }
    }

    /// Answers the request with a response of the gateway.
    pub(super) fn refuse(&self, response: LocalResponse) -> Reply {
        self.log_local_response(response);
        response.reply(&self.context.request.id)
    }

    /// Returns whether the request may have run, as far as this gateway knows.
    pub(super) fn verdict(&self) -> RunVerdict {
        if self.is_sending {
            self.ended_verdict.and(RunVerdict::MayHaveRun)
        } else {
            self.ended_verdict
        }
    }

    async fn run_attempts(&mut self) -> RunOutcome {
        loop {
            let mut placed = match self.await_placement().await {
                Ok(placed) => placed,
                Err(response) => return RunOutcome::Local(response),
            };
            self.is_sending = true;
            self.context.charge.set_spent(true);
            self.endpoint = Some(placed.choice.endpoint.clone());
            self.version.clone_from(&placed.version);
            self.prediction = placed.choice.stream;
            self.choose_connection(&mut placed);
            let failure = match self.attempt(&mut placed).await {
                Ok(reply) => return RunOutcome::Relayed(reply),
                Err(failure) => failure,
            };
            self.record_response(&placed);
            self.log_failure(&placed, failure);
            if let Some(response) = self.handle_failure(&placed.choice.endpoint, failure) {
                return RunOutcome::Local(response);
            }
        }
    }

    /// Chooses a new connection to an address from which a response to this request came. After a restart, the
    /// successor of an endpoint has the same address, so excluding endpoints by name does not prevent such a send.
    pub(super) fn choose_connection(&self, placed: &mut PlacedSend) {
        if self.responded.contains(&placed.address) {
            placed.connection = ConnectionChoice::New;
        }
    }

    /// Records that a response to an attempt came, if one did.
    pub(super) fn record_response(&mut self, placed: &PlacedSend) {
        if placed.received.is_some() && !self.responded.contains(&placed.address) {
            self.responded.push(placed.address);
        }
    }

    /// Waits until the request can be sent.
    ///
    /// When the gateway is being stopped, requests that still wait are refused. If they were kept until the process
    /// is killed, the caller would see a closed connection and could not tell whether the request ran. Each wait
    /// below lasts at most 100 ms, so the stop is noticed long before the process is killed.
    pub(super) async fn await_placement(&mut self) -> Result<PlacedSend, LocalResponse> {
        let core = Arc::clone(&self.core);
        let mut skipped = self.excluded.clone();
        loop {
            let changed = core.changed.notified();
            if core.is_closed() {
                let refusal = core.refusal(RefusalCause::Leaving, Duration::ZERO);
                return Err(self.refusal_unless_run(refusal));
            }
            self.check_identity()?;
            self.check_suspect()?;
            if self.check_parts()? == PartStep::Wait {
                part_check::wait(changed).await;
                continue;
            }
            match core.place(&self.context, &skipped, &self.pin) {
                Placement::Send(placed) => {
                    let Some(placed) = self.acquire_turn(placed, &mut skipped).await? else {
                        continue;
                    };
                    let Some(placed) = self.acquire_permit(placed).await? else {
                        continue;
                    };
                    self.check_suspect()?;
                    let Some(placed) = self.acquire_trial(placed).await? else {
                        continue;
                    };
                    self.renew_charge().await?;
                    return Ok(placed);
                }
                Placement::Refuse(refused) => {
                    self.best_choice = refused.best;
                    self.throttled = refused.throttled;
                    return Err(self.refusal_unless_run(refused.refusal));
                }
                Placement::Sleep(delay) => {
                    skipped = self.excluded.clone();
                    tokio::time::sleep(delay).await;
                }
                Placement::WaitForChange(max_wait) => {
                    skipped = self.excluded.clone();
                    let at = self.core.clock.instant(self.core.clock.now() + max_wait);
                    tokio::select! {
                        () = changed => {}
                        () = sleep_until(at) => {}
                    }
                }
            }
        }
    }

    /// Refuses a request that is suspected of crashing the endpoints that run it. This is checked before each send
    /// and while the request waits, because another gateway may report the verdict meanwhile.
    fn check_suspect(&self) -> Result<(), LocalResponse> {
        let response = match self.core.suspect_verdict(&self.context) {
            SuspectVerdict::Allowed => return Ok(()),
            SuspectVerdict::Deferred => LocalResponse::Held,
            SuspectVerdict::Barred => LocalResponse::Barred,
        };
        Err(self.unless_run(response))
    }

    /// Renews the quota charge of a request that waited longer than its charge is valid.
    async fn renew_charge(&self) -> Result<(), LocalResponse> {
        let max_wait = quota::max_unit_wait(&self.context.route);
        let renewed = quota::renew_charge(&self.core, &self.context.charge, max_wait).await;
        renewed.map_err(|response| self.unless_run(response))
    }

    /// Refuses a request whose API key was revoked while it waited.
    fn check_identity(&self) -> Result<(), LocalResponse> {
        if self
            .core
            .is_still_valid(&self.context.identity, &self.context.route)
        {
            return Ok(());
        }
        Err(self.unless_run(LocalResponse::UnknownKey))
    }

    /// Waits for a turn if the endpoint has a rate limit. Returns `None` if the request must be placed again. If
    /// another endpoint can take the request at once, the wait is short, and this endpoint is skipped for now when
    /// it has no turn in that time.
    async fn acquire_turn(
        &mut self,
        placed: PlacedSend,
        skipped: &mut SmallVec<[EndpointName; 2]>,
    ) -> Result<Option<PlacedSend>, LocalResponse> {
        let endpoint = placed.choice.endpoint.clone();
        if !self.core.has_rate_limit(&endpoint) {
            return Ok(Some(placed));
        }
        let mut excluded = skipped.clone();
        excluded.push(endpoint.clone());
        let alternative = self.core.place(&self.context, &excluded, &self.pin);
        let has_alternative = matches!(alternative, Placement::Send(_));
        let max_wait = self.context.max_turn_wait(self.core.clock.now());
        let max_wait = if has_alternative {
            max_wait.min(MAX_TURN_WAIT_WITH_ALTERNATIVE)
        } else {
            max_wait
        };
        match turns::acquire_turn(&self.core, &endpoint, max_wait).await {
            TurnVerdict::NotNeeded => Ok(Some(placed)),
            TurnVerdict::Granted(turn) => {
                let can_send = turns::wait_for_turn(&self.core, &endpoint, turn).await;
                Ok(can_send.then_some(PlacedSend {
                    turn: Some(turn),
                    ..placed
                }))
            }
            TurnVerdict::TooLate | TurnVerdict::NoHolder if has_alternative => {
                *skipped = excluded;
                Ok(None)
            }
            TurnVerdict::TooLate => Ok(None),
            TurnVerdict::NoHolder => {
                let refusal = self
                    .core
                    .refusal(RefusalCause::RateLimited, NO_HOLDER_RETRY_AFTER);
                self.best_choice = Some(placed.choice);
                Err(self.refusal_unless_run(refusal))
            }
        }
    }

    /// Waits for the permit to send the prompt to the endpoint. Returns `None` if the request must be placed again.
    async fn acquire_permit(
        &mut self,
        placed: PlacedSend,
    ) -> Result<Option<PlacedSend>, LocalResponse> {
        let asked_at = self.core.clock.now();
        let verdict = permits::acquire_permit(&self.core, &self.context, &placed).await;
        self.core
            .count_permit_wait(&self.context, &verdict, asked_at);
        match verdict {
            PermitVerdict::NotNeeded => return Ok(Some(placed)),
            PermitVerdict::Granted(permit) => {
                self.core.record_permit(&self.context);
                return Ok(Some(PlacedSend {
                    permit: Some(permit),
                    ..placed
                }));
            }
            PermitVerdict::Withdrawn => {}
        }
        let Some(refusal) = self.core.refusal_if_wait_exceeded(&self.context) else {
            return Ok(None);
        };
        self.best_choice = Some(placed.choice);
        Err(self.refusal_unless_run(refusal))
    }

    /// Returns the refusal, or [`LocalResponse::Broken`] if the request may have run: a refusal promises that it did
    /// not.
    fn refusal_unless_run(&self, refusal: Refusal) -> LocalResponse {
        self.unless_run(LocalResponse::Refused(refusal))
    }

    pub(super) fn unless_run(&self, response: LocalResponse) -> LocalResponse {
        if self.ended_verdict == RunVerdict::NotRun {
            response
        } else {
            LocalResponse::Broken
        }
    }

    async fn attempt(&self, placed: &mut PlacedSend) -> Result<Reply, AttemptFailure> {
        let choice = placed.choice.clone();
        let sending = attempt::send(&self.core, &self.context, &self.message, placed, None);
        let response = self.with_response_timeout(sending, &choice).await?;
        if self.context.route.kind.is_stream() && response.status.is_success() {
            return relay::relay(self, response).await;
        }
        let whole = attempt::read_response(&self.core, response).await?;
        self.check_response(whole)
    }

    /// Returns the time after which an attempt without a response head counts as timed out.
    fn response_timeout(&self, choice: &EndpointChoice) -> Duration {
        let predicted = choice.predicted * RESPONSE_TIMEOUT_FACTOR;
        let max_timeout = self.context.route.target.mul_f64(RESPONSE_TIMEOUT_TARGETS);
        let timeout = predicted.min(max_timeout).max(choice.predicted * 2);
        timeout.max(MIN_RESPONSE_TIMEOUT)
    }

    /// Waits for the response head. A timeout always counts against the endpoint, even if this request can't be
    /// sent elsewhere: a frozen endpoint accepts requests and never responds, so later requests should avoid it.
    /// The attempt is abandoned only if a second send is allowed.
    async fn with_response_timeout<T>(
        &self,
        sending: impl Future<Output = Result<T, AttemptFailure>>,
        choice: &EndpointChoice,
    ) -> Result<T, AttemptFailure> {
        let sent_at = self.core.clock.now();
        let times_out_at = sent_at + self.response_timeout(choice);
        let mut sending = std::pin::pin!(sending);
        tokio::select! {
            biased;
            response = sending.as_mut() => return response,
            () = sleep_until(self.core.clock.instant(times_out_at)) => {}
        }
        self.core.record_timeout(&choice.endpoint, sent_at);
        let may_repeat = self.context.route.kind.is_idempotent() && self.remaining_sends() >= 2;
        if may_repeat && self.try_reserve_failover(&choice.endpoint) {
            return Err(AttemptFailure::Silent);
        }
        sending.await
    }

    /// Returns whether the request can be sent to another endpoint at once, and if so takes the second send from
    /// the retry budget.
    pub(super) fn try_reserve_failover(&self, endpoint: &EndpointName) -> bool {
        let mut excluded = self.excluded.clone();
        excluded.push(endpoint.clone());
        let alternative = self.core.place(&self.context, &excluded, &self.pin);
        matches!(alternative, Placement::Send(_)) && self.core.take_retry(&self.context.service)
    }

    fn check_response(&self, whole: WholeResponse) -> Result<Reply, AttemptFailure> {
        let WholeResponse { response, lease } = whole;
        let status = response.status();
        let may_retry = status.is_server_error()
            && self.context.route.kind == RouteKind::Safe
            && self.remaining_sends() >= 2;
        if may_retry && self.core.take_retry(&self.context.service) {
            return Err(AttemptFailure::ServerError);
        }
        self.log_response(status);
        Ok(response.map(|body| LeasedBody::new(body, lease).boxed_unsync()))
    }

    /// Returns how many endpoints the request may still be sent to, including the current one.
    pub(super) fn remaining_sends(&self) -> u32 {
        let sent = u32::try_from(self.reached.len()).unwrap_or(u32::MAX);
        self.context.route.max_attempts.saturating_sub(sent)
    }

    /// Records a failed attempt. Returns the final response, or `None` if another attempt may be made.
    pub(super) fn handle_failure(
        &mut self,
        endpoint: &EndpointName,
        failure: AttemptFailure,
    ) -> Option<LocalResponse> {
        self.core.metrics.count_attempt(failure.as_str());
        self.is_sending = false;
        self.ended_verdict = self.ended_verdict.and(failure.verdict());
        self.context
            .charge
            .set_spent(self.ended_verdict != RunVerdict::NotRun);
        if failure != AttemptFailure::HeldBack {
            self.excluded.push(endpoint.clone());
        }
        if failure.has_reached_endpoint() {
            self.reached.push(endpoint.clone());
        }
        if !self.ended_verdict.may_repeat(self.repeat()) {
            return Some(LocalResponse::Broken);
        }
        let may_send = self.remaining_sends() > 0
            && (failure.is_free_retry() || self.core.take_retry(&self.context.service));
        if may_send {
            return None;
        }
        Some(self.refusal_after(failure))
    }

    fn repeat(&self) -> Repeat {
        if self.context.route.kind.is_idempotent() {
            Repeat::Idempotent
        } else {
            Repeat::AtMostOnce
        }
    }

    fn refusal_after(&mut self, failure: AttemptFailure) -> LocalResponse {
        if let Some((refusal, throttled)) = self.core.refusal_if_throttled(&self.context) {
            self.throttled = Some(throttled);
            return self.refusal_unless_run(refusal);
        }
        let cause = match failure {
            AttemptFailure::WeightsMissing => RefusalCause::WeightsMissing,
            AttemptFailure::Refused => RefusalCause::QueueFull,
            _ => RefusalCause::EndpointDown,
        };
        self.refusal_unless_run(self.core.refusal(cause, REFUSED_RETRY_AFTER))
    }
}
