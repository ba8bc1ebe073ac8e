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

/// The content type of the `OpenMetrics` text format.
const METRICS_MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// The maximum number of concurrent connections to the observe address.
const MAX_CONNECTIONS: usize = 64;

/// The maximum size of a request's body at an observe address, in bytes. All requests there are without one.
pub const MAX_OBSERVE_BODY_BYTES: usize = 1 << 10;

/// The output to which spans are written, one JSON line each.
pub type SpanOutput = Box<dyn Write + Send>;

/// The inputs of the observe duty.
pub struct ObserveInputs {
    /// The listener for `/metrics`, `/live` and `/ready`.
    pub listener: std::net::TcpListener,
    /// The metrics to export.
    pub metrics: MetricSet,
    /// Whether the process can serve requests, according to its own state.
    pub can_serve: Arc<AtomicBool>,
    /// The spans to write.
    pub spans: RingReceiver<SpanLine>,
    /// The output of the spans.
    pub output: SpanOutput,
    /// The signal that stops the duty.
    pub stop: StopSignal,
}

/// Serves metrics and health checks, and writes spans, until the process ends.
///
/// # Panics
///
/// Panics if called outside a runtime, or if the runtime can't register the socket.
pub async fn observe(inputs: ObserveInputs) {
    let ObserveInputs {
        listener,
        metrics,
        can_serve,
        spans,
        mut output,
        stop,
    } = inputs;
    let listener =
        tokio::net::TcpListener::from_std(listener).expect("the runtime takes the socket");
    let handler = Arc::new(ObserveHandler {
        metrics: Box::new(metrics),
        can_serve,
        stop: stop.clone(),
    });
    let limits = ServerLimits {
        connections: MAX_CONNECTIONS,
        body_bytes: MAX_OBSERVE_BODY_BYTES,
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
    write_remaining(&spans, &mut output);
}

/// Writes spans as they arrive. Writing blocks only this duty; meanwhile the ring drops and counts spans that exceed
/// its capacity.
async fn write_spans(spans: &RingReceiver<SpanLine>, output: &mut SpanOutput) {
    while let Some(line) = spans.receive().await {
        let written = write_line(output, &line).and_then(|()| output.flush());
        if written.is_err() {
            // The output is closed. Further spans are dropped, but the process continues.
            break;
        }
    }
    std::future::pending::<()>().await;
}

fn write_remaining(spans: &RingReceiver<SpanLine>, output: &mut SpanOutput) {
    let written = std::iter::from_fn(|| spans.try_receive())
        .try_for_each(|line| write_line(output, &line))
        .and_then(|()| output.flush());
    if let Err(error) = written {
        spdlog::warn!("the last spans could not be written: {error}");
    }
}

fn write_line(output: &mut SpanOutput, line: &SpanLine) -> io::Result<()> {
    serde_json::to_writer(&mut *output, line)?;
    output.write_all(b"\n")
}

/// A source of metrics in text format.
pub trait MetricsText: Send + Sync {
    /// Encodes the metrics in the Prometheus text format.
    fn encode(&self) -> String;
}

impl MetricsText for MetricSet {
    fn encode(&self) -> String {
        MetricSet::encode(self)
    }
}

/// The request handler of `/metrics`, `/live` and `/ready`.
pub struct ObserveHandler {
    /// The metrics to export.
    pub metrics: Box<dyn MetricsText>,
    /// Whether the process can serve requests, according to its own state.
    pub can_serve: Arc<AtomicBool>,
    /// The stop signal, which tells whether the process is shutting down.
    pub stop: StopSignal,
}

impl RequestHandler for ObserveHandler {
    fn handle(&self, request: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        std::future::ready(self.respond(&request)).boxed()
    }
}

impl ObserveHandler {
    fn respond(&self, request: &Request<Bytes>) -> Reply {
        if request.method() != Method::GET {
            return reply::text(StatusCode::METHOD_NOT_ALLOWED, "use GET\n");
        }
        match request.uri().path() {
            "/metrics" => reply::whole(StatusCode::OK, METRICS_MEDIA_TYPE, self.metrics.encode()),
            "/live" => reply::text(StatusCode::OK, "live\n"),
            "/ready" => self.ready(),
            _ => reply::text(StatusCode::NOT_FOUND, "use /metrics, /live or /ready\n"),
        }
    }

    fn ready(&self) -> Reply {
        if self.stop.phase() != StopPhase::Serving {
            return reply::text(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
        }
        if !self.can_serve.load(Ordering::Relaxed) {
            return reply::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
        }
        reply::text(StatusCode::OK, "ready\n")
    }
}
