//! Sends the answer of one request to its caller.
//!
//! A streamed answer is sent piece by piece. Any other answer is buffered until it is complete, so
//! that a failure in the middle still results in an error response. Pieces wait in a bounded
//! channel: a slow caller fills its own channel and pauses the reading of its own request only.

use bytes::Bytes;
use futures::stream;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, StatusCode};
use oatpier_policy::outcome::promises_not_run;
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::reply::{self, BoxError, Reply};
use tokio::sync::{mpsc, oneshot};

use crate::errors::{CallerError, RequestIdentity, VERDICT_HEADER, identify};

/// Capacity of the channel of pieces to a caller.
const PIECE_CAPACITY: usize = 16;

/// Status and headers of an endpoint's answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
}

impl AnswerHead {
    /// Returns whether the answer is a stream of server-sent events.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.headers
            .get(CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
    }
}

/// Whether the caller can receive more pieces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SinkState {
    /// The caller can receive more.
    Ready,
    /// The channel to the caller is full.
    Blocked,
}

/// A change of the caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SinkChange {
    /// The caller can receive more again.
    Ready,
    /// The caller disconnected.
    Gone,
}

enum SinkStage {
    /// Nothing was sent.
    Start(oneshot::Sender<Reply>),
    /// A non-streaming answer is buffered until its end.
    Buffered {
        reply: oneshot::Sender<Reply>,
        head: AnswerHead,
        body: Vec<Bytes>,
    },
    /// A stream is being sent.
    Streaming(mpsc::Sender<Bytes>),
    /// Everything was sent.
    Done,
}

/// Destination of the answer to one request.
pub struct CallerSink {
    identity: RequestIdentity,
    stage: SinkStage,
    pending_piece: Option<Bytes>,
}

impl CallerSink {
    /// Creates a sink and the receiver of its response.
    #[must_use]
    pub fn new(identity: RequestIdentity) -> (Self, oneshot::Receiver<Reply>) {
        let (sender, receiver) = oneshot::channel();
        let sink = Self {
            identity,
            stage: SinkStage::Start(sender),
            pending_piece: None,
        };
        (sink, receiver)
    }

    /// Sends a piece, preceded by the head if it is given.
    pub fn relay(&mut self, head: Option<AnswerHead>, piece: Bytes) -> SinkState {
        if let Some(head) = head {
            self.send_head(head);
        }
        match &mut self.stage {
            SinkStage::Buffered { body, .. } => body.push(piece),
            SinkStage::Streaming(sender) => match sender.try_send(piece) {
                Err(mpsc::error::TrySendError::Full(piece)) => {
                    self.pending_piece = Some(piece);
                    return SinkState::Blocked;
                }
                // `changed` reports a disconnected caller.
                Ok(()) | Err(mpsc::error::TrySendError::Closed(_)) => {}
            },
            SinkStage::Start(_) | SinkStage::Done => {}
        }
        SinkState::Ready
    }

    /// Returns whether a piece waits for the caller.
    #[must_use]
    pub fn is_blocked(&self) -> bool {
        self.pending_piece.is_some()
    }

    /// Waits until the caller disconnects or, if a piece is waiting, until the caller can receive
    /// more.
    pub async fn changed(&mut self) -> SinkChange {
        match &mut self.stage {
            SinkStage::Start(reply) | SinkStage::Buffered { reply, .. } => reply.closed().await,
            SinkStage::Streaming(sender) if self.pending_piece.is_some() => {
                if let Ok(permit) = sender.reserve().await {
                    permit.send(self.pending_piece.take().unwrap_or_default());
                    return SinkChange::Ready;
                }
            }
            SinkStage::Streaming(sender) => sender.closed().await,
            SinkStage::Done => std::future::pending().await,
        }
        SinkChange::Gone
    }

    /// Completes the answer; `head` is set if no piece was relayed.
    pub fn finish(&mut self, head: Option<AnswerHead>) {
        if let Some(head) = head {
            self.send_head(head);
        }
        match std::mem::replace(&mut self.stage, SinkStage::Done) {
            SinkStage::Buffered { reply, head, body } => {
                let body = body.concat();
                let answer = build_reply(&head, reply::text(StatusCode::OK, body), self.identity);
                let _ = reply.send(answer);
            }
            // Dropping the sender ends the stream after the pieces in the channel.
            SinkStage::Streaming(_) | SinkStage::Start(_) | SinkStage::Done => {}
        }
    }

    /// Ends the answer with an error: as an error response, or as the last event of a stream that
    /// has begun.
    pub async fn fail(&mut self, error: &CallerError) {
        match std::mem::replace(&mut self.stage, SinkStage::Done) {
            SinkStage::Start(reply) | SinkStage::Buffered { reply, .. } => {
                let _ = reply.send(error.reply(self.identity));
            }
            SinkStage::Streaming(sender) => {
                if let Some(piece) = self.pending_piece.take() {
                    let _ = sender.send(piece).await;
                }
                let _ = sender.send(error.event(self.identity)).await;
            }
            SinkStage::Done => {}
        }
    }

    fn send_head(&mut self, head: AnswerHead) {
        let SinkStage::Start(reply) = std::mem::replace(&mut self.stage, SinkStage::Done) else {
            return;
        };
        if !head.is_stream() {
            let body = Vec::new();
            self.stage = SinkStage::Buffered { reply, head, body };
            return;
        }
        let (sender, receiver) = mpsc::channel(PIECE_CAPACITY);
        let pieces = stream::unfold(receiver, |mut receiver| async move {
            let piece = receiver.recv().await?;
            Some((Ok::<_, BoxError>(piece), receiver))
        });
        let streamed = reply::streamed(StatusCode::OK, "text/event-stream", pieces);
        let _ = reply.send(build_reply(&head, streamed, self.identity));
        self.stage = SinkStage::Streaming(sender);
    }
}

fn build_reply(head: &AnswerHead, mut reply: Reply, identity: RequestIdentity) -> Reply {
    *reply.status_mut() = head.status;
    for (name, value) in &head.headers {
        reply.headers_mut().insert(name.clone(), value.clone());
    }
    set_verdict(&mut reply);
    identify(reply, identity)
}

/// Sets the verdict of a relayed answer. An endpoint's error says nothing about whether the request ran, whatever its
/// status: a status that promises that it did not run is replaced by one that promises nothing.
fn set_verdict(reply: &mut Reply) {
    let status = reply.status();
    let headers = reply.headers_mut();
    headers.remove(VERDICT_HEADER);
    if status.is_client_error() || status.is_server_error() {
        let verdict = HeaderValue::from_static(RunVerdict::MayHaveRun.as_str());
        headers.insert(VERDICT_HEADER, verdict);
    }
    if promises_not_run(status.as_u16()) {
        headers.remove(RETRY_AFTER);
        *reply.status_mut() = StatusCode::BAD_GATEWAY;
    }
}
