//! One request on its way, from its place to its final answer.

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

/// The least silence after which an idempotent request is sent elsewhere.
const SILENCE_LEAST: Duration = Duration::from_millis(120);

/// A request is silent when its answer takes this many times as long as predicted.
const SILENCE_FACTOR: u32 = 5;

/// The share of a class's target after which silence is acted upon at the latest.
const SILENCE_TARGET_FACTOR: f64 = 1.5;

/// When to come back after an endpoint refused and the request may go nowhere else.
const REFUSED_RETURN: Duration = Duration::from_millis(80);

/// How far ahead a turn at an endpoint may be where another one could take the request at once.
const TURN_BESIDE_OTHERS: Duration = Duration::from_millis(30);

/// When to come back where no gateway that gives turns answers; the next try reaches another gateway.
const UNGIVEN_RETURN: Duration = Duration::from_millis(250);

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
    /// What kept it from its endpoints, where it was refused since they asked to be left alone.
    pub(super) held: Option<HeldService>,
}

/// What became of a request.
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

    /// Waits for the request's turn where the endpoint names a limit; none if the request has to be placed anew. Where
    /// another endpoint could take it at once it waits little, and passes this one over for now.
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
