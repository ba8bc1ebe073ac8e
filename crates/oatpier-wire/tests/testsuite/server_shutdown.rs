//! Tests that a graceful shutdown aborts no request and completes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use oatpier_wire::reply;
use oatpier_wire::server::{ServerCounters, ServerLimits, serve};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;

use crate::support::{HANG_TIMEOUT, listen, read_to_close, wait_until};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
const HELD_REQUEST: &[u8] = b"GET /held HTTP/1.1\r\n\r\n";

/// A server whose handler delays requests to `/held` until `release` is notified.
struct StoppableServer {
    address: SocketAddr,
    counters: Arc<ServerCounters>,
    release: Arc<Notify>,
    stop: Option<oneshot::Sender<()>>,
    serving: JoinHandle<()>,
}

impl StoppableServer {
    async fn start(linger: Duration) -> Self {
        let listener = listen().await;
        let address = listener.local_addr().unwrap();
        let counters = Arc::new(ServerCounters::default());
        let release = Arc::new(Notify::new());
        let (stop, stopped) = oneshot::channel();
        let limits = ServerLimits {
            linger,
            // Long enough that only the shutdown closes connections.
            idle_timeout: Duration::from_hours(1),
            ..ServerLimits::default()
        };
        let held = Arc::clone(&release);
        let handler = move |request: Request<Bytes>, _| {
            let held = Arc::clone(&held);
            async move {
                if request.uri().path() == "/held" {
                    held.notified().await;
                }
                reply::text(StatusCode::OK, "whole")
            }
        };
        let shutdown = async {
            let _ = stopped.await;
        };
        let counted = Arc::clone(&counters);
        let serving = serve(listener, Arc::new(handler), limits, counted, shutdown);
        Self {
            address,
            counters,
            release,
            stop: Some(stop),
            serving: tokio::spawn(serving),
        }
    }

    async fn connect(&self) -> TcpStream {
        let before = self.counters.accepted();
        let stream = TcpStream::connect(self.address).await.unwrap();
        wait_until(|| self.counters.accepted() > before).await;
        stream
    }

    fn stop(&mut self) {
        self.stop.take().unwrap().send(()).unwrap();
    }

    async fn wait_for_end(self) {
        let ended = tokio::time::timeout(HANG_TIMEOUT, self.serving).await;
        ended.expect("the server never ends").unwrap();
    }
}

async fn wait_until_refused(address: SocketAddr) {
    while TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn assert_complete_with_close(response: &str) {
    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    assert!(response.contains("connection: close\r\n"), "{response}");
    assert!(response.ends_with("whole"), "{response}");
}

/// A shutdown is requested during a request. The caller must still receive the whole response, and the server must
/// end only after that, although its listener is already closed.
#[tokio::test]
async fn request_in_flight_is_completed() {
    let mut server = StoppableServer::start(Duration::ZERO).await;
    let mut stream = server.connect().await;
    stream.write_all(HELD_REQUEST).await.unwrap();
    wait_until(|| server.counters.traffic.received() == HELD_REQUEST.len() as u64).await;
    server.stop();
    wait_until_refused(server.address).await;
    assert!(!server.serving.is_finished());
    server.release.notify_one();
    assert_complete_with_close(&read_to_close(&mut stream).await);
    server.wait_for_end().await;
}

/// Idle connections, new or kept alive, must not delay the shutdown.
#[tokio::test]
async fn idle_connections_do_not_delay_the_shutdown() {
    let mut server = StoppableServer::start(Duration::ZERO).await;
    let _fresh = server.connect().await;
    let mut kept = server.connect().await;
    kept.write_all(REQUEST).await.unwrap();
    wait_until(|| server.counters.traffic.sent() > 0).await;
    server.stop();
    server.wait_for_end().await;
}

/// Requests are in transit at the moment of the shutdown, one on a kept-alive connection and one on a new one.
/// Closing at once would reset them, and their sender could only report "may have run". During the linger time both
/// must receive a whole response with `Connection: close`.
#[tokio::test]
async fn requests_in_transit_are_processed_during_linger() {
    let mut server = StoppableServer::start(Duration::from_secs(1)).await;
    let mut kept = server.connect().await;
    server.stop();
    // Long enough for the server to process the stop, and much shorter than its linger time.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut late = TcpStream::connect(server.address).await.unwrap();
    for stream in [&mut kept, &mut late] {
        stream.write_all(REQUEST).await.unwrap();
        assert_complete_with_close(&read_to_close(stream).await);
    }
    server.wait_for_end().await;
}
