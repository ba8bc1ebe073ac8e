//! Tests of a server that more callers connect to than its processor can serve.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use oatpier_wire::reply;
use oatpier_wire::server::{ServerCounters, ServerLimits, serve};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{advance, sleep};

use crate::support::{exchange, listen, wait_until};

/// The time that a busy task takes each time it is polled.
const POLL_TIME: Duration = Duration::from_millis(2);

/// Enough busy tasks that a new connection waits over half a second for the processor.
const BUSY_TASKS: usize = 400;

const MAX_START_DELAY: Duration = Duration::from_millis(50);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

/// Runs a test beside a server that, like a duty, accepts connections in its main task.
async fn beside_server<F: Future<Output = ()>>(
    test: impl FnOnce(SocketAddr, Arc<ServerCounters>) -> F,
) {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    let counters = Arc::<ServerCounters>::default();
    let handler = |_: Request<Bytes>, _| async { reply::text(StatusCode::OK, "served") };
    let limits = ServerLimits {
        max_start_delay: Some(MAX_START_DELAY),
        ..ServerLimits::default()
    };
    let serving = serve(
        listener,
        Arc::new(handler),
        limits,
        Arc::clone(&counters),
        pending(),
    );
    tokio::select! {
        () = serving => {}
        () = test(address, counters) => {}
    }
}

/// Keeps the processor busy until the set is dropped.
fn keep_busy() -> JoinSet<()> {
    let mut busy = JoinSet::new();
    for _ in 0..BUSY_TASKS {
        busy.spawn(async {
            loop {
                advance(POLL_TIME).await;
            }
        });
    }
    busy
}

/// Lets callers connect until the server has closed a connection unread.
async fn crowd(address: SocketAddr, counters: &ServerCounters) {
    let busy = keep_busy();
    let mut callers = JoinSet::new();
    wait_until(|| {
        callers.spawn(TcpStream::connect(address));
        counters.closed_unread() > 0
    })
    .await;
    drop(busy);
}

/// Guards against a server that accepts connections faster than it serves them, so that each of them waits longer than the
/// one before, and their callers leave before they are served.
#[tokio::test(start_paused = true)]
async fn connections_are_closed_unread_while_others_wait_too_long() {
    beside_server(|address, counters| async move {
        crowd(address, &counters).await;
        assert!(counters.accepted() > 0);
    })
    .await;
}

/// Guards against a server that goes on to close connections when it has caught up.
#[tokio::test(start_paused = true)]
async fn connections_are_served_again_after_a_crowd() {
    beside_server(|address, counters| async move {
        crowd(address, &counters).await;
        sleep(MAX_START_DELAY).await;
        let response = exchange(address, REQUEST).await;
        assert!(response.ends_with("served"), "{response}");
    })
    .await;
}
