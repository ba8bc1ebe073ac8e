//! Metrics, and whether a gateway takes callers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use oatpier_duty::duty::{StopPhase, StopSignal};
use oatpier_duty::observe::{MetricsText, ObserveHandler};
use oatpier_wire::server::{self, ServerLimits};

use crate::metrics::ServingMetrics;

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
        metrics: Box::new(inputs.metrics),
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

impl MetricsText for ServingMetrics {
    fn encode(&self) -> String {
        ServingMetrics::encode(self)
    }
}
