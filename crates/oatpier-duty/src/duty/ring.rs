//! Rings: bounded channels between duties.

use prometheus_client::metrics::counter::Counter;
use thingbuf::mpsc;
use thingbuf::recycling::Recycle;

/// What a send does if the ring is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RingRule {
    /// The sender waits. For messages that must not be lost.
    Wait,
    /// The message is dropped and counted. For messages that a later one supersedes.
    Drop,
}

/// Clears a slot after it is read, so that a ring does not keep the memory of old messages.
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

/// Creates a ring of `capacity` messages; `full` counts the sends to a full ring.
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
    /// Sends a message according to the ring's rule. Messages to a duty that has ended are dropped.
    pub async fn send(&self, message: T) {
        let Err(message) = self.try_send(message) else {
            return;
        };
        if self.rule == RingRule::Wait {
            let _ = self.sender.send(Some(message)).await;
        }
    }

    /// Sends a message without waiting. If the ring is full, this is counted and the message returned.
    ///
    /// # Errors
    ///
    /// Returns the message if the ring is full.
    pub fn try_send(&self, message: T) -> Result<(), T> {
        match self.sender.try_send(Some(message)) {
            Err(mpsc::errors::TrySendError::Full(message)) => {
                self.full.inc();
                message.map_or(Ok(()), Err)
            }
            // The message was sent, or the receiving duty has ended.
            Ok(()) | Err(_) => Ok(()),
        }
    }
}

impl<T> RingReceiver<T> {
    /// Waits for the next message; returns `None` once all senders are dropped.
    pub async fn receive(&self) -> Option<T> {
        self.receiver.recv().await.flatten()
    }

    /// Returns the next message, if there is one.
    #[must_use]
    pub fn try_receive(&self) -> Option<T> {
        self.receiver.try_recv().ok().flatten()
    }
}
