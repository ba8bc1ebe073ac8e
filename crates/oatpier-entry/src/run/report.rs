//! History, metrics and log entry of a finished request.

use std::time::Duration;

use oatpier_duty::observe::metrics::AnswerLabels;
use oatpier_policy::event::EntryEvent;
use oatpier_policy::outcome::{FinalAnswer, FinalCause};
use oatpier_types::names::EndpointName;
use oatpier_types::operator::ExplainRequest;

use super::RequestRun;

impl RequestRun {
    pub(super) fn record_outcome(&mut self, answer: &FinalAnswer) {
        self.add_step("answer", None, answer.cause.as_str());
        let refusal = match answer.cause {
            FinalCause::Refused(cause) => Some(cause),
            _ => None,
        };
        self.core.record_outcome(ExplainRequest {
            request: self.identity.request.to_string(),
            class: self.call.class.clone(),
            verdict: answer.verdict,
            refusal,
            in_time: Some(answer.in_time),
            steps: self.steps.take(),
        });
    }

    pub(super) fn add_step(
        &mut self,
        hop: &str,
        endpoint: Option<&EndpointName>,
        detail: impl Into<String>,
    ) {
        let now = self.core.clock.now();
        self.steps.add(hop, endpoint, detail, now);
    }

    pub(super) fn count(&self, answer: &FinalAnswer) {
        let end = match answer.cause {
            FinalCause::Complete => "whole",
            FinalCause::Refused(cause) => {
                self.core.metrics.count_refusal(cause);
                "refused"
            }
            FinalCause::CallerGone => "caller-gone",
            FinalCause::DeadlinePassed | FinalCause::Incomplete => "error",
        };
        let labels = AnswerLabels {
            class: self.call.class.to_string(),
            end,
            verdict: answer.verdict.as_str(),
            in_time: if answer.in_time { "yes" } else { "no" },
        };
        self.core.metrics.answers.get_or_create(&labels).inc();
    }

    pub(super) fn log(&self, answer: &FinalAnswer) {
        let request_id = self.identity.request.to_string();
        let trace_id = format!("{:032x}", self.identity.trace);
        let cause = answer.cause.as_str();
        let verdict = answer.verdict.as_str();
        let took = self.core.clock.now().since(self.started);
        let took_ms = millis(took);
        if answer.cause == FinalCause::Complete {
            spdlog::debug!("answered", kv: { request_id, trace_id, cause, verdict, took_ms });
        } else {
            spdlog::warn!("not answered", kv: { request_id, trace_id, cause, verdict, took_ms });
        }
    }
}

/// Returns an operator-readable description of how an attempt ended.
pub(super) fn describe_end(event: &EntryEvent) -> String {
    match event {
        EntryEvent::Ended { .. } => "came to its end".to_owned(),
        EntryEvent::Refused { refusal, .. } => format!("refused: {}", refusal.cause.as_str()),
        EntryEvent::Failed { verdict, .. } => format!("failed: {}", verdict.as_str()),
        EntryEvent::ConnectionLost { .. } => "was cut: may have run".to_owned(),
        EntryEvent::ConnectFailed { .. } => "no connection: did not run".to_owned(),
        _ => "over".to_owned(),
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
