//! One attempt at an agent, as a task that reports what happens to it.

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

/// How long an agent's answer to a cancel is waited for.
const CANCEL_WAIT: Duration = Duration::from_secs(2);
/// The largest answer that is held until it is whole, in bytes.
const MAX_HELD_BYTES: usize = 16 << 20;

/// What happened to an attempt, with what the decision does not need to see.
#[derive(Debug)]
pub struct AttemptSignal {
    /// At whose agent.
    pub endpoint: EndpointName,
    /// What happened.
    pub event: EntryEvent,
    /// The head, with a first frame.
    pub head: Option<AnswerHead>,
    /// The bytes, with a piece.
    pub bytes: Bytes,
}

/// Where the signals of a request's attempts go. Bounded: an attempt whose caller is slow waits
/// here, and its agent and engine behind it.
pub type SignalSender = mpsc::Sender<AttemptSignal>;

/// One attempt to be run.
pub struct AttemptRun {
    /// At whose agent.
    pub endpoint: EndpointName,
    /// Where the agent listens.
    pub address: SocketAddr,
    /// What is to be run.
    pub head: AttemptHead,
    /// The caller's body.
    pub body: Bytes,
    /// Where its signals go.
    pub signals: SignalSender,
}

impl AttemptRun {
    /// Runs the attempt to its end.
    pub async fn run(self, peers: PeerClient) {
        let attempt = self.head.spec.attempt;
        let opened = peers
            .open_attempt(self.address, &self.head, &self.body)
            .await;
        let event = match opened {
            Ok(stream) => self.relay(stream).await,
            Err(error) => event_of(attempt, &error),
        };
        self.signal(event).await;
    }

    /// Passes the frames on, and returns the last one's event.
    async fn relay(&self, mut stream: AttemptStream) -> EntryEvent {
        let attempt = self.head.spec.attempt;
        let mut held = None;
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
                    held = (!answer_head.is_stream()).then(BytesMut::new);
                    self.signal_head(answer_head, report).await;
                }
                AttemptFrame::Piece { bytes, tokens } => match &mut held {
                    None => self.signal_piece(bytes, tokens).await,
                    Some(held) if held.len() + bytes.len() > MAX_HELD_BYTES => {
                        return failed(attempt, RunVerdict::MayHaveRun);
                    }
                    Some(held) => held.extend_from_slice(&bytes),
                },
                last => return self.end(last, held).await,
            }
        }
    }

    /// The event of the last frame, after what was held until then.
    async fn end(&self, last: AttemptFrame, held: Option<BytesMut>) -> EntryEvent {
        let attempt = self.head.spec.attempt;
        match last {
            AttemptFrame::Ended { report } => {
                if let Some(held) = held.filter(|held| !held.is_empty()) {
                    self.signal_piece(held.freeze(), 0).await;
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
        // A request that is over needs no more signals.
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

fn event_of(attempt: AttemptId, error: &SendError) -> EntryEvent {
    match (error.stage, error.verdict) {
        (SendStage::Connect | SendStage::Queue, _) => EntryEvent::ConnectFailed { attempt },
        (SendStage::Response, RunVerdict::NotRun) => failed(attempt, RunVerdict::NotRun),
        (SendStage::Response, _) => EntryEvent::ConnectionLost { attempt },
    }
}

/// Cancels an attempt and returns what the agent says of it. A cancel whose answer is lost
/// leaves the attempt unknown.
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
    let answer = peers.cancel_attempt(contact.address, &cancel, CANCEL_WAIT);
    let answer = answer.await;
    answer.map_or(RunVerdict::MayHaveRun, |answer| answer.verdict)
}
