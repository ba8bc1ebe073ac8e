//! Callers whose requests and answers are logged, so that the checker can judge them.

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
use super::http::{CallerAnswer, StreamEnd, ToldError, client, read};

/// The first request's number; no test has so many.
const FIRST_REQUEST: u64 = 0x0a7_0000;

/// Sends requests and logs what their callers saw.
///
/// The endpoints have clocks of their own, which the callers don't know. So the log keeps the
/// order alone: requests are sent at its start, and answered at its end.
pub struct CallerLog {
    client: HttpClient,
    next: AtomicU64,
    events: Mutex<Vec<LoggedEvent>>,
}

/// One request that is made again and again by its caller.
#[derive(Debug, Clone, Default)]
pub struct PlanCall<'c> {
    /// The plan that is applied.
    pub plan: usize,
    pub key: Option<&'c str>,
    pub class: Option<&'c str>,
}

/// What a caller saw of its call: an answer, or the end of its entry.
pub type CallView = Option<StreamEnd>;

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
    /// Logs something else that the checker has to know.
    pub fn note(&self, at: ClockTime, event: FleetEvent) {
        self.events.lock().unwrap().push(LoggedEvent { at, event });
    }

    fn sent(&self, repeat: Repeat, key: Option<&str>) -> RequestId {
        let request = RequestId(self.next.fetch_add(1, Ordering::Relaxed).into());
        let key = key.map(key_hash);
        let event = FleetEvent::RequestSent {
            request,
            repeat,
            key,
        };
        self.note(ClockTime::ZERO, event);
        request
    }

    /// Notes how a call ended. Nobody can tell a caller anything whose entry has died; such a
    /// caller counts as one that went away.
    fn ended(&self, request: RequestId, view: &CallView) {
        let stranger = RequestId(0);
        let (end, verdict, content_of) = match view {
            Some(StreamEnd::Whole) => (AnswerEnd::Whole, RunVerdict::Ran, Some(request)),
            Some(StreamEnd::Error(told)) => (AnswerEnd::Error, verdict_of(told), None),
            Some(StreamEnd::Cut) => (AnswerEnd::Cut, RunVerdict::MayHaveRun, None),
            Some(StreamEnd::Wrong(_)) => (AnswerEnd::Whole, RunVerdict::Ran, Some(stranger)),
            None => (AnswerEnd::CallerGone, RunVerdict::MayHaveRun, None),
        };
        let event = FleetEvent::AnswerEnded {
            request,
            content_of,
            end,
            verdict,
            in_time: true,
        };
        self.note(ClockTime::NEVER, event);
    }

    /// A streamed chat completion of `tables` with a prompt of its own.
    pub async fn chat(&self, entry: SocketAddr, prompt: &str, tokens: u32) -> CallView {
        let request = self.sent(Repeat::Idempotent, None);
        let view = self.stream(request, entry, prompt, tokens).await;
        self.ended(request, &view);
        view
    }

    /// The same at an entry that dies under it: a cut answer tells no more than none.
    pub async fn chat_at_dying(&self, entry: SocketAddr, prompt: &str, tokens: u32) -> CallView {
        let request = self.sent(Repeat::Idempotent, None);
        let view = self.stream(request, entry, prompt, tokens).await;
        let view = view.filter(|end| *end != StreamEnd::Cut);
        self.ended(request, &view);
        view
    }

    async fn stream(
        &self,
        request: RequestId,
        entry: SocketAddr,
        prompt: &str,
        tokens: u32,
    ) -> CallView {
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

    /// A service call that may run only once.
    pub async fn apply_plan(&self, entry: SocketAddr, call: &PlanCall<'_>) -> CallView {
        let request = self.sent(Repeat::AtMostOnce, call.key);
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
        let view = answer.map(|answer| answer.call_end(&path));
        self.ended(request, &view);
        view
    }

    /// What the checker finds in this log and the endpoints' records.
    pub async fn breaches(&self, fleet: &Fleet) -> Vec<RuleBreach> {
        let mut log = self.events.lock().unwrap().clone();
        log.extend(fleet.endpoint_events().await);
        LogChecker::new(RuleBounds::default()).check(&log)
    }
}

fn verdict_of(told: &ToldError) -> RunVerdict {
    match told.verdict.as_str() {
        "not-run" => RunVerdict::NotRun,
        "may-have-run" => RunVerdict::MayHaveRun,
        "ran" => RunVerdict::Ran,
        other => panic!("an error has to carry a verdict, not `{other}`"),
    }
}

fn trace(request: RequestId) -> String {
    format!("00-{request}-00000000000000a1-01")
}

impl CallerAnswer {
    /// Judges the answer of the plain service to a call of `path`.
    fn call_end(&self, path: &str) -> StreamEnd {
        if !self.status.is_success() {
            return self.stream_end("", 0);
        }
        let call: serde_json::Value = serde_json::from_str(&self.text).unwrap_or_default();
        match (self.framed, call["path"].as_str()) {
            (true, Some(found)) if found == path => StreamEnd::Whole,
            (false, _) => StreamEnd::Cut,
            _ => StreamEnd::Wrong(self.text.clone()),
        }
    }
}
