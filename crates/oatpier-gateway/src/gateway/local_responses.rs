//! Responses that the gateway generates itself: refusals and failures.
//!
//! 503 and 429 promise that the request did not run; a request that may have run gets 502 or 504.

use std::time::Duration;

use http::header::WWW_AUTHENTICATE;
use http::{HeaderValue, StatusCode};
use oatpier_platform::headers;
use oatpier_types::refusal::Refusal;
use oatpier_wire::reply::{self, Reply};

/// A response that the gateway generates itself, by its cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalResponse {
    /// The request was refused and did not run.
    Refused(Refusal),
    /// The gateway has no configuration yet.
    NoConfiguration,
    /// No route matches the request.
    NoRoute,
    /// The request has no API key, but one is required.
    NoKey,
    /// No workspace has the request's API key.
    UnknownKey,
    /// The workspace has used up its limit; holds the time for `Retry-After`.
    OverLimit(Duration),
    /// This gateway does not know how much of the workspace's limit is left; holds the time for `Retry-After`.
    LimitUnknown(Duration),
    /// The request names something that this gateway does not know, and that may have been added since the store
    /// was last read.
    Outdated,
    /// The headers of the request are invalid.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The deadline passed before the request was sent.
    ExpiredUnsent,
    /// The deadline passed, and the request may have run.
    ExpiredSent,
    /// The request was sent, and its response was lost or invalid.
    Broken,
    /// The process is about to be killed, and the request was sent, so it may have run.
    Stopped,
    /// The request did not run. It was at endpoints that ended, and may not run until the outcome of its earlier
    /// attempts is known.
    Held,
    /// The request did not run and will not run any more, because it crashes the endpoints that run it.
    Barred,
    /// The request did not run. Another one with a part of its prompt is at an endpoint, and its outcome must be known
    /// first.
    PartHeld,
    /// The request did not run, because a part of its prompt crashes the endpoints that run requests with it.
    PartBarred,
}

/// The `Retry-After` for a request that is held. The sidecar usually reports within half a second whether an
/// endpoint ended.
const HELD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The body of the response to a barred request.
const BARRED_BODY: &str =
    "barred: this request was not run; the endpoints that ran it before ended with it";

/// The body of the response to a request with a barred part.
const PART_BARRED_BODY: &str = "part-barred: this request was not run; endpoints ended as they began to respond to requests with a part of its prompt";

/// The `Retry-After` for a request that names something unknown to this gateway; the next attempt reaches another
/// gateway.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The `Retry-After` of a gateway that has no configuration yet.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(600);

impl LocalResponse {
    /// Returns the status.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Refused(_)
            | Self::NoConfiguration
            | Self::Outdated
            | Self::LimitUnknown(_)
            | Self::ExpiredUnsent
            | Self::Held
            | Self::PartHeld => StatusCode::SERVICE_UNAVAILABLE,
            Self::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            // The response must be final: 503, 502 and 504 invite callers and intermediate proxies to retry, and a
            // 4xx would mean that the request is invalid.
            Self::Barred | Self::PartBarred => StatusCode::INTERNAL_SERVER_ERROR,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::ExpiredSent => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken | Self::Stopped => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the value used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.cause.as_str(),
            Self::NoConfiguration => "no-configuration",
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::UnknownKey => "unknown-key",
            Self::OverLimit(_) => "over-limit",
            Self::LimitUnknown(_) => "limit-unknown",
            Self::Outdated => "outdated",
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::ExpiredUnsent => "expired-unsent",
            Self::ExpiredSent => "expired-sent",
            Self::Broken => "broken",
            Self::Stopped => "stopped",
            Self::Held => "held",
            Self::Barred => "barred",
            Self::PartHeld => "part-held",
            Self::PartBarred => "part-barred",
        }
    }

    pub(super) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Refused(refusal) => refusal.retry_after,
            Self::NoConfiguration => Some(UNCONFIGURED_RETRY_AFTER),
            Self::OverLimit(after) | Self::LimitUnknown(after) => Some(after),
            Self::Outdated => Some(OUTDATED_RETRY_AFTER),
            Self::Held | Self::PartHeld => Some(HELD_RETRY_AFTER),
            _ => None,
        }
    }

    /// Returns the response to the request `id`.
    #[must_use]
    pub fn reply(self, id: &str) -> Reply {
        let text = match self {
            Self::Barred => BARRED_BODY,
            Self::PartBarred => PART_BARRED_BODY,
            other => other.as_str(),
        };
        self.reply_with_text(id, text)
    }

    /// Returns the response to the request `id` with `text` as an explanation in its body.
    #[must_use]
    pub fn reply_with_text(self, id: &str, text: &str) -> Reply {
        let mut reply = reply::text(self.status(), format!("{text}\n"));
        let headers = reply.headers_mut();
        headers::set_request_id(headers, id);
        if self.status() == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(after) = self.retry_after() {
            headers::set_retry_after(headers, after);
        }
        reply
    }
}
