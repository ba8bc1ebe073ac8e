//! An HTTP server with limits on everything that is read, and a graceful shutdown.
//!
//! Handlers receive requests with complete bodies within the limits. The server itself responds to requests that
//! exceed a limit, so they are never executed. The connection of a caller that reads or writes too slowly is closed,
//! without affecting other callers.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::Request;
use nix::sys::socket::{setsockopt, sockopt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::reply::Reply;
use crate::traffic::TrafficCounter;

mod activity;
mod body_budget;
mod connection;
mod guard;
mod open_connections;
mod request_body;
mod waiting;

pub use body_budget::{BudgetLimits, body_room};

use body_budget::BodyBudget;
use connection::ConnectionContext;
use open_connections::OpenConnections;
use request_body::BodyError;
use waiting::WaitingConnections;

/// How long to wait before accepting again after `accept` failed, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The default receive buffer of a connection, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// The number of connections over the limit that receive a 503 response; further ones are closed at once.
const MAX_REJECTED_CONNECTIONS: usize = 64;

/// The number of connections over the limit that are served while as many others close.
const MAX_CLOSING_CONNECTIONS: usize = 64;

/// A handler of HTTP requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles a request. If the caller disconnects, the future and the body of the reply are dropped.
    fn handle(&self, request: Request<Bytes>, caller: SocketAddr) -> BoxFuture<'_, Reply>;
}

impl<F, R> RequestHandler for F
where
    F: Fn(Request<Bytes>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    fn handle(&self, request: Request<Bytes>, caller: SocketAddr) -> BoxFuture<'_, Reply> {
        Box::pin(self(request, caller))
    }
}

/// The limits of a server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// The maximum number of connections. For a further one, a connection that waits for its caller is closed; if there is
    /// none, the further one receives a 503 response.
    pub connections: usize,
    /// How long a connection may wait for its caller before it is closed for another one.
    pub min_caller_wait: Duration,
    /// The maximum size of a request head in bytes; larger ones receive a 431 response.
    pub head_bytes: usize,
    /// The maximum size of a request body in bytes; larger ones receive a 413 response.
    pub body_bytes: usize,
    /// The maximum time from the first to the last byte of a head.
    pub head_timeout: Duration,
    /// The maximum time to receive a body; slower ones receive a 408 response.
    pub body_timeout: Duration,
    /// How long an idle connection is kept between requests.
    pub idle_timeout: Duration,
    /// The maximum time without progress in writing a response to the caller.
    pub write_timeout: Duration,
    /// How long the server still responds to requests in transit after a shutdown is requested, each with
    /// `Connection: close`, before it closes idle connections.
    pub linger: Duration,
    /// The `Retry-After` of each 503 response for too many connections.
    pub retry_after: Duration,
    /// The maximum time from accepting a connection until the processor begins to serve it, if limited. While the oldest
    /// accepted connection waits longer, further ones are closed unread, so that their callers can go elsewhere at once.
    pub max_start_delay: Option<Duration>,
    /// The receive buffer of each connection, in bytes. The kernel's own choice grows with the rate of a caller, up to
    /// megabytes for each connection whose bytes are not read.
    pub receive_buffer_bytes: usize,
    /// The memory for the bodies of all requests together; requests without room receive a 503 response.
    pub bodies: BudgetLimits,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 4096,
            min_caller_wait: Duration::from_secs(1),
            head_bytes: 32 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(1),
            write_timeout: Duration::from_secs(10),
            linger: Duration::from_millis(500),
            retry_after: Duration::from_secs(1),
            max_start_delay: None,
            receive_buffer_bytes: RECEIVE_BUFFER_BYTES,
            bodies: BudgetLimits::default(),
        }
    }
}

/// The counters of a server.
#[derive(Debug, Default)]
pub struct ServerCounters {
    pub(crate) accepted: AtomicU64,
    pub(crate) over_limit: AtomicU64,
    pub(crate) closed_unread: AtomicU64,
    pub(crate) closed_waiting: AtomicU64,
    pub(crate) refused_requests: AtomicU64,
    pub(crate) out_of_memory: AtomicU64,
    pub(crate) stalled: AtomicU64,
    /// The byte counters of all connections.
    pub traffic: Arc<TrafficCounter>,
}

impl ServerCounters {
    /// Returns the number of accepted connections.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Returns the number of connections over the limit.
    #[must_use]
    pub fn over_limit(&self) -> u64 {
        self.over_limit.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were closed unread because others waited too long for the processor.
    #[must_use]
    pub fn closed_unread(&self) -> u64 {
        self.closed_unread.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that waited for their callers and were closed for others.
    #[must_use]
    pub fn closed_waiting(&self) -> u64 {
        self.closed_waiting.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose bodies were rejected, for example with 413 or 408, without calling the
    /// handler.
    #[must_use]
    pub fn refused_requests(&self) -> u64 {
        self.refused_requests.load(Ordering::Relaxed)
    }

    /// Returns the number of requests among them that were refused because there was no memory for their bodies.
    #[must_use]
    pub fn out_of_memory(&self) -> u64 {
        self.out_of_memory.load(Ordering::Relaxed)
    }

    pub(crate) fn count_refused(&self, error: BodyError) {
        self.refused_requests.fetch_add(1, Ordering::Relaxed);
        if error.is_memory_short() {
            self.out_of_memory.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of connections closed because the caller was too slow or idle for too long.
    #[must_use]
    pub fn stalled(&self) -> u64 {
        self.stalled.load(Ordering::Relaxed)
    }
}

/// Serves until `shutdown` completes and every request in flight has been processed.
///
/// Closing the listener and idle connections races with requests in transit, which their senders would have to
/// report as possibly executed. For [`ServerLimits::linger`] after `shutdown`, the server therefore still passes all
/// requests to the handler, which may refuse them explicitly, and adds `Connection: close` to the responses. It then
/// closes the listener and idle connections, and completes the requests in flight. Dropping the future aborts all
/// connections.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn RequestHandler>,
    limits: ServerLimits,
    counters: Arc<ServerCounters>,
    shutdown: impl Future<Output = ()>,
) {
    let (closing, closed) = watch::channel(ServerPhase::Open);
    let budget = Arc::new(BodyBudget::new(limits.bodies));
    limit_receive_buffers(&listener, limits.receive_buffer_bytes);
    let mut acceptor = Acceptor {
        context: Arc::new(ConnectionContext {
            handler,
            limits,
            counters,
            phase: closed,
            budget,
            open: OpenConnections::default(),
        }),
        connections: JoinSet::new(),
        waiting: WaitingConnections::default(),
    };
    acceptor.accept_until(&listener, shutdown).await;
    closing.send_replace(ServerPhase::Closing);
    let linger = sleep(acceptor.context.limits.linger);
    acceptor.accept_until(&listener, linger).await;
    acceptor.accept_backlog(&listener).await;
    drop(listener);
    closing.send_replace(ServerPhase::Closed);
    while acceptor.connections.join_next().await.is_some() {}
}

/// Limits the receive buffers of the connections that are accepted from now on, which inherit that of the listener.
fn limit_receive_buffers(listener: &TcpListener, bytes: usize) {
    // A failure leaves the kernel's own choice. It only matters if callers send what isn't read.
    let _ = setsockopt(listener, sockopt::RcvBuf, &bytes);
}

/// The phase of a server's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerPhase {
    /// The server serves normally.
    Open,
    /// Each response closes its connection.
    Closing,
    /// Idle connections are closed.
    Closed,
}

struct Acceptor {
    context: Arc<ConnectionContext>,
    connections: JoinSet<()>,
    waiting: WaitingConnections,
}

impl Acceptor {
    async fn accept_until(&mut self, listener: &TcpListener, until: impl Future<Output = ()>) {
        let mut until = pin!(until);
        loop {
            tokio::select! {
                biased;
                () = until.as_mut() => return,
                accepted = listener.accept() => match accepted {
                    Ok((stream, caller)) => self.start(stream, caller),
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                },
            }
        }
    }

    /// Accepts the connections in the listener's backlog. Closing the listener would reset them after their callers may
    /// have sent a request.
    async fn accept_backlog(&mut self, listener: &TcpListener) {
        while let Ok(Ok((stream, caller))) = timeout(Duration::ZERO, listener.accept()).await {
            self.start(stream, caller);
        }
    }

    fn start(&mut self, stream: TcpStream, caller: SocketAddr) {
        while self.connections.try_join_next().is_some() {}
        let context = Arc::clone(&self.context);
        let max_delay = context.limits.max_start_delay;
        if max_delay.is_some_and(|delay| self.waiting.longest() > delay) {
            context
                .counters
                .closed_unread
                .fetch_add(1, Ordering::Relaxed);
            return;
        }
        if self.has_room() || self.close_waiting() {
            context.counters.accepted.fetch_add(1, Ordering::Relaxed);
            let waiting = self.waiting.enter();
            let open = context.open.enter();
            self.connections.spawn(async move {
                drop(waiting);
                connection::run(context, open, stream, caller).await;
            });
            return;
        }
        context.counters.over_limit.fetch_add(1, Ordering::Relaxed);
        let rejected = self.connections.len().saturating_sub(context.open.count());
        if rejected < MAX_REJECTED_CONNECTIONS {
            self.connections.spawn(connection::reject(context, stream));
        }
    }

    fn has_room(&self) -> bool {
        self.context.open.count() < self.context.limits.connections
    }

    /// Closes a connection that waits for its caller, to make room for another one. Returns whether there is one.
    fn close_waiting(&self) -> bool {
        let context = &self.context;
        if context.open.count() >= context.limits.connections + MAX_CLOSING_CONNECTIONS {
            return false;
        }
        let is_closing = context.open.close_waiting(context.limits.min_caller_wait);
        if is_closing {
            let closed = &context.counters.closed_waiting;
            closed.fetch_add(1, Ordering::Relaxed);
        }
        is_closing
    }
}
