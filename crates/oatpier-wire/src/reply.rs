//! Responses of request handlers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, TryStreamExt};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, SizeHint};
use serde::Serialize;

/// An error of the source of a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a reply, either complete or streamed.
pub type ReplyBody = UnsyncBoxBody<Bytes, BoxError>;

/// The response of a request handler.
pub type Reply = Response<ReplyBody>;

/// The media type of messages between oatpier processes.
pub const MESSAGE_MEDIA_TYPE: &str = "application/msgpack";

/// Builds a reply with a complete body.
#[must_use]
pub fn whole(status: StatusCode, media_type: &'static str, body: impl Into<Bytes>) -> Reply {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {});
    let mut reply = Response::new(body.boxed_unsync());
    *reply.status_mut() = status;
    let media_type = HeaderValue::from_static(media_type);
    reply.headers_mut().insert(CONTENT_TYPE, media_type);
    reply
}

/// Size of the parts in which a [`LeasedBody`] is handed to the connection.
const PART_BYTES: usize = 16 << 10;

/// A complete body that is handed to the connection in parts, as fast as the caller reads them.
///
/// The lease is dropped when the last part has been taken, so it can stand for the memory that the body takes.
#[derive(Debug)]
pub struct LeasedBody<L> {
    rest: Bytes,
    lease: Option<L>,
}

impl<L> LeasedBody<L> {
    /// Creates a body.
    pub fn new(body: Bytes, lease: L) -> Self {
        Self {
            rest: body,
            lease: Some(lease),
        }
    }
}

impl<L: Unpin> Body for LeasedBody<L> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.rest.is_empty() {
            self.lease = None;
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(PART_BYTES);
        let part = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// Builds a plain text reply.
#[must_use]
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    whole(status, "text/plain; charset=utf-8", body)
}

/// Builds a reply with an encoded message between oatpier processes.
#[must_use]
pub fn message<M: Serialize>(message: &M) -> Reply {
    match rmp_serde::to_vec(message) {
        Ok(bytes) => whole(StatusCode::OK, MESSAGE_MEDIA_TYPE, bytes),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Builds a reply with a streamed body. An `Err` piece closes the connection, so that the reader detects the
/// incomplete body.
#[must_use]
pub fn streamed<S>(status: StatusCode, media_type: &'static str, pieces: S) -> Reply
where
    S: Stream<Item = Result<Bytes, BoxError>> + Send + 'static,
{
    let body = StreamBody::new(pieces.map_ok(Frame::data));
    let mut reply = Response::new(body.boxed_unsync());
    *reply.status_mut() = status;
    let media_type = HeaderValue::from_static(media_type);
    reply.headers_mut().insert(CONTENT_TYPE, media_type);
    reply
}

/// Sets `Retry-After`, in whole seconds, rounded up.
#[must_use]
pub fn with_retry_after(mut reply: Reply, after: Duration) -> Reply {
    let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
    reply
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    reply
}
