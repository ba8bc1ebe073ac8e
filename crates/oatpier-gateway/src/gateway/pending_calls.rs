//! Calls to other processes that wait for an answer.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

/// Removes a pending call when its answer has arrived, its time is up, or its caller was dropped.
struct PendingCall<'a, T> {
    calls: &'a PendingCalls<T>,
    id: u64,
}

impl<T> Drop for PendingCall<'_, T> {
    fn drop(&mut self) {
        self.calls.remove(self.id);
    }
}

/// Pending calls by id, each with the channel that takes its answer.
#[derive(Debug)]
pub(super) struct PendingCalls<T> {
    open: Mutex<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> Default for PendingCalls<T> {
    fn default() -> Self {
        Self {
            open: Mutex::default(),
        }
    }
}

impl<T> PendingCalls<T> {
    /// Sends a call and waits for its answer. Returns `None` if the answer did not arrive in time.
    pub(super) async fn ask(&self, wait: Duration, send: impl FnOnce(u64)) -> Option<T> {
        let id = rand::random();
        let answer = self.register(id);
        let _open = PendingCall { calls: self, id };
        send(id);
        timeout(wait, answer).await.ok()?.ok()
    }

    /// Registers a call that is sent, and returns the channel on which its answer arrives.
    pub(super) fn register(&self, id: u64) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(id, sender);
        receiver
    }

    /// Passes an answer to its call. The call may no longer be pending.
    pub(super) fn complete(&self, id: u64, answer: T) {
        if let Some(waiting) = self.lock().remove(&id) {
            // The receiver may have been dropped at this moment. A permit then expires, and granted units are lost,
            // which only makes the limit stricter.
            let _ = waiting.send(answer);
        }
    }

    /// Removes a call whose answer is no longer needed.
    pub(super) fn remove(&self, id: u64) {
        self.lock().remove(&id);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<T>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
