//! Outcomes of recent requests, for operators who investigate a refusal.

use std::collections::VecDeque;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::RequestId;
use oatpier_types::names::EndpointName;
use oatpier_types::operator::{ExplainRequest, RequestStep};

/// Number of requests kept; the oldest is dropped first.
const MAX_REQUESTS: usize = 1024;
/// Number of steps kept per request; later steps are dropped.
const MAX_STEPS: usize = 48;

/// Recently finished requests.
#[derive(Debug, Default)]
pub struct RequestHistory {
    requests: VecDeque<ExplainRequest>,
}

impl RequestHistory {
    /// Adds a request.
    pub fn push(&mut self, explained: ExplainRequest) {
        if self.requests.len() >= MAX_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(explained);
    }

    /// Returns the outcome of a request, or `None` if it is unknown or already dropped.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<ExplainRequest> {
        let name = request.to_string();
        let mut latest = self.requests.iter().rev();
        latest.find(|known| known.request == name).cloned()
    }
}

/// Steps of one request in chronological order.
#[derive(Debug)]
pub struct StepLog {
    started: ClockTime,
    steps: Vec<RequestStep>,
}

impl StepLog {
    /// Creates the log of a request that arrived at `started`.
    #[must_use]
    pub fn new(started: ClockTime) -> Self {
        Self {
            started,
            steps: Vec::new(),
        }
    }

    /// Adds a step.
    pub fn add(
        &mut self,
        hop: &str,
        endpoint: Option<&EndpointName>,
        detail: impl Into<String>,
        now: ClockTime,
    ) {
        if self.steps.len() >= MAX_STEPS {
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

    /// Takes all steps, in order.
    #[must_use]
    pub fn take(&mut self) -> Vec<RequestStep> {
        std::mem::take(&mut self.steps)
    }
}
