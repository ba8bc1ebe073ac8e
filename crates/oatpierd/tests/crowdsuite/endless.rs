//! Endpoints that answer each request with bytes without end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use oatpier_soak::standin::settings::PLAIN_SERVICE;
use oatpier_soak::standin::store::StoreStandin;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The interval at which the endpoints write their registry entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Size of the pieces that are written, in bytes.
const PIECE_BYTES: usize = 64 << 10;

/// What an endpoint sends: the beginning of a response, and bytes that are repeated until the connection is closed. `ID` in
/// the beginning stands for the id of the request.
#[derive(Debug, Clone, Copy)]
pub struct EndlessResponse {
    pub beginning: &'static str,
    pub repeated: &'static str,
}

/// A running endpoint.
pub struct EndlessEndpoint {
    requests: Arc<AtomicUsize>,
}

impl EndlessEndpoint {
    /// Returns the number of requests so far.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// Starts an endpoint of the plain service at this address and registers it.
pub async fn start(
    name: &'static str,
    address: SocketAddr,
    sent: EndlessResponse,
    registry: StoreStandin,
) -> EndlessEndpoint {
    let requests = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&requests);
    let listener = TcpListener::bind(address).await.unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, sent, Arc::clone(&count)));
        }
    });
    let entry = json!({
        "service": PLAIN_SERVICE, "address": address, "zone": "north", "version": "v1", "slots": 64,
        "state": "ready", "cold_ms": 0, "seq": 1,
    });
    tokio::spawn(async move {
        loop {
            let _ = registry.register(name, Some(&entry));
            sleep(HEARTBEAT_INTERVAL).await;
        }
    });
    EndlessEndpoint { requests }
}

async fn respond(mut stream: TcpStream, sent: EndlessResponse, requests: Arc<AtomicUsize>) {
    let Some(id) = read_request_id(&mut stream).await else {
        return;
    };
    requests.fetch_add(1, Ordering::SeqCst);
    let piece = sent.repeated.repeat(PIECE_BYTES / sent.repeated.len());
    let mut next = sent.beginning.replace("ID", &id);
    while stream.write_all(next.as_bytes()).await.is_ok() {
        next.clone_from(&piece);
    }
}

/// Returns the id of a request with a short body, or `None` if the connection was closed.
async fn read_request_id(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let mut piece = [0; 4096];
        let read = stream
            .read(&mut piece)
            .await
            .ok()
            .filter(|read| *read > 0)?;
        bytes.extend_from_slice(&piece[..read]);
        let text = String::from_utf8_lossy(&bytes);
        if text.contains("\r\n\r\n") {
            let id = text
                .lines()
                .find_map(|line| line.strip_prefix("x-oatpier-request-id: "));
            return id.map(str::to_owned);
        }
    }
}
