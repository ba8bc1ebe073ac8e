//! Limits on what callers send.

use crate::support::fleet::{Fleet, FleetOptions, FleetSize, eventually};
use crate::support::http::{StreamEnd, chat, endless_chat};
use crate::support::raw::RawCaller;

const SIZE: FleetSize = FleetSize {
    entries: 1,
    engines: 1,
    services: 0,
};

async fn fleet(entry_limits: &'static str) -> Fleet {
    Fleet::start(FleetOptions {
        entry_limits,
        ..SIZE.into()
    })
    .await
}

/// Checks that another caller gets a complete answer.
async fn expect_service(fleet: &Fleet) {
    let answer = chat(&fleet.client, fleet.entries[0].serve, "tables", "next", 5).await;
    assert_eq!(answer.unwrap().stream_end("next", 5), StreamEnd::Whole);
}

/// A caller sends a request head above the limit. The entry must read no more than the limit and answer 431, so that
/// the caller knows the reason and the entry's memory use doesn't grow with the size of requests.
#[tokio::test]
async fn head_over_the_limit_gets_431() {
    let fleet = fleet("header_bytes = 8192").await;
    let mut caller = RawCaller::connect(fleet.entries[0].serve);
    let filling = "x".repeat(16 * 1024);
    caller.write(&format!(
        "GET /v1/models HTTP/1.1\r\nhost: entry\r\nfilling: {filling}\r\n\r\n"
    ));
    let answer = caller.read_to_close();
    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
    expect_service(&fleet).await;
}

/// A caller declares a body above the limit, or sends one in chunks. It must get 413 before anything runs, and no
/// engine may receive the request.
#[tokio::test]
async fn body_over_the_limit_gets_413_and_does_not_run() {
    let fleet = fleet("body_bytes = 4096").await;
    let before = fleet.engine_runs().await.len();
    let prompt = "x".repeat(8192);
    let body = format!("{{\"model\": \"tables\", \"prompt\": \"{prompt}\"}}");
    let path = "/v1/completions";
    let mut declared = RawCaller::connect(fleet.entries[0].serve);
    declared.write(&format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\ncontent-length: {}\r\n\r\n",
        body.len()
    ));
    let mut chunked = RawCaller::connect(fleet.entries[0].serve);
    chunked.write(&format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n",
        body.len()
    ));
    for caller in [&mut declared, &mut chunked] {
        let answer = caller.read_to_close();
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    }
    assert_eq!(fleet.engine_runs().await.len(), before);
    expect_service(&fleet).await;
}

/// A caller sends half a head and then nothing. Its connection must be closed, since there is no request to answer. A
/// caller that sends a head and half a body must get 408.
#[tokio::test]
async fn slow_head_is_closed_and_slow_body_gets_408() {
    let fleet = fleet("header_time = \"300ms\"\nbody_time = \"300ms\"").await;
    let entry = fleet.entries[0].serve;
    let mut slow_head = RawCaller::connect(entry);
    slow_head.write("POST /v1/completions HTTP/1.1\r\nhost: en");
    let mut slow_body = RawCaller::connect(entry);
    slow_body
        .write("POST /v1/completions HTTP/1.1\r\nhost: entry\r\ncontent-length: 100\r\n\r\n{\"mod");
    expect_service(&fleet).await;
    let answer = slow_head.read_to_close();
    assert!(!answer.contains("200 OK"), "{answer}");
    let answer = slow_body.read_to_close();
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    expect_service(&fleet).await;
}

/// Callers hold all connections that the entry accepts, with requests in progress. The next caller must get 503 with Retry-After instead of
/// waiting. When connections are released, callers must be served again.
#[tokio::test]
async fn connections_over_the_limit_get_503_until_one_is_free() {
    let fleet = fleet("connections = 8").await;
    let entry = fleet.entries[0].serve;
    let request = "GET /v1/models HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    let held: Vec<_> = (0..8)
        .map(|_| {
            let mut caller = RawCaller::connect(entry);
            caller.write(&endless_chat());
            caller
        })
        .collect();
    eventually("the held requests have arrived", async || {
        let text = fleet.metrics(&fleet.entries[0]).await;
        text.lines().any(|line| line == "oatpier_in_flight 8")
    })
    .await;
    let ask = || {
        let mut caller = RawCaller::connect(entry);
        caller.write(request);
        caller.read_to_close()
    };
    let answer = ask();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    drop(held);
    eventually("a caller is served again", async || {
        ask().starts_with("HTTP/1.1 200 ")
    })
    .await;
    expect_service(&fleet).await;
}
