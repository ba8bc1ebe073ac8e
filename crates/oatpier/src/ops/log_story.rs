//! The story of one request, model, endpoint or content of requests, out of the decision lines of gateways and sidecars.
//!
//! Lines are JSON objects with a `decision`; whatever stands before the object on its line (a
//! collector's time or host) and whatever is no such object is skipped. The story is in the order of
//! the lines' wall clocks, which may differ by milliseconds between VMs.

use std::io::BufRead;

use serde::Serialize;
use serde_json::{Map, Value};

/// Whose story is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StorySubject<'a> {
    /// A request, by the caller's id.
    Request(&'a str),
    /// A model, with its adapters.
    Model(&'a str),
    /// An endpoint, by its present name.
    Endpoint(&'a str),
    /// All requests of one content, by its fingerprint or the start of it.
    Fingerprint(&'a str),
}

/// One decision.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct StoryLine {
    /// Milliseconds of the process's wall clock; 0 where the line has none.
    pub time_ms: u64,
    /// Who decided.
    pub process: String,
    /// What was decided.
    pub decision: String,
    /// The inputs and the outcome.
    pub details: Map<String, Value>,
}

/// Reads the lines that belong to the subject, in order of time.
///
/// # Errors
///
/// The input can't be read.
pub fn read_story(
    input: impl BufRead,
    subject: StorySubject<'_>,
) -> std::io::Result<Vec<StoryLine>> {
    let mut story = Vec::new();
    for line in input.split(b'\n') {
        let line = line?;
        let text = String::from_utf8_lossy(&line);
        story.extend(decision(&text).filter(|decision| subject.is_in(decision)));
    }
    story.sort_by_key(|line| line.time_ms);
    Ok(story)
}

fn decision(text: &str) -> Option<StoryLine> {
    let start = text.find('{')?;
    let mut fields: Map<String, Value> = serde_json::from_str(text[start..].trim_end()).ok()?;
    let decision = fields.remove("decision")?.as_str()?.to_owned();
    let process = fields.remove("process");
    let process = process.as_ref().and_then(Value::as_str).unwrap_or("-");
    let time_ms = fields.remove("time_ms");
    let time_ms = time_ms.as_ref().and_then(Value::as_u64).unwrap_or(0);
    fields.remove("at_ms");
    Some(StoryLine {
        time_ms,
        process: process.to_owned(),
        decision,
        details: fields,
    })
}

impl StorySubject<'_> {
    fn is_in(self, line: &StoryLine) -> bool {
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
                        .is_some_and(|value| names(value, name))
                };
                named("endpoint") || named("failed_at") || named("instance") || named("change")
            }
            // Lines on attempts give the start of a fingerprint, those on crashes the whole of it.
            Self::Fingerprint(wanted) => text("fingerprint")
                .is_some_and(|own| own.starts_with(wanted) || wanted.starts_with(own)),
        }
    }
}

/// Whether a value is the name, a list with it, or a text that quotes it.
fn names(value: &Value, name: &str) -> bool {
    match value {
        Value::String(text) => text == name || text.contains(&format!("\"{name}\"")),
        Value::Array(rows) => rows.iter().any(|row| row.as_str() == Some(name)),
        _ => false,
    }
}
