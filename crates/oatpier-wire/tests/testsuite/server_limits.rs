//! Tests that everything a caller sends is limited, and that a slow caller does not delay others.

use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{Request, StatusCode};
use oatpier_wire::client::{ClientLimits, HttpClient};
use oatpier_wire::reply;
use oatpier_wire::server::ServerLimits;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::{HANG_TIMEOUT, TestServer, exchange, get, read_to_close, wait_until};

const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

fn limits() -> ServerLimits {
    ServerLimits {
        head_bytes: 8 << 10,
        body_bytes: 100,
        ..ServerLimits::default()
    }
}

/// Starts a server whose handler responds with the length of the body, or with an endless stream at `/endless`.
async fn server(limits: ServerLimits) -> TestServer {
    let handler = |request: Request<Bytes>, _| async move {
        if request.uri().path() == "/endless" {
            let pieces = stream::repeat_with(|| Ok(Bytes::from(vec![7; 1 << 16])));
            return reply::streamed(StatusCode::OK, "text/plain", pieces);
        }
        reply::text(StatusCode::OK, format!("{} bytes", request.body().len()))
    };
    TestServer::start(limits, handler).await
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("closed")
}

#[tokio::test]
async fn handles_requests_within_the_limits() {
    let server = server(limits()).await;
    let request = b"POST / HTTP/1.1\r\nconnection: close\r\ncontent-length: 4\r\n\r\nfour";
    let response = exchange(server.address, request).await;
    assert_eq!(status(&response), "200");
    assert!(response.ends_with("4 bytes"));
}

#[tokio::test]
async fn rejects_a_large_head_with_431() {
    let server = server(limits()).await;
    let request = format!("GET / HTTP/1.1\r\nx-long: {}\r\n\r\n", "x".repeat(9 << 10));
    let response = exchange(server.address, request.as_bytes()).await;
    assert_eq!(status(&response), "431");
}

#[tokio::test]
async fn rejects_a_large_body_with_413() {
    let server = server(limits()).await;
    let body = "x".repeat(101);
    let sized = format!("POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n{body}");
    let chunked =
        format!("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n65\r\n{body}\r\n0\r\n\r\n");
    for request in [sized, chunked] {
        let response = exchange(server.address, request.as_bytes()).await;
        assert_eq!(status(&response), "413");
        assert!(response.ends_with("the body is over the limit of 100 bytes; send less\n"));
    }
    assert_eq!(server.counters.refused_requests(), 2);
}

/// A caller announces a body and stops sending. It must receive a response, and its connection must be closed.
#[tokio::test]
async fn rejects_a_slow_body_with_408() {
    let slow = ServerLimits {
        body_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let server = server(slow).await;
    let request = b"POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf";
    let response = exchange(server.address, request).await;
    assert_eq!(status(&response), "408");
}

/// Callers that never complete a head, or never send a byte, could use up all connections of the server. Separate
/// timeouts must close both.
#[tokio::test]
async fn closes_connections_with_a_slow_head_and_idle_ones() {
    let slow_head = ServerLimits {
        head_timeout: SHORT_TIMEOUT,
        idle_timeout: Duration::from_hours(1),
        ..limits()
    };
    let idle = ServerLimits {
        head_timeout: Duration::from_hours(1),
        idle_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let answered = "GET / HTTP/1.1\r\n\r\n";
    let cases = [
        (slow_head, "GET / HTTP/1.1\r\nx-half: ", "closed"),
        (idle.clone(), "", "closed"),
        (idle, answered, "200"),
    ];
    for (limits, request, expected) in cases {
        let server = server(limits).await;
        let response = exchange(server.address, request.as_bytes()).await;
        assert_eq!(status(&response), expected);
        assert_eq!(server.counters.stalled(), 1);
    }
}

/// A caller requests a long response and does not read it. Its connection must be closed, and requests of another
/// caller must be processed meanwhile.
#[tokio::test]
async fn closes_the_connection_of_a_caller_that_does_not_read() {
    let stalling = ServerLimits {
        write_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let server = server(stalling).await;
    let mut stalled = TcpStream::connect(server.address).await.unwrap();
    let request = b"GET /endless HTTP/1.1\r\n\r\n";
    stalled.write_all(request).await.unwrap();
    let client = HttpClient::new(ClientLimits::default());
    wait_until(|| server.counters.traffic.sent() > 1 << 16).await;
    let timeout = Duration::from_secs(30);
    let other = client.fetch(server.address, get("/"), timeout, 100).await;
    assert_eq!(other.unwrap().into_body(), "0 bytes");
    wait_until(|| server.counters.stalled() == 1).await;
    drop(stalled);
}

/// More callers connect than the server allows. The last must receive a `Retry-After` instead of waiting forever for
/// a response.
#[tokio::test]
async fn rejects_excess_connections_with_503() {
    let narrow = ServerLimits {
        connections: 1,
        min_caller_wait: HANG_TIMEOUT,
        ..limits()
    };
    let server = server(narrow).await;
    let mut first = TcpStream::connect(server.address).await.unwrap();
    wait_until(|| server.counters.accepted() == 1).await;
    let response = exchange(server.address, b"GET / HTTP/1.1\r\n\r\n").await;
    assert_eq!(status(&response), "503");
    assert!(response.contains("retry-after: 1\r\n"));
    assert_eq!(server.counters.over_limit(), 1);
    let request = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";
    first.write_all(request).await.unwrap();
    assert_eq!(status(&read_to_close(&mut first).await), "200");
}

/// A handler's stream fails midway. The caller must get an error, not a short body that looks complete.
#[tokio::test]
async fn failed_stream_is_an_error_for_the_caller() {
    let handler = |_, _| async {
        let first = stream::iter([Ok(Bytes::from_static(b"half"))]);
        let pieces = first.chain(stream::iter([Err("the source is gone".into())]));
        reply::streamed(StatusCode::OK, "text/plain", pieces)
    };
    let server = TestServer::start(limits(), handler).await;
    let client = HttpClient::new(ClientLimits::default());
    let timeout = Duration::from_secs(30);
    let cut = client.fetch(server.address, get("/"), timeout, 100).await;
    assert!(cut.is_err());
}
