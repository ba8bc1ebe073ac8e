//! Error responses to callers.
//!
//! Each error contains the request ID, the trace ID, the verdict and a retry delay, so that a
//! caller can decide by itself whether a retry is safe.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, StatusCode};
use oatpier_policy::outcome::{FinalAnswer, FinalCause};
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::reply::{self, Reply};
use serde::Serialize;

use crate::intake::IntakeError;

/// Header with the request ID.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("oatpier-request-id");
/// Header that tells whether a request may have run.
pub const VERDICT_HEADER: HeaderName = HeaderName::from_static("oatpier-verdict");

/// Identifiers of the request that an answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Request ID.
    pub request: RequestId,
    /// Trace ID.
    pub trace: u128,
}

/// Error reported to the caller of a failed request.
#[derive(Debug, Clone)]
pub struct CallerError {
    /// The HTTP status.
    pub status: StatusCode,
    /// Machine-readable error type.
    pub kind: &'static str,
    /// Error message.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Delay after which to retry.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorBody<'e> {
    error: ErrorFields<'e>,
}

#[derive(Serialize)]
struct ErrorFields<'e> {
    message: &'e str,
    #[serde(rename = "type")]
    kind: &'e str,
    code: u16,
    param: Option<&'e str>,
    verdict: &'e str,
    request_id: String,
    trace_id: String,
    retry_after_ms: Option<u64>,
}

impl CallerError {
    /// Creates the error of a request that could not be parsed.
    #[must_use]
    pub fn of_intake(error: &IntakeError) -> Self {
        let (status, kind) = match error {
            IntakeError::Path { .. } => (StatusCode::NOT_FOUND, "not_found"),
            IntakeError::Method { .. } => (StatusCode::METHOD_NOT_ALLOWED, "invalid_request"),
            IntakeError::Model { .. } => (StatusCode::NOT_FOUND, "model_not_found"),
            IntakeError::Service { .. } => (StatusCode::NOT_FOUND, "service_not_found"),
            IntakeError::Body { .. } | IntakeError::Class { .. } | IntakeError::Key => {
                (StatusCode::BAD_REQUEST, "invalid_request")
            }
            IntakeError::NoConfig => (StatusCode::SERVICE_UNAVAILABLE, "not_ready"),
        };
        Self {
            status,
            kind,
            message: error.to_string(),
            verdict: RunVerdict::NotRun,
            retry_after: (status == StatusCode::SERVICE_UNAVAILABLE)
                .then_some(Duration::from_secs(1)),
        }
    }

    /// Creates the error of a request that ended without a complete answer.
    #[must_use]
    pub fn of_answer(answer: &FinalAnswer) -> Self {
        Self {
            status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY),
            kind: answer.cause.as_str(),
            message: message_of(answer.cause, answer.verdict),
            verdict: answer.verdict,
            retry_after: answer.retry_after,
        }
    }

    /// Returns the response for this error.
    #[must_use]
    pub fn reply(&self, identity: RequestIdentity) -> Reply {
        let mut reply = reply::whole(self.status, "application/json", self.body(identity));
        let verdict = HeaderValue::from_static(self.verdict.as_str());
        reply.headers_mut().insert(VERDICT_HEADER, verdict);
        let reply = identify(reply, identity);
        match self.retry_after {
            Some(after) => reply::with_retry_after(reply, after),
            None => reply,
        }
    }

    /// Returns the last event of a stream that can't be completed.
    #[must_use]
    pub fn event(&self, identity: RequestIdentity) -> Bytes {
        let body = self.body(identity);
        Bytes::from(format!(
            "event: error\ndata: {}\n\n",
            String::from_utf8_lossy(&body)
        ))
    }

    fn body(&self, identity: RequestIdentity) -> Vec<u8> {
        let fields = ErrorFields {
            message: &self.message,
            kind: self.kind,
            code: self.status.as_u16(),
            param: None,
            verdict: self.verdict.as_str(),
            request_id: identity.request.to_string(),
            trace_id: format!("{:032x}", identity.trace),
            retry_after_ms: self
                .retry_after
                .and_then(|after| u64::try_from(after.as_millis()).ok()),
        };
        serde_json::to_vec(&ErrorBody { error: fields })
            .expect("the error fields serialize to JSON")
    }
}

/// Adds the request ID header to a response.
#[must_use]
pub fn identify(mut reply: Reply, identity: RequestIdentity) -> Reply {
    if let Ok(value) = HeaderValue::from_str(&identity.request.to_string()) {
        reply.headers_mut().insert(REQUEST_HEADER, value);
    }
    reply
}

fn message_of(cause: FinalCause, verdict: RunVerdict) -> String {
    let what = match cause {
        FinalCause::Complete => "the answer is whole",
        FinalCause::Refused(_) => "the request was refused",
        FinalCause::DeadlinePassed => "the request's time passed without an answer",
        FinalCause::Incomplete => "the answer ended before it was whole",
        FinalCause::CallerGone => "the caller went away",
    };
    let run = match verdict {
        RunVerdict::NotRun => "it did not run",
        RunVerdict::MayHaveRun => "it may have run",
        RunVerdict::Ran => "it ran",
    };
    format!("{what} ({}); {run}", cause.as_str())
}
