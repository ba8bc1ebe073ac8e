//! The memory that request bodies and whole responses take in a gateway.
//!
//! Each is limited in size, but a caller that reads slowly holds its response for long, and a process that exceeds its
//! memory is killed with all its streams. Therefore, a gateway refuses new requests while what it holds exceeds a share
//! of its memory. Their callers are served by other gateways. Requests with short bodies have room of their own. Above
//! twice that share, it gives up large responses that are still being read.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use oatpier_wire::server::body_room;

/// The memory for bodies is the process's memory divided by this.
const MEMORY_DIVISOR: usize = 4;

/// Responses are given up if the memory for bodies exceeds the process's memory divided by this.
const CRITICAL_DIVISOR: usize = 2;

/// The bytes that are held, over all requests.
#[derive(Debug, Default)]
pub struct BufferBudget {
    held: AtomicUsize,
}

impl BufferBudget {
    /// Returns whether what is held exceeds its share of the process's memory, in bytes, for a request with a body of this
    /// size.
    #[must_use]
    pub fn is_exceeded(&self, memory_bytes: usize, body_bytes: usize) -> bool {
        let room = body_room(memory_bytes / MEMORY_DIVISOR, body_bytes);
        self.held.load(Ordering::Relaxed) > room
    }

    /// Returns whether responses that are still being read must be given up.
    #[must_use]
    pub fn is_critical(&self, memory_bytes: usize) -> bool {
        self.held.load(Ordering::Relaxed) > memory_bytes / CRITICAL_DIVISOR
    }

    /// Counts bytes until the lease is dropped.
    #[must_use]
    pub fn hold(self: &Arc<Self>, bytes: usize) -> BufferLease {
        self.held.fetch_add(bytes, Ordering::Relaxed);
        BufferLease {
            budget: Arc::clone(self),
            bytes,
        }
    }
}

/// Bytes that are held.
#[derive(Debug)]
pub struct BufferLease {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

impl BufferLease {
    /// Counts more bytes.
    pub fn grow(&mut self, bytes: usize) {
        self.budget.held.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
