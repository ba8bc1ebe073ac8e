//! Calls between oatpier processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use oatpier_types::verdict::RunVerdict;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::attempt::{
    ATTEMPT_PATH, AttemptHead, AttemptStream, CANCEL_PATH, CancelAnswer, CancelAttempt,
    encode_request,
};
use crate::client::{ClientLimits, HttpClient, SendError, SendStage};
use crate::frame::FrameError;
use crate::reply::MESSAGE_TYPE;
use crate::traffic::TrafficCounter;

/// The longest answer of a peer that is read, in bytes: a whole configuration or plan fits.
pub const PEER_ANSWER_LIMIT: usize = 4 << 20;

/// Bytes of a peer's error text that are kept.
const ERROR_TEXT_BYTES: usize = 256;

/// A call to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum PeerError {
    /// The call failed on its way.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The peer answered with an error.
    #[error("the peer answered {status}: {cause}")]
    Status {
        /// The HTTP status.
        status: StatusCode,
        /// What it said.
        cause: String,
    },
    /// The question can't be encoded, or the answer can't be decoded.
    #[error("a message between peers can't be coded ({verdict}): {cause}")]
    Coding {
        /// Whether the call may have run.
        verdict: RunVerdict,
        /// What is wrong.
        cause: String,
    },
}

impl PeerError {
    /// Whether the call may have run.
    #[must_use]
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::Send(error) => error.verdict,
            Self::Status { status, .. } => verdict_of(*status),
            Self::Coding { verdict, .. } => *verdict,
        }
    }
}

/// What an error status of an oatpier process says of the call.
///
/// Our servers give these statuses before a handler has acted: over a limit, unknown path,
/// malformed message, too many connections. Any other status may come from a handler that had
/// begun.
#[must_use]
pub fn verdict_of(status: StatusCode) -> RunVerdict {
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        RunVerdict::NotRun
    } else {
        RunVerdict::MayHaveRun
    }
}

/// Calls other oatpier processes. Cloning shares its connections.
///
/// Control and attempts use connections of their own, so that the bytes that control costs are
/// counted apart, and a burst of attempts does not take the connections of control.
#[derive(Clone)]
pub struct PeerClient {
    control: HttpClient,
    attempts: HttpClient,
    crossed: Arc<AtomicU64>,
}

impl PeerClient {
    /// A client without connections yet.
    #[must_use]
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            control: HttpClient::new(limits.clone()),
            attempts: HttpClient::new(limits),
            crossed: Arc::default(),
        }
    }

    /// Counts the bytes of all calls but attempts.
    #[must_use]
    pub fn control_traffic(&self) -> &Arc<TrafficCounter> {
        self.control.traffic()
    }

    /// Counts the bytes of attempts.
    #[must_use]
    pub fn attempt_traffic(&self) -> &Arc<TrafficCounter> {
        self.attempts.traffic()
    }

    /// Frames of other attempts that were dropped so far.
    #[must_use]
    pub fn crossed_frames(&self) -> u64 {
        self.crossed.load(Ordering::Relaxed)
    }

    /// Sends a message by `POST` and waits for the answer, at most `timeout` in all.
    ///
    /// # Errors
    ///
    /// [`PeerError::verdict`] says whether the call may have run.
    pub async fn call<Q, A>(
        &self,
        address: SocketAddr,
        path: &str,
        question: &Q,
        timeout: Duration,
    ) -> Result<A, PeerError>
    where
        Q: Serialize + ?Sized,
        A: DeserializeOwned,
    {
        let body = rmp_serde::to_vec(question).map_err(|error| PeerError::Coding {
            verdict: RunVerdict::NotRun,
            cause: error.to_string(),
        })?;
        let request = post(path, Bytes::from(body))?;
        let answer = self
            .control
            .fetch(address, request, timeout, PEER_ANSWER_LIMIT)
            .await?;
        decode_answer(&answer)
    }

    /// Has an agent run an attempt. The answer's first frame may take as long as the attempt
    /// waits at the agent.
    ///
    /// # Errors
    ///
    /// Says whether the attempt may have run.
    pub async fn open_attempt(
        &self,
        address: SocketAddr,
        head: &AttemptHead,
        body: &Bytes,
    ) -> Result<AttemptStream, SendError> {
        let request = encode_request(head, body)
            .map_err(|error| error.to_string())
            .and_then(|bytes| post(ATTEMPT_PATH, bytes).map_err(|error| error.to_string()))
            .map_err(|cause| failed(address, RunVerdict::NotRun, SendStage::Queue, cause))?;
        let response = self.attempts.send(address, request).await?;
        let status = response.status();
        if status != StatusCode::OK {
            let cause = format!("the agent answered {status}");
            return Err(failed(
                address,
                verdict_of(status),
                SendStage::Answer,
                cause,
            ));
        }
        Ok(AttemptStream::new(
            head.spec.attempt,
            response.into_body(),
            Arc::clone(&self.crossed),
        ))
    }

    /// Asks an agent to cancel an attempt, whether or not the attempt has come there.
    ///
    /// # Errors
    ///
    /// [`PeerError::verdict`] speaks of the cancel, not of the attempt: after an error nothing
    /// new is known of the attempt.
    pub async fn cancel_attempt(
        &self,
        address: SocketAddr,
        cancel: &CancelAttempt,
        timeout: Duration,
    ) -> Result<CancelAnswer, PeerError> {
        self.call(address, CANCEL_PATH, cancel, timeout).await
    }
}

/// Decodes a message that a peer sent as a whole body.
///
/// # Errors
///
/// The bytes are not an `M`.
pub fn decode_message<M: DeserializeOwned>(body: &[u8]) -> Result<M, FrameError> {
    rmp_serde::from_slice(body).map_err(|error| FrameError::Garbled {
        cause: error.to_string(),
    })
}

fn post(path: &str, body: Bytes) -> Result<Request<Bytes>, PeerError> {
    let media_type = HeaderValue::from_static(MESSAGE_TYPE);
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(CONTENT_TYPE, media_type)
        .body(body)
        .map_err(|error| PeerError::Coding {
            verdict: RunVerdict::NotRun,
            cause: error.to_string(),
        })
}

fn decode_answer<A: DeserializeOwned>(answer: &Response<Bytes>) -> Result<A, PeerError> {
    let status = answer.status();
    if status != StatusCode::OK {
        let body = answer.body();
        let kept = &body[..body.len().min(ERROR_TEXT_BYTES)];
        let cause = String::from_utf8_lossy(kept).into_owned();
        return Err(PeerError::Status { status, cause });
    }
    decode_message(answer.body()).map_err(|error| PeerError::Coding {
        verdict: RunVerdict::MayHaveRun,
        cause: error.to_string(),
    })
}

fn failed(address: SocketAddr, verdict: RunVerdict, stage: SendStage, cause: String) -> SendError {
    SendError {
        address,
        verdict,
        stage,
        timed_out: false,
        cause,
    }
}
