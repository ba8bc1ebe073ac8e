//! Events in the order of their time; equal times in the order of their making.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oatpier_types::clock::ClockTime;

struct QueuedEvent<E> {
    at: ClockTime,
    number: u64,
    event: E,
}

impl<E> PartialEq for QueuedEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for QueuedEvent<E> {}

impl<E> PartialOrd for QueuedEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for QueuedEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// The events that are yet to come.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<QueuedEvent<E>>>,
    made: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            made: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub fn push(&mut self, at: ClockTime, event: E) {
        self.made += 1;
        self.heap.push(Reverse(QueuedEvent {
            at,
            number: self.made,
            event,
        }));
    }

    /// Takes the next event with its time.
    pub fn pop(&mut self) -> Option<(ClockTime, E)> {
        let Reverse(queued) = self.heap.pop()?;
        Some((queued.at, queued.event))
    }
}
