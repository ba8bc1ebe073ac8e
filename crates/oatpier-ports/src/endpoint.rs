//! Calls to an endpoint, which is an engine or a plain service.

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use http::{HeaderMap, HeaderName, Method, StatusCode};
use oatpier_types::ids::AttemptId;
use oatpier_types::verdict::RunVerdict;
use thiserror::Error;

/// Header of an engine's error that states that the request did not run and never will. Its value is the attempt id, so
/// that the error of another request is not taken for that of this one.
pub const NOT_EXECUTED_HEADER: HeaderName = HeaderName::from_static("x-not-executed");

/// A request to an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    /// The attempt id, sent as `x-request-id`; a cancel refers to it.
    pub attempt: AttemptId,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Priority at an engine; lower values go first.
    pub priority: u32,
    /// Number of tokens after which an engine resumes its stream.
    pub resume_after: u32,
}

/// The head of an endpoint's response, with its body as a stream.
pub struct EndpointAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body as it arrives. An `Err` means that the body is incomplete.
    pub body: BoxStream<'static, Result<Bytes, CallError>>,
}

impl EndpointAnswer {
    /// Returns whether an engine states that it did not run the attempt. No status alone states that.
    #[must_use]
    pub fn states_not_run(&self, attempt: AttemptId) -> bool {
        let stated = self.headers.get(NOT_EXECUTED_HEADER);
        !self.status.is_success()
            && stated.is_some_and(|value| value.as_bytes() == attempt.to_string().as_bytes())
    }
}

/// A failed call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("the call to the endpoint failed ({verdict}): {cause}")]
pub struct CallError {
    /// Whether the endpoint may have executed the call.
    pub verdict: RunVerdict,
    /// The cause.
    pub cause: String,
}

/// Sends calls to one endpoint. Used only by the agent next to the endpoint.
pub trait EndpointClient: Send + Sync {
    /// Sends a call and returns the head of its response.
    fn run(&self, call: EndpointCall) -> BoxFuture<'_, Result<EndpointAnswer, CallError>>;

    /// Cancels a call at an engine. Has no effect on a plain service.
    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, ()>;

    /// Returns whether the endpoint passes its health check.
    fn probe(&self) -> BoxFuture<'_, bool>;
}
