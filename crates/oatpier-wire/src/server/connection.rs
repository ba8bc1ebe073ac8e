//! One connection of a server.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use http::header::CONNECTION;
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::guard::{ConnectionActivity, GuardedStream, TrackedBody};
use super::intake::read_body;
use super::{RequestHandler, ServerCounters, ServerLimits, ServerPhase};
use crate::reply::{self, Reply};
use crate::stream::MeteredStream;

/// The smallest buffer that `hyper` takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// What all connections of a server share.
pub(crate) struct ConnectionContext {
    pub(crate) handler: Arc<dyn RequestHandler>,
    pub(crate) limits: ServerLimits,
    pub(crate) counters: Arc<ServerCounters>,
    pub(crate) phase: watch::Receiver<ServerPhase>,
}

/// Serves a connection until it is closed.
pub(crate) async fn run(context: Arc<ConnectionContext>, stream: TcpStream, caller: SocketAddr) {
    let activity = Arc::new(ConnectionActivity::default());
    let service = service_fn(|request| {
        let context = Arc::clone(&context);
        let activity = Arc::clone(&activity);
        // Not inside the future: the stream is read once more before that is polled, and would
        // still wait for a head.
        activity.begin();
        async move { Ok::<_, Infallible>(answer(&context, activity, request, caller).await) }
    });
    let guarded = guard(&context, stream, Arc::clone(&activity));
    let connection = http1_builder(&context.limits).serve_connection(guarded, service);
    let mut connection = pin!(connection);
    let mut phase = context.phase.clone();
    let closed = async move {
        // An error says that the server is gone, which closes as well.
        let _ = phase.wait_for(|phase| *phase == ServerPhase::Closed).await;
    };
    let finished = tokio::select! {
        result = connection.as_mut() => Some(result),
        () = closed => None,
    };
    if finished.is_none() {
        connection.as_mut().graceful_shutdown();
        // The caller's side of a broken connection; there is nobody to tell.
        let _ = connection.await;
    }
}

/// Answers one request on a connection over the limit.
pub(crate) async fn turn_away(context: Arc<ConnectionContext>, stream: TcpStream) {
    let activity = Arc::new(ConnectionActivity::default());
    let service = service_fn(|_request: Request<Incoming>| {
        let text = "too many connections; come back later\n";
        let reply = reply::text(StatusCode::SERVICE_UNAVAILABLE, text);
        let reply = reply::with_retry_after(reply, context.limits.retry_after);
        async move { Ok::<_, Infallible>(with_close(reply)) }
    });
    let guarded = guard(&context, stream, activity);
    let connection = http1_builder(&context.limits).serve_connection(guarded, service);
    let longest = context.limits.head_wait + context.limits.write_wait;
    // Whether it was told or not, the connection is closed.
    let _ = tokio::time::timeout(longest, connection).await;
}

fn http1_builder(limits: &ServerLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    // The guard has separate limits for a slow head and for an idle connection.
    builder
        .header_read_timeout(None)
        .max_header_size(limits.head_bytes)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    builder
}

fn guard(
    context: &ConnectionContext,
    stream: TcpStream,
    activity: Arc<ConnectionActivity>,
) -> TokioIo<GuardedStream> {
    // A failure only delays small answers.
    let _ = stream.set_nodelay(true);
    let metered = MeteredStream::new(stream, Arc::clone(&context.counters.traffic));
    let counters = Arc::clone(&context.counters);
    TokioIo::new(GuardedStream::new(
        metered,
        &context.limits,
        activity,
        counters,
    ))
}

async fn answer(
    context: &ConnectionContext,
    activity: Arc<ConnectionActivity>,
    request: Request<Incoming>,
    caller: SocketAddr,
) -> http::Response<TrackedBody> {
    let reply = match read_body(request, &context.limits).await {
        Ok(request) => context.handler.handle(request, caller).await,
        Err(error) => {
            context
                .counters
                .refused_requests
                .fetch_add(1, Ordering::Relaxed);
            with_close(error.reply())
        }
    };
    let reply = match *context.phase.borrow() {
        ServerPhase::Open => reply,
        ServerPhase::Closing | ServerPhase::Closed => with_close(reply),
    };
    reply.map(|body| TrackedBody::new(body, activity))
}

fn with_close(mut reply: Reply) -> Reply {
    reply
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}
