//! A planned stop cuts off no request, and ends by itself.

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

use crate::support::{HANG, listen, read_to_close, until};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
const HELD_REQUEST: &[u8] = b"GET /held HTTP/1.1\r\n\r\n";

/// A server whose handler holds `/held` until it is released.
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
            // Only the stop closes a connection here.
            idle: Duration::from_hours(1),
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
        until(|| self.counters.accepted() > before).await;
        stream
    }

    fn stop(&mut self) {
        self.stop.take().unwrap().send(()).unwrap();
    }

    async fn ended(self) {
        let ended = tokio::time::timeout(HANG, self.serving).await;
        ended.expect("the server never ends").unwrap();
    }
}

async fn is_refused(address: SocketAddr) {
    while TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn assert_whole_and_closing(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert!(answer.ends_with("whole"), "{answer}");
}

/// A stop is asked for while a request runs. The caller still gets its whole answer, and the
/// server ends only then, though its listener has long been closed.
#[tokio::test]
async fn a_request_in_flight_is_finished() {
    let mut server = StoppableServer::start(Duration::ZERO).await;
    let mut stream = server.connect().await;
    stream.write_all(HELD_REQUEST).await.unwrap();
    until(|| server.counters.traffic.received() == HELD_REQUEST.len() as u64).await;
    server.stop();
    is_refused(server.address).await;
    assert!(!server.serving.is_finished());
    server.release.notify_one();
    assert_whole_and_closing(&read_to_close(&mut stream).await);
    server.ended().await;
}

/// Connections that carry nothing, fresh or kept alive, must not hold up the end of a stop.
#[tokio::test]
async fn unused_connections_do_not_hold_up_the_stop() {
    let mut server = StoppableServer::start(Duration::ZERO).await;
    let _fresh = server.connect().await;
    let mut kept = server.connect().await;
    kept.write_all(REQUEST).await.unwrap();
    until(|| server.counters.traffic.sent() > 0).await;
    server.stop();
    server.ended().await;
}

/// A request is on its way, over a kept connection or a new one, at the moment of the stop.
/// Closing at once would reset it, and its sender could only say "may have run". During the
/// linger both are answered whole, and told to close.
#[tokio::test]
async fn requests_on_their_way_are_answered_during_the_linger() {
    let mut server = StoppableServer::start(Duration::from_secs(1)).await;
    let mut kept = server.connect().await;
    server.stop();
    // The server has taken notice of the stop, and its linger is far from over.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut late = TcpStream::connect(server.address).await.unwrap();
    for stream in [&mut kept, &mut late] {
        stream.write_all(REQUEST).await.unwrap();
        assert_whole_and_closing(&read_to_close(stream).await);
    }
    server.ended().await;
}
