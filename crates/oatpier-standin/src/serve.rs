//! The HTTP server that the stand-ins share.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use oatpier_types::ids::{AttemptId, RequestId};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Error that makes the server drop the connection, without an answer or in the middle of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DropConnection;

impl std::fmt::Display for DropConnection {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("a fault switch drops the connection")
    }
}

impl std::error::Error for DropConnection {}

/// Body of an answer. An `Err` closes the connection.
pub type AnswerBody = UnsyncBoxBody<Bytes, DropConnection>;

/// An answer, or an error that drops the connection without one.
pub type Answer = Result<Response<AnswerBody>, DropConnection>;

/// A request with its complete body.
#[derive(Debug, Default)]
pub struct BufferedRequest {
    /// The method, in capitals.
    pub method: String,
    /// The path, not decoded.
    pub path: String,
    /// The query, without the question mark.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl BufferedRequest {
    /// Returns the path with the query, not decoded.
    #[must_use]
    pub fn path_and_query(&self) -> String {
        if self.query.is_empty() {
            return self.path.clone();
        }
        format!("{}?{}", self.path, self.query)
    }

    /// Returns a parameter of the query, not decoded.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns a numeric parameter of the query, or 0 if it is absent or not a number.
    #[must_use]
    pub fn number(&self, name: &str) -> u64 {
        self.parameter(name)
            .and_then(|value| value.parse().ok())
            .unwrap_or(0)
    }

    /// Returns the value of a header, if it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns a `400` answer with the decoding error.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Box<Response<AnswerBody>>> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Box::new(plain(StatusCode::BAD_REQUEST, error.to_string())))
    }
}

/// Handler of the requests to one stand-in.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, request: BufferedRequest) -> BoxFuture<'static, Answer>;
}

/// A running server of a stand-in. Dropping it closes the port and the connections.
pub struct RunningServer<H> {
    /// The bound address.
    pub address: SocketAddr,
    /// The stand-in, to inject faults and read records.
    pub handle: Arc<H>,
    task: JoinHandle<()>,
}

impl<H> Drop for RunningServer<H> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<H> RunningServer<H> {
    /// Waits forever while the server runs.
    pub async fn run_forever(mut self) {
        let _ = (&mut self.task).await;
    }
}

/// Binds `address` and serves `handler` on the current runtime.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start<H: RequestHandler>(
    address: SocketAddr,
    handler: Arc<H>,
) -> std::io::Result<RunningServer<H>> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, Arc::clone(&handler)));
    Ok(RunningServer {
        address,
        handle: handler,
        task,
    })
}

async fn accept<H: RequestHandler>(listener: TcpListener, handler: Arc<H>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, Arc::clone(&handler)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H: RequestHandler>(stream: TcpStream, handler: Arc<H>) {
    // Without this, a streamed token is delayed until the previous one is acknowledged.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(request, Arc::clone(&handler)));
    // An error means that the connection was closed, which the caller has detected.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer<H: RequestHandler>(request: Request<Incoming>, handler: Arc<H>) -> Answer {
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        let text = "the body is too large";
        return Ok(plain(StatusCode::PAYLOAD_TOO_LARGE, text));
    };
    let whole = BufferedRequest {
        method: parts.method.as_str().to_owned(),
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or("").to_owned(),
        headers: parts.headers,
        body: body.to_bytes(),
    };
    handler.handle(whole).await
}

fn full(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Creates an answer of plain text.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    with_body(status, "text/plain", full(text.into()))
}

/// Creates an answer of JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<AnswerBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => with_body(status, "application/json", full(bytes.into())),
        Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Creates an answer without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Creates an answer with a body of the given content type.
#[must_use]
pub fn with_body(
    status: StatusCode,
    content_type: &'static str,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Creates the answer to a path that the stand-in doesn't serve.
#[must_use]
pub fn not_found() -> Response<AnswerBody> {
    plain(StatusCode::NOT_FOUND, "no such path")
}

/// Ids of the attempt and the request, from the headers of a call to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerIds {
    /// The attempt from `x-request-id`, or 0 without that header.
    pub attempt: AttemptId,
    /// The trace id of `traceparent`, or the attempt without that header.
    pub request: RequestId,
}

impl CallerIds {
    /// Reads the ids from the headers.
    #[must_use]
    pub fn of(request: &BufferedRequest) -> Self {
        let hex = |text: &str| u128::from_str_radix(text, 16).ok();
        let attempt = request.header("x-request-id").and_then(hex).unwrap_or(0);
        let trace = request
            .header("traceparent")
            .and_then(|header| header.split('-').nth(1))
            .and_then(hex);
        Self {
            attempt: AttemptId(attempt),
            request: RequestId(trace.unwrap_or(attempt)),
        }
    }
}
