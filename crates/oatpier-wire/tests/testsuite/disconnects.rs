//! Tests of callers that disconnect while the server processes their requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use oatpier_wire::reply;
use oatpier_wire::server::ServerLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::support::{TestServer, exchange, wait_until};

const PROCESSING_TIME: Duration = Duration::from_millis(50);

const HEAD_BYTES: usize = 16 << 10;

/// Counts the requests that are being processed.
#[derive(Default)]
struct RunningCount(AtomicU32);

impl RunningCount {
    fn get(&self) -> u32 {
        self.0.load(Ordering::SeqCst)
    }
}

/// One request that is being processed.
struct RunningRequest(Arc<RunningCount>);

impl RunningRequest {
    fn begin(count: &Arc<RunningCount>) -> Self {
        count.0.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(count))
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Starts a server that never finishes requests to `/endless`, and responds to others with their path and body.
async fn server(running: &Arc<RunningCount>) -> TestServer {
    let running = Arc::clone(running);
    let handler = move |request: Request<Bytes>, _| {
        let request_run = RunningRequest::begin(&running);
        async move {
            let _run = request_run;
            if request.uri().path() == "/endless" {
                std::future::pending::<()>().await;
            }
            sleep(PROCESSING_TIME).await;
            let body = String::from_utf8_lossy(request.body()).into_owned();
            reply::text(StatusCode::OK, format!("{}={body};", request.uri().path()))
        }
    };
    let limits = ServerLimits {
        head_bytes: HEAD_BYTES,
        ..ServerLimits::default()
    };
    TestServer::start(limits, handler).await
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Guards against a request that is processed to its end for a caller that left, because the caller had sent its next one
/// with it or after it.
#[tokio::test]
async fn processing_stops_when_a_caller_leaves_that_has_sent_more() {
    let running = Arc::<RunningCount>::default();
    let server = server(&running).await;
    let (endless, next) = (post("/endless", "a"), post("/b", "b"));
    for pieces in [vec![format!("{endless}{next}")], vec![endless, next]] {
        let mut caller = TcpStream::connect(server.address).await.unwrap();
        for piece in pieces {
            caller.write_all(piece.as_bytes()).await.unwrap();
            wait_until(|| running.get() == 1).await;
        }
        drop(caller);
        wait_until(|| running.get() == 0).await;
    }
}

/// Guards against requests that are lost, changed or answered out of order because their bytes were kept back.
#[tokio::test]
async fn requests_that_are_sent_ahead_are_answered_in_order() {
    let running = Arc::<RunningCount>::default();
    let server = server(&running).await;
    let long = "x".repeat(HEAD_BYTES);
    let last = "POST /d HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 1\r\n\r\nd";
    let requests = [
        post("/a", "a"),
        post("/b", &long),
        post("/c", "c"),
        last.to_owned(),
    ];
    let responses = exchange(server.address, requests.concat().as_bytes()).await;
    let bodies = ["/a=a;", &format!("/b={long};"), "/c=c;", "/d=d;"];
    let mut rest = responses.as_str();
    for body in bodies {
        let at = rest.find(body).expect("each response in its place");
        rest = &rest[at + body.len()..];
    }
}

/// Guards against a connection that is closed although its caller only waits.
#[tokio::test]
async fn a_caller_that_stays_is_answered_after_it_has_sent_more() {
    let running = Arc::<RunningCount>::default();
    let server = server(&running).await;
    let mut caller = TcpStream::connect(server.address).await.unwrap();
    caller.write_all(post("/a", "a").as_bytes()).await.unwrap();
    wait_until(|| running.get() == 1).await;
    let next = post("/b", "b");
    let (first, second) = next.split_at(next.len() / 2);
    caller.write_all(first.as_bytes()).await.unwrap();
    let mut received = String::new();
    let mut piece = [0; 1024];
    while !received.contains("/a=a;") {
        let read = caller.read(&mut piece).await.unwrap();
        received.push_str(&String::from_utf8_lossy(&piece[..read]));
    }
    caller.write_all(second.as_bytes()).await.unwrap();
    while !received.contains("/b=b;") {
        let read = caller.read(&mut piece).await.unwrap();
        assert!(read > 0, "closed after {received}");
        received.push_str(&String::from_utf8_lossy(&piece[..read]));
    }
}
