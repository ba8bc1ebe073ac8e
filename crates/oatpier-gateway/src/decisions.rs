//! Decision log: one line for each decision that affects a request or changes the process's view of other processes.
//!
//! Lines go through a ring to a thread that writes them to standard output, so that a blocked reader of that output
//! does not block the other threads. The volume is limited to a number of lines per second. Lines about successes are
//! limited further, to leave room for failures, and the number of omitted lines is logged in a line of its own.

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oatpier_duty::duty::{RingReceiver, RingRule, RingSender, StopPhase, StopSignal, ring};
use serde_json::{Map, Value};
use tokio::time::Instant;

use crate::metrics::ServingMetrics;

/// Maximum number of lines per second, of all kinds. At 300 bytes a line this is 60 KB/s, and 2% of a fifth of a
/// core.
const MAX_LINES_PER_SECOND: u32 = 200;

/// Maximum number of lines per second about successes, as part of the total.
const MAX_ROUTINE_LINES_PER_SECOND: u32 = 40;

/// Capacity of the queue of lines to write.
const LINE_RING_CAPACITY: usize = 1_024;

/// How important a line is when not all can be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinePriority {
    /// Reports a success.
    Routine,
    /// Reports a failure, a refusal or a change of the process's view.
    Notable,
}

/// One line of the decision log.
#[derive(Debug)]
pub struct DecisionLine {
    fields: Map<String, Value>,
    priority: LinePriority,
}

impl DecisionLine {
    /// Creates a line about a decision.
    #[must_use]
    pub fn new(priority: LinePriority, decision: &'static str) -> Self {
        let mut fields = Map::new();
        fields.insert("decision".to_owned(), Value::from(decision));
        Self { fields, priority }
    }

    /// Adds a field: an input or an outcome of the decision.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<Value>) -> Self {
        self.fields.insert(name.to_owned(), value.into());
        self
    }
}

/// Lines written in the current second.
#[derive(Debug)]
struct LineWindow {
    started_at: Instant,
    lines: u32,
    routine_lines: u32,
    left_out: u64,
}

/// Writes decision lines. Clones share the same log.
#[derive(Clone)]
pub struct DecisionLog {
    process: Arc<str>,
    started_at: Instant,
    window: Arc<Mutex<LineWindow>>,
    lines: RingSender<String>,
    metrics: ServingMetrics,
}

impl DecisionLog {
    /// Creates the log of a process. The receiver yields the lines for [`write_lines`].
    #[must_use]
    pub fn new(process: &str, metrics: &ServingMetrics) -> (Self, RingReceiver<String>) {
        let full = metrics.lines_left_out.clone();
        let (lines, receiver) = ring(LINE_RING_CAPACITY, RingRule::Drop, full);
        let now = Instant::now();
        let window = LineWindow {
            started_at: now,
            lines: 0,
            routine_lines: 0,
            left_out: 0,
        };
        let log = Self {
            process: Arc::from(process),
            started_at: now,
            window: Arc::new(Mutex::new(window)),
            lines,
            metrics: metrics.clone(),
        };
        (log, receiver)
    }

    /// Logs a decision, unless the limit of the current second is reached.
    pub fn write(&self, line: DecisionLine) {
        match self.admit(line.priority) {
            LineAdmission::Admitted { left_out } => {
                if left_out > 0 {
                    let line = DecisionLine::new(LinePriority::Notable, "lines left out");
                    self.send(line.with("lines", left_out));
                }
                self.send(line);
            }
            LineAdmission::Full => {
                self.metrics.lines_left_out.inc();
            }
        }
    }

    fn admit(&self, priority: LinePriority) -> LineAdmission {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let mut left_out = 0;
        if now.saturating_duration_since(window.started_at) >= Duration::from_secs(1) {
            left_out = window.left_out;
            *window = LineWindow {
                started_at: now,
                lines: 0,
                routine_lines: 0,
                left_out: 0,
            };
        }
        let is_routine = priority == LinePriority::Routine;
        let is_full = window.lines >= MAX_LINES_PER_SECOND
            || (is_routine && window.routine_lines >= MAX_ROUTINE_LINES_PER_SECOND);
        if is_full {
            window.left_out += 1 + left_out;
            return LineAdmission::Full;
        }
        window.lines += 1;
        window.routine_lines += u32::from(is_routine);
        LineAdmission::Admitted { left_out }
    }

    fn send(&self, line: DecisionLine) {
        let mut fields = line.fields;
        let at_ms = self.started_at.elapsed().as_secs_f64() * 1e3;
        fields.insert(
            "at_ms".to_owned(),
            Value::from((at_ms * 10.0).round() / 10.0),
        );
        fields.insert("time_ms".to_owned(), Value::from(wall_clock_ms()));
        fields.insert("process".to_owned(), Value::from(&*self.process));
        // A full ring counts the line as left out.
        let _ = self.lines.try_send(Value::Object(fields).to_string());
    }
}

/// Returns the VM's wall clock time in milliseconds, which relates the lines of several processes to each other. It
/// may jump; `at_ms` counts from the start of the process and does not.
pub(crate) fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |elapsed| elapsed.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Whether a line fits into the limits of the current second.
enum LineAdmission {
    Admitted { left_out: u64 },
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
    if let Some(first) = lines.try_receive() {
        print_lines(first, &lines);
    }
}

/// Writes a line and all lines queued behind it in one call. If standard output is closed, the process continues
/// without its log.
fn print_lines(first: String, lines: &RingReceiver<String>) {
    let mut text = first;
    text.push('\n');
    while let Some(line) = lines.try_receive() {
        text.push_str(&line);
        text.push('\n');
    }
    let mut output = std::io::stdout().lock();
    let _ = output.write_all(text.as_bytes());
    let _ = output.flush();
}
