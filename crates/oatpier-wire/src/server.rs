//! An HTTP server with limits on everything that is read, and a graceful shutdown.
//!
//! A handler gets requests whose bodies were read whole, within the limits; what is over a limit
//! is answered here, so it never ran. A caller that reads or writes too slowly loses its
//! connection and holds up no other.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::Request;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::reply::Reply;
use crate::traffic::TrafficCounter;

mod connection;
mod guard;
mod intake;

use connection::ConnectionContext;

/// How long to wait before accepting again after the system refused to (out of descriptors).
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Connections over the limit that are told so with a 503; those beyond are closed at once.
const TOLD_OVER_LIMIT: usize = 64;

/// Answers requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers a request. The future is dropped when the caller goes away, and so is the body of
    /// the reply.
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
    /// The most connections; further ones are answered 503.
    pub connections: usize,
    /// The largest request head, in bytes; 431 over it.
    pub head_bytes: usize,
    /// The largest request body, in bytes; 413 over it.
    pub body_bytes: usize,
    /// The longest time from a head's first byte to its last.
    pub head_wait: Duration,
    /// The longest time for a body to come; 408 after it.
    pub body_wait: Duration,
    /// How long a connection is kept between requests.
    pub idle: Duration,
    /// How long a caller may take no byte of an answer that waits for it.
    pub write_wait: Duration,
    /// After a shutdown was asked for, how long requests that were on their way are still
    /// answered, each with `Connection: close`, before unused connections are closed.
    pub linger: Duration,
    /// When to come back, told with each 503 for too many connections.
    pub retry_after: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 4096,
            head_bytes: 32 << 10,
            body_bytes: 4 << 20,
            head_wait: Duration::from_secs(5),
            body_wait: Duration::from_secs(10),
            idle: Duration::from_mins(1),
            write_wait: Duration::from_secs(10),
            linger: Duration::from_millis(500),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// What a server counts.
#[derive(Debug, Default)]
pub struct ServerCounters {
    pub(crate) accepted: AtomicU64,
    pub(crate) over_limit: AtomicU64,
    pub(crate) refused_requests: AtomicU64,
    pub(crate) stalled: AtomicU64,
    /// Bytes of all connections.
    pub traffic: Arc<TrafficCounter>,
}

impl ServerCounters {
    /// Connections taken.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Connections over the limit.
    #[must_use]
    pub fn over_limit(&self) -> u64 {
        self.over_limit.load(Ordering::Relaxed)
    }

    /// Requests answered 413 or 408 without the handler.
    #[must_use]
    pub fn refused_requests(&self) -> u64 {
        self.refused_requests.load(Ordering::Relaxed)
    }

    /// Connections closed because the other side was too slow, or silent for too long.
    #[must_use]
    pub fn stalled(&self) -> u64 {
        self.stalled.load(Ordering::Relaxed)
    }
}

/// Serves until `shutdown` is done and every request in flight has been answered.
///
/// A closed listener and connections closed between requests race with requests on their way,
/// which their senders could only call "may have run". So for [`ServerLimits::linger`] after
/// `shutdown` everything that comes is still answered, with `Connection: close`; the handler
/// refuses it truly if it must. Then the listener and unused connections are closed, and requests
/// in flight go on to their end. Dropping the future cuts off all connections.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn RequestHandler>,
    limits: ServerLimits,
    counters: Arc<ServerCounters>,
    shutdown: impl Future<Output = ()>,
) {
    let (closing, closed) = watch::channel(ServerPhase::Open);
    let mut acceptor = Acceptor {
        context: Arc::new(ConnectionContext {
            handler,
            limits,
            counters,
            phase: closed,
        }),
        connections: JoinSet::new(),
    };
    acceptor.accept_until(&listener, shutdown).await;
    closing.send_replace(ServerPhase::Closing);
    let linger = sleep(acceptor.context.limits.linger);
    acceptor.accept_until(&listener, linger).await;
    acceptor.accept_waiting(&listener).await;
    drop(listener);
    closing.send_replace(ServerPhase::Closed);
    while acceptor.connections.join_next().await.is_some() {}
}

/// How far a server's shutdown is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerPhase {
    /// It serves.
    Open,
    /// Each answer closes its connection.
    Closing,
    /// Unused connections are closed.
    Closed,
}

struct Acceptor {
    context: Arc<ConnectionContext>,
    connections: JoinSet<()>,
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

    /// Takes the connections that wait in the listener's backlog: closing the listener would
    /// reset them after their callers had sent a request.
    async fn accept_waiting(&mut self, listener: &TcpListener) {
        while let Ok(Ok((stream, caller))) = timeout(Duration::ZERO, listener.accept()).await {
            self.start(stream, caller);
        }
    }

    fn start(&mut self, stream: TcpStream, caller: SocketAddr) {
        while self.connections.try_join_next().is_some() {}
        let context = Arc::clone(&self.context);
        let open = self.connections.len();
        let limit = context.limits.connections;
        if open < limit {
            context.counters.accepted.fetch_add(1, Ordering::Relaxed);
            self.connections
                .spawn(connection::run(context, stream, caller));
            return;
        }
        context.counters.over_limit.fetch_add(1, Ordering::Relaxed);
        if open < limit + TOLD_OVER_LIMIT {
            self.connections
                .spawn(connection::turn_away(context, stream));
        }
    }
}
