//! Serves one connection.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use http::header::CONNECTION;
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::activity::ConnectionActivity;
use super::body_budget::BodyBudget;
use super::guard::{GuardedStream, SharedStream, TrackedBody};
use super::open_connections::{OpenConnection, OpenConnections};
use super::request_body::read_body;
use super::{RequestHandler, ServerCounters, ServerLimits, ServerPhase};
use crate::reply::{self, Reply};
use crate::stream::MeteredStream;

/// The smallest buffer that `hyper` takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// The state shared by all connections of a server.
pub(crate) struct ConnectionContext {
    pub(crate) handler: Arc<dyn RequestHandler>,
    pub(crate) limits: ServerLimits,
    pub(crate) counters: Arc<ServerCounters>,
    pub(crate) phase: watch::Receiver<ServerPhase>,
    pub(crate) budget: Arc<BodyBudget>,
    pub(super) open: OpenConnections,
}

/// Serves a connection until it is closed.
pub(super) async fn run(
    context: Arc<ConnectionContext>,
    open: OpenConnection,
    stream: TcpStream,
    caller: SocketAddr,
) {
    let activity = Arc::clone(open.activity());
    let service = service_fn(|request| {
        let context = Arc::clone(&context);
        let activity = Arc::clone(&activity);
        // Not inside the future: `hyper` reads the stream once more before it polls the future,
        // and the stream would still apply the head timeout.
        activity.begin();
        async move { Ok::<_, Infallible>(respond(&context, activity, request, caller).await) }
    });
    let stream = guard_stream(&context, stream, Arc::clone(&activity));
    let connection =
        http1_builder(&context.limits).serve_connection(TokioIo::new(stream.clone()), service);
    let mut connection = pin!(connection);
    let mut disconnected = pin!(stream.disconnected());
    let mut phase = context.phase.clone();
    let closed = async move {
        // An error means that the server was dropped, which closes the connection too.
        let _ = phase.wait_for(|phase| *phase == ServerPhase::Closed).await;
    };
    tokio::select! {
        // The connection comes first: it knows whether a request is being processed.
        biased;
        _ = connection.as_mut() => return,
        () = disconnected.as_mut() => return,
        () = closed => {}
        // A request that is incomplete is dropped; its caller may send it again.
        wait = activity.close_requested() => if !wait.is_idle { return },
    }
    connection.as_mut().graceful_shutdown();
    // The connection is closed either way, so an error is ignored.
    tokio::select! {
        biased;
        _ = connection => {}
        () = disconnected => {}
    }
}

/// Responds to one request on a connection over the limit.
pub(crate) async fn reject(context: Arc<ConnectionContext>, stream: TcpStream) {
    let activity = Arc::new(ConnectionActivity::new());
    let service = service_fn(|_request: Request<Incoming>| {
        let text = "too many connections; come back later\n";
        let reply = reply::text(StatusCode::SERVICE_UNAVAILABLE, text);
        let reply = reply::with_retry_after(reply, context.limits.retry_after);
        async move { Ok::<_, Infallible>(with_close(reply)) }
    });
    let stream = guard_stream(&context, stream, activity);
    let connection = http1_builder(&context.limits).serve_connection(TokioIo::new(stream), service);
    let max_time = context.limits.head_timeout + context.limits.write_timeout;
    // The connection is closed whether or not the response was sent.
    let _ = tokio::time::timeout(max_time, connection).await;
}

fn http1_builder(limits: &ServerLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    // `GuardedStream` has separate timeouts for a slow head and for an idle connection.
    builder
        .header_read_timeout(None)
        .max_header_size(limits.head_bytes)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    builder
}

fn guard_stream(
    context: &ConnectionContext,
    stream: TcpStream,
    activity: Arc<ConnectionActivity>,
) -> SharedStream {
    // A failure only delays small responses.
    let _ = stream.set_nodelay(true);
    let metered = MeteredStream::new(stream, Arc::clone(&context.counters.traffic));
    let counters = Arc::clone(&context.counters);
    SharedStream::new(GuardedStream::new(
        metered,
        &context.limits,
        activity,
        counters,
    ))
}

async fn respond(
    context: &ConnectionContext,
    activity: Arc<ConnectionActivity>,
    request: Request<Incoming>,
    caller: SocketAddr,
) -> http::Response<TrackedBody> {
    let (reply, lease) = match read_body(request, &context.limits, &context.budget).await {
        Ok(received) => {
            activity.complete();
            let reply = context.handler.handle(received.request, caller).await;
            (reply, received.lease)
        }
        Err(error) => {
            context.counters.count_refused(error);
            (with_close(error.reply()), None)
        }
    };
    let reply = match *context.phase.borrow() {
        ServerPhase::Open => reply,
        ServerPhase::Closing | ServerPhase::Closed => with_close(reply),
    };
    reply.map(|body| TrackedBody::new(body, activity, lease))
}

fn with_close(mut reply: Reply) -> Reply {
    reply
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}
