//! Peers that send bytes without end: the client closes the connection, and the call may have run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

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
const ENDLESS: [(&str, &str); 8] = [
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
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
        while let Ok((mut stream, _)) = listener.accept().await {
            read_head(&mut stream).await;
            let mut next = beginning;
            while stream.write_all(next.as_bytes()).await.is_ok() {
                seen.written.fetch_add(next.len() as u64, Ordering::SeqCst);
                next = &piece;
            }
            seen.closed.notify_one();
        }
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

/// A large response that comes as fast as it is read isn't taken for bytes before a head.
#[tokio::test]
async fn a_large_response_is_read_whole() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 100000000\r\n\r\n";
    let (address, _) = start_peer(head, "a").await;
    let client = HttpClient::new(ClientLimits::default());
    for _ in 0..2 {
        let read = client.fetch(address, get("/"), HANG_TIMEOUT, 100_000_000);
        assert_eq!(read.await.unwrap().into_body().len(), 100_000_000);
    }
}
