//! Everything that a caller sends is bounded, and a slow caller holds up no other.

use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{Request, StatusCode};
use oatpier_wire::client::{ClientLimits, HttpClient};
use oatpier_wire::reply;
use oatpier_wire::server::ServerLimits;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::{TestServer, exchange, get, read_to_close, until};

const SHORT: Duration = Duration::from_millis(200);

fn limits() -> ServerLimits {
    ServerLimits {
        head_bytes: 8 << 10,
        body_bytes: 100,
        ..ServerLimits::default()
    }
}

/// A server whose handler answers with the length of the body, or an endless stream at
/// `/endless`.
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

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("closed")
}

#[tokio::test]
async fn a_request_within_the_limits_is_handled() {
    let server = server(limits()).await;
    let request = b"POST / HTTP/1.1\r\nconnection: close\r\ncontent-length: 4\r\n\r\nfour";
    let answer = exchange(server.address, request).await;
    assert_eq!(status(&answer), "200");
    assert!(answer.ends_with("4 bytes"));
}

#[tokio::test]
async fn a_large_head_is_answered_431() {
    let server = server(limits()).await;
    let request = format!("GET / HTTP/1.1\r\nx-long: {}\r\n\r\n", "x".repeat(9 << 10));
    let answer = exchange(server.address, request.as_bytes()).await;
    assert_eq!(status(&answer), "431");
}

#[tokio::test]
async fn a_large_body_is_answered_413() {
    let server = server(limits()).await;
    let body = "x".repeat(101);
    let sized = format!("POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n{body}");
    let chunked =
        format!("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n65\r\n{body}\r\n0\r\n\r\n");
    for request in [sized, chunked] {
        let answer = exchange(server.address, request.as_bytes()).await;
        assert_eq!(status(&answer), "413");
        assert!(answer.ends_with("the body is over the limit of 100 bytes; send less\n"));
    }
    assert_eq!(server.counters.refused_requests(), 2);
}

/// A caller announces a body and stops sending. It is told so, and its connection is freed.
#[tokio::test]
async fn a_slow_body_is_answered_408() {
    let slow = ServerLimits {
        body_wait: SHORT,
        ..limits()
    };
    let server = server(slow).await;
    let request = b"POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf";
    let answer = exchange(server.address, request).await;
    assert_eq!(status(&answer), "408");
}

/// Callers that never finish a head, or never send a byte, would hold all connections of the
/// server. Each is closed by its own limit.
#[tokio::test]
async fn a_slow_head_and_an_idle_connection_are_closed() {
    let slow_head = ServerLimits {
        head_wait: SHORT,
        idle: Duration::from_hours(1),
        ..limits()
    };
    let idle = ServerLimits {
        head_wait: Duration::from_hours(1),
        idle: SHORT,
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
        let answer = exchange(server.address, request.as_bytes()).await;
        assert_eq!(status(&answer), expected);
        assert_eq!(server.counters.stalled(), 1);
    }
}

/// A caller asks for a long answer and reads none of it. Its own connection is dropped; another
/// caller's request is answered all the while.
#[tokio::test]
async fn a_caller_that_does_not_read_is_dropped() {
    let stalling = ServerLimits {
        write_wait: SHORT,
        ..limits()
    };
    let server = server(stalling).await;
    let mut stalled = TcpStream::connect(server.address).await.unwrap();
    let request = b"GET /endless HTTP/1.1\r\n\r\n";
    stalled.write_all(request).await.unwrap();
    let client = HttpClient::new(ClientLimits::default());
    until(|| server.counters.traffic.sent() > 1 << 16).await;
    let wait = Duration::from_secs(30);
    let other = client.fetch(server.address, get("/"), wait, 100).await;
    assert_eq!(other.unwrap().into_body(), "0 bytes");
    until(|| server.counters.stalled() == 1).await;
    drop(stalled);
}

/// More callers connect than the server has room for. The last is told when to come back,
/// instead of waiting for an answer that never comes.
#[tokio::test]
async fn too_many_connections_are_answered_503() {
    let narrow = ServerLimits {
        connections: 1,
        ..limits()
    };
    let server = server(narrow).await;
    let mut first = TcpStream::connect(server.address).await.unwrap();
    until(|| server.counters.accepted() == 1).await;
    let answer = exchange(server.address, b"GET / HTTP/1.1\r\n\r\n").await;
    assert_eq!(status(&answer), "503");
    assert!(answer.contains("retry-after: 1\r\n"));
    assert_eq!(server.counters.over_limit(), 1);
    let request = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";
    first.write_all(request).await.unwrap();
    assert_eq!(status(&read_to_close(&mut first).await), "200");
}

/// A handler's stream fails half-way. The caller sees a broken body, never a clean short one.
#[tokio::test]
async fn a_failed_stream_is_cut_visibly() {
    let handler = |_, _| async {
        let first = stream::iter([Ok(Bytes::from_static(b"half"))]);
        let pieces = first.chain(stream::iter([Err("the source is gone".into())]));
        reply::streamed(StatusCode::OK, "text/plain", pieces)
    };
    let server = TestServer::start(limits(), handler).await;
    let client = HttpClient::new(ClientLimits::default());
    let wait = Duration::from_secs(30);
    let cut = client.fetch(server.address, get("/"), wait, 100).await;
    assert!(cut.is_err());
}
