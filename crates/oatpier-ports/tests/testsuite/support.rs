//! Small servers that an adapter meets.

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

/// Longer than any call of a test takes.
pub const LONG: Duration = Duration::from_mins(1);

/// A request that a server saw.
#[derive(Debug, Clone)]
pub struct SeenRequest {
    pub line: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A server that gives each request the same answer and keeps what it saw.
pub struct FixedServer {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
}

impl FixedServer {
    pub async fn start(status: u16, headers: &[(&'static str, &'static str)], body: &str) -> Self {
        let listener = listen().await;
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&seen);
        let headers = headers.to_vec();
        let body = Bytes::from(body.to_owned());
        let handler = move |request: Request<Bytes>, _| {
            kept.lock().unwrap().push(seen_request(request));
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
        Self { address, seen }
    }

    /// The only request that came.
    pub fn only_request(&self) -> SeenRequest {
        let seen = self.seen.lock().unwrap();
        assert_eq!(seen.len(), 1);
        seen[0].clone()
    }

    pub fn request_count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

fn seen_request(request: Request<Bytes>) -> SeenRequest {
    let (parts, body) = request.into_parts();
    SeenRequest {
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

/// An address that refuses connections.
pub async fn closed_address() -> SocketAddr {
    listen().await.local_addr().unwrap()
}

/// A server that reads each request's head, writes `bytes` and closes the connection.
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

/// A server that takes requests and never answers: it may have acted on them.
pub async fn silent_server() -> SocketAddr {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            kept.push(stream);
        }
    });
    address
}
