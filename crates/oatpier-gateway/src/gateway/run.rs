//! One request from its placement to its final response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, Full};
use oatpier_serving::choice::{EndpointChoice, HeldService};
use oatpier_serving::crashes::book::SuspectVerdict;
use oatpier_serving::site::RouteKind;
use oatpier_types::names::EndpointName;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::verdict::{Repeat, RunVerdict};
use oatpier_wire::reply::Reply;
use smallvec::SmallVec;
use tokio::time::{sleep_until, timeout_at};

use super::answers::OwnAnswer;
use super::attempt::{self, AttemptFailure, CallerMessage};
use super::core::GatewayCore;
use super::permits::{self, PermitVerdict};
use super::placement::{PlacedSend, Placement, RequestPlan};
use super::quota;
use super::relay;
use super::turns::{self, TurnVerdict};

/// The shortest response timeout after which an idempotent request is retried on another endpoint.
const SILENCE_LEAST: Duration = Duration::from_millis(120);

/// An attempt times out when the response takes this many times as long as predicted.
const SILENCE_FACTOR: u32 = 5;

/// The upper bound of the response timeout, as a multiple of the route's latency target.
const SILENCE_TARGET_FACTOR: f64 = 1.5;

/// The `Retry-After` sent when an endpoint refused the request and no other endpoint may be tried.
const REFUSED_RETURN: Duration = Duration::from_millis(80);

/// The longest wait for a turn at a rate-limited endpoint while another endpoint can take the request at once.
const TURN_BESIDE_OTHERS: Duration = Duration::from_millis(30);

/// The `Retry-After` sent when no gateway that grants turns responds; the next attempt reaches another gateway.
const UNGIVEN_RETURN: Duration = Duration::from_millis(250);

/// A request that is being served, with the state of its attempts.
#[derive(Clone)]
pub(super) struct RequestRun {
    pub(super) core: Arc<GatewayCore>,
    pub(super) plan: Arc<RequestPlan>,
    pub(super) message: CallerMessage,
    /// Endpoints that received at least one byte of the request.
    reached: SmallVec<[EndpointName; 2]>,
    /// Endpoints that the request is not sent to again.
    pub(super) excluded: SmallVec<[EndpointName; 2]>,
    /// The combined verdict on all attempts that have ended.
    settled: RunVerdict,
    /// Whether an attempt is in progress.
    sending: bool,
    /// The endpoint of the last attempt.
    pub(super) endpoint: Option<EndpointName>,
    /// The best endpoint when the request was refused because that endpoint was overloaded.
    pub(super) too_busy: Option<EndpointChoice>,
    /// Why no endpoint could be used when the request was refused because all of them asked for a back-off or are
    /// over
    /// their rate limit.
    pub(super) held: Option<HeldService>,
}

/// The final outcome of a request.
enum RunEnd {
    Answered(Reply),
    Own(OwnAnswer),
}

impl RequestRun {
    pub(super) fn new(
        core: &Arc<GatewayCore>,
        plan: Arc<RequestPlan>,
        message: CallerMessage,
    ) -> Self {
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
            held: None,
        }
    }

    pub(super) async fn serve(&mut self) -> Reply {
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

    /// Returns whether the request may have run, as far as this gateway knows.
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
    /// When the gateway is being stopped, requests that still wait are refused. If they were kept until the process
    /// is killed, the caller would see a closed connection and could not tell whether the request ran. Each wait
    /// below lasts at most 100 ms, so the stop is noticed long before the process is killed.
    pub(super) async fn placement(&mut self) -> Result<PlacedSend, OwnAnswer> {
        let core = Arc::clone(&self.core);
        let mut passed = self.excluded.clone();
        loop {
            let changed = core.changed.notified();
            if core.is_closed() {
                let refusal = core.refusal(RefusalCause::Leaving, Duration::ZERO);
                return Err(self.refused(refusal));
            }
            self.check_identity()?;
            self.check_suspect()?;
            match core.place(&self.plan, &passed) {
                Placement::Send(placed) => {
                    let Some(placed) = self.with_turn(placed, &mut passed).await? else {
                        continue;
                    };
                    if let Some(permitted) = self.permitted(placed).await? {
                        self.check_suspect()?;
                        self.renew_charge().await?;
                        return Ok(permitted);
                    }
                }
                Placement::Refuse(refused) => {
                    self.too_busy = refused.best;
                    self.held = refused.held;
                    return Err(self.refused(refused.refusal));
                }
                Placement::Pause(span) => {
                    passed = self.excluded.clone();
                    tokio::time::sleep(span).await;
                }
                Placement::Wait(most) => {
                    passed = self.excluded.clone();
                    let at = self.core.clock.instant(self.core.clock.now() + most);
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
    fn check_suspect(&self) -> Result<(), OwnAnswer> {
        let own = match self.core.judge_suspect(&self.plan) {
            SuspectVerdict::Clear => return Ok(()),
            SuspectVerdict::Held => OwnAnswer::Held,
            SuspectVerdict::Barred => OwnAnswer::Barred,
        };
        Err(self.if_not_run(own))
    }

    /// Renews the quota charge of a request that waited longer than its charge is valid.
    async fn renew_charge(&self) -> Result<(), OwnAnswer> {
        let patience = quota::unit_patience(&self.plan.route);
        let renewed = quota::renew_charge(&self.core, &self.plan.charge, patience).await;
        renewed.map_err(|own| self.if_not_run(own))
    }

    /// Refuses a request whose API key was revoked while it waited.
    fn check_identity(&self) -> Result<(), OwnAnswer> {
        if self.core.still_holds(&self.plan.identity, &self.plan.route) {
            return Ok(());
        }
        Err(self.if_not_run(OwnAnswer::UnknownKey))
    }

    /// Waits for a turn if the endpoint has a rate limit. Returns `None` if the request must be placed again. If
    /// another endpoint can take the request at once, the wait is short, and this endpoint is skipped for now when
    /// it has no turn in that time.
    async fn with_turn(
        &mut self,
        placed: PlacedSend,
        passed: &mut SmallVec<[EndpointName; 2]>,
    ) -> Result<Option<PlacedSend>, OwnAnswer> {
        let endpoint = placed.choice.endpoint.clone();
        if !self.core.names_limit(&endpoint) {
            return Ok(Some(placed));
        }
        let mut others = passed.clone();
        others.push(endpoint.clone());
        let elsewhere = self.core.place(&self.plan, &others);
        let has_other = matches!(elsewhere, Placement::Send(_));
        let patience = self.plan.turn_patience(self.core.clock.now());
        let most_wait = if has_other {
            patience.min(TURN_BESIDE_OTHERS)
        } else {
            patience
        };
        match turns::take_turn(&self.core, &endpoint, most_wait).await {
            TurnVerdict::Free => Ok(Some(placed)),
            TurnVerdict::Given(turn) => {
                let is_there = turns::wait_for_turn(&self.core, &endpoint, turn).await;
                Ok(is_there.then_some(PlacedSend {
                    turn: Some(turn),
                    ..placed
                }))
            }
            TurnVerdict::Later | TurnVerdict::Nobody if has_other => {
                *passed = others;
                Ok(None)
            }
            TurnVerdict::Later => Ok(None),
            TurnVerdict::Nobody => {
                let refusal = self.core.refusal(RefusalCause::RateLimited, UNGIVEN_RETURN);
                self.too_busy = Some(placed.choice);
                Err(self.refused(refusal))
            }
        }
    }

    /// Waits for the permit to send the prompt to the endpoint. Returns `None` if the request must be placed again.
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

    /// Returns the refusal, or [`OwnAnswer::Broken`] if the request may have run: a refusal promises that it did
    /// not.
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

    /// Returns the time after which an attempt without a response head counts as timed out.
    fn silence_after(&self, choice: &EndpointChoice) -> Duration {
        let predicted = choice.predicted * SILENCE_FACTOR;
        let latest = self.plan.route.target.mul_f64(SILENCE_TARGET_FACTOR);
        let silence = predicted.min(latest).max(choice.predicted * 2);
        silence.max(SILENCE_LEAST)
    }

    /// Waits for the response head. A timeout always counts against the endpoint, even if this request can't be
    /// sent elsewhere: a frozen endpoint accepts requests and never responds, so later requests should avoid it.
    /// The attempt is abandoned only if a second send is allowed.
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

    /// Returns whether the request can be sent to another endpoint at once, and if so takes the second send from
    /// the retry budget.
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

    /// Returns how many endpoints the request may still be sent to, including the current one.
    pub(super) fn sends_left(&self) -> u32 {
        let sent = u32::try_from(self.reached.len()).unwrap_or(u32::MAX);
        self.plan.route.max_attempts.saturating_sub(sent)
    }

    /// Records a failed attempt. Returns the final response, or `None` if another attempt may be made.
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
        if failure != AttemptFailure::HeldBack {
            self.excluded.push(endpoint.clone());
        }
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

    fn refused_after(&mut self, failure: AttemptFailure) -> OwnAnswer {
        if let Some((refusal, held)) = self.core.held_everywhere(&self.plan) {
            self.held = Some(held);
            return self.refused(refusal);
        }
        let cause = match failure {
            AttemptFailure::WeightsMissing => RefusalCause::WeightsMissing,
            AttemptFailure::Refused => RefusalCause::QueueFull,
            _ => RefusalCause::EndpointDown,
        };
        self.refused(self.core.refusal(cause, REFUSED_RETURN))
    }
}
