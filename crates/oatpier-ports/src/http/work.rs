//! Running requests at an endpoint over HTTP.

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

use super::OutsideService;
use crate::work::{CallError, EndpointAnswer, EndpointCall, EndpointWork};

/// The attempt's id towards the endpoint, as 32 hex digits.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// An engine's priority of a call.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");

/// How many tokens of an answer an engine skips.
const RESUME_HEADER: HeaderName = HeaderName::from_static("x-resume-after");

/// Headers that concern one connection and never pass through.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// The media type of server-sent events, with or without parameters.
const EVENTS_TYPE: &[u8] = b"text/event-stream";

/// What an endpoint is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine: knows priorities, resuming and cancels.
    Engine,
    /// A plain service: knows nothing of oatpier.
    Service,
}

/// The working side of the endpoint at an address.
pub struct HttpWork {
    address: SocketAddr,
    kind: EndpointKind,
    client: HttpClient,
    /// Cancels and probes, on connections of their own: they must not wait behind work.
    control: OutsideService,
}

impl HttpWork {
    /// The endpoint at `address`. `timeout` bounds connecting, a cancel and a probe; how long an
    /// answer may take is its caller's business, who drops the call.
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
            control: OutsideService::new(address, timeout),
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
        Ok(answer(response, &method))
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
        // An engine that does not hear it ends the call when its connection closes.
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

impl EndpointWork for HttpWork {
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

fn answer(response: Response<ResponseBody>, method: &Method) -> EndpointAnswer {
    let shows_end = shows_its_end(&response, method);
    let (parts, body) = response.into_parts();
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    let pieces = body
        .into_data_stream()
        .map_err(|error| cut(error.to_string()));
    let body: BoxStream<'static, _> = if shows_end {
        pieces.boxed()
    } else {
        pieces
            .chain(stream::once(async { Err(unframed()) }))
            .boxed()
    };
    EndpointAnswer {
        status: parts.status,
        headers,
        body,
    }
}

/// Whether the answer's end can be told from a cut.
///
/// A body that ends with its connection may have been cut anywhere, and a short answer would
/// pass for a whole one. Events are exempt, since their reader looks for their last one.
fn shows_its_end(response: &Response<ResponseBody>, method: &Method) -> bool {
    let headers = response.headers();
    let is_events = headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(EVENTS_TYPE));
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

fn cut(cause: String) -> CallError {
    CallError {
        verdict: RunVerdict::MayHaveRun,
        cause,
    }
}

fn unframed() -> CallError {
    cut("the answer has neither a content length nor chunks, so it may have been cut".to_owned())
}
