//! The task of one attempt: waits in the queue, runs at the endpoint, and sends frames to the entry.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Method, StatusCode};
use oatpier_admission::event::AgentEvent;
use oatpier_ports::endpoint::{CallError, EndpointAnswer, EndpointCall};
use oatpier_types::ids::AttemptId;
use oatpier_types::request::RequestGoal;
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::attempt::{AttemptFrame, AttemptHead, HeaderPair, to_headers};
use oatpier_wire::sse::{EventKind, EventSplitter};
use opentelemetry::trace::SpanKind;
use tokio::sync::mpsc;

use crate::core::{AgentCore, AttemptOrder, OrderReceiver};
use oatpier_duty::observe::trace::{HopSpan, extract_parent};

/// How long the remainder of a finished stream is read, so that its connection can be reused.
const BODY_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt that the policy has accepted.
pub struct AttemptTask {
    core: Arc<AgentCore>,
    head: AttemptHead,
    body: Bytes,
    orders: OrderReceiver,
    frames: mpsc::Sender<AttemptFrame>,
    is_entry_gone: bool,
    is_cancelled: bool,
}

/// How an attempt ended at the endpoint.
type RunEnd = Result<(), CallError>;

impl AttemptTask {
    /// Creates the task of an attempt that sends its frames to `frames`.
    #[must_use]
    pub fn new(
        core: Arc<AgentCore>,
        head: AttemptHead,
        body: Bytes,
        orders: OrderReceiver,
        frames: mpsc::Sender<AttemptFrame>,
    ) -> Self {
        Self {
            core,
            head,
            body,
            orders,
            frames,
            is_entry_gone: false,
            is_cancelled: false,
        }
    }

    fn attempt(&self) -> AttemptId {
        self.head.spec.attempt
    }

    /// Runs the attempt until it ends.
    pub async fn run(mut self) {
        let parent = extract_parent(&self.trace_headers());
        let queue = self
            .core
            .tracer
            .start("agent.queue", SpanKind::Server, &parent);
        queue.set_attribute("endpoint", self.core.identity.endpoint.to_string());
        let order = self.wait_for_turn().await;
        drop(queue);
        match order {
            Some(AttemptOrder::Start { priority }) => {
                let span = self
                    .core
                    .tracer
                    .start("agent.run", SpanKind::Client, &parent);
                self.run_at_endpoint(priority, &span).await;
            }
            Some(AttemptOrder::Refuse { refusal }) => {
                if let Some(report) = self.core.queue_report() {
                    self.send_last(AttemptFrame::Refused { refusal, report })
                        .await;
                }
            }
            Some(AttemptOrder::Cancel) | None => {
                let cause = "the attempt was given up while it waited";
                self.send_failed(RunVerdict::NotRun, cause.to_owned()).await;
            }
        }
        self.core.forget(self.attempt());
    }

    fn trace_headers(&self) -> HeaderMap {
        let pair = self.head.traceparent.as_ref().map(|value| HeaderPair {
            name: oatpier_duty::observe::trace::TRACEPARENT.to_owned(),
            value: value.clone().into(),
        });
        to_headers(pair.as_slice())
    }

    /// Waits until the policy starts, refuses or drops the attempt. If the entry disconnects
    /// while the attempt is queued, the attempt is cancelled.
    async fn wait_for_turn(&mut self) -> Option<AttemptOrder> {
        tokio::select! {
            biased;
            order = self.orders.recv() => order,
            () = self.frames.closed() => {
                self.is_entry_gone = true;
                match self.core.cancel(self.attempt(), self.head.ticket) {
                    RunVerdict::NotRun => None,
                    // The attempt started before the cancel took effect.
                    RunVerdict::MayHaveRun | RunVerdict::Ran => self.orders.recv().await,
                }
            }
        }
    }

    async fn run_at_endpoint(&mut self, priority: u32, span: &HopSpan) {
        let attempt = self.attempt();
        let call = self.endpoint_call(priority, span);
        let work = Arc::clone(self.core.clients.for_goal(&self.head.spec.goal));
        let ended = match self.until_cancelled(work.run(call)).await {
            Some(Ok(answer)) => self.relay(answer).await,
            Some(Err(error)) => Err(error),
            None => Err(cancelled_error()),
        };
        match ended {
            Ok(()) => {
                self.core.step(AgentEvent::EndpointEnded { attempt });
                self.core.metrics.count_attempt(RunVerdict::Ran);
                if let Some(report) = self.core.queue_report() {
                    self.send_last(AttemptFrame::Ended { report }).await;
                }
            }
            Err(error) => {
                let verdict = error.verdict;
                self.core
                    .step(AgentEvent::EndpointFailed { attempt, verdict });
                self.core.metrics.count_attempt(verdict);
                span.set_attribute("failed", error.cause.clone());
                self.send_failed(verdict, error.cause).await;
            }
        }
    }

    fn endpoint_call(&self, priority: u32, span: &HopSpan) -> EndpointCall {
        let mut headers = to_headers(&self.head.headers);
        span.inject(&mut headers);
        EndpointCall {
            attempt: self.attempt(),
            method: Method::from_bytes(self.head.method.as_bytes()).unwrap_or(Method::POST),
            path: self.head.path.clone(),
            headers,
            body: self.body.clone(),
            priority,
            resume_after: self.head.spec.resume_after,
        }
    }

    /// Returns whether the endpoint can cancel a call. A plain service can't: its call runs to
    /// completion, so that its slot is not reassigned while the call is still running.
    fn is_engine(&self) -> bool {
        matches!(self.head.spec.goal, RequestGoal::Model { .. })
    }

    /// Waits for the endpoint. Returns `None` if the attempt is cancelled there first.
    async fn until_cancelled<T>(&mut self, waiting: impl Future<Output = T>) -> Option<T> {
        let mut waiting = std::pin::pin!(waiting);
        if self.is_cancelled && self.is_engine() {
            return None;
        }
        loop {
            // The endpoint is polled last: one that always has data ready must not starve a cancel.
            tokio::select! {
                biased;
                Some(AttemptOrder::Cancel) = self.orders.recv(), if !self.is_cancelled => {
                    self.is_cancelled = true;
                    if self.is_engine() {
                        self.core.clients.engine.cancel(self.attempt()).await;
                        return None;
                    }
                }
                () = self.frames.closed(), if !self.is_entry_gone => {
                    self.is_entry_gone = true;
                    // The policy responds with `AttemptOrder::Cancel`.
                    self.core.cancel(self.attempt(), self.head.ticket);
                }
                done = waiting.as_mut() => return Some(done),
            }
        }
    }

    async fn relay(&mut self, mut answer: EndpointAnswer) -> RunEnd {
        if self.is_engine() {
            check_refusal(&answer, self.attempt())?;
        }
        let is_events = answer
            .headers
            .get(CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        let headers = std::mem::take(&mut answer.headers);
        self.send_started(answer.status, &headers).await;
        if is_events && self.is_engine() {
            return self.relay_events(answer).await;
        }
        let mut is_first = true;
        loop {
            match self.until_cancelled(answer.body.next()).await {
                Some(Some(Ok(bytes))) => {
                    self.send_piece(bytes, 0, is_first).await;
                    is_first = false;
                }
                Some(Some(Err(error))) => return Err(error),
                Some(None) => return Ok(()),
                None => return Err(cancelled_error()),
            }
        }
    }

    /// Relays complete events. The stream is complete only with its last event: an HTTP body may
    /// end cleanly although the engine stopped half-way, and the caller would then take a
    /// truncated answer for a complete one.
    async fn relay_events(&mut self, mut answer: EndpointAnswer) -> RunEnd {
        let mut splitter = EventSplitter::new();
        let mut is_first = true;
        loop {
            match self.until_cancelled(answer.body.next()).await {
                Some(Some(Ok(bytes))) => splitter.push(&bytes),
                Some(Some(Err(error))) => return Err(error),
                Some(None) => {
                    return Err(incomplete_error("the stream ended without its last event"));
                }
                None => return Err(cancelled_error()),
            }
            let (bytes, tokens) = take_events(&mut splitter)?;
            if !bytes.is_empty() {
                self.send_piece(bytes, tokens, is_first).await;
                is_first = false;
            }
            if splitter.is_done() {
                tokio::spawn(tokio::time::timeout(BODY_DRAIN_TIMEOUT, async move {
                    while answer.body.next().await.is_some() {}
                }));
                return Ok(());
            }
        }
    }

    async fn send_started(&mut self, status: StatusCode, headers: &HeaderMap) {
        let Some(report) = self.core.queue_report() else {
            return;
        };
        let headers = headers
            .iter()
            .filter(|(name, _)| *name != http::header::CONTENT_LENGTH)
            .map(|(name, value)| HeaderPair {
                name: name.as_str().to_owned(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            })
            .collect();
        self.send_frame(AttemptFrame::Started {
            status: status.as_u16(),
            headers,
            report,
        })
        .await;
    }

    async fn send_piece(&mut self, bytes: Bytes, tokens: u32, is_first: bool) {
        let attempt = self.attempt();
        if is_first {
            self.core.step(AgentEvent::EndpointFirstToken { attempt });
        }
        self.core
            .step(AgentEvent::EndpointChunk { attempt, tokens });
        self.send_frame(AttemptFrame::Piece { bytes, tokens }).await;
    }

    async fn send_failed(&mut self, verdict: RunVerdict, cause: String) {
        if let Some(report) = self.core.queue_report() {
            self.send_last(AttemptFrame::Failed {
                verdict,
                cause,
                report,
            })
            .await;
        }
    }

    /// Sends the last frame. The error of a disconnected entry is ignored.
    async fn send_last(&self, frame: AttemptFrame) {
        let _ = self.frames.send(frame).await;
    }

    /// Sends a frame. While the entry reads slowly, nothing more is read from the endpoint, but
    /// a cancel is still handled.
    async fn send_frame(&mut self, frame: AttemptFrame) {
        let frames = self.frames.clone();
        // `until_cancelled` detects a disconnected entry and cancels the attempt.
        self.until_cancelled(frames.send(frame)).await;
    }
}

/// Takes all complete events from the splitter, as one piece with its number of tokens.
fn take_events(splitter: &mut EventSplitter) -> Result<(Bytes, u32), CallError> {
    let mut taken = BytesMut::new();
    let mut tokens = 0;
    while let Some(event) = splitter
        .next_event()
        .map_err(|error| incomplete_error(&error.to_string()))?
    {
        tokens += u32::from(event.kind == EventKind::Token);
        taken.extend_from_slice(&event.bytes);
    }
    Ok((taken.freeze(), tokens))
}

/// Returns an error if the engine refused the attempt, or failed with a status of refusals.
///
/// The status alone does not tell whether the attempt ran: an engine may fail with it after it began to work. If it were
/// taken for "not run", the entry would send an at-most-once request again.
fn check_refusal(answer: &EndpointAnswer, attempt: AttemptId) -> RunEnd {
    let verdict = if answer.states_not_run(attempt) {
        RunVerdict::NotRun
    } else if is_refusal_status(answer.status) {
        RunVerdict::MayHaveRun
    } else {
        return Ok(());
    };
    Err(CallError {
        verdict,
        cause: format!("the engine answered {}", answer.status),
    })
}

/// Returns whether engines use a status for refusals. Another engine may succeed.
fn is_refusal_status(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::NOT_FOUND
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn incomplete_error(cause: &str) -> CallError {
    CallError {
        verdict: RunVerdict::MayHaveRun,
        cause: cause.to_owned(),
    }
}

fn cancelled_error() -> CallError {
    incomplete_error("the attempt was cancelled at the endpoint")
}
