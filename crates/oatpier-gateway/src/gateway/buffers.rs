//! The memory that request bodies and whole responses take in a gateway.
//!
//! Each is limited in size, but a caller that reads slowly holds its response for long, and a process that exceeds its
//! memory is killed with all its streams. Therefore, a gateway refuses new requests while what it holds exceeds a share
//! of its memory. Their callers are served by other gateways. Requests with short bodies have room of their own. Above
//! twice that share, it gives up large responses that are still being read. These have a limit of their own too, because
//! an endpoint in trouble may send bytes without end to many requests at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use oatpier_wire::server::body_room;

/// The memory for bodies is the process's memory divided by this.
const MEMORY_DIVISOR: usize = 4;

/// Responses are given up if the memory for bodies exceeds the process's memory divided by this.
const CRITICAL_DIVISOR: usize = 2;

/// The memory for large responses that are being read is the process's memory divided by this.
const INCOMING_DIVISOR: usize = 8;

/// The size up to which a response, or an event of one, is read whatever the memory that others take, in bytes.
pub(super) const SMALL_RESPONSE_BYTES: usize = 64 << 10;

/// The bytes that are held, over all requests.
#[derive(Debug, Default)]
pub struct BufferBudget {
    held: AtomicUsize,
    /// The part of them that large responses take while they are being read.
    incoming: AtomicUsize,
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

    /// Starts to count a response that is being read by a process with this much memory, in bytes.
    #[must_use]
    pub fn begin_response(self: &Arc<Self>, memory_bytes: usize) -> IncomingLease {
        IncomingLease {
            lease: self.hold(0),
            incoming_bytes: 0,
            max_bytes: memory_bytes / INCOMING_DIVISOR,
        }
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
    /// Counts this many bytes instead.
    fn resize(&mut self, bytes: usize) {
        self.budget.held.fetch_add(bytes, Ordering::Relaxed);
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// There is no memory for more of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShort;

/// The memory of a response that is being read.
#[derive(Debug)]
pub struct IncomingLease {
    lease: BufferLease,
    /// The bytes counted as those of a large response.
    incoming_bytes: usize,
    /// The memory for all large responses, in bytes. A single one may exceed it.
    max_bytes: usize,
}

impl IncomingLease {
    /// Counts this many bytes instead.
    ///
    /// # Errors
    ///
    /// Returns an error, and counts what it did before, if the response has become large and others leave no room for it.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryShort> {
        let incoming_bytes = if bytes > SMALL_RESPONSE_BYTES {
            bytes
        } else {
            0
        };
        let incoming = &self.lease.budget.incoming;
        let others = incoming.load(Ordering::Relaxed) - self.incoming_bytes;
        let is_growing = incoming_bytes > self.incoming_bytes;
        if is_growing && others > 0 && others + incoming_bytes > self.max_bytes {
            return Err(MemoryShort);
        }
        incoming.store(others + incoming_bytes, Ordering::Relaxed);
        self.incoming_bytes = incoming_bytes;
        self.lease.resize(bytes);
        Ok(())
    }

    /// Ends the reading of a response of this many bytes. They remain counted until the lease is dropped.
    #[must_use]
    pub fn complete(mut self, bytes: usize) -> BufferLease {
        self.release_incoming();
        self.lease.resize(bytes);
        let empty = self.lease.budget.hold(0);
        std::mem::replace(&mut self.lease, empty)
    }

    fn release_incoming(&mut self) {
        let bytes = std::mem::take(&mut self.incoming_bytes);
        self.lease
            .budget
            .incoming
            .fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for IncomingLease {
    fn drop(&mut self) {
        self.release_incoming();
    }
}
