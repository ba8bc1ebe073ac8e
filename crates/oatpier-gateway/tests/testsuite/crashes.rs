//! Requests that end the endpoints that run them.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use http::Request;
use oatpier_serving::site::RouteKind;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::support::{TestGateway, own_answer, read_request, record, request};

/// The body that ends whoever runs it.
const CRASHING: &str = "crash";

/// Ends that are allowed before the request must be known, and sends that are allowed after.
const ENDS_ALLOWED: u32 = 3;
const SENDS_AFTER: u32 = 3;

/// An endpoint that ends with the first request of a certain body, and answers all others.
struct FragileEndpoint {
    address: std::net::SocketAddr,
    crashing: Arc<AtomicU32>,
}

impl FragileEndpoint {
    async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let crashing = Arc::new(AtomicU32::new(0));
        tokio::spawn(serve_until_crash(listener, Arc::clone(&crashing)));
        Self { address, crashing }
    }

    /// Requests with the body that ends it that have reached it.
    fn crashing(&self) -> u32 {
        self.crashing.load(Ordering::Relaxed)
    }
}

/// Serves one connection after the other; the listener goes with the first request that ends it.
async fn serve_until_crash(listener: TcpListener, crashing: Arc<AtomicU32>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        while let Some(request) = read_request(&mut stream).await {
            if request.ends_with(CRASHING) {
                crashing.fetch_add(1, Ordering::Relaxed);
                return;
            }
            answer(&mut stream).await;
        }
    }
}

async fn answer(stream: &mut TcpStream) {
    let bytes = own_answer("200 OK", "world");
    stream.write_all(bytes.as_bytes()).await.unwrap();
}

/// A gateway before one endpoint at a time: when it ends, the platform lists another one.
struct FragileFleet {
    gateway: TestGateway,
    endpoint: FragileEndpoint,
    started: u8,
    reached: u32,
}

impl FragileFleet {
    async fn start() -> Self {
        let endpoint = FragileEndpoint::start().await;
        let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[]);
        let fleet = Self {
            gateway,
            endpoint,
            started: 1,
            reached: 0,
        };
        fleet.list();
        fleet
    }

    fn list(&self) {
        let listed = record(self.started, self.endpoint.address);
        self.gateway.core.take_records(None, vec![listed]);
    }

    /// Sends a request, and replaces the endpoint if that ended it.
    async fn send(&mut self, request: Request<Bytes>) -> http::Response<Bytes> {
        let answer = self.gateway.send(request).await;
        let reached = self.endpoint.crashing();
        self.reached += reached;
        if reached > 0 {
            self.endpoint = FragileEndpoint::start().await;
            self.started += 1;
            self.list();
        }
        answer
    }
}

fn crashing_request(id: &'static str) -> Request<Bytes> {
    let mut request = request(&[]);
    request
        .headers_mut()
        .insert("x-oatpier-request-id", http::HeaderValue::from_static(id));
    *request.body_mut() = Bytes::from_static(CRASHING.as_bytes());
    request
}

/// Callers see their streams cut and models vanish, again and again: one request ends each endpoint that runs
/// it, and its caller sends it again under a new id. The gateway held each end against the endpoint and kept
/// nothing of the request, so each return went to the endpoint that was still sound. What proved it: the cut
/// attempts at endpoints that ended one after the other had one content and many ids.
#[tokio::test]
async fn a_request_that_ended_three_endpoints_reaches_few_more() {
    let mut fleet = FragileFleet::start().await;
    let ids = [
        "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9", "b1", "b2", "b3",
    ];
    for id in ids {
        fleet.send(crashing_request(id)).await;
    }
    assert!(
        fleet.reached <= ENDS_ALLOWED + SENDS_AFTER,
        "{} sends reached endpoints",
        fleet.reached
    );
}
