//! Crowds before a gateway.

use oatpier_soak::proxy::LinkMode;

use crate::crowd::{BodyForm, CrowdPlan};
use crate::gateway::RunningGateway;
use crate::gauge::ProcessBounds;
use crate::run_alone;
use crate::standins::BODY_BYTES;

const HEAD: &str = "POST /unsafe/crowd-NUMBER HTTP/1.1\r\nhost: soak.example\r\n\
    x-oatpier-request-id: NUMBER\r\nx-oatpier-deadline-ms: 4000\r\n\
    authorization: Bearer free-1f0c\r\n";

/// The memory of a gateway that has room for some bodies, in megabytes.
const MEMORY_MB: usize = 64;

/// The memory of a gateway whose crowd sends little, in megabytes.
const SMALL_MEMORY_MB: usize = 40;

/// The descriptors of the gateway.
const DESCRIPTORS: usize = 512;

/// Sends a crowd to a gateway with this much memory, and an ordinary request after it.
async fn expect_bounds(memory_mb: usize, plan: CrowdPlan) {
    expect_bounds_beside(LinkMode::Open, memory_mb, plan).await;
}

/// Does the same while the link to the endpoint is in a mode.
async fn expect_bounds_beside(mode: LinkMode, memory_mb: usize, plan: CrowdPlan) {
    let _alone = run_alone().await;
    let limits = format!("memory_mb = {memory_mb}\nmax_fds = {DESCRIPTORS}");
    let gateway = RunningGateway::start(&limits).await;
    gateway.standins.link.set(mode);
    let gauge = gateway.gauge();
    let front = gateway.front;
    let sending = tokio::task::spawn_blocking(move || plan.send(front));
    let crowd = sending.await.unwrap();
    gauge.wait_until_read().await;
    gateway.standins.link.set(LinkMode::Open);
    gateway.expect_service("beside the crowd").await;
    gauge.finish(ProcessBounds {
        memory_bytes: memory_mb * 1_000_000,
        descriptors: DESCRIPTORS,
    });
    drop(crowd);
}

/// Guards against a gateway that runs out of memory while many callers hold back the end of a body in large chunks.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_large_chunks_take_bounded_memory() {
    expect_bounds(
        MEMORY_MB,
        CrowdPlan {
            callers: 24,
            forms: vec![BodyForm::Chunks(256 << 10), BodyForm::Chunks(4 << 10)],
            body_bytes: BODY_BYTES,
            head: HEAD,
            complete_interval: 6,
            trailing_bytes: 0,
        },
    )
    .await;
}

/// Guards against a gateway that keeps more for each chunk than its bytes, and so runs out of memory with small chunks.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_small_chunks_take_bounded_memory() {
    expect_bounds(
        SMALL_MEMORY_MB,
        CrowdPlan {
            callers: 24,
            forms: vec![BodyForm::Chunks(1)],
            body_bytes: 96 << 10,
            head: HEAD,
            complete_interval: 6,
            trailing_bytes: 0,
        },
    )
    .await;
}

/// Guards against a gateway that runs out of memory while many callers hold back the last byte of a body.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_with_a_length_take_bounded_memory() {
    expect_bounds(
        MEMORY_MB,
        CrowdPlan {
            callers: 24,
            forms: vec![BodyForm::Pieces(BODY_BYTES), BodyForm::Pieces(8 << 10)],
            body_bytes: BODY_BYTES,
            head: HEAD,
            complete_interval: 6,
            trailing_bytes: 0,
        },
    )
    .await;
}

/// Guards against a gateway whose callers take all descriptors, so that none is left for endpoints and the store.
#[tokio::test(flavor = "multi_thread")]
async fn connections_of_callers_leave_descriptors_for_others() {
    expect_bounds(
        MEMORY_MB,
        CrowdPlan {
            callers: 600,
            forms: vec![BodyForm::Pieces(512), BodyForm::Chunks(64)],
            body_bytes: 1024,
            head: HEAD,
            complete_interval: 6,
            trailing_bytes: 0,
        },
    )
    .await;
}

/// Guards against a gateway that runs out of memory with bytes that callers send while their requests are processed.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_a_request_take_bounded_memory() {
    let plan = CrowdPlan {
        callers: 400,
        forms: vec![BodyForm::Pieces(1024)],
        body_bytes: 1024,
        head: HEAD,
        complete_interval: 1,
        trailing_bytes: 1 << 20,
    };
    expect_bounds_beside(LinkMode::OneWay, SMALL_MEMORY_MB, plan).await;
}
