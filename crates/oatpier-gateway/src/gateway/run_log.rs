//! Logs and counts the outcome of requests and their attempts.

use std::time::Duration;

use http::StatusCode;
use oatpier_serving::choice::VersionPin;
use oatpier_types::names::{EndpointName, WorkspaceName};
use oatpier_types::software::SoftwareVersion;

use super::attempt_failure::AttemptFailure;
use super::local_responses::LocalResponse;
use super::pauses::StreamPause;
use super::placement::PlacedSend;
use super::run::RequestRun;
use crate::decisions::{DecisionLine, LinePriority};

/// Maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// The end of a stream at an endpoint, before the stream was complete.
pub(super) struct StreamEnd<'a> {
    pub(super) endpoint: &'a EndpointName,
    /// The version of the endpoint's software, if known.
    pub(super) version: Option<&'a SoftwareVersion>,
    pub(super) failure: AttemptFailure,
    /// Number of chunks that the caller has received.
    pub(super) chunks: u32,
    /// Whether the stream goes on at another endpoint.
    pub(super) is_resumed: bool,
}

impl RequestRun {
    /// Logs a failed attempt.
    pub(super) fn log_failure(&self, placed: &PlacedSend, failure: AttemptFailure) {
        let received = placed.received;
        let line = DecisionLine::new(LinePriority::Notable, "attempt failed");
        let line = self
            .with_content(line)
            .with("request", self.context.request.id.as_str())
            .with("fingerprint", self.context.fingerprint.short())
            .with("endpoint", placed.choice.endpoint.as_str())
            .with("cause", failure.as_str())
            .with("verdict", failure.verdict().as_str())
            .with("predicted_ms", millis(placed.choice.predicted))
            .with("queue_ms", millis(placed.choice.queue))
            .with("load_age_ms", placed.load_age.map(millis))
            .with("response_status", received.map(|head| head.status.as_u16()))
            .with("response_kind", received.map(|head| head.kind.as_str()))
            .with("reused_connection", received.map(|head| head.is_reused))
            .with("store_age_ms", self.core.store_age_ms());
        self.core.log.write(line);
    }

    /// Logs a stream that broke off after its first chunk.
    pub(super) fn log_broken_stream(&self, end: &StreamEnd<'_>) {
        let outcome = if end.is_resumed {
            "resumed"
        } else {
            "cut at the caller"
        };
        let waited = self.core.clock.now().since(self.context.arrived);
        let line = DecisionLine::new(LinePriority::Notable, "stream broke off");
        let line = self
            .with_content(line)
            .with("request", self.context.request.id.as_str())
            .with("fingerprint", self.context.fingerprint.short())
            .with("endpoint", end.endpoint.as_str())
            .with("version", end.version.map(ToString::to_string))
            .with("cause", end.failure.as_str())
            .with("outcome", outcome)
            .with("chunks", end.chunks)
            .with("waited_ms", millis(waited));
        self.core.log.write(self.with_resumption_target(line, end));
        self.core.metrics.count_attempt(end.failure.as_str());
        let resumption = if end.is_resumed { "resumed" } else { "cut" };
        self.core.metrics.streams.count_broken(resumption);
    }

    /// Adds what the request has in common with others, so that lines on a crashed endpoint show what its requests
    /// shared.
    fn with_content(&self, line: DecisionLine) -> DecisionLine {
        let context = &self.context;
        let request = &context.request;
        let parts: Vec<String> = request
            .parts
            .iter()
            .take(MAX_LOGGED_PARTS)
            .map(|part| format!("{:x}", part.id))
            .collect();
        let workspace = context.identity.workspace_name();
        line.with("route", context.route.name.as_str())
            .with("weights", request.weights.as_ref().map(ToString::to_string))
            .with("workspace", workspace.map(WorkspaceName::as_str))
            .with("prompt_parts", parts)
    }

    /// Adds where the stream goes on, if it does.
    fn with_resumption_target(&self, line: DecisionLine, end: &StreamEnd<'_>) -> DecisionLine {
        if !end.is_resumed {
            return line;
        }
        let endpoint = self.endpoint.as_ref();
        let version = self.version.as_ref();
        line.with("resumed_at", endpoint.map(ToString::to_string))
            .with("resumed_version", version.map(ToString::to_string))
    }

    /// Logs why a complete stream was late, if it was.
    pub(super) fn log_late_stream(
        &self,
        endpoint: &EndpointName,
        first_chunk_latency: Duration,
        pause: Option<StreamPause>,
    ) {
        let is_late = first_chunk_latency > self.context.route.target;
        let cause = match (is_late, pause.is_some()) {
            (false, false) => return,
            (true, false) => "start",
            (false, true) => "pause",
            (true, true) => "start and pause",
        };
        let line = DecisionLine::new(LinePriority::Notable, "stream late")
            .with("request", self.context.request.id.as_str())
            .with("route", self.context.route.name.as_str())
            .with("endpoint", endpoint.as_str())
            .with("cause", cause)
            .with("first_ms", millis(first_chunk_latency))
            .with("pause_ms", pause.map(|pause| millis(pause.length)))
            .with("after_pieces", pause.map(|pause| pause.after_chunks))
            .with("requests_there", pause.map(|pause| pause.engine.requests))
            .with("waiting_there", pause.map(|pause| pause.engine.waiting))
            .with(
                "reading_ms",
                pause.map(|pause| pause.engine.prefill_ms.round()),
            );
        self.core.log.write(self.with_prediction(line));
    }

    /// Logs a response that an endpoint sent.
    pub(super) fn log_response(&self, status: StatusCode) {
        let (outcome, priority) = if status.is_success() {
            ("answered", LinePriority::Routine)
        } else {
            ("endpoint-error", LinePriority::Notable)
        };
        let line = self.answer_line(priority, outcome);
        self.core.log.write(line.with("status", status.as_u16()));
        self.count_taken_up(outcome);
        self.core
            .metrics
            .count_request(self.context.route.name.as_str(), outcome);
    }

    /// Logs a response that the gateway generated itself.
    pub(super) fn log_local_response(&self, response: LocalResponse) {
        let best = self.best_choice.as_ref();
        let throttled = self.throttled.as_ref();
        let line = self
            .answer_line(LinePriority::Notable, response.as_str())
            .with("fingerprint", self.context.fingerprint.short())
            .with("best", best.map(|choice| choice.endpoint.to_string()))
            .with(
                "best_taken",
                best.map(|choice| hundredths(choice.occupancy)),
            )
            .with("best_queue_ms", best.map(|choice| millis(choice.queue)))
            .with(
                "held_by",
                throttled.map(|throttled| throttled.endpoint.to_string()),
            )
            .with(
                "held_for",
                throttled.map(|throttled| throttled.cause.as_str()),
            )
            .with(
                "held_ms",
                throttled.map(|throttled| millis(throttled.remaining)),
            )
            .with(
                "part",
                self.part_check.refused_for.map(|part| part.to_string()),
            )
            .with("expected_wait_ms", self.context.forecast.expected_ms())
            .with("return_ms", response.retry_after().map(millis))
            .with("status", response.status().as_u16())
            .with("verdict", self.verdict().as_str());
        self.core.log.write(line);
        self.count_taken_up(response.as_str());
        self.core
            .metrics
            .count_request(self.context.route.name.as_str(), response.as_str());
    }

    /// Counts the outcome of a request that takes up a stream.
    fn count_taken_up(&self, outcome: &'static str) {
        if self.context.request.resumption.is_some() {
            self.core.metrics.streams.count_taken_up(outcome);
        }
    }

    fn answer_line(&self, priority: LinePriority, outcome: &'static str) -> DecisionLine {
        let context = &self.context;
        let waited = self.core.clock.now().since(context.arrived);
        let line = DecisionLine::new(priority, "answer")
            .with("request", context.request.id.as_str())
            .with("route", context.route.name.as_str())
            .with("outcome", outcome)
            .with(
                "weights",
                context.request.weights.as_ref().map(ToString::to_string),
            )
            .with("endpoint", self.endpoint.as_ref().map(ToString::to_string))
            .with("version", self.version.as_ref().map(ToString::to_string))
            .with("failed_at", names(&self.excluded))
            .with("waited_ms", millis(waited))
            .with("store_age_ms", self.core.store_age_ms());
        let finding = context.finding;
        let line = match &context.request.resumption {
            Some(resumption) => line
                .with("resumes", resumption.first_attempt.as_deref())
                .with("after_event", resumption.last_event.as_deref())
                .with("stream_version", pinned_version(&context.pin))
                .with("known_by", finding.map(|finding| finding.source.as_str()))
                .with("known_for_ms", finding.map(|finding| millis(finding.age))),
            None => line,
        };
        let workspace = context.identity.workspace_name();
        let line = match workspace {
            Some(name) => line.with("workspace", name.as_str()),
            None => line,
        };
        self.with_prediction(line)
    }

    /// Adds what was predicted for the stream at its endpoint, if the pace of the engine was known.
    fn with_prediction(&self, line: DecisionLine) -> DecisionLine {
        let Some(prediction) = self.prediction else {
            return line;
        };
        line.with("pause_risk", hundredths(prediction.late_pause_risk))
            .with("engine_chunk_ms", millis(prediction.chunk_time))
    }
}

fn pinned_version(pin: &VersionPin) -> Option<String> {
    match pin {
        VersionPin::Only(version) => Some(version.to_string()),
        VersionPin::Any | VersionPin::Unknown => None,
    }
}

fn names(endpoints: &[EndpointName]) -> Vec<String> {
    endpoints.iter().map(ToString::to_string).collect()
}

/// Rounds a ratio to two decimals for a log line.
fn hundredths(share: f64) -> f64 {
    (share * 100.0).round() / 100.0
}

/// Converts a duration to milliseconds with one decimal for a log line.
fn millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e4).round() / 10.0
}
