//! The body of an answer, which gives its connection back once it was read to its end.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::pool::{ConnectionPool, PooledSender};

/// The body of an answer as it comes.
///
/// Its end is the end that the framing gave (last chunk or content length); a cut is an error.
/// Dropping it before its end closes the connection, which tells the peer that nobody reads on.
pub struct AnswerBody {
    inner: Incoming,
    sender: Option<PooledSender>,
    pool: Arc<ConnectionPool>,
}

impl AnswerBody {
    pub(super) fn new(inner: Incoming, sender: PooledSender, pool: Arc<ConnectionPool>) -> Self {
        let mut body = Self {
            inner,
            sender: Some(sender),
            pool,
        };
        body.give_back_at_end();
        body
    }

    fn give_back_at_end(&mut self) {
        if self.inner.is_end_stream() {
            self.give_back();
        }
    }

    fn give_back(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.pool.put(sender);
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.give_back(),
            Poll::Ready(Some(Ok(_))) => self.give_back_at_end(),
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
