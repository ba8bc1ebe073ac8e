//! Decision lines: one for each decision that touches a request or changes what is believed.
//!
//! Lines go through a ring to a duty that writes them to standard output, so that a reader who
//! stops reading blocks nobody. Their volume is bounded: each second has room for a number of
//! lines; good ends give way to failures, and what was left out is counted in a line of its own.

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oatpier_duty::duty::{RingReceiver, RingRule, RingSender, StopPhase, StopSignal, ring};
use serde_json::{Map, Value};
use tokio::time::Instant;

use crate::metrics::ServingMetrics;

/// Lines a second, of all kinds. At 300 bytes a line this is 60 KB/s, and 2% of a fifth of a core.
const LINES_PER_SECOND: u32 = 200;

/// Of these, lines on what went well.
const CALM_LINES_PER_SECOND: u32 = 40;

/// Lines that wait to be written.
const RING_LINES: usize = 1_024;

/// How much a line matters when not all can be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineWeight {
    /// Something went well.
    Calm,
    /// A failure, a refusal or a change of belief.
    Notable,
}

/// One line.
#[derive(Debug)]
pub struct DecisionLine {
    fields: Map<String, Value>,
    weight: LineWeight,
}

impl DecisionLine {
    /// A line about a decision.
    #[must_use]
    pub fn new(weight: LineWeight, decision: &'static str) -> Self {
        let mut fields = Map::new();
        fields.insert("decision".to_owned(), Value::from(decision));
        Self { fields, weight }
    }

    /// Adds an input or an outcome.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<Value>) -> Self {
        self.fields.insert(name.to_owned(), value.into());
        self
    }
}

/// How much was written in the present second.
#[derive(Debug)]
struct LineWindow {
    begun: Instant,
    lines: u32,
    calm: u32,
    left_out: u64,
}

/// Where decisions are logged. Cloning shares it.
#[derive(Clone)]
pub struct DecisionLog {
    process: Arc<str>,
    start: Instant,
    window: Arc<Mutex<LineWindow>>,
    lines: RingSender<String>,
    metrics: ServingMetrics,
}

impl DecisionLog {
    /// A log of the process, and what its duty reads.
    #[must_use]
    pub fn new(process: &str, metrics: &ServingMetrics) -> (Self, RingReceiver<String>) {
        let full = metrics.lines_left_out.clone();
        let (lines, receiver) = ring(RING_LINES, RingRule::Drop, full);
        let now = Instant::now();
        let window = LineWindow {
            begun: now,
            lines: 0,
            calm: 0,
            left_out: 0,
        };
        let log = Self {
            process: Arc::from(process),
            start: now,
            window: Arc::new(Mutex::new(window)),
            lines,
            metrics: metrics.clone(),
        };
        (log, receiver)
    }

    /// Logs a decision, unless the second is full.
    pub fn write(&self, line: DecisionLine) {
        match self.place_for(line.weight) {
            LinePlace::Taken { left_out } => {
                if left_out > 0 {
                    let line = DecisionLine::new(LineWeight::Notable, "lines left out");
                    self.send(line.with("lines", left_out));
                }
                self.send(line);
            }
            LinePlace::Full => {
                self.metrics.lines_left_out.inc();
            }
        }
    }

    fn place_for(&self, weight: LineWeight) -> LinePlace {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let mut left_out = 0;
        if now.saturating_duration_since(window.begun) >= Duration::from_secs(1) {
            left_out = window.left_out;
            *window = LineWindow {
                begun: now,
                lines: 0,
                calm: 0,
                left_out: 0,
            };
        }
        let is_calm = weight == LineWeight::Calm;
        let full =
            window.lines >= LINES_PER_SECOND || (is_calm && window.calm >= CALM_LINES_PER_SECOND);
        if full {
            window.left_out += 1 + left_out;
            return LinePlace::Full;
        }
        window.lines += 1;
        window.calm += u32::from(is_calm);
        LinePlace::Taken { left_out }
    }

    fn send(&self, line: DecisionLine) {
        let mut fields = line.fields;
        let at_ms = self.start.elapsed().as_secs_f64() * 1e3;
        fields.insert(
            "at_ms".to_owned(),
            Value::from((at_ms * 10.0).round() / 10.0),
        );
        fields.insert("time_ms".to_owned(), Value::from(wall_clock_ms()));
        fields.insert("process".to_owned(), Value::from(&*self.process));
        // A full ring counts the line by itself.
        let _ = self.lines.offer(Value::Object(fields).to_string());
    }
}

/// The VM's time of day, for reading the lines of several processes together. It may jump; `at_ms`
/// counts from the process's start and does not.
pub(crate) fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |since| since.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Whether a line has a place in its second.
enum LinePlace {
    Taken { left_out: u64 },
    Full,
}

/// Writes lines to standard output until the process ends.
pub async fn write_lines(lines: RingReceiver<String>, stop: StopSignal) {
    let writing = async {
        while let Some(first) = lines.receive().await {
            print_lines(first, &lines);
        }
    };
    tokio::select! {
        () = writing => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
    if let Some(first) = lines.poll() {
        print_lines(first, &lines);
    }
}

/// Writes a line and those that wait behind it at once. Nobody may be reading any more; the process
/// goes on without its log then.
fn print_lines(first: String, lines: &RingReceiver<String>) {
    let mut text = first;
    text.push('\n');
    while let Some(line) = lines.poll() {
        text.push_str(&line);
        text.push('\n');
    }
    let mut output = std::io::stdout().lock();
    let _ = output.write_all(text.as_bytes());
    let _ = output.flush();
}
