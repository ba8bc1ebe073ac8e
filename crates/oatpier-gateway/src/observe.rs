//! Metrics, and whether a gateway takes callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use oatpier_duty::duty::{StopPhase, StopSignal};
use oatpier_platform::readiness::READINESS_PATH;
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::{self, RequestHandler, ServerLimits};

use crate::metrics::ServingMetrics;

/// The content type of the Prometheus text form.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Where metrics are.
const METRICS_PATH: &str = "/metrics";

/// Connections at once; more are answered 503.
const OBSERVE_CONNECTIONS: usize = 32;

/// What the duty works on.
pub struct ObserveInputs {
    /// Where metrics are served.
    pub metrics_listener: std::net::TcpListener,
    /// Where the platform asks whether the process takes callers.
    pub readiness_listener: Option<std::net::TcpListener>,
    /// The metrics.
    pub metrics: ServingMetrics,
    /// Whether the process can serve.
    pub able: Arc<AtomicBool>,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Serves metrics and readiness until the process ends.
pub async fn observe(inputs: ObserveInputs) {
    let handler = Arc::new(ObserveHandler {
        metrics: inputs.metrics,
        able: inputs.able,
        stop: inputs.stop.clone(),
    });
    let metrics = serve(Some(inputs.metrics_listener), Arc::clone(&handler));
    let readiness = serve(inputs.readiness_listener, handler);
    tokio::select! {
        () = metrics => {}
        () = readiness => {}
        () = inputs.stop.reached(StopPhase::Ended) => {}
    }
}

async fn serve(listener: Option<std::net::TcpListener>, handler: Arc<ObserveHandler>) {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            spdlog::error!("can't observe", kv: { error: = error.to_string() });
            return std::future::pending().await;
        }
    };
    let limits = ServerLimits {
        connections: OBSERVE_CONNECTIONS,
        ..ServerLimits::default()
    };
    server::serve(
        listener,
        handler,
        limits,
        Arc::default(),
        std::future::pending(),
    )
    .await;
}

struct ObserveHandler {
    metrics: ServingMetrics,
    able: Arc<AtomicBool>,
    stop: StopSignal,
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
            METRICS_PATH => reply::whole(StatusCode::OK, METRICS_TYPE, self.metrics.encode()),
            READINESS_PATH => self.ready(),
            _ => reply::text(StatusCode::NOT_FOUND, "use /metrics or /ready\n"),
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
