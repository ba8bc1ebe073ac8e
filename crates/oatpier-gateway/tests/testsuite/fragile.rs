//! A gateway in front of endpoints that crash under certain requests.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use http::Request;
use oatpier_serving::site::RouteKind;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::support::{TestGateway, endpoint_response, read_request, record};

/// Tells whether a request, as an endpoint receives it, crashes the endpoint.
pub type CrashTest = fn(&str) -> bool;

/// An endpoint that crashes at the first request that its [`CrashTest`] matches, and responds to all others.
struct FragileEndpoint {
    address: SocketAddr,
    crashing: Arc<AtomicU32>,
}

impl FragileEndpoint {
    async fn start(crashes: CrashTest) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let crashing = Arc::new(AtomicU32::new(0));
        tokio::spawn(serve_until_crash(listener, crashes, Arc::clone(&crashing)));
        Self { address, crashing }
    }

    /// Returns the number of crashing requests that reached the endpoint.
    fn crashing(&self) -> u32 {
        self.crashing.load(Ordering::Relaxed)
    }
}

/// Serves one connection after the other, and closes the listener with the first crashing request.
async fn serve_until_crash(listener: TcpListener, crashes: CrashTest, crashing: Arc<AtomicU32>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        while let Some(request) = read_request(&mut stream).await {
            if crashes(&request) {
                crashing.fetch_add(1, Ordering::Relaxed);
                return;
            }
            answer(&mut stream).await;
        }
    }
}

async fn answer(stream: &mut TcpStream) {
    let bytes = endpoint_response("200 OK", "world");
    stream.write_all(bytes.as_bytes()).await.unwrap();
}

/// A gateway in front of one endpoint at a time. When the endpoint crashes, the registry lists another one.
pub struct FragileFleet {
    pub gateway: TestGateway,
    /// The number of crashing requests that reached endpoints.
    pub reached: u32,
    crashes: CrashTest,
    endpoint: FragileEndpoint,
    started: u8,
}

impl FragileFleet {
    pub async fn start(crashes: CrashTest) -> Self {
        let endpoint = FragileEndpoint::start(crashes).await;
        let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[]);
        let fleet = Self {
            gateway,
            reached: 0,
            crashes,
            endpoint,
            started: 1,
        };
        fleet.register();
        fleet
    }

    /// Returns the address of the present endpoint.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.address
    }

    /// Lists the present endpoint in the registry.
    pub fn register(&self) {
        let listed = record(self.started, self.endpoint.address);
        self.gateway.core.apply_records(None, vec![listed]);
    }

    /// Sends a request, and replaces the endpoint if the request crashed it.
    pub async fn send(&mut self, request: Request<Bytes>) -> http::Response<Bytes> {
        let answer = self.gateway.send(request).await;
        let reached = self.endpoint.crashing();
        self.reached += reached;
        if reached > 0 {
            self.endpoint = FragileEndpoint::start(self.crashes).await;
            self.started += 1;
            self.register();
        }
        answer
    }
}
