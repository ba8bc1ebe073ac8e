//! Summarizes the decision lines of a period: which requests were served late or refused, where and why.
//!
//! Processes leave out some lines about successes under load, so the counts of answered requests are lower bounds.

use std::collections::BTreeMap;
use std::io::BufRead;

use serde::Serialize;
use serde_json::Value;

use super::decision_log::{self, DecisionLine};

/// Outcome of a request that an endpoint answered.
const ANSWERED: &str = "answered";

/// Share of an endpoint's slots from which it counts as full.
const FULL_SHARE: f64 = 0.94;

/// Name that stands for a missing one.
const UNKNOWN: &str = "-";

/// Responses of one route, endpoint or workspace.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct ResponseCounts {
    /// Responses of endpoints.
    pub answered: u64,
    /// Complete streams whose first chunk was late.
    pub late_start: u64,
    /// Complete streams with a pause that was too long.
    pub late_pause: u64,
    /// Requests that got another response.
    pub refused: u64,
}

/// Responses of one route, endpoint or workspace, with its name.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct NamedCounts {
    /// The name.
    pub name: String,
    /// The responses.
    #[serde(flatten)]
    pub counts: ResponseCounts,
}

/// Requests of one route that were refused for one cause.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct RefusalSummary {
    /// The route.
    pub route: String,
    /// The cause.
    pub cause: String,
    /// The number of requests.
    pub requests: u64,
    /// The number of them for which the best endpoint had free slots.
    pub with_free_slots: u64,
    /// The median of the time that they waited, in milliseconds.
    pub waited_ms: f64,
    /// The median of the time after which their callers should return, in milliseconds; `None` if none was stated.
    pub return_ms: Option<f64>,
}

/// Summary of a period.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize)]
pub struct LogSummary {
    /// By route.
    pub routes: Vec<NamedCounts>,
    /// By workspace; empty if no line names one.
    pub workspaces: Vec<NamedCounts>,
    /// By endpoint, those with most late streams first.
    pub endpoints: Vec<NamedCounts>,
    /// Refused requests by route and cause, the most frequent first.
    pub refusals: Vec<RefusalSummary>,
    /// Number of lines, mostly about successes, that processes left out.
    pub lines_left_out: u64,
}

/// Values of the refusals of one route and cause.
#[derive(Debug, Default)]
struct RefusalSamples {
    waited_ms: Vec<f64>,
    return_ms: Vec<f64>,
    with_free_slots: u64,
}

/// Collects decisions for a summary.
#[derive(Debug, Default)]
pub struct SummaryBuilder {
    routes: BTreeMap<String, ResponseCounts>,
    workspaces: BTreeMap<String, ResponseCounts>,
    endpoints: BTreeMap<String, ResponseCounts>,
    refusals: BTreeMap<(String, String), RefusalSamples>,
    lines_left_out: u64,
}

impl SummaryBuilder {
    /// Adds all decisions of a log.
    ///
    /// # Errors
    ///
    /// Returns an error if the input can't be read.
    pub fn read(&mut self, input: impl BufRead) -> std::io::Result<()> {
        decision_log::for_each_decision(input, |line| self.add(&line))
    }

    fn add(&mut self, line: &DecisionLine) {
        match line.decision.as_str() {
            "answer" => self.add_answer(line),
            "stream late" => self.add_late_stream(line),
            "lines left out" => self.lines_left_out += count(line, "lines"),
            _ => {}
        }
    }

    fn add_answer(&mut self, line: &DecisionLine) {
        let is_answered = text(line, "outcome") == ANSWERED;
        let note = |counts: &mut ResponseCounts| {
            let counter = if is_answered {
                &mut counts.answered
            } else {
                &mut counts.refused
            };
            *counter += 1;
        };
        note(self.routes.entry(text(line, "route")).or_default());
        if line.details.get("workspace").is_some_and(Value::is_string) {
            note(self.workspaces.entry(text(line, "workspace")).or_default());
        }
        if is_answered {
            note(self.endpoints.entry(text(line, "endpoint")).or_default());
        } else {
            self.add_refusal(line);
        }
    }

    fn add_refusal(&mut self, line: &DecisionLine) {
        let key = (text(line, "route"), text(line, "outcome"));
        let samples = self.refusals.entry(key).or_default();
        samples.waited_ms.extend(number(line, "waited_ms"));
        samples.return_ms.extend(number(line, "return_ms"));
        let has_free_slots = number(line, "best_taken").is_some_and(|taken| taken < FULL_SHARE);
        samples.with_free_slots += u64::from(has_free_slots);
    }

    fn add_late_stream(&mut self, line: &DecisionLine) {
        let cause = text(line, "cause");
        let note = |counts: &mut ResponseCounts| {
            counts.late_start += u64::from(cause.contains("start"));
            counts.late_pause += u64::from(cause.contains("pause"));
        };
        note(self.routes.entry(text(line, "route")).or_default());
        note(self.endpoints.entry(text(line, "endpoint")).or_default());
    }

    /// Returns the summary of all decisions so far.
    #[must_use]
    pub fn finish(self) -> LogSummary {
        let mut endpoints = named(self.endpoints);
        endpoints
            .sort_by_key(|row| std::cmp::Reverse(row.counts.late_start + row.counts.late_pause));
        let refusals = self.refusals.into_iter();
        let mut refusals: Vec<RefusalSummary> = refusals.map(summarize_refusals).collect();
        refusals.sort_by_key(|row| std::cmp::Reverse(row.requests));
        LogSummary {
            routes: named(self.routes),
            workspaces: named(self.workspaces),
            endpoints,
            refusals,
            lines_left_out: self.lines_left_out,
        }
    }
}

fn named(counts: BTreeMap<String, ResponseCounts>) -> Vec<NamedCounts> {
    let rows = counts.into_iter();
    rows.map(|(name, counts)| NamedCounts { name, counts })
        .collect()
}

fn summarize_refusals(
    ((route, cause), samples): ((String, String), RefusalSamples),
) -> RefusalSummary {
    RefusalSummary {
        route,
        cause,
        requests: u64::try_from(samples.waited_ms.len()).unwrap_or(u64::MAX),
        with_free_slots: samples.with_free_slots,
        waited_ms: median(samples.waited_ms).unwrap_or(0.0),
        return_ms: median(samples.return_ms),
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

fn text(line: &DecisionLine, name: &str) -> String {
    let value = line.details.get(name).and_then(Value::as_str);
    value.unwrap_or(UNKNOWN).to_owned()
}

fn number(line: &DecisionLine, name: &str) -> Option<f64> {
    line.details.get(name).and_then(Value::as_f64)
}

fn count(line: &DecisionLine, name: &str) -> u64 {
    line.details.get(name).and_then(Value::as_u64).unwrap_or(0)
}
