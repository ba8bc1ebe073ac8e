//! Answers of the gateway's own: refusals and failures.
//!
//! 503 and 429 promise that the request did not run; a request that may have run gets 502 or 504.

use std::time::Duration;

use http::header::WWW_AUTHENTICATE;
use http::{HeaderValue, StatusCode};
use oatpier_platform::headers;
use oatpier_types::refusal::Refusal;
use oatpier_wire::reply::{self, Reply};

/// Why a request gets an answer of the gateway's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnAnswer {
    /// It was refused and did not run.
    Refused(Refusal),
    /// The gateway has no configuration yet.
    NoConfiguration,
    /// No route takes it.
    NoRoute,
    /// It brings no key, where one is needed.
    NoKey,
    /// No workspace holds its key.
    UnknownKey,
    /// Its workspace has used up its limit; with a time to return.
    OverLimit(Duration),
    /// It is not known here what its workspace has left; with a time to return.
    LimitUnknown(Duration),
    /// What it names is not known here, and may have been added since the store was last read.
    Outdated,
    /// Its headers can't be used.
    Malformed,
    /// Its body is over the limit.
    TooLarge,
    /// Its time passed before it was sent.
    ExpiredUnsent,
    /// Its time passed, and it may have run.
    ExpiredSent,
    /// It was sent, and its answer was lost or spoilt.
    Broken,
    /// It did not run, and may not until its runs elsewhere have turned out: it was at endpoints that ended.
    Held,
    /// It did not run, and does not run any more: it ends the endpoints that run it.
    Barred,
}

/// When to come back with a request that is held. Whether an endpoint ended is known within half a second, as a
/// rule, from its sidecar.
const HELD_RETURN: Duration = Duration::from_millis(500);

/// What the caller of a barred request reads.
const BARRED_TEXT: &str =
    "barred: this request was not run; the endpoints that ran it before ended with it";

/// When to come back with a request that names what is not known here; the next try reaches another gateway.
const OUTDATED_RETURN: Duration = Duration::from_millis(100);

/// When to come back to a gateway that has no configuration yet.
const UNCONFIGURED_RETURN: Duration = Duration::from_millis(600);

impl OwnAnswer {
    /// The status.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Refused(_)
            | Self::NoConfiguration
            | Self::Outdated
            | Self::LimitUnknown(_)
            | Self::ExpiredUnsent
            | Self::Held => StatusCode::SERVICE_UNAVAILABLE,
            Self::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            // Final: 503, 502 and 504 ask callers and the proxies on their way to try again, and a 4xx would say
            // that the request is not a proper one.
            Self::Barred => StatusCode::INTERNAL_SERVER_ERROR,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::ExpiredSent => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
        }
    }

    /// The word that logs and metrics use.
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
            Self::Held => "held",
            Self::Barred => "barred",
        }
    }

    pub(super) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Refused(refusal) => refusal.retry_after,
            Self::NoConfiguration => Some(UNCONFIGURED_RETURN),
            Self::OverLimit(after) | Self::LimitUnknown(after) => Some(after),
            Self::Outdated => Some(OUTDATED_RETURN),
            Self::Held => Some(HELD_RETURN),
            _ => None,
        }
    }

    /// The answer to the request `id`.
    #[must_use]
    pub fn reply(self, id: &str) -> Reply {
        let text = match self {
            Self::Barred => BARRED_TEXT,
            other => other.as_str(),
        };
        self.explained(id, text)
    }

    /// The answer to the request `id`, with an explanation for whoever reads it.
    #[must_use]
    pub fn explained(self, id: &str, text: &str) -> Reply {
        let mut reply = reply::text(self.status(), format!("{text}\n"));
        let headers = reply.headers_mut();
        headers::mark_answer(headers, id);
        if self.status() == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(after) = self.retry_after() {
            headers::set_retry_after(headers, after);
        }
        reply
    }
}
