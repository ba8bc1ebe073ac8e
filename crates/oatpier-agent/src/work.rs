//! The work duty: takes attempts, and owns the decisions about them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::{FutureExt, stream};
use http::{Request, StatusCode};
use oatpier_admission::event::AgentEvent;
use oatpier_types::request::RequestGoal;
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::attempt::{
    self, ATTEMPT_PATH, AttemptFrame, CANCEL_PATH, CancelAttempt, CancelResponse, CancelScope,
    decode_request,
};
use oatpier_wire::frame::FrameError;
use oatpier_wire::peer::decode_message;
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::{self, RequestHandler, ServerLimits};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::attempt::AttemptTask;
use crate::core::{AgentCore, AttemptArrival};
use crate::messages::RELEASE_PATH;
use crate::news::{AgentNews, AsksNews, MembershipCall, StatusNews};
use oatpier_duty::duty::{RingReceiver, RingSender, StopPhase, StopSignal};
use oatpier_duty::messages::{PEER_PATH, STATUS_PATH};

/// Frames of an attempt that wait for its entry.
const WAITING_FRAMES: usize = 16;
/// How often the membership duty gets the whole word on the endpoint.
const STATUS_PERIOD: Duration = Duration::from_millis(500);
/// How often the orders duty gets the counts of a drain.
const DRAIN_PERIOD: Duration = Duration::from_millis(100);
/// How long another duty may take to answer a call. As long as an ask for a release stands.
const PASSED_WAIT: Duration = Duration::from_secs(2);
/// How often the endpoint is asked whether it answers.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// What the work duty works on.
pub struct WorkInputs {
    /// The decisions and what they share.
    pub core: Arc<AgentCore>,
    /// Where entries connect.
    pub listener: std::net::TcpListener,
    /// Limits on entries.
    pub limits: ServerLimits,
    /// News of the other duties.
    pub news: RingReceiver<AgentNews>,
    /// Where asks and counts for the orders duty go.
    pub asks: RingSender<AsksNews>,
    /// Where word on the endpoint goes, for the membership duty.
    pub status: RingSender<StatusNews>,
    /// Where membership calls go.
    pub calls: RingSender<MembershipCall>,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Serves entries until the process drains and the last attempt is over.
///
/// # Panics
///
/// Panics if it runs on no runtime, or the runtime does not take the socket.
pub async fn work(inputs: WorkInputs) {
    let WorkInputs {
        core,
        listener,
        limits,
        news,
        asks,
        status,
        calls,
        stop,
    } = inputs;
    let listener =
        tokio::net::TcpListener::from_std(listener).expect("the runtime takes the socket");
    let handler = Arc::new(WorkHandler {
        core: Arc::clone(&core),
        asks: asks.clone(),
        calls,
    });
    let teller = WorkTeller { core, asks, status };
    // The listener stays open until the last attempt is over: a refusal of a leaving agent is
    // a word, a closed port is only silence.
    let ended = stop.clone();
    let closing = async move { ended.reached(StopPhase::Ended).await };
    let serving = server::serve(listener, handler, limits, Arc::default(), closing);
    tokio::select! {
        () = serving => {}
        () = teller.run(&news, &stop) => {}
    }
}

/// The work duty without its entries: takes news, and tells the other duties of the endpoint.
/// Nothing here waits for them.
pub struct WorkTeller {
    /// The decisions and what they share.
    pub core: Arc<AgentCore>,
    /// Where counts of drains go.
    pub asks: RingSender<AsksNews>,
    /// Where word on the endpoint goes.
    pub status: RingSender<StatusNews>,
}

impl WorkTeller {
    /// Never ends.
    pub async fn run(&self, news: &RingReceiver<AgentNews>, stop: &StopSignal) {
        tokio::select! {
            () = self.take_news(news) => {}
            () = self.tell_status() => {}
            () = self.tell_drains() => {}
            () = self.core.run_timers() => {}
            () = leave_when_told(&self.core, stop) => {}
            () = probe(&self.core) => {}
        }
    }

    async fn take_news(&self, news: &RingReceiver<AgentNews>) {
        while let Some(news) = news.receive().await {
            self.core.take_news(news);
            self.offer_drains();
            self.offer_status();
        }
        std::future::pending::<()>().await;
    }

    async fn tell_status(&self) {
        loop {
            self.offer_status();
            tokio::time::sleep(STATUS_PERIOD).await;
        }
    }

    async fn tell_drains(&self) {
        loop {
            self.offer_drains();
            tokio::time::sleep(DRAIN_PERIOD).await;
        }
    }

    fn offer_status(&self) {
        if let Some(status) = self.core.status() {
            // Dropped when full: the next one says the same and more.
            let _ = self.status.try_send(StatusNews::Status(Box::new(status)));
        }
    }

    fn offer_drains(&self) {
        if let Some(drains) = self.core.drains() {
            // Dropped when full: told again until the drain is over.
            let _ = self.asks.try_send(drains);
        }
    }
}

async fn leave_when_told(core: &AgentCore, stop: &StopSignal) {
    stop.reached(StopPhase::Draining).await;
    core.take_news(AgentNews::Leave);
    std::future::pending::<()>().await;
}

/// Tells the policy when the endpoint begins or ceases to answer.
async fn probe(core: &AgentCore) {
    let mut was_up = true;
    loop {
        let up = core.works.engine.probe().await;
        if up != was_up {
            core.step(AgentEvent::EndpointUp { up });
            spdlog::warn!("the endpoint answers: {up}");
            was_up = up;
        }
        tokio::time::sleep(PROBE_PERIOD).await;
    }
}

struct WorkHandler {
    core: Arc<AgentCore>,
    asks: RingSender<AsksNews>,
    calls: RingSender<MembershipCall>,
}

impl RequestHandler for WorkHandler {
    fn handle(&self, request: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        let reply = match request.uri().path() {
            ATTEMPT_PATH => take_attempt(&self.core, request.into_body()),
            CANCEL_PATH => cancel(&self.core, request.body()),
            STATUS_PATH => status(&self.core),
            RELEASE_PATH => return self.take_release(request.body()).boxed(),
            PEER_PATH => return self.take_call(request.body()).boxed(),
            _ => reply::text(StatusCode::NOT_FOUND, "no such path\n"),
        };
        std::future::ready(reply).boxed()
    }
}

impl WorkHandler {
    /// Passes another agent's ask on to the orders duty, and its answer back.
    fn take_release(&self, body: &[u8]) -> impl Future<Output = Reply> + use<> {
        let decoded = decode_message(body);
        let asks = self.asks.clone();
        async move {
            let ask = match decoded {
                Ok(ask) => ask,
                Err(error) => return bad_request(&error),
            };
            let (reply, answer) = oneshot::channel();
            pass_on(&asks, AsksNews::Release { ask, reply }, answer).await
        }
    }

    /// Passes an entry's call on to the membership duty, and its answer back.
    fn take_call(&self, body: &[u8]) -> impl Future<Output = Reply> + use<> {
        let decoded = decode_message(body);
        let calls = self.calls.clone();
        async move {
            let call = match decoded {
                Ok(call) => call,
                Err(error) => return bad_request(&error),
            };
            let (reply, answer) = oneshot::channel();
            pass_on(&calls, MembershipCall { call, reply }, answer).await
        }
    }
}

/// Passes a call to another duty. A full ring or a late answer is told as "unavailable", and
/// whoever called calls again.
async fn pass_on<T, A: Serialize>(
    ring: &RingSender<T>,
    message: T,
    answer: oneshot::Receiver<A>,
) -> Reply {
    if ring.try_send(message).is_ok()
        && let Ok(Ok(answer)) = tokio::time::timeout(PASSED_WAIT, answer).await
    {
        return reply::message(&answer);
    }
    reply::text(StatusCode::SERVICE_UNAVAILABLE, "no answer in time\n")
}

fn bad_request(error: &FrameError) -> Reply {
    reply::text(StatusCode::BAD_REQUEST, error.to_string())
}

fn take_attempt(core: &Arc<AgentCore>, body: Bytes) -> Reply {
    let (head, body) = match decode_request(body) {
        Ok(decoded) => decoded,
        Err(error) => return reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    if let RequestGoal::Service { pool } = &head.spec.goal
        && *pool != core.identity.pool
    {
        return reply::text(StatusCode::NOT_FOUND, "this endpoint is of another pool\n");
    }
    let attempt = head.spec.attempt;
    let (frames, receiver) = mpsc::channel(WAITING_FRAMES);
    match core.arrive(head.spec.clone(), head.ticket) {
        AttemptArrival::Taken(orders) => {
            let task = AttemptTask::new(Arc::clone(core), head, body, orders, frames);
            // A task of its own: it outlives the entry's connection, since a call that runs must
            // be told to the policy to its end.
            tokio::spawn(task.run());
        }
        AttemptArrival::Copy { verdict } => tell_copy(core, verdict, &frames),
        AttemptArrival::NotReady => return not_ready(),
    }
    let frames = stream::unfold(receiver, |mut receiver| async move {
        let frame = receiver.recv().await?;
        Some((frame, receiver))
    });
    attempt::build_response(attempt, frames)
}

/// The answer while there is no configuration. It says "not run" to an entry.
fn not_ready() -> Reply {
    let text = "this agent has no configuration yet\n";
    reply::text(StatusCode::SERVICE_UNAVAILABLE, text)
}

fn tell_copy(core: &AgentCore, verdict: RunVerdict, frames: &mpsc::Sender<AttemptFrame>) {
    let Some(report) = core.queue_report() else {
        return;
    };
    let frame = AttemptFrame::Failed {
        verdict,
        cause: "a copy of this attempt came before".to_owned(),
        report,
    };
    // The channel is new and has room.
    let _ = frames.try_send(frame);
}

fn cancel(core: &AgentCore, body: &[u8]) -> Reply {
    let call: CancelAttempt = match decode_message(body) {
        Ok(call) => call,
        Err(error) => return reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let verdict = match call.scope {
        CancelScope::SealOnly => core.seal(call.attempt, call.ticket),
        CancelScope::Abort => core.cancel(call.attempt, call.ticket),
    };
    reply::message(&CancelResponse { verdict })
}

fn status(core: &AgentCore) -> Reply {
    core.status()
        .map_or_else(not_ready, |status| reply::message(&status))
}
