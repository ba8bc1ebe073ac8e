//! A server's stream that enforces timeouts on slow callers.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

use super::activity::ConnectionActivity;
use super::body_budget::BodyLease;
use super::{ServerCounters, ServerLimits};
use crate::reply::{BoxError, ReplyBody};
use crate::stream::MeteredStream;

/// How much is read at once while a request is being processed, in bytes. Usually there is nothing to read.
const LOOKAHEAD_PIECE_BYTES: usize = 512;

/// The maximum number of bytes that are kept back while a request is being processed. More are left unread.
const MAX_LOOKAHEAD_BYTES: usize = 4 << 10;

/// A reply's body that records the end of the request when it is dropped.
pub(crate) struct TrackedBody {
    inner: ReplyBody,
    activity: Arc<ConnectionActivity>,
    /// The memory that the request's body takes until then.
    _lease: Option<BodyLease>,
}

impl TrackedBody {
    pub(crate) fn new(
        inner: ReplyBody,
        activity: Arc<ConnectionActivity>,
        lease: Option<BodyLease>,
    ) -> Self {
        Self {
            inner,
            activity,
            _lease: lease,
        }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.activity.end();
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A timer for waiting on one side of a connection.
#[derive(Default)]
struct WaitTimer {
    sleep: Option<Pin<Box<Sleep>>>,
    running: bool,
}

impl WaitTimer {
    /// Starts the timer unless it is running. Ready when `limit` has passed since the start.
    fn poll(&mut self, context: &mut Context<'_>, limit: Duration) -> Poll<()> {
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(sleep(limit)));
        if !self.running {
            sleep.as_mut().reset(Instant::now() + limit);
            self.running = true;
        }
        sleep.as_mut().poll(context)
    }

    fn stop(&mut self) {
        self.running = false;
    }
}

/// What the reading side is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadWait {
    /// The first byte of a head.
    Idle,
    /// The rest of a head.
    Head,
    /// The end of a request. Its body has a separate timeout, and the time to respond is not limited.
    Unbounded,
}

/// A stream that fails if the caller sends no complete head, or reads no byte, for too long.
///
/// While a request is being processed, bytes of the next one are kept back. `hyper` would stop reading once it has some,
/// and so would not notice that the caller has disconnected.
pub(crate) struct GuardedStream {
    inner: MeteredStream,
    /// Bytes that were received while a request was being processed.
    lookahead: BytesMut,
    activity: Arc<ConnectionActivity>,
    counters: Arc<ServerCounters>,
    idle_timeout: Duration,
    head_timeout: Duration,
    write_timeout: Duration,
    reading: WaitTimer,
    read_wait: ReadWait,
    writing: WaitTimer,
}

impl GuardedStream {
    pub(crate) fn new(
        inner: MeteredStream,
        limits: &ServerLimits,
        activity: Arc<ConnectionActivity>,
        counters: Arc<ServerCounters>,
    ) -> Self {
        Self {
            inner,
            lookahead: BytesMut::new(),
            activity,
            counters,
            idle_timeout: limits.idle_timeout,
            head_timeout: limits.head_timeout,
            write_timeout: limits.write_timeout,
            reading: WaitTimer::default(),
            read_wait: ReadWait::Idle,
            writing: WaitTimer::default(),
        }
    }

    /// Ready when the caller has disconnected while a request is being processed. A caller that has sent more than can be
    /// kept back is not observed.
    pub(crate) fn poll_disconnect(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.activity.is_processing() && self.lookahead.len() < MAX_LOOKAHEAD_BYTES {
            let mut piece = [0; LOOKAHEAD_PIECE_BYTES];
            let mut buffer = ReadBuf::new(&mut piece);
            let read = ready!(Pin::new(&mut self.inner).poll_read(context, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
            self.lookahead.extend_from_slice(buffer.filled());
        }
        Poll::Pending
    }

    /// Reads from the bytes that were kept back, or else from the connection.
    fn poll_next_bytes(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.lookahead.is_empty() {
            return Pin::new(&mut self.inner).poll_read(context, buffer);
        }
        if self.activity.is_processing() {
            return Poll::Pending;
        }
        let count = self.lookahead.len().min(buffer.remaining());
        buffer.put_slice(&self.lookahead.split_to(count));
        Poll::Ready(Ok(()))
    }

    /// Checks the timeout of the current wait. All bytes of a head share one timer, so that sending a head byte by byte
    /// does not extend the timeout.
    fn poll_read_wait(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let wait = self.current_wait();
        if wait != self.read_wait {
            self.reading.stop();
            self.read_wait = wait;
        }
        let limit = match wait {
            ReadWait::Idle => self.idle_timeout,
            ReadWait::Head => self.head_timeout,
            ReadWait::Unbounded => {
                self.activity.finished.register(context.waker());
                return Poll::Pending;
            }
        };
        ready!(self.reading.poll(context, limit));
        if self.writing.running {
            // The last response is still being written, which has a separate timeout.
            self.reading.stop();
            ready!(self.reading.poll(context, limit));
        }
        Poll::Ready(Err(self.record_stall()))
    }

    fn current_wait(&self) -> ReadWait {
        if self.activity.serving.load(Ordering::Relaxed) {
            ReadWait::Unbounded
        } else if self.activity.head_begun.load(Ordering::Relaxed) {
            ReadWait::Head
        } else {
            ReadWait::Idle
        }
    }

    fn after_write<T>(
        &mut self,
        context: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.writing.stop();
            return polled;
        }
        ready!(self.writing.poll(context, self.write_timeout));
        Poll::Ready(Err(self.record_stall()))
    }

    fn record_stall(&self) -> io::Error {
        self.counters.stalled.fetch_add(1, Ordering::Relaxed);
        io::Error::from(io::ErrorKind::TimedOut)
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = self.poll_next_bytes(context, buffer);
        if polled.is_pending() {
            return self.poll_read_wait(context);
        }
        if self.read_wait == ReadWait::Idle {
            self.reading.stop();
        }
        if !self.activity.serving.load(Ordering::Relaxed) {
            self.activity.head_begun.store(true, Ordering::Relaxed);
        }
        polled
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.after_write(context, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.after_write(context, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_flush(context);
        self.after_write(context, polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_shutdown(context);
        self.after_write(context, polled)
    }
}

/// A stream that two futures of one task use: the one that serves the connection, and the one that waits for the caller to
/// disconnect.
#[derive(Clone)]
pub(crate) struct SharedStream(Arc<Mutex<GuardedStream>>);

impl SharedStream {
    pub(crate) fn new(stream: GuardedStream) -> Self {
        Self(Arc::new(Mutex::new(stream)))
    }

    fn lock(&self) -> MutexGuard<'_, GuardedStream> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the caller has disconnected while a request is being processed.
    pub(crate) async fn disconnected(&self) {
        poll_fn(|context| self.lock().poll_disconnect(context)).await;
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.lock()).poll_read(context, buffer)
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.lock()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.lock()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.lock()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.lock()).poll_shutdown(context)
    }
}
