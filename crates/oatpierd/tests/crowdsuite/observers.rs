//! Crowds before the metrics of a sidecar and the readiness probe of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};

use crate::crowd::{BodyForm, CrowdPlan};
use crate::gateway::RunningGateway;
use crate::gauge::ProcessBounds;
use crate::run_alone;
use crate::sidecar::RunningSidecar;
use crate::support::fleet::eventually;
use crate::support::http::client;

const HEAD: &str = "POST /metrics HTTP/1.1\r\nhost: observer\r\n";

const MEMORY_MB: usize = 64;

const BOUNDS: ProcessBounds = ProcessBounds {
    memory_bytes: MEMORY_MB * 1_000_000,
    descriptors: 256,
};

fn plan() -> CrowdPlan {
    CrowdPlan::incomplete(
        32,
        [BodyForm::Chunks(64 << 10), BodyForm::Pieces(8 << 10)],
        4 << 20,
        HEAD,
    )
}

/// Checks that the platform's probe gets its answer.
async fn expect_answer(address: SocketAddr, path: &str) {
    let client = client();
    eventually(&format!("GET {path} is answered"), async || {
        let request = Request::get(path).body(Bytes::new()).unwrap();
        let wait = Duration::from_secs(20);
        let answer = client.fetch(address, request, wait, 1 << 24).await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    })
    .await;
}

/// Guards against a sidecar that runs out of memory with bodies that it has no use for.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_sent_to_the_metrics_of_a_sidecar_take_bounded_memory() {
    let _alone = run_alone().await;
    let sidecar = RunningSidecar::start(&format!("memory_mb = {MEMORY_MB}")).await;
    let metrics = sidecar.metrics;
    expect_answer(metrics, "/metrics").await;
    let gauge = sidecar.gauge();
    let sending = tokio::task::spawn_blocking(move || plan().send(metrics));
    let crowd = sending.await.unwrap();
    gauge.wait_until_read().await;
    expect_answer(metrics, "/metrics").await;
    gauge.finish(BOUNDS);
    drop(crowd);
}

/// Guards against a gateway that runs out of memory with bodies sent to its readiness probe.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_sent_to_the_readiness_probe_of_a_gateway_take_bounded_memory() {
    let _alone = run_alone().await;
    let gateway = RunningGateway::start(&format!("memory_mb = {MEMORY_MB}")).await;
    let readiness = gateway.readiness;
    let gauge = gateway.gauge();
    let sending = tokio::task::spawn_blocking(move || plan().send(readiness));
    let crowd = sending.await.unwrap();
    gauge.wait_until_read().await;
    expect_answer(readiness, "/ready").await;
    gateway.expect_service("beside the crowd").await;
    gauge.finish(BOUNDS);
    drop(crowd);
}
