//! A limit on the bytes that a peer may send before the head of its response is complete.
//!
//! `hyper` limits the head, and discards interim responses (1xx) without counting them.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// The maximum number of bytes from a request to the head of its response, interim responses included. It is well above
/// what is read ahead of the body before the head is taken.
const MAX_BYTES_TO_HEAD: usize = 2 << 20;

/// Counts the bytes that arrive on a connection while a response's head is awaited.
#[derive(Debug, Default)]
pub(crate) struct HeadLimit {
    is_awaited: AtomicBool,
    received: AtomicUsize,
}

impl HeadLimit {
    /// Starts to wait for the head of a response.
    pub(super) fn begin(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.is_awaited.store(true, Ordering::Relaxed);
    }

    /// Records that the head has arrived.
    pub(super) fn end(&self) {
        self.is_awaited.store(false, Ordering::Relaxed);
    }

    /// Counts bytes that were received.
    ///
    /// # Errors
    ///
    /// Returns an error of the kind [`io::ErrorKind::InvalidData`] if the limit is exceeded.
    pub(crate) fn note_received(&self, bytes: usize) -> io::Result<()> {
        if !self.is_awaited.load(Ordering::Relaxed) {
            return Ok(());
        }
        let received = self.received.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if received <= MAX_BYTES_TO_HEAD {
            return Ok(());
        }
        let cause = format!("no response after {received} bytes");
        Err(io::Error::new(io::ErrorKind::InvalidData, cause))
    }
}
