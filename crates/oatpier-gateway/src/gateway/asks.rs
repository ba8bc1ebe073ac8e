//! Asks to other processes that wait for an answer.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

/// Forgets an ask when its answer is here, late, or no longer waited for.
struct OpenAsk<'a, T> {
    book: &'a AskBook<T>,
    id: u64,
}

impl<T> Drop for OpenAsk<'_, T> {
    fn drop(&mut self) {
        self.book.close(self.id);
    }
}

/// Asks by their ids, each with whoever waits for its answer.
#[derive(Debug)]
pub(super) struct AskBook<T> {
    open: Mutex<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> Default for AskBook<T> {
    fn default() -> Self {
        Self {
            open: Mutex::default(),
        }
    }
}

impl<T> AskBook<T> {
    /// Sends an ask and waits for its answer; none if that did not come in time.
    pub(super) async fn ask(&self, wait: Duration, send: impl FnOnce(u64)) -> Option<T> {
        let id = rand::random();
        let answer = self.open(id);
        let _open = OpenAsk { book: self, id };
        send(id);
        timeout(wait, answer).await.ok()?.ok()
    }

    /// An ask is sent; gives back where its answer comes.
    pub(super) fn open(&self, id: u64) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(id, sender);
        receiver
    }

    /// An answer came. Nobody may be waiting for it any more.
    pub(super) fn take(&self, id: u64, answer: T) {
        if let Some(waiting) = self.lock().remove(&id) {
            // The request may have been given up at this moment: a permit lapses, and units are lost, which no
            // limit minds.
            let _ = waiting.send(answer);
        }
    }

    /// Nobody waits for the answer any more.
    pub(super) fn close(&self, id: u64) {
        self.lock().remove(&id);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<T>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
