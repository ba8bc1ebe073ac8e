//! Crowds before an entry.

use crate::crowd::{BodyForm, CrowdPlan};
use crate::gauge::{ProcessBounds, ProcessGauge};
use crate::run_alone;
use crate::support::fleet::{Daemon, Fleet, FleetSize, eventually};
use crate::support::http::{StreamEnd, chat};

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
        CrowdPlan {
            callers: 80,
            forms: vec![BodyForm::Chunks(256 << 10), BodyForm::Chunks(4 << 10)],
            body_bytes: BODY_BYTES,
            head: HEAD,
            complete_interval: 6,
            trailing_bytes: 0,
        },
    )
    .await;
}

/// Guards against an entry that runs out of memory while many callers hold back the last byte of a body.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_with_a_length_take_bounded_memory() {
    expect_bounds(
        |fleet| &fleet.entries[0],
        CrowdPlan {
            callers: 80,
            forms: vec![BodyForm::Pieces(BODY_BYTES), BodyForm::Pieces(8 << 10)],
            body_bytes: BODY_BYTES,
            head: HEAD,
            complete_interval: 6,
            trailing_bytes: 0,
        },
    )
    .await;
}
