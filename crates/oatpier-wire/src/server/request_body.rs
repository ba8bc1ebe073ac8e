//! Reads a request's body within the limits.

use std::time::Duration;

use bytes::Bytes;
use http::header::EXPECT;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::ServerLimits;
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
    TooLarge { limit: usize },
    TooSlow { wait: Duration },
    Broken,
}

impl BodyError {
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
            Self::Broken => reply::text(
                StatusCode::BAD_REQUEST,
                "the body could not be read; send it again\n",
            ),
        }
    }
}

/// Reads the whole body of a request.
pub(crate) async fn read_body(
    request: Request<Incoming>,
    limits: &ServerLimits,
) -> Result<Request<Bytes>, BodyError> {
    let limit = limits.body_bytes;
    let (parts, mut body) = request.into_parts();
    if body.size_hint().lower() > limit as u64 {
        if !parts.headers.contains_key(EXPECT) {
            discard(&mut body).await;
        }
        return Err(BodyError::TooLarge { limit });
    }
    let received = timeout(limits.body_timeout, receive(&mut body, limit))
        .await
        .map_err(|_| BodyError::TooSlow {
            wait: limits.body_timeout,
        })?;
    match received {
        Ok(bytes) => Ok(Request::from_parts(parts, bytes)),
        Err(error) => {
            if matches!(error, BodyError::TooLarge { .. }) {
                discard(&mut body).await;
            }
            Err(error)
        }
    }
}

/// Receives a body into one buffer. A frame may be as short as a chunk of one byte, and keeps the whole buffer that it was
/// read into.
async fn receive(body: &mut Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let mut buffer = BodyBuffer::new(limit, body.size_hint().exact());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        // Trailers are not passed on.
        if let Some(data) = frame.data_ref() {
            buffer.append(data)?;
        }
    }
    Ok(buffer.into_bytes())
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
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of at most `limit` bytes; `length` is the length that the caller has stated.
    fn new(limit: usize, length: Option<u64>) -> Self {
        let length = length.and_then(|length| usize::try_from(length).ok());
        Self {
            bytes: Vec::new(),
            max_bytes: length.map_or(limit, |length| length.min(limit)),
            limit,
        }
    }

    fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let needed = self.bytes.len() + data.len();
        if needed > self.limit {
            return Err(BodyError::TooLarge { limit: self.limit });
        }
        if needed > self.bytes.capacity() {
            let doubled = self.bytes.capacity().saturating_mul(2).max(MIN_CAPACITY);
            let capacity = doubled.min(self.max_bytes).max(needed);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the bytes, without unused capacity.
    fn into_bytes(self) -> Bytes {
        Bytes::from(self.bytes.into_boxed_slice())
    }
}
