//! What became of the last requests, for operators who ask why one was refused.

use std::collections::VecDeque;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::RequestId;
use oatpier_types::names::EndpointName;
use oatpier_types::operator::{ExplainRequest, RequestStep};

/// Requests that are remembered; the oldest is forgotten first.
const KEPT_REQUESTS: usize = 1024;
/// Steps that are remembered of one request; of a longer one the first.
const KEPT_STEPS: usize = 48;

/// The last requests that are over.
#[derive(Debug, Default)]
pub struct RequestHistory {
    requests: VecDeque<ExplainRequest>,
}

impl RequestHistory {
    /// Remembers a request.
    pub fn push(&mut self, explained: ExplainRequest) {
        if self.requests.len() >= KEPT_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(explained);
    }

    /// What became of a request; none if it is not known, or no longer.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<ExplainRequest> {
        let name = request.to_string();
        let mut latest = self.requests.iter().rev();
        latest.find(|known| known.request == name).cloned()
    }
}

/// The steps of one request, as they happen.
#[derive(Debug)]
pub struct StepLog {
    started: ClockTime,
    steps: Vec<RequestStep>,
}

impl StepLog {
    /// The log of a request that came at `started`.
    #[must_use]
    pub fn new(started: ClockTime) -> Self {
        Self {
            started,
            steps: Vec::new(),
        }
    }

    /// Notes a step.
    pub fn note(
        &mut self,
        hop: &str,
        endpoint: Option<&EndpointName>,
        detail: impl Into<String>,
        now: ClockTime,
    ) {
        if self.steps.len() >= KEPT_STEPS {
            return;
        }
        let after = now.since(self.started).as_micros();
        self.steps.push(RequestStep {
            after_us: u64::try_from(after).unwrap_or(u64::MAX),
            hop: hop.to_owned(),
            endpoint: endpoint.cloned(),
            detail: detail.into(),
        });
    }

    /// All steps, in order.
    #[must_use]
    pub fn take(&mut self) -> Vec<RequestStep> {
        std::mem::take(&mut self.steps)
    }
}
