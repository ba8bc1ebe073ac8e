//! The memory that request bodies and whole responses take in a gateway.
//!
//! Each is limited in size, but a caller that reads slowly holds its response for long, and a process that exceeds its
//! memory is killed with all its streams. Therefore, a gateway refuses new requests while what it holds exceeds a share
//! of its memory. Their callers are served by other gateways.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory for bodies is the process's memory divided by this.
const MEMORY_DIVISOR: usize = 4;

/// The bytes that are held, over all requests.
#[derive(Debug, Default)]
pub struct BufferBudget {
    held: AtomicUsize,
}

impl BufferBudget {
    /// Returns whether what is held exceeds its share of the process's memory, in bytes.
    #[must_use]
    pub fn is_exceeded(&self, memory_bytes: usize) -> bool {
        self.held.load(Ordering::Relaxed) > memory_bytes / MEMORY_DIVISOR
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

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
