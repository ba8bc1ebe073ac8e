//! Event queue ordered by time; events with equal times keep the order in which they were added.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oatpier_types::clock::ClockTime;

/// Sort key of an event. Only these small keys are moved in the heap; the events stay in their slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    at: ClockTime,
    number: u64,
    place: usize,
}

/// Queue of pending events.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<QueueKey>>,
    events: Vec<Option<E>>,
    free: Vec<usize>,
    made: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            made: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event that is due at `at`.
    pub fn push(&mut self, at: ClockTime, event: E) {
        self.made += 1;
        let place = self.keep(event);
        self.heap.push(Reverse(QueueKey {
            at,
            number: self.made,
            place,
        }));
    }

    /// Removes and returns the next event with its time.
    pub fn pop(&mut self) -> Option<(ClockTime, E)> {
        let Reverse(key) = self.heap.pop()?;
        let event = self.events[key.place].take()?;
        self.free.push(key.place);
        Some((key.at, event))
    }

    fn keep(&mut self, event: E) -> usize {
        if let Some(place) = self.free.pop() {
            self.events[place] = Some(event);
            return place;
        }
        self.events.push(Some(event));
        self.events.len() - 1
    }
}
