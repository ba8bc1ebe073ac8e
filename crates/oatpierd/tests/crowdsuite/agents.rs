//! Crowds before an agent, which reads callers' bodies as entries pass them on.

use crate::crowd::{BodyForm, CrowdPlan};
use crate::entries::expect_bounds;

const HEAD: &str = "POST /agent/attempt HTTP/1.1\r\nhost: agent\r\n";

const BODY_BYTES: usize = 4 << 20;

/// Guards against an agent that runs out of memory with incomplete attempts in chunks.
#[tokio::test(flavor = "multi_thread")]
async fn attempts_in_chunks_take_bounded_memory() {
    expect_bounds(
        |fleet| &fleet.agents[0],
        CrowdPlan::incomplete(
            80,
            [BodyForm::Chunks(256 << 10), BodyForm::Chunks(4 << 10)],
            BODY_BYTES,
            HEAD,
        ),
    )
    .await;
}

/// Guards against an agent that runs out of memory with attempts that lack their last byte.
#[tokio::test(flavor = "multi_thread")]
async fn attempts_with_a_length_take_bounded_memory() {
    expect_bounds(
        |fleet| &fleet.agents[0],
        CrowdPlan::incomplete(
            80,
            [BodyForm::Pieces(BODY_BYTES), BodyForm::Pieces(8 << 10)],
            BODY_BYTES,
            HEAD,
        ),
    )
    .await;
}
