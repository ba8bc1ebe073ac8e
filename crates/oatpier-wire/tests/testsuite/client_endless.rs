//! Peers that send bytes without end: the client closes the connection, and the call may have run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use oatpier_types::verdict::RunVerdict;
use oatpier_wire::client::{ClientLimits, HttpClient};
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::support::{HANG_TIMEOUT, get, listen, read_head};

/// The most that is read of a response, in bytes.
const LIMIT: usize = 1 << 20;

/// More than the sockets on the way and the client's own buffer hold, in bytes.
const BUFFER_BYTES: u64 = 16 << 20;

/// Beginnings of responses, and what is repeated after them.
const ENDLESS: [(&str, &str); 7] = [
    ("HTTP/1.1 200 OK\r\nx-filler: ", "a"),
    ("HTTP/1.1 200 OK\r\n", "x-filler: a\r\n"),
    ("", "\r\n"),
    ("", "\u{1}"),
    ("HTTP/1.1 200 OK\r\n\r\n", "a"),
    (
        "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
        "a",
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "4\r\naaaa\r\n",
    ),
];

/// What a peer has written, and whether its connection was closed.
#[derive(Default)]
struct PeerState {
    written: AtomicU64,
    closed: Notify,
}

async fn start_peer(beginning: &'static str, repeated: &str) -> (SocketAddr, Arc<PeerState>) {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    let piece = repeated.repeat(1_024);
    let state = Arc::new(PeerState::default());
    let seen = Arc::clone(&state);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        let mut next = beginning;
        while stream.write_all(next.as_bytes()).await.is_ok() {
            seen.written.fetch_add(next.len() as u64, Ordering::SeqCst);
            next = &piece;
        }
        seen.closed.notify_one();
    });
    (address, state)
}

/// Guards against memory that grows with a response, in all calls that read one whole.
#[tokio::test]
async fn a_response_without_end_is_given_up() {
    for (beginning, repeated) in ENDLESS {
        let (address, peer) = start_peer(beginning, repeated).await;
        let client = HttpClient::new(ClientLimits::default());
        let called = client.fetch(address, get("/"), HANG_TIMEOUT, LIMIT).await;
        assert_eq!(
            called.err().map(|error| error.verdict),
            Some(RunVerdict::MayHaveRun),
            "{beginning:?}"
        );
        timeout(HANG_TIMEOUT, peer.closed.notified()).await.unwrap();
        // Chunks of four bytes take nine.
        let max_written = 3 * LIMIT as u64 + BUFFER_BYTES;
        assert!(peer.written.load(Ordering::SeqCst) <= max_written);
    }
}

/// Interim responses without end take no memory. The call ends with its timeout.
#[tokio::test]
async fn interim_responses_without_end_end_with_the_timeout() {
    let (address, peer) = start_peer("", "HTTP/1.1 100 Continue\r\n\r\n").await;
    let client = HttpClient::new(ClientLimits::default());
    let called = client
        .fetch(address, get("/"), Duration::from_millis(100), LIMIT)
        .await;
    let error = called.err().unwrap();
    assert!(error.timed_out);
    assert_eq!(error.verdict, RunVerdict::MayHaveRun);
    timeout(HANG_TIMEOUT, peer.closed.notified()).await.unwrap();
}
