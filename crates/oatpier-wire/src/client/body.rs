//! The body of a response, which returns its connection to the pool once it has been read to its end.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::pool::{ConnectionPool, PooledSender};

/// The body of a response, read as a stream.
///
/// The body ends where the HTTP framing says so (last chunk or content length); a truncated body is an error.
/// Dropping it before its end closes the connection, which signals the peer that the response is no longer needed.
pub struct ResponseBody {
    inner: Incoming,
    sender: Option<PooledSender>,
    is_reused: bool,
    pool: Arc<ConnectionPool>,
}

impl ResponseBody {
    pub(super) fn new(inner: Incoming, sender: PooledSender, pool: Arc<ConnectionPool>) -> Self {
        Self {
            inner,
            is_reused: sender.reused,
            sender: Some(sender),
            pool,
        }
    }

    /// Returns whether an earlier request used the connection.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Drops the body and closes its connection, also after the body's end. Used if the response belongs to another
    /// request, since the one to this request may still arrive on that connection.
    pub fn close_connection(mut self) {
        self.sender = None;
    }

    fn return_connection_at_end(&mut self) {
        if self.inner.is_end_stream() {
            self.return_connection();
        }
    }

    fn return_connection(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.pool.put(sender);
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.return_connection_at_end();
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.return_connection(),
            Poll::Ready(Some(Ok(_))) => self.return_connection_at_end(),
            Poll::Ready(Some(Err(_))) => self.sender = None,
            Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
