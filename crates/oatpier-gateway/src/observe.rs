//! HTTP endpoints for metrics and readiness.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use oatpier_duty::duty::{StopPhase, StopSignal};
use oatpier_duty::observe::{MAX_OBSERVE_BODY_BYTES, MetricsText, ObserveHandler};
use oatpier_wire::server::{self, ServerLimits};

use crate::metrics::ServingMetrics;

/// Maximum number of connections; further ones are answered with 503.
const MAX_OBSERVE_CONNECTIONS: usize = 32;

/// Inputs of the thread.
pub struct ObserveInputs {
    /// Accepts connections to the metrics.
    pub metrics_listener: std::net::TcpListener,
    /// Accepts connections of the platform's readiness probe.
    pub readiness_listener: Option<std::net::TcpListener>,
    /// The metrics.
    pub metrics: ServingMetrics,
    /// Readiness flag: whether the process can serve.
    pub can_serve: Arc<AtomicBool>,
    /// Stop signal of the process.
    pub stop: StopSignal,
}

/// Serves metrics and readiness until the process ends.
pub async fn observe(inputs: ObserveInputs) {
    let handler = Arc::new(ObserveHandler {
        metrics: Box::new(inputs.metrics),
        can_serve: inputs.can_serve,
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
            spdlog::error!("failed to serve metrics or readiness", kv: { error: = error.to_string() });
            return std::future::pending().await;
        }
    };
    let limits = ServerLimits {
        connections: MAX_OBSERVE_CONNECTIONS,
        body_bytes: MAX_OBSERVE_BODY_BYTES,
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

impl MetricsText for ServingMetrics {
    fn encode(&self) -> String {
        ServingMetrics::encode(self)
    }
}
