//! Reads a request's body within the limits.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::EXPECT;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use tokio::time::timeout;

use super::ServerLimits;
use super::body_budget::{BodyBudget, BodyLease, IncomingBody, MemoryShort, STALL_GRACE};
use crate::reply::{self, Reply};

/// The maximum time for reading and discarding the rest of a rejected body, so that the caller can read the response
/// before the connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of bytes that are discarded.
const MAX_DISCARD_BYTES: usize = 16 << 20;

/// The smallest capacity of a buffer for a body, in bytes.
const MIN_CAPACITY: usize = 1 << 10;

/// An error while reading a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    TooLarge {
        limit: usize,
    },
    TooSlow {
        wait: Duration,
    },
    /// There is no memory for the body.
    NoMemory,
    /// The body stalled while there was no memory for others.
    Stalled,
    Broken,
}

impl From<MemoryShort> for BodyError {
    fn from(_: MemoryShort) -> Self {
        Self::NoMemory
    }
}

impl BodyError {
    /// Returns whether the request was refused for lack of memory.
    pub(crate) fn is_memory_short(self) -> bool {
        matches!(self, Self::NoMemory | Self::Stalled)
    }

    pub(crate) fn reply(self) -> Reply {
        match self {
            Self::TooLarge { limit } => reply::text(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("the body is over the limit of {limit} bytes; send less\n"),
            ),
            Self::TooSlow { wait } => reply::text(
                StatusCode::REQUEST_TIMEOUT,
                format!("the body did not come within {wait:?}; send it faster\n"),
            ),
            Self::NoMemory | Self::Stalled => {
                let text = "there is no memory for the body; come back later\n";
                let reply = reply::text(StatusCode::SERVICE_UNAVAILABLE, text);
                reply::with_retry_after(reply, STALL_GRACE)
            }
            Self::Broken => reply::text(
                StatusCode::BAD_REQUEST,
                "the body could not be read; send it again\n",
            ),
        }
    }
}

/// A request with its complete body.
pub(crate) struct ReceivedRequest {
    pub(crate) request: Request<Bytes>,
    /// The memory that the body takes; none for a request without a body.
    pub(crate) lease: Option<BodyLease>,
}

/// Reads the whole body of a request.
pub(crate) async fn read_body(
    request: Request<Incoming>,
    limits: &ServerLimits,
    budget: &Arc<BodyBudget>,
) -> Result<ReceivedRequest, BodyError> {
    let limit = limits.body_bytes;
    let (parts, mut body) = request.into_parts();
    if body.is_end_stream() {
        let request = Request::from_parts(parts, Bytes::new());
        return Ok(ReceivedRequest {
            request,
            lease: None,
        });
    }
    if body.size_hint().lower() > limit as u64 {
        if !parts.headers.contains_key(EXPECT) {
            discard(&mut body).await;
        }
        return Err(BodyError::TooLarge { limit });
    }
    let incoming = budget.begin(min_rate(limits));
    let received = timeout(limits.body_timeout, receive(&mut body, limit, incoming))
        .await
        .map_err(|_| BodyError::TooSlow {
            wait: limits.body_timeout,
        })?;
    match received {
        Ok((bytes, lease)) => Ok(ReceivedRequest {
            request: Request::from_parts(parts, bytes),
            lease: Some(lease),
        }),
        Err(error) => {
            if matches!(error, BodyError::TooLarge { .. } | BodyError::NoMemory) {
                discard(&mut body).await;
            }
            Err(error)
        }
    }
}

/// Returns the rate at which the largest body just arrives in time, in bytes per second.
#[expect(clippy::cast_precision_loss, reason = "the limit is far below 2^52")]
fn min_rate(limits: &ServerLimits) -> f64 {
    limits.body_bytes as f64 / limits.body_timeout.as_secs_f64()
}

/// Receives a body into one buffer. A frame may be as short as a chunk of one byte, and keeps the whole buffer that it was
/// read into.
async fn receive(
    body: &mut Incoming,
    limit: usize,
    incoming: IncomingBody,
) -> Result<(Bytes, BodyLease), BodyError> {
    let mut buffer = BodyBuffer::new(limit, body.size_hint().exact(), incoming);
    while let Some(frame) = buffer.next_frame(body).await? {
        // Trailers are not passed on.
        if let Some(data) = frame.data_ref() {
            buffer.append(data)?;
        }
    }
    buffer.complete()
}

async fn discard(body: &mut Incoming) {
    let reading = async {
        let mut left = MAX_DISCARD_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            left = left.saturating_sub(bytes);
            if left == 0 {
                return;
            }
        }
    };
    // After the timeout the connection is closed with the rest unread.
    let _ = timeout(DISCARD_TIMEOUT, reading).await;
}

/// A buffer that grows with a body, up to the body's limit.
struct BodyBuffer {
    bytes: Vec<u8>,
    /// The size at which the buffer stops growing, in bytes.
    max_bytes: usize,
    limit: usize,
    incoming: IncomingBody,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of at most `limit` bytes; `length` is the length that the caller has stated.
    fn new(limit: usize, length: Option<u64>, incoming: IncomingBody) -> Self {
        let length = length.and_then(|length| usize::try_from(length).ok());
        Self {
            bytes: Vec::new(),
            max_bytes: length.map_or(limit, |length| length.min(limit)),
            limit,
            incoming,
        }
    }

    /// Returns the next frame of a body, unless the body is given up first.
    async fn next_frame(&self, body: &mut Incoming) -> Result<Option<Frame<Bytes>>, BodyError> {
        tokio::select! {
            biased;
            () = self.incoming.given_up() => Err(BodyError::Stalled),
            frame = body.frame() => frame.transpose().map_err(|_| BodyError::Broken),
        }
    }

    fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let needed = self.bytes.len() + data.len();
        if needed > self.limit {
            return Err(BodyError::TooLarge { limit: self.limit });
        }
        self.incoming.note_received(data.len());
        if needed > self.bytes.capacity() {
            let doubled = self.bytes.capacity().saturating_mul(2).max(MIN_CAPACITY);
            let capacity = doubled.min(self.max_bytes).max(needed);
            self.incoming.set_bytes(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the bytes, without unused capacity.
    fn complete(self) -> Result<(Bytes, BodyLease), BodyError> {
        let lease = self.incoming.complete(self.bytes.len())?;
        Ok((Bytes::from(self.bytes.into_boxed_slice()), lease))
    }
}
