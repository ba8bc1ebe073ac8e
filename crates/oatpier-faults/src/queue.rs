//! What happens when, in one order.

use std::collections::BTreeMap;

use oatpier_types::clock::ClockTime;

/// Events by time; events of one time in the order in which they were put in.
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
    /// Puts an event in.
    pub fn put(&mut self, at: ClockTime, event: E) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Takes the next event out, if it is due by then.
    pub fn take(&mut self, until: ClockTime) -> Option<(ClockTime, E)> {
        let entry = self.events.first_entry()?;
        let at = entry.key().0;
        (at <= until).then(|| (at, entry.remove()))
    }
}
