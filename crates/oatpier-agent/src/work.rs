//! The work duty: accepts attempts, and owns the decisions about them.

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
use crate::channels::{MembershipCall, OrdersMessage, StatusUpdate, WorkUpdate};
use crate::core::{AgentCore, AttemptArrival};
use crate::messages::RELEASE_PATH;
use oatpier_duty::duty::{RingReceiver, RingSender, StopPhase, StopSignal};
use oatpier_duty::messages::{PEER_PATH, STATUS_PATH};
use oatpier_duty::observe::refusals::log_refused_bodies;

/// Maximum number of frames of an attempt that are buffered for its entry.
const MAX_BUFFERED_FRAMES: usize = 16;
/// Interval at which the full status of the endpoint is sent to the membership duty.
const STATUS_PERIOD: Duration = Duration::from_millis(500);
/// Interval at which the counts of a drain are sent to the orders duty.
const DRAIN_PERIOD: Duration = Duration::from_millis(100);
/// Timeout of a call that is forwarded to another duty. As long as a release request is valid.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the endpoint's health probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Inputs of the work duty.
pub struct WorkInputs {
    /// Shared state of the work duty.
    pub core: Arc<AgentCore>,
    /// Listener for connections of entries and other agents.
    pub listener: std::net::TcpListener,
    /// Limits on connections and requests.
    pub limits: ServerLimits,
    /// Updates from the other duties.
    pub updates: RingReceiver<WorkUpdate>,
    /// Sends release requests and drain counts to the orders duty.
    pub messages: RingSender<OrdersMessage>,
    /// Sends the endpoint's status to the membership duty.
    pub status: RingSender<StatusUpdate>,
    /// Sends membership calls to the membership duty.
    pub calls: RingSender<MembershipCall>,
    /// Signals the phases of a stop.
    pub stop: StopSignal,
}

/// Serves entries until the process has drained and the last attempt has ended.
///
/// # Panics
///
/// Panics if called outside a Tokio runtime, or if the runtime can't register the socket.
pub async fn work(inputs: WorkInputs) {
    let WorkInputs {
        core,
        listener,
        limits,
        updates,
        messages,
        status,
        calls,
        stop,
    } = inputs;
    let listener = tokio::net::TcpListener::from_std(listener)
        .expect("listener must be registered with the Tokio runtime");
    let handler = Arc::new(WorkHandler {
        core: Arc::clone(&core),
        messages: messages.clone(),
        calls,
    });
    let reporter = WorkReporter {
        core,
        messages,
        status,
    };
    // The listener stays open until the last attempt has ended, so that a leaving agent can
    // refuse attempts explicitly. A closed port would give entries no answer.
    let ended = stop.clone();
    let closing = async move { ended.reached(StopPhase::Ended).await };
    let counters = Arc::default();
    let serving = server::serve(listener, handler, limits, Arc::clone(&counters), closing);
    tokio::select! {
        () = serving => {}
        () = log_refused_bodies(&counters) => {}
        () = reporter.run(&updates, &stop) => {}
    }
}

/// The part of the work duty that serves no connections: applies updates, and reports the endpoint's
/// status to the other duties. It never waits for them.
pub struct WorkReporter {
    /// Shared state of the work duty.
    pub core: Arc<AgentCore>,
    /// Sends drain counts to the orders duty.
    pub messages: RingSender<OrdersMessage>,
    /// Sends the endpoint's status to the membership duty.
    pub status: RingSender<StatusUpdate>,
}

impl WorkReporter {
    /// Runs all periodic tasks. Never returns.
    pub async fn run(&self, updates: &RingReceiver<WorkUpdate>, stop: &StopSignal) {
        tokio::select! {
            () = self.apply_updates(updates) => {}
            () = self.report_status() => {}
            () = self.report_drains() => {}
            () = self.core.run_timers() => {}
            () = leave_on_stop(&self.core, stop) => {}
            () = probe(&self.core) => {}
        }
    }

    async fn apply_updates(&self, updates: &RingReceiver<WorkUpdate>) {
        while let Some(update) = updates.receive().await {
            self.core.apply_update(update);
            self.send_drains();
            self.send_status();
        }
        std::future::pending::<()>().await;
    }

    async fn report_status(&self) {
        loop {
            self.send_status();
            tokio::time::sleep(STATUS_PERIOD).await;
        }
    }

    async fn report_drains(&self) {
        loop {
            self.send_drains();
            tokio::time::sleep(DRAIN_PERIOD).await;
        }
    }

    fn send_status(&self) {
        if let Some(status) = self.core.status() {
            // Dropped if the ring is full: the next status replaces this one.
            let _ = self.status.try_send(StatusUpdate::Status(Box::new(status)));
        }
    }

    fn send_drains(&self) {
        if let Some(drains) = self.core.drains() {
            // Dropped if the ring is full: the counts are sent again until the drain ends.
            let _ = self.messages.try_send(drains);
        }
    }
}

async fn leave_on_stop(core: &AgentCore, stop: &StopSignal) {
    stop.reached(StopPhase::Draining).await;
    core.apply_update(WorkUpdate::Leave);
    std::future::pending::<()>().await;
}

/// Probes the endpoint, and tells the policy when it becomes reachable or unreachable.
async fn probe(core: &AgentCore) {
    let mut was_up = true;
    loop {
        let up = core.clients.engine.probe().await;
        if up != was_up {
            core.step(AgentEvent::EndpointUp { up });
            spdlog::warn!("endpoint reachability changed: up={up}");
            was_up = up;
        }
        tokio::time::sleep(PROBE_PERIOD).await;
    }
}

struct WorkHandler {
    core: Arc<AgentCore>,
    messages: RingSender<OrdersMessage>,
    calls: RingSender<MembershipCall>,
}

impl RequestHandler for WorkHandler {
    fn handle(&self, request: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        let reply = match request.uri().path() {
            ATTEMPT_PATH => accept_attempt(&self.core, request.into_body()),
            CANCEL_PATH => cancel(&self.core, request.body()),
            STATUS_PATH => status(&self.core),
            RELEASE_PATH => return self.forward_release(request.body()).boxed(),
            PEER_PATH => return self.forward_call(request.body()).boxed(),
            _ => reply::text(StatusCode::NOT_FOUND, "no such path\n"),
        };
        std::future::ready(reply).boxed()
    }
}

impl WorkHandler {
    /// Forwards a release request of another agent to the orders duty, and returns the answer.
    fn forward_release(&self, body: &[u8]) -> impl Future<Output = Reply> + use<> {
        let decoded = decode_message(body);
        let messages = self.messages.clone();
        async move {
            let request = match decoded {
                Ok(request) => request,
                Err(error) => return bad_request(&error),
            };
            let (reply, answer) = oneshot::channel();
            forward(&messages, OrdersMessage::Release { request, reply }, answer).await
        }
    }

    /// Forwards an entry's call to the membership duty, and returns the answer.
    fn forward_call(&self, body: &[u8]) -> impl Future<Output = Reply> + use<> {
        let decoded = decode_message(body);
        let calls = self.calls.clone();
        async move {
            let call = match decoded {
                Ok(call) => call,
                Err(error) => return bad_request(&error),
            };
            let (reply, answer) = oneshot::channel();
            forward(&calls, MembershipCall { call, reply }, answer).await
        }
    }
}

/// Forwards a call to another duty. A full ring or a late answer is reported as "unavailable", and
/// the caller retries.
async fn forward<T, A: Serialize>(
    ring: &RingSender<T>,
    message: T,
    answer: oneshot::Receiver<A>,
) -> Reply {
    if ring.try_send(message).is_ok()
        && let Ok(Ok(answer)) = tokio::time::timeout(FORWARD_TIMEOUT, answer).await
    {
        return reply::message(&answer);
    }
    reply::text(StatusCode::SERVICE_UNAVAILABLE, "no answer in time\n")
}

fn bad_request(error: &FrameError) -> Reply {
    reply::text(StatusCode::BAD_REQUEST, error.to_string())
}

fn accept_attempt(core: &Arc<AgentCore>, body: Bytes) -> Reply {
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
    let (frames, receiver) = mpsc::channel(MAX_BUFFERED_FRAMES);
    match core.arrive(head.spec.clone(), head.ticket) {
        AttemptArrival::Accepted(orders) => {
            let task = AttemptTask::new(Arc::clone(core), head, body, orders, frames);
            // A separate task outlives the entry's connection: the policy must be notified when
            // a running call ends.
            tokio::spawn(task.run());
        }
        AttemptArrival::Duplicate { verdict } => send_duplicate(core, verdict, &frames),
        AttemptArrival::NotReady => return not_ready(),
    }
    let frames = stream::unfold(receiver, |mut receiver| async move {
        let frame = receiver.recv().await?;
        Some((frame, receiver))
    });
    attempt::build_response(attempt, frames)
}

/// Returns the answer while there is no configuration. Entries take it as "not run".
fn not_ready() -> Reply {
    let text = "this agent has no configuration yet\n";
    reply::text(StatusCode::SERVICE_UNAVAILABLE, text)
}

fn send_duplicate(core: &AgentCore, verdict: RunVerdict, frames: &mpsc::Sender<AttemptFrame>) {
    let Some(report) = core.queue_report() else {
        return;
    };
    let frame = AttemptFrame::Failed {
        verdict,
        cause: "a copy of this attempt came before".to_owned(),
        report,
    };
    // The channel is new, so it has capacity.
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
