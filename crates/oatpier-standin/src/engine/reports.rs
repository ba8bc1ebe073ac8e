//! Records of an engine's runs, and its delayed load reports.

use std::collections::VecDeque;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::engine::LoadReport;
use serde::{Deserialize, Serialize};

/// Record of a request that began to run, used to check that it ran at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunRecord {
    /// The attempt (`x-request-id`), 32 hex digits.
    pub attempt: String,
    /// The request (the trace id of `traceparent`, else the attempt), 32 hex digits.
    pub request: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The requested model or adapter.
    pub target: String,
    /// The hash of the prompt.
    pub prompt_hash: u64,
    /// Number of tokens after which the answer was resumed.
    pub resume_after: u32,
}

/// Recent load reports, which readers get after a delay.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    lag: Duration,
    reports: VecDeque<(ClockTime, LoadReport)>,
}

impl LoadHistory {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            reports: VecDeque::new(),
        }
    }

    pub(super) fn push(&mut self, now: ClockTime, report: LoadReport) {
        if self.reports.back().is_some_and(|(_, last)| *last == report) {
            return;
        }
        self.reports.push_back((now, report));
        self.prune(now);
    }

    fn prune(&mut self, now: ClockTime) {
        let visible = now - self.lag;
        while self.reports.get(1).is_some_and(|(at, _)| *at <= visible) {
            self.reports.pop_front();
        }
    }

    /// Returns the load as it was one lag ago.
    pub(super) fn read(&self, now: ClockTime) -> LoadReport {
        let visible = now - self.lag;
        let past = self.reports.iter().rev().find(|(at, _)| *at <= visible);
        LoadReport {
            age_ms: u32::try_from(self.lag.as_millis()).unwrap_or(u32::MAX),
            ..past.map(|(_, report)| *report).unwrap_or_default()
        }
    }
}
