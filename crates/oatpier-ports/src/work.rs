//! Running a request at an endpoint, engine or plain service.

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use http::{HeaderMap, Method, StatusCode};
use oatpier_types::ids::AttemptId;
use oatpier_types::verdict::RunVerdict;
use thiserror::Error;

/// A request as the endpoint gets it.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    /// The attempt, sent along as `x-request-id`; a cancel names it.
    pub attempt: AttemptId,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// Headers that pass through.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// An engine's priority: lower goes first.
    pub priority: u32,
    /// An engine resumes its stream after so many tokens.
    pub resume_after: u32,
}

/// The start of an endpoint's answer.
pub struct EndpointAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body as it comes. An `Err` says that it was cut: what came is not whole.
    pub body: BoxStream<'static, Result<Bytes, CallError>>,
}

/// A call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("the endpoint's call failed ({verdict}): {cause}")]
pub struct CallError {
    /// Whether the endpoint may have acted on it.
    pub verdict: RunVerdict,
    /// What happened.
    pub cause: String,
}

/// The working side of one endpoint. Only the agent beside the endpoint uses it.
pub trait EndpointWork: Send + Sync {
    /// Runs a call.
    fn run(&self, call: EndpointCall) -> BoxFuture<'_, Result<EndpointAnswer, CallError>>;

    /// Cancels a call of an engine; of no effect on a plain service.
    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, ()>;

    /// Whether the endpoint answers at all.
    fn probe(&self) -> BoxFuture<'_, bool>;
}
