//! Runs one attempt on an agent in its own task and reports its events.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use oatpier_policy::action::CancelMode;
use oatpier_policy::event::EntryEvent;
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::names::EndpointName;
use oatpier_types::status::QueueReport;
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::attempt::{
    AttemptFrame, AttemptHead, AttemptStream, CancelAttempt, CancelScope, to_headers,
};
use oatpier_wire::client::{SendError, SendStage};
use oatpier_wire::peer::PeerClient;
use tokio::sync::mpsc;

use crate::core::AgentContact;
use crate::sink::AnswerHead;

/// Timeout of an agent's response to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a buffered non-streaming answer, in bytes.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// An event of an attempt, with the data that the policy does not need.
#[derive(Debug)]
pub struct AttemptSignal {
    /// Endpoint that runs the attempt.
    pub endpoint: EndpointName,
    /// The event.
    pub event: EntryEvent,
    /// Head of the answer, set with the first frame.
    pub head: Option<AnswerHead>,
    /// Bytes of the answer, set with a piece.
    pub bytes: Bytes,
}

/// Channel for the signals of a request's attempts. It is bounded for backpressure: if the caller
/// is slow, the attempt waits here, and so do its agent and engine.
pub type SignalSender = mpsc::Sender<AttemptSignal>;

/// An attempt to run.
pub struct AttemptRun {
    /// Endpoint to run the attempt on.
    pub endpoint: EndpointName,
    /// Address the agent listens on.
    pub address: SocketAddr,
    /// Description of the attempt.
    pub head: AttemptHead,
    /// Request body of the caller.
    pub body: Bytes,
    /// Channel for the signals of the attempt.
    pub signals: SignalSender,
}

impl AttemptRun {
    /// Runs the attempt until it ends.
    pub async fn run(self, peers: PeerClient) {
        let attempt = self.head.spec.attempt;
        let opened = peers
            .open_attempt(self.address, &self.head, &self.body)
            .await;
        let event = match opened {
            Ok(stream) => self.relay(stream).await,
            Err(error) => error_event(attempt, &error),
        };
        self.signal(event).await;
    }

    /// Relays the frames and returns the event of the last one.
    async fn relay(&self, mut stream: AttemptStream) -> EntryEvent {
        let attempt = self.head.spec.attempt;
        let mut buffer = None;
        loop {
            let Ok(frame) = stream.next().await else {
                return EntryEvent::ConnectionLost { attempt };
            };
            match frame {
                AttemptFrame::Started {
                    status,
                    headers,
                    report,
                } => {
                    let answer_head = AnswerHead {
                        status: StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY),
                        headers: to_headers(&headers),
                    };
                    buffer = (!answer_head.is_stream()).then(BytesMut::new);
                    self.signal_head(answer_head, report).await;
                }
                AttemptFrame::Piece { bytes, tokens } => match &mut buffer {
                    None => self.signal_piece(bytes, tokens).await,
                    Some(buffer) if buffer.len() + bytes.len() > MAX_BUFFERED_BYTES => {
                        return failed(attempt, RunVerdict::MayHaveRun);
                    }
                    Some(buffer) => buffer.extend_from_slice(&bytes),
                },
                last => return self.finish(last, buffer).await,
            }
        }
    }

    /// Sends the buffered answer, then returns the event of the last frame.
    async fn finish(&self, last: AttemptFrame, buffer: Option<BytesMut>) -> EntryEvent {
        let attempt = self.head.spec.attempt;
        match last {
            AttemptFrame::Ended { report } => {
                if let Some(buffer) = buffer.filter(|buffer| !buffer.is_empty()) {
                    self.signal_piece(buffer.freeze(), 0).await;
                }
                let report = Some(report);
                EntryEvent::Ended { attempt, report }
            }
            AttemptFrame::Refused { refusal, report } => EntryEvent::Refused {
                attempt,
                refusal,
                report: Some(report),
            },
            AttemptFrame::Failed { verdict, .. } => failed(attempt, verdict),
            AttemptFrame::Started { .. } | AttemptFrame::Piece { .. } => {
                EntryEvent::ConnectionLost { attempt }
            }
        }
    }

    async fn signal_head(&self, head: AnswerHead, report: QueueReport) {
        let signal = AttemptSignal {
            endpoint: self.endpoint.clone(),
            event: EntryEvent::FirstFrame {
                attempt: self.head.spec.attempt,
                report: Some(report),
            },
            head: Some(head),
            bytes: Bytes::new(),
        };
        // The request may have ended; its signals are no longer needed.
        let _ = self.signals.send(signal).await;
    }

    async fn signal_piece(&self, bytes: Bytes, tokens: u32) {
        let attempt = self.head.spec.attempt;
        let signal = AttemptSignal {
            endpoint: self.endpoint.clone(),
            event: EntryEvent::Piece { attempt, tokens },
            head: None,
            bytes,
        };
        let _ = self.signals.send(signal).await;
    }

    async fn signal(&self, event: EntryEvent) {
        let signal = AttemptSignal {
            endpoint: self.endpoint.clone(),
            event,
            head: None,
            bytes: Bytes::new(),
        };
        let _ = self.signals.send(signal).await;
    }
}

fn failed(attempt: AttemptId, verdict: RunVerdict) -> EntryEvent {
    EntryEvent::Failed { attempt, verdict }
}

fn error_event(attempt: AttemptId, error: &SendError) -> EntryEvent {
    match (error.stage, error.verdict) {
        (SendStage::Connect | SendStage::Queue, _) => EntryEvent::ConnectFailed { attempt },
        (SendStage::Response, RunVerdict::NotRun) => failed(attempt, RunVerdict::NotRun),
        (SendStage::Response, _) => EntryEvent::ConnectionLost { attempt },
    }
}

/// Cancels an attempt and returns the agent's verdict. If the response is lost, the attempt may
/// have run.
pub async fn cancel(
    peers: &PeerClient,
    contact: Option<AgentContact>,
    request: RequestId,
    attempt: AttemptId,
    mode: CancelMode,
) -> RunVerdict {
    let Some(contact) = contact else {
        return RunVerdict::MayHaveRun;
    };
    let cancel = CancelAttempt {
        attempt,
        request,
        ticket: contact.ticket,
        scope: match mode {
            CancelMode::SealOnly => CancelScope::SealOnly,
            CancelMode::Abort => CancelScope::Abort,
        },
    };
    let answer = peers.cancel_attempt(contact.address, &cancel, CANCEL_TIMEOUT);
    let answer = answer.await;
    answer.map_or(RunVerdict::MayHaveRun, |answer| answer.verdict)
}
