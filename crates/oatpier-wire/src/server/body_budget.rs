//! The memory that the bodies of requests take, over all connections of a server.
//!
//! Each body is limited in size, but callers that hold back the end of their bodies would together take any amount of
//! memory. While memory is short, bodies that have stalled are given up, and bodies for which there is still no room are
//! refused. Short bodies have room of their own, so that they are received beside a crowd of large ones.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The time for which a body may stall while memory is short. A lost packet is sent again within this time.
pub(crate) const STALL_GRACE: Duration = Duration::from_millis(500);

/// Bodies up to this size also use the room for short ones, in bytes.
const SHORT_BODY_BYTES: usize = 64 << 10;

/// The room for short bodies is the limit divided by this.
const SHORT_DIVISOR: usize = 4;

/// The memory for bodies in a process of unknown size, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;

/// Bodies that are being received take the process's memory divided by this.
const INCOMING_DIVISOR: usize = 8;

/// Bodies of requests that are being processed take the process's memory divided by this.
const COMPLETE_DIVISOR: usize = 4;

/// The limits on the memory that bodies take, in bytes. A single body is received and processed whatever its size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Memory for bodies that are being received.
    pub incoming_bytes: usize,
    /// Memory for the bodies of requests that are being processed.
    pub complete_bytes: usize,
}

impl BudgetLimits {
    /// Returns the limits of a process with this much memory, in bytes.
    #[must_use]
    pub fn of_memory(memory_bytes: usize) -> Self {
        Self {
            incoming_bytes: memory_bytes / INCOMING_DIVISOR,
            complete_bytes: memory_bytes / COMPLETE_DIVISOR,
        }
    }
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self::of_memory(DEFAULT_MEMORY_BYTES)
    }
}

/// The memory that bodies take.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    limits: BudgetLimits,
    state: Mutex<BudgetState>,
}

#[derive(Debug, Default)]
struct BudgetState {
    incoming_bytes: usize,
    complete_bytes: usize,
    bodies: BTreeMap<u64, BodyRow>,
    next_key: u64,
}

/// A body that is being received.
#[derive(Debug)]
struct BodyRow {
    bytes: usize,
    /// When the body counts as stalled, unless more of it is received.
    stalls_at: Instant,
    given_up: Arc<Notify>,
}

/// There is no memory for a body, or it was given up for the memory that it took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MemoryShort;

impl BodyBudget {
    pub(crate) fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            state: Mutex::default(),
        }
    }

    /// Begins to receive a body. One that is received at less than `min_rate` bytes per second counts as stalled.
    pub(crate) fn begin(self: &Arc<Self>, min_rate: f64) -> IncomingBody {
        let given_up = Arc::new(Notify::new());
        let mut state = self.lock();
        let key = state.next_key;
        state.next_key += 1;
        let row = BodyRow {
            bytes: 0,
            stalls_at: Instant::now() + STALL_GRACE,
            given_up: Arc::clone(&given_up),
        };
        state.bodies.insert(key, row);
        drop(state);
        IncomingBody {
            budget: Arc::clone(self),
            key,
            min_rate,
            given_up,
        }
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BudgetState {
    /// Gives up all bodies that have stalled, except the one with this key. Their memory counts as free at once; their
    /// tasks are woken and release it.
    fn give_up_stalled(&mut self, except: u64) {
        let now = Instant::now();
        let is_stalled = |key: &u64, row: &mut BodyRow| *key != except && row.stalls_at < now;
        for (_, row) in self.bodies.extract_if(.., is_stalled) {
            self.incoming_bytes -= row.bytes;
            row.given_up.notify_one();
        }
    }

    fn end(&mut self, key: u64) -> Result<(), MemoryShort> {
        let row = self.bodies.remove(&key).ok_or(MemoryShort)?;
        self.incoming_bytes -= row.bytes;
        Ok(())
    }
}

/// Returns the memory for bodies that a body of `bytes` may use; a short one may use more than `limit`.
#[must_use]
pub fn body_room(limit: usize, bytes: usize) -> usize {
    let is_short = bytes <= SHORT_BODY_BYTES;
    limit + if is_short { limit / SHORT_DIVISOR } else { 0 }
}

/// Returns whether a body of `bytes` fits beside `others` bytes of other bodies.
fn has_room(limit: usize, others: usize, bytes: usize) -> bool {
    others == 0 || others + bytes <= body_room(limit, bytes)
}

/// A body that is being received.
#[derive(Debug)]
pub(crate) struct IncomingBody {
    budget: Arc<BodyBudget>,
    key: u64,
    /// In bytes per second.
    min_rate: f64,
    given_up: Arc<Notify>,
}

impl IncomingBody {
    /// Counts the memory that the body takes from now on.
    pub(crate) fn set_bytes(&mut self, bytes: usize) -> Result<(), MemoryShort> {
        let limit = self.budget.limits.incoming_bytes;
        let mut state = self.budget.lock();
        let held = state.bodies.get(&self.key).ok_or(MemoryShort)?.bytes;
        if !has_room(limit, state.incoming_bytes - held, bytes) {
            state.give_up_stalled(self.key);
        }
        let others = state.incoming_bytes - held;
        if !has_room(limit, others, bytes) {
            return Err(MemoryShort);
        }
        state.incoming_bytes = others + bytes;
        if let Some(row) = state.bodies.get_mut(&self.key) {
            row.bytes = bytes;
        }
        Ok(())
    }

    /// Records that bytes of the body were received.
    pub(crate) fn note_received(&mut self, bytes: usize) {
        let now = Instant::now();
        #[expect(clippy::cast_precision_loss, reason = "a frame is short")]
        let earned_s = (bytes as f64 / self.min_rate).min(STALL_GRACE.as_secs_f64());
        if let Some(row) = self.budget.lock().bodies.get_mut(&self.key) {
            let earned = Duration::from_secs_f64(earned_s);
            row.stalls_at = (row.stalls_at.max(now) + earned).min(now + STALL_GRACE);
        }
    }

    /// Waits until the body is given up.
    pub(crate) async fn given_up(&self) {
        self.given_up.notified().await;
    }

    /// Counts the body as complete until the lease is dropped.
    pub(crate) fn complete(self, bytes: usize) -> Result<BodyLease, MemoryShort> {
        let limit = self.budget.limits.complete_bytes;
        let mut state = self.budget.lock();
        state.end(self.key)?;
        if !has_room(limit, state.complete_bytes, bytes) {
            return Err(MemoryShort);
        }
        state.complete_bytes += bytes;
        drop(state);
        Ok(BodyLease {
            budget: Arc::clone(&self.budget),
            bytes,
        })
    }
}

impl Drop for IncomingBody {
    fn drop(&mut self) {
        // A body that is complete or given up is no longer listed.
        let _ = self.budget.lock().end(self.key);
    }
}

/// The body of a request that is being processed.
#[derive(Debug)]
pub(crate) struct BodyLease {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.budget.lock().complete_bytes -= self.bytes;
    }
}
