//! An endpoint whose responses never end.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::support::read_request;

/// Time after which a waiting test is considered hung.
const HANG_TIMEOUT: Duration = Duration::from_mins(1);

/// Size of the pieces that are written, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// More than the sockets on the way hold, in bytes.
const SOCKET_BYTES: u64 = 16 << 20;

/// An endpoint that responds to each request with the beginning of a response, and then with the same bytes over and over
/// until the connection is closed.
pub struct EndlessEndpoint {
    pub address: SocketAddr,
    written: Arc<AtomicU64>,
    closed: Arc<Notify>,
}

impl EndlessEndpoint {
    pub async fn start(beginning: &str, repeated: &str) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let written = Arc::new(AtomicU64::new(0));
        let closed = Arc::new(Notify::new());
        let beginning = beginning.to_owned();
        let piece = repeated.repeat(PIECE_BYTES.div_ceil(repeated.len()));
        let (count, signal) = (Arc::clone(&written), Arc::clone(&closed));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                write_until_closed(stream, &beginning, &piece, &count).await;
                signal.notify_one();
            }
        });
        Self {
            address,
            written,
            closed,
        }
    }

    /// Waits until a connection was closed, and checks that at most this many bytes were read from all of them.
    pub async fn check_closed(&self, max_read: u64) {
        timeout(HANG_TIMEOUT, self.closed.notified()).await.unwrap();
        let written = self.written.load(Ordering::SeqCst);
        assert!(
            written <= max_read + SOCKET_BYTES,
            "{written} bytes were written"
        );
    }
}

async fn write_until_closed(
    mut stream: TcpStream,
    beginning: &str,
    piece: &str,
    written: &AtomicU64,
) {
    if read_request(&mut stream).await.is_none() {
        return;
    }
    let mut next = beginning;
    while stream.write_all(next.as_bytes()).await.is_ok() {
        written.fetch_add(next.len() as u64, Ordering::SeqCst);
        next = piece;
    }
}
