//! Crowds before a gateway.

use oatpier_soak::proxy::LinkMode;

use crate::crowd::{BodyForm, CrowdPlan};
use crate::gateway::RunningGateway;
use crate::gauge::ProcessBounds;
use crate::run_alone;
use crate::standins::BODY_BYTES;
use crate::support::raw::RawCaller;

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
        CrowdPlan::incomplete(
            24,
            [BodyForm::Chunks(256 << 10), BodyForm::Chunks(4 << 10)],
            BODY_BYTES,
            HEAD,
        ),
    )
    .await;
}

/// Guards against a gateway that keeps more for each chunk than its bytes, and so runs out of memory with small chunks.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_small_chunks_take_bounded_memory() {
    expect_bounds(
        SMALL_MEMORY_MB,
        CrowdPlan::incomplete(
            24,
            [BodyForm::Chunks(1), BodyForm::Chunks(1)],
            96 << 10,
            HEAD,
        ),
    )
    .await;
}

/// Guards against a gateway that runs out of memory while many callers hold back the last byte of a body.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_with_a_length_take_bounded_memory() {
    expect_bounds(
        MEMORY_MB,
        CrowdPlan::incomplete(
            24,
            [BodyForm::Pieces(BODY_BYTES), BodyForm::Pieces(8 << 10)],
            BODY_BYTES,
            HEAD,
        ),
    )
    .await;
}

/// Guards against limits that refuse a single request of the largest legal size, in either form, on a small VM.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_body_of_the_largest_size_is_served() {
    let _alone = run_alone().await;
    let gateway = RunningGateway::start("memory_mb = 24").await;
    for framing in ["transfer-encoding: chunked", "content-length: 4194304"] {
        let is_chunked = framing.starts_with("transfer");
        let head = HEAD.replace("NUMBER", if is_chunked { "1" } else { "2" });
        let body = "x".repeat(BODY_BYTES);
        let mut caller = RawCaller::connect(gateway.front);
        caller.write(&format!("{head}connection: close\r\n{framing}\r\n\r\n"));
        if is_chunked {
            caller.write(&format!("{BODY_BYTES:x}\r\n{body}\r\n0\r\n\r\n"));
        } else {
            caller.write(&body);
        }
        let response = caller.read_to_close();
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
}

/// Guards against a gateway whose callers take all descriptors, so that none is left for endpoints and the store.
#[tokio::test(flavor = "multi_thread")]
async fn connections_of_callers_leave_descriptors_for_others() {
    expect_bounds(
        MEMORY_MB,
        CrowdPlan::incomplete(
            600,
            [BodyForm::Pieces(512), BodyForm::Chunks(64)],
            1024,
            HEAD,
        ),
    )
    .await;
}

/// Guards against a gateway that runs out of memory with bytes that callers send while their requests are processed.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_a_request_take_bounded_memory() {
    let plan = CrowdPlan {
        callers: 400,
        forms: [BodyForm::Pieces(1024); 2],
        body_bytes: 1024,
        head: HEAD,
        complete_interval: 1,
        trailing_bytes: 1 << 20,
    };
    expect_bounds_beside(LinkMode::OneWay, SMALL_MEMORY_MB, plan).await;
}
