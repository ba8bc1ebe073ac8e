//! The caller's side of one request: where its answer goes.
//!
//! A streamed answer goes out piece by piece; any other is held until it is whole, so that a
//! failure on the way is still answered by a proper error. Pieces wait in a bounded channel. A
//! caller that reads slowly fills its own channel and stops its own request's reading, no other.

use bytes::Bytes;
use futures::stream;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, StatusCode};
use oatpier_wire::reply::{self, BoxError, Reply};
use tokio::sync::{mpsc, oneshot};

use crate::errors::{CallerError, RequestIdentity, identify};

/// Pieces of an answer that wait for a slow caller.
const WAITING_PIECES: usize = 16;

/// The head of an endpoint's answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
}

impl AnswerHead {
    /// Whether the answer is a stream of server-sent events.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.headers
            .get(CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
    }
}

/// Whether a relayed piece was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SinkState {
    /// The caller takes more.
    Ready,
    /// The caller takes no more at the moment.
    Blocked,
}

/// What changed at the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SinkChange {
    /// It takes more again.
    Ready,
    /// It went away.
    Gone,
}

enum SinkStage {
    /// Nothing was sent.
    Start(oneshot::Sender<Reply>),
    /// A whole answer is held until its end.
    Held {
        reply: oneshot::Sender<Reply>,
        head: AnswerHead,
        body: Vec<Bytes>,
    },
    /// A stream is being sent.
    Streaming(mpsc::Sender<Bytes>),
    /// All was sent.
    Done,
}

/// Where the answer to one request goes.
pub struct CallerSink {
    identity: RequestIdentity,
    stage: SinkStage,
    waiting: Option<Bytes>,
}

impl CallerSink {
    /// A sink whose reply is awaited at the receiver.
    #[must_use]
    pub fn new(identity: RequestIdentity) -> (Self, oneshot::Receiver<Reply>) {
        let (sender, receiver) = oneshot::channel();
        let sink = Self {
            identity,
            stage: SinkStage::Start(sender),
            waiting: None,
        };
        (sink, receiver)
    }

    /// Sends a piece, and the head before the first one.
    pub fn relay(&mut self, head: Option<AnswerHead>, piece: Bytes) -> SinkState {
        if let Some(head) = head {
            self.begin(head);
        }
        match &mut self.stage {
            SinkStage::Held { body, .. } => body.push(piece),
            SinkStage::Streaming(sender) => match sender.try_send(piece) {
                Err(mpsc::error::TrySendError::Full(piece)) => {
                    self.waiting = Some(piece);
                    return SinkState::Blocked;
                }
                // A caller that is gone is seen by `gone`.
                Ok(()) | Err(mpsc::error::TrySendError::Closed(_)) => {}
            },
            SinkStage::Start(_) | SinkStage::Done => {}
        }
        SinkState::Ready
    }

    /// Whether a piece waits for the caller.
    #[must_use]
    pub fn is_blocked(&self) -> bool {
        self.waiting.is_some()
    }

    /// Waits until the caller takes more again, if a piece waits, or has gone away.
    pub async fn changed(&mut self) -> SinkChange {
        match &mut self.stage {
            SinkStage::Start(reply) | SinkStage::Held { reply, .. } => reply.closed().await,
            SinkStage::Streaming(sender) if self.waiting.is_some() => {
                if let Ok(permit) = sender.reserve().await {
                    permit.send(self.waiting.take().unwrap_or_default());
                    return SinkChange::Ready;
                }
            }
            SinkStage::Streaming(sender) => sender.closed().await,
            SinkStage::Done => std::future::pending().await,
        }
        SinkChange::Gone
    }

    /// Ends a whole answer; `head` is given if no piece came.
    pub fn finish(&mut self, head: Option<AnswerHead>) {
        if let Some(head) = head {
            self.begin(head);
        }
        match std::mem::replace(&mut self.stage, SinkStage::Done) {
            SinkStage::Held { reply, head, body } => {
                let body = body.concat();
                let answer = answer_of(&head, reply::text(StatusCode::OK, body), self.identity);
                let _ = reply.send(answer);
            }
            // Dropping the sender ends the stream, after what waits in it.
            SinkStage::Streaming(_) | SinkStage::Start(_) | SinkStage::Done => {}
        }
    }

    /// Ends the answer by an error: as its status, or as the last event of a begun stream.
    pub async fn fail(&mut self, error: &CallerError) {
        match std::mem::replace(&mut self.stage, SinkStage::Done) {
            SinkStage::Start(reply) | SinkStage::Held { reply, .. } => {
                let _ = reply.send(error.reply(self.identity));
            }
            SinkStage::Streaming(sender) => {
                if let Some(piece) = self.waiting.take() {
                    let _ = sender.send(piece).await;
                }
                let _ = sender.send(error.event(self.identity)).await;
            }
            SinkStage::Done => {}
        }
    }

    fn begin(&mut self, head: AnswerHead) {
        let SinkStage::Start(reply) = std::mem::replace(&mut self.stage, SinkStage::Done) else {
            return;
        };
        if !head.is_stream() {
            let body = Vec::new();
            self.stage = SinkStage::Held { reply, head, body };
            return;
        }
        let (sender, receiver) = mpsc::channel(WAITING_PIECES);
        let pieces = stream::unfold(receiver, |mut receiver| async move {
            let piece = receiver.recv().await?;
            Some((Ok::<_, BoxError>(piece), receiver))
        });
        let streamed = reply::streamed(StatusCode::OK, "text/event-stream", pieces);
        let _ = reply.send(answer_of(&head, streamed, self.identity));
        self.stage = SinkStage::Streaming(sender);
    }
}

fn answer_of(head: &AnswerHead, mut reply: Reply, identity: RequestIdentity) -> Reply {
    *reply.status_mut() = head.status;
    for (name, value) in &head.headers {
        reply.headers_mut().insert(name.clone(), value.clone());
    }
    identify(reply, identity)
}
