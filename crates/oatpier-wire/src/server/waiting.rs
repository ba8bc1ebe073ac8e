//! Connections that were accepted and wait for the processor.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// When each connection that waits for the processor was accepted, oldest first.
#[derive(Debug, Clone, Default)]
pub(super) struct WaitingConnections(Arc<Mutex<VecDeque<Instant>>>);

/// One connection that waits, until it is dropped.
#[derive(Debug)]
pub(super) struct WaitingConnection(WaitingConnections);

impl WaitingConnections {
    /// Records that a connection was accepted. The runtime starts connections in the order in which they were accepted.
    pub(super) fn enter(&self) -> WaitingConnection {
        self.lock().push_back(Instant::now());
        WaitingConnection(self.clone())
    }

    /// Returns how long the oldest connection has been waiting.
    pub(super) fn longest(&self) -> Duration {
        let oldest = self.lock().front().copied();
        oldest.map_or(Duration::ZERO, |accepted_at| accepted_at.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for WaitingConnection {
    fn drop(&mut self) {
        self.0.lock().pop_front();
    }
}
