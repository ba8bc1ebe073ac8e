//! Reads a request's body within the limits.

use std::time::Duration;

use bytes::Bytes;
use http::header::EXPECT;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::ServerLimits;
use crate::reply::{self, BoxError, Reply};

/// The maximum time for reading and discarding the rest of a rejected body, so that the caller can read the response
/// before the connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of bytes that are discarded.
const MAX_DISCARD_BYTES: usize = 16 << 20;

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
    let collecting = Limited::new(&mut body, limit).collect();
    let collected = timeout(limits.body_timeout, collecting)
        .await
        .map_err(|_| BodyError::TooSlow {
            wait: limits.body_timeout,
        })?;
    match collected {
        Ok(collected) => Ok(Request::from_parts(parts, collected.to_bytes())),
        Err(error) if is_over_limit(&error) => {
            discard(&mut body).await;
            Err(BodyError::TooLarge { limit })
        }
        Err(_) => Err(BodyError::Broken),
    }
}

fn is_over_limit(error: &BoxError) -> bool {
    error.downcast_ref::<LengthLimitError>().is_some()
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
