//! Callers whose requests and answers are logged for the checker.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http::{Method, Request};
use oatpier_checker::{LogChecker, RuleBounds, RuleBreach};
use oatpier_standin::answer::key_hash;
use oatpier_types::clock::ClockTime;
use oatpier_types::event::{AnswerEnd, FleetEvent, LoggedEvent};
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::{Repeat, RunVerdict};
use oatpier_wire::client::HttpClient;
use serde_json::json;

use super::fleet::Fleet;
use super::http::{CallerAnswer, CallerError, StreamEnd, client, read};

/// Id of the first request; greater than the number of requests in any test.
const FIRST_REQUEST: u64 = 0x0a7_0000;

/// Sends requests and logs the outcomes that their callers saw.
///
/// Each endpoint has its own clock, which the callers don't know. The log therefore only keeps the order: requests are
/// logged at time zero, and answers at the end of time.
pub struct CallerLog {
    client: HttpClient,
    next: AtomicU64,
    events: Mutex<Vec<LoggedEvent>>,
}

/// A service call that applies a plan and may run only once.
#[derive(Debug, Clone, Default)]
pub struct PlanCall<'c> {
    /// The number of the plan.
    pub plan: usize,
    pub key: Option<&'c str>,
    pub class: Option<&'c str>,
}

/// The outcome of a call as its caller saw it; `None` if its entry died before an answer began.
pub type CallOutcome = Option<StreamEnd>;

impl Default for CallerLog {
    fn default() -> Self {
        Self {
            client: client(),
            next: AtomicU64::new(FIRST_REQUEST),
            events: Mutex::default(),
        }
    }
}

impl CallerLog {
    /// Logs an event for the checker.
    pub fn record_event(&self, at: ClockTime, event: FleetEvent) {
        self.events.lock().unwrap().push(LoggedEvent { at, event });
    }

    fn record_sent(&self, repeat: Repeat, key: Option<&str>) -> RequestId {
        let request = RequestId(self.next.fetch_add(1, Ordering::Relaxed).into());
        let key = key.map(key_hash);
        let event = FleetEvent::RequestSent {
            request,
            repeat,
            key,
        };
        self.record_event(ClockTime::ZERO, event);
        request
    }

    /// Logs how a call ended. If the entry has died, its caller can't get an answer, so the call is logged as one whose
    /// caller disconnected.
    fn record_end(&self, request: RequestId, outcome: &CallOutcome) {
        let unknown_request = RequestId(0);
        let (end, verdict, content_of) = match outcome {
            Some(StreamEnd::Whole) => (AnswerEnd::Whole, RunVerdict::Ran, Some(request)),
            Some(StreamEnd::Error(error)) => (AnswerEnd::Error, verdict_of(error), None),
            Some(StreamEnd::Cut) => (AnswerEnd::Cut, RunVerdict::MayHaveRun, None),
            Some(StreamEnd::Wrong(_)) => (AnswerEnd::Whole, RunVerdict::Ran, Some(unknown_request)),
            None => (AnswerEnd::CallerGone, RunVerdict::MayHaveRun, None),
        };
        let event = FleetEvent::AnswerEnded {
            request,
            content_of,
            end,
            verdict,
            in_time: true,
        };
        self.record_event(ClockTime::NEVER, event);
    }

    /// Sends a streamed chat completion to the model `tables`.
    pub async fn chat(&self, entry: SocketAddr, prompt: &str, tokens: u32) -> CallOutcome {
        let request = self.record_sent(Repeat::Idempotent, None);
        let outcome = self.stream(request, entry, prompt, tokens).await;
        self.record_end(request, &outcome);
        outcome
    }

    /// Sends a streamed chat completion to an entry that is killed meanwhile. A truncated answer counts as no answer.
    pub async fn chat_with_killed_entry(
        &self,
        entry: SocketAddr,
        prompt: &str,
        tokens: u32,
    ) -> CallOutcome {
        let request = self.record_sent(Repeat::Idempotent, None);
        let outcome = self.stream(request, entry, prompt, tokens).await;
        let outcome = outcome.filter(|end| *end != StreamEnd::Cut);
        self.record_end(request, &outcome);
        outcome
    }

    async fn stream(
        &self,
        request: RequestId,
        entry: SocketAddr,
        prompt: &str,
        tokens: u32,
    ) -> CallOutcome {
        let body = json!({
            "model": "tables",
            "stream": true,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        let call = Request::post("/v1/chat/completions").header("traceparent", trace(request));
        let call = call.body(Bytes::from(body.to_string())).unwrap();
        let answer = read(&self.client, entry, call).await;
        answer.map(|answer| answer.stream_end(prompt, tokens))
    }

    /// Sends a service call that may run only once.
    pub async fn apply_plan(&self, entry: SocketAddr, call: &PlanCall<'_>) -> CallOutcome {
        let request = self.record_sent(Repeat::AtMostOnce, call.key);
        let path = format!("/plans/{}/apply", call.plan);
        let mut parts = Request::builder()
            .method(Method::POST)
            .uri(format!("/services/plan-api{path}"))
            .header("traceparent", trace(request));
        if let Some(key) = call.key {
            parts = parts.header("idempotency-key", key);
        }
        if let Some(class) = call.class {
            parts = parts.header("oatpier-class", class);
        }
        let answer = read(&self.client, entry, parts.body(Bytes::new()).unwrap()).await;
        let outcome = answer.map(|answer| answer.call_end(&path));
        self.record_end(request, &outcome);
        outcome
    }

    /// Returns the violations that the checker finds in this log and the endpoints' records.
    pub async fn breaches(&self, fleet: &Fleet) -> Vec<RuleBreach> {
        let mut log = self.events.lock().unwrap().clone();
        log.extend(fleet.endpoint_events().await);
        LogChecker::new(RuleBounds::default()).check(&log)
    }
}

fn verdict_of(error: &CallerError) -> RunVerdict {
    match error.verdict.as_str() {
        "not-run" => RunVerdict::NotRun,
        "may-have-run" => RunVerdict::MayHaveRun,
        "ran" => RunVerdict::Ran,
        other => panic!("unexpected verdict `{other}` in an error answer"),
    }
}

fn trace(request: RequestId) -> String {
    format!("00-{request}-00000000000000a1-01")
}

impl CallerAnswer {
    /// Classifies the answer of the plain service to a call of `path`.
    fn call_end(&self, path: &str) -> StreamEnd {
        if !self.status.is_success() {
            return self.stream_end("", 0);
        }
        let call: serde_json::Value = serde_json::from_str(&self.text).unwrap_or_default();
        match (self.is_complete, call["path"].as_str()) {
            (true, Some(found)) if found == path => StreamEnd::Whole,
            (false, _) => StreamEnd::Cut,
            _ => StreamEnd::Wrong(self.text.clone()),
        }
    }
}
