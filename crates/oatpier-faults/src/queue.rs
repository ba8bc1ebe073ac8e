//! A queue of simulated events, ordered by time.

use std::collections::BTreeMap;

use oatpier_types::clock::ClockTime;

/// Events ordered by time. Events of the same time keep the order in which they were added.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BTreeMap<(ClockTime, u64), E>,
    sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            events: BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub fn put(&mut self, at: ClockTime, event: E) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Removes and returns the next event, if it is due by `until`.
    pub fn take(&mut self, until: ClockTime) -> Option<(ClockTime, E)> {
        let entry = self.events.first_entry()?;
        let at = entry.key().0;
        (at <= until).then(|| (at, entry.remove()))
    }
}
