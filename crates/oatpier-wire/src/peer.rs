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
    ATTEMPT_PATH, AttemptHead, AttemptStream, CANCEL_PATH, CancelAttempt, CancelResponse,
    encode_request,
};
use crate::client::{ClientLimits, HttpClient, SendError, SendStage};
use crate::frame::FrameError;
use crate::reply::MESSAGE_MEDIA_TYPE;
use crate::traffic::TrafficCounter;

/// The maximum size of a peer's response in bytes; large enough for a complete configuration or plan.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The maximum number of bytes of a peer's error text that are kept.
const MAX_ERROR_TEXT_BYTES: usize = 256;

/// An error of a call to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum PeerError {
    /// The call could not be sent, or no response was received.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The peer responded with an error status.
    #[error("the peer responded with status {status}: {cause}")]
    Status {
        /// The HTTP status.
        status: StatusCode,
        /// The text of the response.
        cause: String,
    },
    /// The request can't be encoded, or the response can't be decoded.
    #[error("a message between peers can't be encoded or decoded ({verdict}): {cause}")]
    Coding {
        /// Whether the call may have been executed.
        verdict: RunVerdict,
        /// The encoding or decoding error.
        cause: String,
    },
}

impl PeerError {
    /// Returns whether the call may have been executed.
    #[must_use]
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::Send(error) => error.verdict,
            Self::Status { status, .. } => status_verdict(*status),
            Self::Coding { verdict, .. } => *verdict,
        }
    }
}

/// Returns whether a call may have been executed, given the error status of an oatpier process.
///
/// Servers of oatpier respond with a client error or 503 before a handler acts: if a limit is exceeded, the path is
/// unknown, the message is malformed, or there are too many connections. Any other status may come from a handler
/// that has already started.
#[must_use]
pub fn status_verdict(status: StatusCode) -> RunVerdict {
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        RunVerdict::NotRun
    } else {
        RunVerdict::MayHaveRun
    }
}

/// A client for calls to other oatpier processes. Clones share their connections.
///
/// Control calls and attempts use separate connections, so that the bytes of control traffic are counted separately
/// and a burst of attempts does not use up the connections for control.
#[derive(Clone)]
pub struct PeerClient {
    control: HttpClient,
    attempts: HttpClient,
    misrouted: Arc<AtomicU64>,
}

impl PeerClient {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            control: HttpClient::new(limits.clone()),
            attempts: HttpClient::new(limits),
            misrouted: Arc::default(),
        }
    }

    /// Returns the byte counters of all calls except attempts.
    #[must_use]
    pub fn control_traffic(&self) -> &Arc<TrafficCounter> {
        self.control.traffic()
    }

    /// Returns the byte counters of attempts.
    #[must_use]
    pub fn attempt_traffic(&self) -> &Arc<TrafficCounter> {
        self.attempts.traffic()
    }

    /// Returns the number of frames dropped because they belonged to another attempt.
    #[must_use]
    pub fn misrouted_frames(&self) -> u64 {
        self.misrouted.load(Ordering::Relaxed)
    }

    /// Sends a message by `POST` and waits for the response; `timeout` limits the whole call.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails; [`PeerError::verdict`] tells whether it may have been executed.
    pub async fn call<Q, A>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, PeerError>
    where
        Q: Serialize + ?Sized,
        A: DeserializeOwned,
    {
        let body = rmp_serde::to_vec(message).map_err(|error| PeerError::Coding {
            verdict: RunVerdict::NotRun,
            cause: error.to_string(),
        })?;
        let request = post(path, Bytes::from(body))?;
        let response = self
            .control
            .fetch(address, request, timeout, MAX_RESPONSE_BYTES)
            .await?;
        decode_response(&response)
    }

    /// Sends an attempt to an agent. The first frame of the response may be delayed for as long as the attempt is
    /// queued at the agent.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt can't be sent or the agent rejects it; the error's verdict tells whether the
    /// attempt may have been executed.
    pub async fn open_attempt(
        &self,
        address: SocketAddr,
        head: &AttemptHead,
        body: &Bytes,
    ) -> Result<AttemptStream, SendError> {
        let request = encode_request(head, body)
            .map_err(|error| error.to_string())
            .and_then(|bytes| post(ATTEMPT_PATH, bytes).map_err(|error| error.to_string()))
            .map_err(|cause| send_error(address, RunVerdict::NotRun, SendStage::Queue, cause))?;
        let response = self.attempts.send(address, request).await?;
        let status = response.status();
        if status != StatusCode::OK {
            let cause = format!("the agent responded with status {status}");
            return Err(send_error(
                address,
                status_verdict(status),
                SendStage::Response,
                cause,
            ));
        }
        Ok(AttemptStream::new(
            head.spec.attempt,
            response.into_body(),
            Arc::clone(&self.misrouted),
        ))
    }

    /// Asks an agent to cancel an attempt, whether or not the attempt has arrived there.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails. [`PeerError::verdict`] refers to the cancellation, not to the attempt: an
    /// error reveals nothing new about the attempt.
    pub async fn cancel_attempt(
        &self,
        address: SocketAddr,
        cancel: &CancelAttempt,
        timeout: Duration,
    ) -> Result<CancelResponse, PeerError> {
        self.call(address, CANCEL_PATH, cancel, timeout).await
    }
}

/// Decodes a message that a peer sent as a complete body.
///
/// # Errors
///
/// Returns an error if the bytes are not an `M`.
pub fn decode_message<M: DeserializeOwned>(body: &[u8]) -> Result<M, FrameError> {
    rmp_serde::from_slice(body).map_err(|error| FrameError::Malformed {
        cause: error.to_string(),
    })
}

fn post(path: &str, body: Bytes) -> Result<Request<Bytes>, PeerError> {
    let media_type = HeaderValue::from_static(MESSAGE_MEDIA_TYPE);
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

fn decode_response<A: DeserializeOwned>(response: &Response<Bytes>) -> Result<A, PeerError> {
    let status = response.status();
    if status != StatusCode::OK {
        let body = response.body();
        let kept = &body[..body.len().min(MAX_ERROR_TEXT_BYTES)];
        let cause = String::from_utf8_lossy(kept).into_owned();
        return Err(PeerError::Status { status, cause });
    }
    decode_message(response.body()).map_err(|error| PeerError::Coding {
        verdict: RunVerdict::MayHaveRun,
        cause: error.to_string(),
    })
}

fn send_error(
    address: SocketAddr,
    verdict: RunVerdict,
    stage: SendStage,
    cause: String,
) -> SendError {
    SendError {
        address,
        verdict,
        stage,
        timed_out: false,
        is_malformed: false,
        cause,
    }
}
