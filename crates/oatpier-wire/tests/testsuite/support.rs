//! Test support: a running server, raw sockets and sample messages.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use oatpier_types::ids::{AttemptId, BootId, RequestId};
use oatpier_types::names::{CallerName, ClassName, PoolName};
use oatpier_types::request::{AttemptSpec, RequestGoal, TokenDemand};
use oatpier_types::status::{AdmissionTicket, QueueReport};
use oatpier_types::verdict::Repeat;
use oatpier_wire::attempt::{AttemptHead, HeaderPair};
use oatpier_wire::server::{RequestHandler, ServerCounters, ServerLimits, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The time after which a waiting test is considered hung.
pub const HANG_TIMEOUT: Duration = Duration::from_mins(1);

/// A server that runs until the test ends.
pub struct TestServer {
    pub address: SocketAddr,
    pub counters: Arc<ServerCounters>,
}

impl TestServer {
    pub async fn start(limits: ServerLimits, handler: impl RequestHandler) -> Self {
        let listener = listen().await;
        let address = listener.local_addr().unwrap();
        let counters = Arc::new(ServerCounters::default());
        let serving = serve(
            listener,
            Arc::new(handler),
            limits,
            Arc::clone(&counters),
            pending(),
        );
        tokio::spawn(serving);
        Self { address, counters }
    }
}

pub async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Returns an address that refuses connections.
pub async fn closed_address() -> SocketAddr {
    listen().await.local_addr().unwrap()
}

pub fn get(path: &str) -> Request<Bytes> {
    Request::get(path).body(Bytes::new()).unwrap()
}

/// Sends raw bytes and reads until the peer closes.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    read_to_close(&mut stream).await
}

/// Reads until the peer closes or resets.
pub async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let reading = tokio::time::timeout(HANG_TIMEOUT, stream.read_to_end(&mut text));
    // A reset after the last byte counts as a close.
    let _ = reading.await.expect("the connection is never closed");
    String::from_utf8_lossy(&text).into_owned()
}

/// Reads a request's head from a raw connection; returns false if the peer closed it first.
pub async fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return false,
        }
    }
    true
}

/// Waits until `condition` is true.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let waited = tokio::time::timeout(HANG_TIMEOUT, waiting).await;
    waited.expect("the condition never becomes true");
}

pub fn queue_report(sequence: u64) -> QueueReport {
    QueueReport {
        boot: BootId(7),
        sequence,
        queued: 1,
        running: 2,
        slots: 3,
        wait: Duration::from_millis(4),
        prompt_token_ns: 5,
        step_us: 6,
        accepting: true,
    }
}

pub fn head(attempt: u128) -> AttemptHead {
    AttemptHead {
        spec: AttemptSpec {
            attempt: AttemptId(attempt),
            request: RequestId(attempt + 1),
            goal: RequestGoal::Service {
                pool: PoolName::try_from("plan-api").unwrap(),
            },
            class: ClassName::try_from("lookup").unwrap(),
            caller: CallerName::try_from("hall").unwrap(),
            repeat: Repeat::AtMostOnce,
            remaining: Duration::from_millis(320),
            tokens: TokenDemand::default(),
            resume_after: 0,
        },
        ticket: AdmissionTicket {
            boot: BootId(7),
            sequence: 3,
        },
        method: "POST".to_owned(),
        path: "/plans?hall=3".to_owned(),
        headers: vec![HeaderPair {
            name: "accept".to_owned(),
            value: Bytes::from_static(b"application/json"),
        }],
        key: Some(u128::MAX),
        traceparent: None,
    }
}
