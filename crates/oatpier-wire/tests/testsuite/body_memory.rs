//! Tests of the memory that the bodies of all requests take together.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, StatusCode};
use oatpier_wire::reply;
use oatpier_wire::server::{BudgetLimits, ServerLimits};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::support::{TestServer, exchange, read_to_close, wait_until};

/// The length of a large body, in bytes. Two of them don't fit.
const LARGE: usize = 512 << 10;

/// The length of a short body, in bytes.
const SHORT: usize = 1 << 10;

fn limits() -> ServerLimits {
    ServerLimits {
        body_bytes: LARGE,
        bodies: BudgetLimits {
            incoming_bytes: LARGE,
            complete_bytes: LARGE,
        },
        ..ServerLimits::default()
    }
}

/// Starts a server whose handler responds with the length of the body once `permits` has one.
async fn server(permits: usize) -> (TestServer, Arc<Semaphore>) {
    let permits = Arc::new(Semaphore::new(permits));
    let shared = Arc::clone(&permits);
    let handler = move |request: Request<Bytes>, _| {
        let permits = Arc::clone(&shared);
        async move {
            permits.acquire().await.unwrap().forget();
            reply::text(StatusCode::OK, format!("{} bytes", request.body().len()))
        }
    };
    (TestServer::start(limits(), handler).await, permits)
}

fn post(length: usize) -> Vec<u8> {
    let head = format!("POST / HTTP/1.1\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
    let mut request = head.into_bytes();
    request.resize(request.len() + length, b'x');
    request
}

/// Sends a request without the last byte of its body.
async fn send_incomplete(server: &TestServer, length: usize) -> TcpStream {
    let received = server.counters.traffic.received();
    let request = post(length);
    let incomplete = &request[..request.len() - 1];
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(incomplete).await.unwrap();
    let sent = u64::try_from(incomplete.len()).unwrap();
    wait_until(|| server.counters.traffic.received() >= received + sent).await;
    stream
}

fn is_refused(response: &str) -> bool {
    response.starts_with("HTTP/1.1 503 ") && response.contains("retry-after: ")
}

/// Guards against a server that holds stalled bodies until their timeout, and refuses all others meanwhile.
#[tokio::test]
async fn a_stalled_body_gives_way_to_another() {
    let (server, _) = server(usize::MAX >> 4).await;
    let mut stalled = send_incomplete(&server, LARGE).await;
    loop {
        let response = exchange(server.address, &post(LARGE)).await;
        if response.starts_with("HTTP/1.1 200 ") {
            break;
        }
        assert!(is_refused(&response), "{response}");
    }
    let response = read_to_close(&mut stalled).await;
    assert!(is_refused(&response), "{response}");
    assert!(server.counters.out_of_memory() > 0);
}

/// Guards against a crowd of large bodies that keeps out the short bodies of ordinary callers.
#[tokio::test]
async fn a_short_body_is_received_beside_a_large_one() {
    let (server, _) = server(usize::MAX >> 4).await;
    let mut large = send_incomplete(&server, LARGE).await;
    let response = exchange(server.address, &post(SHORT)).await;
    assert!(response.ends_with("1024 bytes"), "{response}");
    large.write_all(b"x").await.unwrap();
    let response = read_to_close(&mut large).await;
    assert!(response.ends_with("524288 bytes"), "{response}");
}

/// Guards against a server that refuses a single body for being larger than the memory for bodies.
#[tokio::test]
async fn a_single_body_is_served_whatever_its_size() {
    let mut limits = limits();
    limits.bodies.incoming_bytes = SHORT;
    limits.bodies.complete_bytes = SHORT;
    let handler = |request: Request<Bytes>, _| async move {
        reply::text(StatusCode::OK, format!("{} bytes", request.body().len()))
    };
    let server = TestServer::start(limits, handler).await;
    let response = exchange(server.address, &post(LARGE)).await;
    assert!(response.ends_with("524288 bytes"), "{response}");
}

/// Guards against a server that runs out of memory with the bodies of requests that wait in its handler.
#[tokio::test]
async fn bodies_of_requests_in_the_handler_count_until_the_response() {
    let (server, permits) = server(0).await;
    let mut first = TcpStream::connect(server.address).await.unwrap();
    first.write_all(&post(LARGE)).await.unwrap();
    let sent = u64::try_from(post(LARGE).len()).unwrap();
    wait_until(|| server.counters.traffic.received() >= sent).await;
    let refused = exchange(server.address, &post(LARGE)).await;
    assert!(is_refused(&refused), "{refused}");
    permits.add_permits(2);
    let response = read_to_close(&mut first).await;
    assert!(response.ends_with("524288 bytes"), "{response}");
    let response = exchange(server.address, &post(LARGE)).await;
    assert!(response.ends_with("524288 bytes"), "{response}");
}
