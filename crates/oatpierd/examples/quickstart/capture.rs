//! Captures the output of the daemons in this process: log lines, and spans on the standard output.

use std::error::Error;
use std::fs::File;
use std::io::{BufRead, BufReader, PipeReader, Write};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, PoisonError};

use serde::Deserialize;
use serde_json::Value;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;

/// A span, as a daemon prints it.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct HopLine {
    /// The name of the hop.
    pub span: String,
    /// The name of the process.
    pub daemon: String,
    /// The trace id.
    pub trace_id: String,
    /// The span id.
    pub span_id: String,
    /// The id of the parent span.
    pub parent_id: String,
    /// Start time, in microseconds.
    pub start_us: u64,
    /// Duration, in microseconds.
    pub duration_us: u64,
}

/// The log lines so far. Clones share the same lines.
#[derive(Debug, Clone, Default)]
pub struct LogLines(Arc<Mutex<Vec<u8>>>);

impl Write for LogLines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut text = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogLines {
    /// Redirects the log of this process here.
    pub fn install() -> Result<Self, Box<dyn Error>> {
        let lines = Self::default();
        let sink = WriteSink::builder()
            .target(lines.clone())
            .formatter(JsonFormatter::new())
            .build_arc()?;
        let logger = Logger::builder().sink(sink).build_arc()?;
        spdlog::set_default_logger(logger);
        Ok(lines)
    }

    /// Returns the log text so far.
    pub fn text(&self) -> String {
        let text = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Returns the addresses that daemons have logged so far, in order.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.text()
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok())
            .filter(|line| line["payload"] == "listening")
            .filter_map(|line| line["kv"]["address"].as_str()?.parse().ok())
            .collect()
    }
}

/// Captures the spans that daemons print to the standard output.
///
/// Daemons print each span as a JSON line to the standard output. Mixed with these lines, the report would be
/// unreadable. So the standard output is replaced by a pipe, and the report goes to the original standard output.
pub struct SpanCapture {
    /// The original standard output.
    pub original_stdout: File,
    hops: Arc<Mutex<Vec<HopLine>>>,
}

impl SpanCapture {
    /// Replaces the standard output by a pipe.
    pub fn install() -> Result<Self, Box<dyn Error>> {
        let original_stdout = std::io::stdout().as_fd().try_clone_to_owned()?;
        let (reader, writer) = std::io::pipe()?;
        nix::unistd::dup2_stdout(&writer)?;
        let hops = Arc::<Mutex<Vec<HopLine>>>::default();
        let shared = Arc::clone(&hops);
        std::thread::spawn(move || collect(reader, &shared));
        Ok(Self {
            original_stdout: original_stdout.into(),
            hops,
        })
    }

    /// Returns the hops of a trace so far.
    pub fn hops(&self, trace: &str) -> Vec<HopLine> {
        let hops = self.hops.lock().unwrap_or_else(PoisonError::into_inner);
        hops.iter()
            .filter(|hop| hop.trace_id == trace)
            .cloned()
            .collect()
    }
}

fn collect(reader: PipeReader, hops: &Mutex<Vec<HopLine>>) {
    for line in BufReader::new(reader).lines().map_while(Result::ok) {
        if let Ok(hop) = serde_json::from_str(&line) {
            let mut hops = hops.lock().unwrap_or_else(PoisonError::into_inner);
            hops.push(hop);
        }
    }
}
