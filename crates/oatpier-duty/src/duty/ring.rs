//! Bounded rings between duties.

use prometheus_client::metrics::counter::Counter;
use thingbuf::mpsc;
use thingbuf::recycling::Recycle;

/// What a ring does when it is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RingRule {
    /// The sender waits: for what must not be lost.
    Wait,
    /// The message is dropped and counted: for what a later one makes good.
    Drop,
}

/// Leaves nothing in a slot that was read, so that a ring holds no memory of old messages.
#[derive(Debug, Clone)]
struct EmptySlot;

impl<T> Recycle<Option<T>> for EmptySlot {
    fn new_element(&self) -> Option<T> {
        None
    }

    fn recycle(&self, element: &mut Option<T>) {
        *element = None;
    }
}

/// The sending side of a ring.
pub struct RingSender<T> {
    sender: mpsc::Sender<Option<T>, EmptySlot>,
    rule: RingRule,
    full: Counter,
}

/// The receiving side of a ring.
pub struct RingReceiver<T> {
    receiver: mpsc::Receiver<Option<T>, EmptySlot>,
}

/// Makes a ring of `capacity` messages; `full` counts each time that it was full.
#[must_use]
pub fn ring<T>(capacity: usize, rule: RingRule, full: Counter) -> (RingSender<T>, RingReceiver<T>) {
    let (sender, receiver) = mpsc::with_recycle(capacity, EmptySlot);
    let sender = RingSender { sender, rule, full };
    (sender, RingReceiver { receiver })
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
            rule: self.rule,
            full: self.full.clone(),
        }
    }
}

impl<T> RingSender<T> {
    /// Sends a message by the ring's rule. A message to a duty that has ended is dropped.
    pub async fn send(&self, message: T) {
        let Err(message) = self.offer(message) else {
            return;
        };
        if self.rule == RingRule::Wait {
            let _ = self.sender.send(Some(message)).await;
        }
    }

    /// Sends a message without waiting; gives it back if the ring is full, and counts that.
    ///
    /// # Errors
    ///
    /// The message, if the ring is full.
    pub fn offer(&self, message: T) -> Result<(), T> {
        match self.sender.try_send(Some(message)) {
            Err(mpsc::errors::TrySendError::Full(message)) => {
                self.full.inc();
                message.map_or(Ok(()), Err)
            }
            // Sent, or the other duty has ended.
            Ok(()) | Err(_) => Ok(()),
        }
    }
}

impl<T> RingReceiver<T> {
    /// The next message; `None` when all senders are gone.
    pub async fn receive(&self) -> Option<T> {
        self.receiver.recv().await.flatten()
    }

    /// The next message, if one is there.
    #[must_use]
    pub fn poll(&self) -> Option<T> {
        self.receiver.try_recv().ok().flatten()
    }
}
