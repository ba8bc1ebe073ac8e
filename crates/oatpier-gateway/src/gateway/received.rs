//! What the head of an endpoint's response said about a request, for the log and the metrics.

use http::StatusCode;
use oatpier_platform::headers::{ResponseHead, ResponseKind};

use super::core::GatewayCore;

/// The head of a response that arrived for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedHead {
    /// The status.
    pub status: StatusCode,
    /// What it says about the request, or whether it can be trusted.
    pub kind: ResponseKind,
    /// Whether an earlier request used the connection, so that the response may be a late one to that request.
    pub is_reused: bool,
}

impl ReceivedHead {
    /// Returns whether the response is anything but a success of this request.
    pub(super) fn is_failure(self) -> bool {
        self.kind != ResponseKind::Matching || !self.status.is_success()
    }
}

impl GatewayCore {
    /// Counts a response that is a failure, and returns what the log needs of its head.
    pub(super) fn record_received(
        &self,
        head: &ResponseHead,
        status: StatusCode,
        is_reused: bool,
    ) -> ReceivedHead {
        let received = ReceivedHead {
            status,
            kind: head.kind,
            is_reused,
        };
        if received.is_failure() {
            self.metrics
                .count_endpoint_failure(status, head.kind.as_str());
        }
        received
    }
}
