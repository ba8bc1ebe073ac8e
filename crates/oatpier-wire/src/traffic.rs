//! Bytes sent and received, as the sockets saw them.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts the bytes of one kind of traffic, such as control. Shared by all its connections.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    sent: AtomicU64,
    received: AtomicU64,
}

impl TrafficCounter {
    /// Bytes written to sockets so far, HTTP heads included.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes read from sockets so far, HTTP heads included.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    pub(crate) fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
