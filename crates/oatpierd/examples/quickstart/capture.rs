//! Takes what the daemons of this process write: log lines, and spans on the standard output.

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

/// A span, as a daemon writes it.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct HopLine {
    /// The name of the hop.
    pub span: String,
    /// The process.
    pub daemon: String,
    /// The trace.
    pub trace_id: String,
    /// The span.
    pub span_id: String,
    /// The span above it.
    pub parent_id: String,
    /// When it started, in microseconds.
    pub start_us: u64,
    /// How long it took, in microseconds.
    pub duration_us: u64,
}

/// Lines of the log so far. Cloning shares them.
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
    /// Sends the log of this process here.
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

    /// The text so far.
    pub fn text(&self) -> String {
        let text = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&text).into_owned()
    }

    /// The addresses that daemons have logged so far, in order.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.text()
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok())
            .filter(|line| line["payload"] == "listening")
            .filter_map(|line| line["kv"]["address"].as_str()?.parse().ok())
            .collect()
    }
}

/// The standard output, and the spans that daemons write there.
///
/// Daemons write their spans to the standard output, a JSON line each. Here that would bury the
/// report, so it goes through a pipe, and the report to what the standard output was before.
pub struct SpanCapture {
    /// What the standard output was.
    pub screen: File,
    hops: Arc<Mutex<Vec<HopLine>>>,
}

impl SpanCapture {
    /// Puts a pipe in place of the standard output.
    pub fn install() -> Result<Self, Box<dyn Error>> {
        let screen = std::io::stdout().as_fd().try_clone_to_owned()?;
        let (reader, writer) = std::io::pipe()?;
        nix::unistd::dup2_stdout(&writer)?;
        let hops = Arc::<Mutex<Vec<HopLine>>>::default();
        let shared = Arc::clone(&hops);
        std::thread::spawn(move || collect(reader, &shared));
        Ok(Self {
            screen: screen.into(),
            hops,
        })
    }

    /// The hops of a trace so far.
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
