//! What a connection is doing, as its service, its stream and the server see it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use futures::task::AtomicWaker;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The current activity of a connection, set by its service and read by its stream.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    /// Whether a request is being received or processed.
    pub(super) serving: AtomicBool,
    /// Whether the request has been received in full.
    received: AtomicBool,
    /// Whether bytes of a head have been received since the last request.
    pub(super) head_begun: AtomicBool,
    /// Whether a request has been processed.
    has_served: AtomicBool,
    /// Wakes the connection when a request has been processed. `hyper` does not read again by itself after a response,
    /// so without the wake-up no timer would start and an idle connection would be kept forever.
    pub(super) finished: AtomicWaker,
    /// When the connection was opened, its last request begun, or its last request processed, whichever was last.
    changed_at: Mutex<Instant>,
    /// Whether the connection was asked to close and has not yet decided.
    is_closing: AtomicBool,
    close_requested: Notify,
}

/// How long a connection has waited for its caller. Those to close first are ordered first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallerWait {
    /// Whether the connection has served a request and no other has begun.
    pub(super) is_idle: bool,
    /// Since when.
    pub(super) since: Instant,
}

impl ConnectionActivity {
    /// The activity of a connection that was just opened.
    pub(crate) fn new() -> Self {
        Self {
            serving: AtomicBool::default(),
            received: AtomicBool::default(),
            head_begun: AtomicBool::default(),
            has_served: AtomicBool::default(),
            finished: AtomicWaker::default(),
            changed_at: Mutex::new(Instant::now()),
            is_closing: AtomicBool::default(),
            close_requested: Notify::default(),
        }
    }

    /// Records that a request's head was received.
    pub(crate) fn begin(&self) {
        self.serving.store(true, Ordering::Relaxed);
        self.received.store(false, Ordering::Relaxed);
        self.head_begun.store(false, Ordering::Relaxed);
        self.note_change();
    }

    /// Records that the request's body was received.
    pub(crate) fn complete(&self) {
        self.received.store(true, Ordering::Relaxed);
    }

    /// Returns whether a complete request is being processed.
    pub(super) fn is_processing(&self) -> bool {
        self.serving.load(Ordering::Relaxed) && self.received.load(Ordering::Relaxed)
    }

    /// Records that the request was processed.
    pub(super) fn end(&self) {
        self.serving.store(false, Ordering::Relaxed);
        self.has_served.store(true, Ordering::Relaxed);
        self.note_change();
        self.finished.wake();
    }

    /// Returns how long the connection has waited for its caller; `None` while a request is being processed.
    pub(super) fn caller_wait(&self) -> Option<CallerWait> {
        if self.is_processing() {
            return None;
        }
        let has_begun =
            self.serving.load(Ordering::Relaxed) || self.head_begun.load(Ordering::Relaxed);
        Some(CallerWait {
            is_idle: self.has_served.load(Ordering::Relaxed) && !has_begun,
            since: *self
                .changed_at
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        })
    }

    /// Returns whether the connection was asked to close.
    pub(super) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Asks the connection to close.
    pub(super) fn request_close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
        self.close_requested.notify_one();
    }

    /// Waits until the connection is asked to close and no complete request is being processed. Returns the wait for the
    /// caller at that time.
    pub(super) async fn close_requested(&self) -> CallerWait {
        loop {
            self.close_requested.notified().await;
            if let Some(wait) = self.caller_wait() {
                return wait;
            }
            self.is_closing.store(false, Ordering::Relaxed);
        }
    }

    fn note_change(&self) {
        *self
            .changed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }
}
