//! Calls to an endpoint over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use ::http::{HeaderMap, Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use futures::{StreamExt, TryStreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::Body;
use oatpier_types::ids::AttemptId;
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::client::{ClientLimits, HttpClient, ResponseBody};

use super::ExternalService;
use crate::endpoint::{CallError, EndpointAnswer, EndpointCall, EndpointClient};

/// Header with the attempt id, as 32 hex digits.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Header with an engine's priority of a call.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");

/// Header with the number of tokens of an answer that an engine skips.
const RESUME_HEADER: HeaderName = HeaderName::from_static("x-resume-after");

/// Headers of a single connection (hop by hop), which are never forwarded.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// The media type of server-sent events, with or without parameters.
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// The kind of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine: supports priorities, resuming and cancels.
    Engine,
    /// A plain service: has no support for oatpier's headers and calls.
    Service,
}

/// Sends calls to the endpoint at an address over HTTP.
pub struct HttpEndpoint {
    address: SocketAddr,
    kind: EndpointKind,
    client: HttpClient,
    /// Cancels and probes. They use separate connections, so that they don't wait behind calls.
    control: ExternalService,
}

impl HttpEndpoint {
    /// Creates a client of the endpoint at `address`. `timeout` bounds connecting, a cancel and a
    /// probe. It does not bound an answer: the caller does so by dropping the call.
    #[must_use]
    pub fn new(address: SocketAddr, kind: EndpointKind, timeout: Duration) -> Self {
        let limits = ClientLimits {
            connect_timeout: timeout,
            ..ClientLimits::default()
        };
        Self {
            address,
            kind,
            client: HttpClient::new(limits),
            control: ExternalService::new(address, timeout),
        }
    }

    async fn run_call(&self, call: EndpointCall) -> Result<EndpointAnswer, CallError> {
        let request = self.request(call)?;
        let method = request.method().clone();
        let response = self
            .client
            .send(self.address, request)
            .await
            .map_err(|error| CallError {
                verdict: error.verdict,
                cause: error.to_string(),
            })?;
        Ok(into_answer(response, &method))
    }

    fn request(&self, call: EndpointCall) -> Result<Request<Bytes>, CallError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .body(call.body)
            .map_err(|error| CallError {
                verdict: RunVerdict::NotRun,
                cause: error.to_string(),
            })?;
        let headers = request.headers_mut();
        *headers = call.headers;
        strip_connection_headers(headers);
        headers.remove(HOST);
        headers.remove(CONTENT_LENGTH);
        if let Ok(id) = HeaderValue::from_str(&call.attempt.to_string()) {
            headers.insert(REQUEST_ID_HEADER, id);
        }
        if self.kind == EndpointKind::Engine {
            headers.insert(PRIORITY_HEADER, HeaderValue::from(call.priority));
            headers.insert(RESUME_HEADER, HeaderValue::from(call.resume_after));
        }
        Ok(request)
    }

    async fn cancel_call(&self, attempt: AttemptId) {
        if self.kind == EndpointKind::Service {
            return;
        }
        let path = format!("/v1/requests/{attempt}");
        // An engine that does not receive the cancel ends the call when its connection closes.
        let _ = self
            .control
            .fetch(Method::DELETE, &path, Bytes::new(), Duration::ZERO)
            .await;
    }

    async fn is_healthy(&self) -> bool {
        self.control
            .get("/health")
            .await
            .is_ok_and(|response| response.status() == StatusCode::OK)
    }
}

impl EndpointClient for HttpEndpoint {
    fn run(&self, call: EndpointCall) -> BoxFuture<'_, Result<EndpointAnswer, CallError>> {
        Box::pin(self.run_call(call))
    }

    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, ()> {
        Box::pin(self.cancel_call(attempt))
    }

    fn probe(&self) -> BoxFuture<'_, bool> {
        Box::pin(self.is_healthy())
    }
}

fn into_answer(response: Response<ResponseBody>, method: &Method) -> EndpointAnswer {
    let is_end_detectable = is_end_detectable(&response, method);
    let (parts, body) = response.into_parts();
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    let chunks = body
        .into_data_stream()
        .map_err(|error| truncated(error.to_string()));
    let body: BoxStream<'static, _> = if is_end_detectable {
        chunks.boxed()
    } else {
        chunks
            .chain(stream::once(async { Err(unframed()) }))
            .boxed()
    };
    EndpointAnswer {
        status: parts.status,
        headers,
        body,
    }
}

/// Returns whether a complete answer can be distinguished from a truncated one.
///
/// A body that ends with its connection may have been truncated anywhere, and a short answer would
/// be taken for a complete one. Event streams are exempt, since their reader looks for the final
/// event.
fn is_end_detectable(response: &Response<ResponseBody>, method: &Method) -> bool {
    let headers = response.headers();
    let is_events = headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM_TYPE));
    is_events
        || *method == Method::HEAD
        || headers.contains_key(TRANSFER_ENCODING)
        || response.body().size_hint().exact().is_some()
}

fn strip_connection_headers(headers: &mut HeaderMap) {
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
}

fn truncated(cause: String) -> CallError {
    CallError {
        verdict: RunVerdict::MayHaveRun,
        cause,
    }
}

fn unframed() -> CallError {
    truncated(
        "the answer has neither a content length nor chunked encoding, so it may be truncated"
            .to_owned(),
    )
}
