//! Extracts the decisions on one request, model, endpoint or request fingerprint from the logs of gateways and
//! sidecars.
//!
//! Decision lines are JSON objects with a `decision` field. Text before the object on its line (such as a log
//! collector's time or host) and lines without such an object are skipped. The decisions are sorted by the wall-clock
//! times of their lines, which may differ by milliseconds between VMs.

use std::io::BufRead;

use serde::Serialize;
use serde_json::{Map, Value};

/// The subject whose decisions are extracted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogSubject<'a> {
    /// A request, by the id that its caller gave.
    Request(&'a str),
    /// A model, with its adapters.
    Model(&'a str),
    /// An endpoint, by its current name.
    Endpoint(&'a str),
    /// All requests with the same content, by the fingerprint or a prefix of it.
    Fingerprint(&'a str),
}

/// One logged decision.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct DecisionLine {
    /// Wall-clock time of the process, in milliseconds; 0 if the line has none.
    pub time_ms: u64,
    /// The process that decided.
    pub process: String,
    /// The name of the decision.
    pub decision: String,
    /// The inputs and the outcome of the decision.
    pub details: Map<String, Value>,
}

/// Reads the decisions on the subject, sorted by time.
///
/// # Errors
///
/// Returns an error if the input can't be read.
pub fn read_decisions(
    input: impl BufRead,
    subject: LogSubject<'_>,
) -> std::io::Result<Vec<DecisionLine>> {
    let mut decisions = Vec::new();
    for_each_decision(input, |decision| {
        decisions.extend(Some(decision).filter(|decision| subject.is_named_in(decision)));
    })?;
    decisions.sort_by_key(|line| line.time_ms);
    Ok(decisions)
}

/// Calls `visit` with each decision, in the order of the input.
///
/// # Errors
///
/// Returns an error if the input can't be read.
pub fn for_each_decision(
    input: impl BufRead,
    mut visit: impl FnMut(DecisionLine),
) -> std::io::Result<()> {
    for line in input.split(b'\n') {
        let line = line?;
        if let Some(decision) = parse_decision(&String::from_utf8_lossy(&line)) {
            visit(decision);
        }
    }
    Ok(())
}

fn parse_decision(text: &str) -> Option<DecisionLine> {
    let start = text.find('{')?;
    let mut fields: Map<String, Value> = serde_json::from_str(text[start..].trim_end()).ok()?;
    let decision = fields.remove("decision")?.as_str()?.to_owned();
    let process = fields.remove("process");
    let process = process.as_ref().and_then(Value::as_str).unwrap_or("-");
    let time_ms = fields.remove("time_ms");
    let time_ms = time_ms.as_ref().and_then(Value::as_u64).unwrap_or(0);
    fields.remove("at_ms");
    Some(DecisionLine {
        time_ms,
        process: process.to_owned(),
        decision,
        details: fields,
    })
}

impl LogSubject<'_> {
    fn is_named_in(self, line: &DecisionLine) -> bool {
        let text = |name: &str| line.details.get(name).and_then(Value::as_str);
        match self {
            Self::Request(id) => text("request") == Some(id),
            Self::Model(name) => {
                let of_model = |weights: &str| weights.split('/').next() == Some(name);
                text("model") == Some(name) || text("weights").is_some_and(of_model)
            }
            Self::Endpoint(name) => {
                let named = |key: &str| {
                    line.details
                        .get(key)
                        .is_some_and(|value| contains_name(value, name))
                };
                named("endpoint") || named("failed_at") || named("instance") || named("change")
            }
            // Lines on attempts and answers have a prefix of the fingerprint, lines on crashes the whole fingerprint.
            Self::Fingerprint(wanted) => text("fingerprint")
                .is_some_and(|own| own.starts_with(wanted) || wanted.starts_with(own)),
        }
    }
}

/// Returns whether a value is the name, a list that contains it, or a text that quotes it.
fn contains_name(value: &Value, name: &str) -> bool {
    match value {
        Value::String(text) => text == name || text.contains(&format!("\"{name}\"")),
        Value::Array(rows) => rows.iter().any(|row| row.as_str() == Some(name)),
        _ => false,
    }
}
