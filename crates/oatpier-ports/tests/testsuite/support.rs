//! Test servers for the HTTP implementations.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::{ServerCounters, ServerLimits, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A timeout that no call of a test reaches.
pub const LONG_TIMEOUT: Duration = Duration::from_mins(1);

/// A request that a server received.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub line: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A server that gives each request the same answer and records the requests.
pub struct FixedServer {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl FixedServer {
    pub async fn start(status: u16, headers: &[(&'static str, &'static str)], body: &str) -> Self {
        let listener = listen().await;
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&received);
        let headers = headers.to_vec();
        let body = Bytes::from(body.to_owned());
        let handler = move |request: Request<Bytes>, _| {
            recorded.lock().unwrap().push(to_received_request(request));
            let reply = fixed_reply(status, &headers, body.clone());
            async move { reply }
        };
        let limits = ServerLimits::default();
        let counters = Arc::new(ServerCounters::default());
        tokio::spawn(serve(
            listener,
            Arc::new(handler),
            limits,
            counters,
            pending(),
        ));
        Self { address, received }
    }

    /// Returns the only request that was received.
    pub fn only_request(&self) -> ReceivedRequest {
        let received = self.received.lock().unwrap();
        assert_eq!(received.len(), 1);
        received[0].clone()
    }

    pub fn request_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

fn to_received_request(request: Request<Bytes>) -> ReceivedRequest {
    let (parts, body) = request.into_parts();
    ReceivedRequest {
        line: format!("{} {}", parts.method, parts.uri),
        headers: parts.headers,
        body,
    }
}

fn fixed_reply(status: u16, headers: &[(&'static str, &'static str)], body: Bytes) -> Reply {
    let status = StatusCode::from_u16(status).unwrap();
    let mut reply = reply::whole(status, "application/octet-stream", body);
    for (name, value) in headers {
        reply.headers_mut().insert(*name, value.parse().unwrap());
    }
    reply
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Returns an address that refuses connections.
pub async fn closed_address() -> SocketAddr {
    listen().await.local_addr().unwrap()
}

/// Starts a server that reads each request's head, writes `bytes` and closes the connection.
pub async fn raw_server(bytes: &'static [u8]) -> SocketAddr {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_raw(stream, bytes));
        }
    });
    address
}

async fn answer_raw(mut stream: TcpStream, bytes: &[u8]) {
    let mut head = [0; 4096];
    let _ = stream.read(&mut head).await;
    let _ = stream.write_all(bytes).await;
}

/// Starts a server that accepts requests, on which it may have acted, and never answers.
pub async fn silent_server() -> SocketAddr {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut recorded = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            recorded.push(stream);
        }
    });
    address
}
