//! Crowds before an entry.

use http::Method;

use crate::crowd::{BodyForm, CrowdPlan};
use crate::gauge::{ProcessBounds, ProcessGauge};
use crate::run_alone;
use crate::support::fleet::{Daemon, Fleet, FleetOptions, FleetSize, eventually};
use crate::support::http::{StreamEnd, chat, send};

const SIZE: FleetSize = FleetSize {
    entries: 1,
    engines: 1,
    services: 0,
};

const HEAD: &str = "POST /v1/completions HTTP/1.1\r\nhost: entry\r\n";

const BODY_BYTES: usize = 4 << 20;

/// The memory of an entry or agent without a setting of its own.
const BOUNDS: ProcessBounds = ProcessBounds {
    memory_bytes: 256 << 20,
    descriptors: 1024,
};

/// Checks that an ordinary caller, which returns after a refusal, gets its complete answer.
async fn expect_service(fleet: &Fleet) {
    eventually("an ordinary request is served", async || {
        let answer = chat(&fleet.client, fleet.entries[0].serve, "tables", "next", 5).await;
        answer.is_some_and(|answer| answer.stream_end("next", 5) == StreamEnd::Whole)
    })
    .await;
}

/// Sends a crowd to one daemon of a fleet, and an ordinary request through it after that.
pub async fn expect_bounds(pick: fn(&Fleet) -> &Daemon, plan: CrowdPlan) {
    let _alone = run_alone().await;
    let fleet = Fleet::start(SIZE).await;
    let daemon = pick(&fleet);
    let gauge = ProcessGauge::start(daemon.process.child.id());
    let serve = daemon.serve;
    let sending = tokio::task::spawn_blocking(move || plan.send(serve));
    let crowd = sending.await.unwrap();
    gauge.wait_until_read().await;
    expect_service(&fleet).await;
    gauge.finish(BOUNDS);
    drop(crowd);
}

/// Guards against an entry that runs out of memory while many callers hold back the end of a body in chunks.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_take_bounded_memory() {
    expect_bounds(
        |fleet| &fleet.entries[0],
        CrowdPlan::incomplete(
            80,
            [BodyForm::Chunks(256 << 10), BodyForm::Chunks(4 << 10)],
            BODY_BYTES,
            HEAD,
        ),
    )
    .await;
}

/// Guards against an entry that runs out of memory while many callers hold back the last byte of a body.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_with_a_length_take_bounded_memory() {
    expect_bounds(
        |fleet| &fleet.entries[0],
        CrowdPlan::incomplete(
            80,
            [BodyForm::Pieces(BODY_BYTES), BodyForm::Pieces(8 << 10)],
            BODY_BYTES,
            HEAD,
        ),
    )
    .await;
}

/// The memory of an entry that gets a single body, in bytes.
const SMALL_MEMORY_BYTES: usize = 64 << 20;

/// Guards against a body that takes many times its size while it is parsed: a legal one with a value in every two bytes.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_of_many_values_takes_bounded_memory() {
    let _alone = run_alone().await;
    let options = FleetOptions {
        entry_limits: "memory_bytes = 67108864",
        ..SIZE.into()
    };
    let fleet = Fleet::start(options).await;
    let entry = &fleet.entries[0];
    let gauge = ProcessGauge::start(entry.process.child.id());
    let tokens = "0,".repeat(BODY_BYTES / 2 - 32);
    let body = format!("{{\"model\": \"tables\", \"max_tokens\": 1, \"prompt\": [{tokens}0]}}");
    assert!(body.len() <= BODY_BYTES);
    send(
        &fleet.client,
        entry.serve,
        Method::POST,
        "/v1/completions",
        body,
    )
    .await;
    expect_service(&fleet).await;
    gauge.finish(ProcessBounds {
        memory_bytes: SMALL_MEMORY_BYTES,
        ..BOUNDS
    });
}
