//! A TCP stream that counts its bytes, and limits those before a response's head.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::client::HeadLimit;
use crate::traffic::TrafficCounter;

/// A TCP stream that adds its bytes to a counter.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    inner: TcpStream,
    traffic: Arc<TrafficCounter>,
    head_limit: Option<Arc<HeadLimit>>,
}

impl MeteredStream {
    pub(crate) fn new(inner: TcpStream, traffic: Arc<TrafficCounter>) -> Self {
        Self {
            inner,
            traffic,
            head_limit: None,
        }
    }

    /// Limits the bytes that arrive before the head of a response.
    pub(crate) fn with_head_limit(self, limit: Arc<HeadLimit>) -> Self {
        Self {
            head_limit: Some(limit),
            ..self
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        self.traffic.add_received(received);
        if let Some(limit) = &self.head_limit {
            limit.note_received(received)?;
        }
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.traffic.add_sent(written);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        if let Poll::Ready(Ok(written)) = polled {
            self.traffic.add_sent(written);
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
