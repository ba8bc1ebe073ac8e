//! The results, as a table and as JSON.

use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Value, json};

use crate::memory::MemoryRow;

/// Significant digits of a histogram.
const DIGITS: u8 = 3;
/// Upper bound of the histogram, in microseconds: one minute. Longer times are recorded as this value.
const LONGEST_US: u64 = 60_000_000;
/// The reported quantiles.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Latencies of the same call, sent to the engine directly and through the path.
#[derive(Default)]
pub struct LatencyPair {
    direct: LatencySeries,
    path: LatencySeries,
}

/// Latencies in microseconds.
pub struct LatencySeries(Histogram<u64>);

impl Default for LatencySeries {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
        Self(histogram.expect("the bounds and digits are in range"))
    }
}

impl LatencySeries {
    fn add(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    fn at(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }
}

/// One quantile of a pair of latencies, in microseconds.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
pub struct LatencyRow {
    quantile: f64,
    direct_us: u64,
    path_us: u64,
    /// The difference of the two quantiles.
    added_us: i64,
    ratio: f64,
}

impl LatencyPair {
    /// Records one direct call and one call through the path.
    pub fn add(&mut self, direct: Duration, path: Duration) {
        self.direct.add(direct);
        self.path.add(path);
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "microseconds of a call are far below 2^52"
    )]
    fn row(&self, quantile: f64) -> LatencyRow {
        let (direct_us, path_us) = (self.direct.at(quantile), self.path.at(quantile));
        LatencyRow {
            quantile,
            direct_us,
            path_us,
            added_us: path_us.cast_signed() - direct_us.cast_signed(),
            ratio: path_us as f64 / direct_us.max(1) as f64,
        }
    }

    fn rows(&self) -> Vec<LatencyRow> {
        QUANTILES.map(|quantile| self.row(quantile)).to_vec()
    }
}

/// All results of a run.
pub struct CostReport {
    /// The one-minute load average of the machine before the run.
    pub load_average: f64,
    /// Number of calls each way.
    pub calls: usize,
    /// Tokens per answer.
    pub tokens: u32,
    /// Concurrent streams during the memory measurement.
    pub streams: usize,
    /// Streams with a complete answer; the others were refused.
    pub whole_streams: usize,
    /// Latency to the first token.
    pub first_token: LatencyPair,
    /// Latency to the end of the answer.
    pub whole: LatencyPair,
    /// Memory use of each process.
    pub memory: Vec<MemoryRow>,
}

impl CostReport {
    /// Returns the results as JSON.
    pub fn json(&self) -> Value {
        json!({
            "load_average": self.load_average,
            "calls": self.calls,
            "tokens": self.tokens,
            "streams": self.streams,
            "whole_streams": self.whole_streams,
            "first_token": self.first_token.rows(),
            "whole": self.whole.rows(),
            "memory": self.memory,
        })
    }

    /// Returns the results as a table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{} calls each way, {} tokens each; load average before the run: {:.2}\n\n",
            self.calls, self.tokens, self.load_average
        );
        add_line(
            &mut text,
            ["time until", "quantile", "direct", "path", "added", "ratio"],
        );
        add_latency(&mut text, "first token", &self.first_token);
        add_latency(&mut text, "whole answer", &self.whole);
        let streams = format!("{} streams", self.streams);
        let whole = self.whole_streams;
        // Writing to a string can't fail.
        let _ = writeln!(text, "\n{whole} of {streams} got a complete answer");
        add_line(&mut text, ["memory of", "idle", &streams, "", "", ""]);
        for row in &self.memory {
            let (idle, loaded) = (mib(row.idle_kib), mib(row.loaded_kib));
            add_line(&mut text, [&row.name, &idle, &loaded, "", "", ""]);
        }
        text
    }
}

fn add_latency(text: &mut String, name: &str, pair: &LatencyPair) {
    for row in pair.rows() {
        let quantile = format!("{}%", row.quantile * 100.0);
        let direct = millis(row.direct_us.cast_signed());
        let path = millis(row.path_us.cast_signed());
        let added = millis(row.added_us);
        let ratio = format!("{:.3}", row.ratio);
        add_line(text, [name, &quantile, &direct, &path, &added, &ratio]);
    }
}

fn add_line(text: &mut String, cells: [&str; 6]) {
    let [name, rest @ ..] = cells;
    let mut line = format!("{name:<20}");
    for cell in rest {
        // Writing to a string can't fail.
        let _ = write!(line, " {cell:>11}");
    }
    text.push_str(line.trim_end());
    text.push('\n');
}

#[expect(
    clippy::cast_precision_loss,
    reason = "microseconds of a call are far below 2^52"
)]
fn millis(micros: i64) -> String {
    format!("{:.3} ms", micros as f64 / 1000.0)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the memory of a process in KiB is far below 2^52"
)]
fn mib(kib: u64) -> String {
    format!("{:.1} MiB", kib as f64 / 1024.0)
}
