//! The observe duty: `/metrics`, `/live`, `/ready`, and the export of spans.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::{self, RequestHandler, ServerLimits};

use super::metrics::MetricSet;
use super::trace::SpanLine;
use crate::duty::{RingReceiver, StopPhase, StopSignal};

/// The content type of the Prometheus text form.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Connections to the observe address at once.
const OBSERVE_CONNECTIONS: usize = 64;

/// Where spans are written, a JSON line each.
pub type SpanOutput = Box<dyn Write + Send>;

/// What the observe duty works on.
pub struct ObserveInputs {
    /// Where `/metrics`, `/live` and `/ready` are.
    pub listener: std::net::TcpListener,
    /// The metrics to show.
    pub metrics: MetricSet,
    /// Whether the process can serve, as far as it knows itself.
    pub able: Arc<AtomicBool>,
    /// Spans to be written.
    pub spans: RingReceiver<SpanLine>,
    /// Where to write them.
    pub output: SpanOutput,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Shows metrics and health, and writes spans, until the process ends.
///
/// # Panics
///
/// Panics if it runs on no runtime, or the runtime does not take the socket.
pub async fn observe(inputs: ObserveInputs) {
    let ObserveInputs {
        listener,
        metrics,
        able,
        spans,
        mut output,
        stop,
    } = inputs;
    let listener =
        tokio::net::TcpListener::from_std(listener).expect("the runtime takes the socket");
    let handler = Arc::new(ObserveHandler {
        metrics: Box::new(metrics),
        able,
        stop: stop.clone(),
    });
    let limits = ServerLimits {
        connections: OBSERVE_CONNECTIONS,
        ..ServerLimits::default()
    };
    let serving = server::serve(
        listener,
        handler,
        limits,
        Arc::default(),
        std::future::pending(),
    );
    tokio::select! {
        () = serving => {}
        () = write_spans(&spans, &mut output) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
    write_rest(&spans, &mut output);
}

/// Writes spans as they come. Writing blocks this duty alone; the ring drops and counts what
/// does not fit meanwhile.
async fn write_spans(spans: &RingReceiver<SpanLine>, output: &mut SpanOutput) {
    while let Some(line) = spans.receive().await {
        let written = write_line(output, &line).and_then(|()| output.flush());
        if written.is_err() {
            // Nobody reads the output any more. Spans are then dropped, not the process.
            break;
        }
    }
    std::future::pending::<()>().await;
}

fn write_rest(spans: &RingReceiver<SpanLine>, output: &mut SpanOutput) {
    let written = std::iter::from_fn(|| spans.poll())
        .try_for_each(|line| write_line(output, &line))
        .and_then(|()| output.flush());
    if let Err(error) = written {
        spdlog::warn!("the last spans were not written: {error}");
    }
}

fn write_line(output: &mut SpanOutput, line: &SpanLine) -> io::Result<()> {
    serde_json::to_writer(&mut *output, line)?;
    output.write_all(b"\n")
}

/// Metrics as text.
pub trait MetricsText: Send + Sync {
    /// The Prometheus text form.
    fn encode(&self) -> String;
}

impl MetricsText for MetricSet {
    fn encode(&self) -> String {
        MetricSet::encode(self)
    }
}

/// Answers `/metrics`, `/live` and `/ready`.
pub struct ObserveHandler {
    /// The metrics to show.
    pub metrics: Box<dyn MetricsText>,
    /// Whether the process can serve, as far as it knows itself.
    pub able: Arc<AtomicBool>,
    /// Whether the process is on its way out.
    pub stop: StopSignal,
}

impl RequestHandler for ObserveHandler {
    fn handle(&self, request: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        std::future::ready(self.answer(&request)).boxed()
    }
}

impl ObserveHandler {
    fn answer(&self, request: &Request<Bytes>) -> Reply {
        if request.method() != Method::GET {
            return reply::text(StatusCode::METHOD_NOT_ALLOWED, "use GET\n");
        }
        match request.uri().path() {
            "/metrics" => reply::whole(StatusCode::OK, METRICS_TYPE, self.metrics.encode()),
            "/live" => reply::text(StatusCode::OK, "live\n"),
            "/ready" => self.ready(),
            _ => reply::text(StatusCode::NOT_FOUND, "use /metrics, /live or /ready\n"),
        }
    }

    fn ready(&self) -> Reply {
        if self.stop.phase() != StopPhase::Serving {
            return reply::text(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
        }
        if !self.able.load(Ordering::Relaxed) {
            return reply::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
        }
        reply::text(StatusCode::OK, "ready\n")
    }
}
