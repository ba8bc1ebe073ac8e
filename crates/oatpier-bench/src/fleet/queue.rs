//! Event queue ordered by time; events with equal times keep the order in which they were added.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oatpier_types::clock::ClockTime;

/// Sort key of an event. Only these small keys are moved in the heap; the events stay in their slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    at: ClockTime,
    number: u64,
    slot: usize,
}

/// Queue of pending events.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<QueueKey>>,
    events: Vec<Option<E>>,
    free_slots: Vec<usize>,
    pushed: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            events: Vec::new(),
            free_slots: Vec::new(),
            pushed: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event that is due at `at`.
    pub fn push(&mut self, at: ClockTime, event: E) {
        self.pushed += 1;
        let slot = self.store_event(event);
        self.heap.push(Reverse(QueueKey {
            at,
            number: self.pushed,
            slot,
        }));
    }

    /// Removes and returns the next event with its time.
    pub fn pop(&mut self) -> Option<(ClockTime, E)> {
        let Reverse(key) = self.heap.pop()?;
        let event = self.events[key.slot].take()?;
        self.free_slots.push(key.slot);
        Some((key.at, event))
    }

    fn store_event(&mut self, event: E) -> usize {
        if let Some(slot) = self.free_slots.pop() {
            self.events[slot] = Some(event);
            return slot;
        }
        self.events.push(Some(event));
        self.events.len() - 1
    }
}
