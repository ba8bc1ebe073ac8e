//! Gateways beside endpoints whose responses have no end.

use futures::future::join_all;
use oatpier_soak::history::{CallEnd, CallKind, EventHistory};
use oatpier_soak::standin::caller;

use crate::endless::{self, EndlessEndpoint, EndlessResponse};
use crate::gateway::RunningGateway;
use crate::gauge::ProcessBounds;
use crate::run_alone;
use crate::support::fleet::eventually;

/// The memory of the gateway, in megabytes.
const MEMORY_MB: usize = 64;

/// The descriptors of the gateway.
const DESCRIPTORS: usize = 1_024;

/// The number of callers, and of the requests that each sends, one after the other.
const CALLERS: usize = 96;
const CALLS: usize = 3;

/// The number of endpoints whose responses have no end. Another one is sound.
const ENDPOINTS: [&str; 3] = ["endless-1", "endless-2", "endless-3"];

/// Sends requests through a gateway while most endpoints send a response without end, and checks that the gateway lives, that
/// its memory stays under its bound, and that it serves afterwards.
async fn expect_bounds(kind: CallKind, sent: EndlessResponse) {
    let _alone = run_alone().await;
    let limits = format!("memory_mb = {MEMORY_MB}\nmax_fds = {DESCRIPTORS}");
    let gateway = RunningGateway::start(&limits).await;
    let standins = &gateway.standins;
    let mut endpoints = Vec::new();
    for (number, name) in (10..).zip(ENDPOINTS) {
        let address = standins.block.address(number, 0);
        let endpoint = endless::start(name, address, sent, standins.registry.clone()).await;
        endpoints.push(endpoint);
    }
    eventually("all endpoints get requests", async || {
        call_repeatedly(&gateway, kind, CALLERS).await;
        endpoints.iter().all(|endpoint| endpoint.requests() > 0)
    })
    .await;
    let gauge = gateway.gauge();
    let callers = (0..CALLERS).map(|number| call_repeatedly(&gateway, kind, number));
    let answered: usize = join_all(callers).await.into_iter().sum();
    let sent: usize = endpoints.iter().map(EndlessEndpoint::requests).sum();
    println!(
        "{answered} of {} requests were answered, {sent} got a response without end",
        CALLERS * CALLS
    );
    gateway.expect_service("beside endless responses").await;
    gauge.finish(ProcessBounds {
        memory_bytes: MEMORY_MB * 1_000_000,
        descriptors: DESCRIPTORS,
    });
}

/// Returns the number of requests that were answered with 200.
async fn call_repeatedly(gateway: &RunningGateway, kind: CallKind, number: usize) -> usize {
    let (client, history) = (caller::new_client(), EventHistory::default());
    let mut answered = 0;
    for call in 0..CALLS {
        let id = format!("{number:04x}{call:02x}{:06x}", rand::random::<u32>() >> 8);
        let call = caller::build_call(&id, kind, "", None);
        let outcome = caller::send(&client, gateway.front, &call, None, &history).await;
        answered += usize::from(matches!(outcome.end, CallEnd::Complete { status: 200, .. }));
    }
    answered
}

/// Guards against a gateway that runs out of memory with bodies that have no end, which it reads whole.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_without_end_take_bounded_memory() {
    let sent = EndlessResponse {
        beginning: "HTTP/1.1 200 OK\r\nx-oatpier-request-id: ID\r\nx-oatpier-response-stamp: s1\r\n\r\n",
        repeated: "a",
    };
    expect_bounds(CallKind::Unsafe, sent).await;
}

/// As above with bodies in small chunks.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_without_end_take_bounded_memory() {
    let sent = EndlessResponse {
        beginning: "HTTP/1.1 200 OK\r\nx-oatpier-request-id: ID\r\nx-oatpier-response-stamp: s1\r\n\
                    transfer-encoding: chunked\r\n\r\n",
        repeated: "4\r\naaaa\r\n",
    };
    expect_bounds(CallKind::Safe, sent).await;
}

/// Guards against a gateway that runs out of memory with heads that have no end.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_take_bounded_memory() {
    let sent = EndlessResponse {
        beginning: "HTTP/1.1 200 OK\r\n",
        repeated: "x-filler: a\r\n",
    };
    expect_bounds(CallKind::Unsafe, sent).await;
}
