//! Tests of a server whose connections are all taken.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::select_all;
use http::{Request, StatusCode};
use oatpier_wire::reply;
use oatpier_wire::server::ServerLimits;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::support::{TestServer, exchange, read_to_close, wait_until};

const CONNECTIONS: usize = 4;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";

/// A request that isn't closed after the response.
const KEPT_REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

/// Starts a server whose handler responds once `permits` has one.
async fn server(min_caller_wait: Duration, permits: usize) -> (TestServer, Arc<Semaphore>) {
    let limits = ServerLimits {
        connections: CONNECTIONS,
        min_caller_wait,
        ..ServerLimits::default()
    };
    let permits = Arc::new(Semaphore::new(permits));
    let shared = Arc::clone(&permits);
    let handler = move |_: Request<Bytes>, _| {
        let permits = Arc::clone(&shared);
        async move {
            permits.acquire().await.unwrap().forget();
            reply::text(StatusCode::OK, "served")
        }
    };
    (TestServer::start(limits, handler).await, permits)
}

async fn open(server: &TestServer, bytes: &[u8]) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(server.address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        streams.push(stream);
    }
    let sent = u64::try_from(bytes.len() * CONNECTIONS).unwrap();
    let taken = u64::try_from(CONNECTIONS).unwrap();
    let counters = &server.counters;
    wait_until(|| counters.accepted() >= taken && counters.traffic.received() >= sent).await;
    streams
}

/// Returns what was read of the connection that is closed first.
async fn read_first_closed(streams: &mut [TcpStream]) -> String {
    let reads = streams
        .iter_mut()
        .map(|stream| read_to_close(stream).boxed());
    select_all(reads).await.0
}

/// Guards against callers that connect and send no complete request, and so keep out all others until a timeout.
#[tokio::test]
async fn connections_without_a_complete_request_give_way() {
    let incomplete: [&[u8]; 3] = [
        b"",
        b"GET / HT",
        b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nhalf",
    ];
    for bytes in incomplete {
        let (server, _) = server(Duration::ZERO, 100).await;
        let mut streams = open(&server, bytes).await;
        let response = exchange(server.address, REQUEST).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        assert_eq!(server.counters.closed_waiting(), 1);
        assert_eq!(read_first_closed(&mut streams).await, "");
    }
}

/// Guards against idle connections that keep out callers with requests.
#[tokio::test]
async fn an_idle_connection_gives_way() {
    let (server, permits) = server(Duration::ZERO, CONNECTIONS).await;
    let mut streams = open(&server, KEPT_REQUEST).await;
    wait_until(|| permits.available_permits() == 0).await;
    permits.add_permits(1);
    loop {
        let response = exchange(server.address, REQUEST).await;
        if response.starts_with("HTTP/1.1 200 ") {
            break;
        }
        // The handlers of the four requests may not have responded yet.
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    }
    let response = read_first_closed(&mut streams).await;
    assert!(response.ends_with("served"), "{response}");
}

/// Guards against a request that is cut off while it is being processed, because others have no connection.
#[tokio::test]
async fn connections_with_a_request_in_progress_are_kept() {
    let (server, permits) = server(Duration::ZERO, 0).await;
    let mut streams = open(&server, REQUEST).await;
    let refused = exchange(server.address, REQUEST).await;
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    assert!(refused.contains("retry-after: "), "{refused}");
    permits.add_permits(CONNECTIONS);
    for stream in &mut streams {
        let response = read_to_close(stream).await;
        assert!(response.ends_with("served"), "{response}");
    }
}

/// Guards against connections that are closed as soon as they are accepted, because many others come at once.
#[tokio::test]
async fn connections_that_have_not_waited_long_are_kept() {
    let (server, _) = server(Duration::from_mins(1), 100).await;
    let mut streams = open(&server, b"GET / HT").await;
    let refused = exchange(server.address, REQUEST).await;
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    let mut first = streams.remove(0);
    first
        .write_all(b"TP/1.1\r\nconnection: close\r\n\r\n")
        .await
        .unwrap();
    let response = read_to_close(&mut first).await;
    assert!(response.ends_with("served"), "{response}");
}
