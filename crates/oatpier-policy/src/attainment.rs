//! Share of each class's requests that meet its target, over a sliding window.
//!
//! When requests must be refused, a class whose share is below its target takes precedence over a
//! class that meets its target.

use oatpier_types::clock::ClockTime;

use crate::entry::settings::AttainmentSettings;
use crate::index::ClassIndex;
use crate::units::micros;

/// Number of buckets in the window. The window advances by one bucket at a time.
const PARTS: u64 = 12;
const PART_COUNT: usize = 12;

/// Parts per million in a share of 1.
const MILLION: u64 = 1_000_000;

/// Requests of one class, counted since the entry started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClassTotals {
    /// Number of requests that ended.
    pub ended: u64,
    /// Number of requests with a complete answer within the target.
    pub in_time: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct WindowPart {
    number: u64,
    counts: ClassTotals,
}

#[derive(Debug, Clone)]
struct ClassWindow {
    wanted_ppm: u64,
    totals: ClassTotals,
    parts: [WindowPart; PART_COUNT],
}

/// Tracks the attained share of each class.
#[derive(Debug)]
pub struct AttainmentLedger {
    part_us: u64,
    classes: Vec<ClassWindow>,
}

impl AttainmentLedger {
    /// Creates a tracker without classes.
    #[must_use]
    pub fn new(settings: AttainmentSettings) -> Self {
        Self {
            part_us: (micros(settings.window) / PARTS).max(1),
            classes: Vec::new(),
        }
    }

    /// Sets the target share of a class, in parts per million. Existing counts are kept.
    pub fn set_target(&mut self, class: ClassIndex, wanted_ppm: u64) {
        let fresh = ClassWindow {
            wanted_ppm,
            totals: ClassTotals::default(),
            parts: [WindowPart::default(); PART_COUNT],
        };
        if self.classes.len() <= class.place() {
            self.classes.resize(class.place() + 1, fresh);
        }
        self.classes[class.place()].wanted_ppm = wanted_ppm;
    }

    /// Records the end of a request.
    pub fn record(&mut self, class: ClassIndex, in_time: bool, now: ClockTime) {
        let number = self.part_number(now);
        let Some(window) = self.classes.get_mut(class.place()) else {
            return;
        };
        let part = &mut window.parts[part_place(number)];
        if part.number != number {
            *part = WindowPart {
                number,
                counts: ClassTotals::default(),
            };
        }
        count(&mut part.counts, in_time);
        count(&mut window.totals, in_time);
    }

    /// Returns the attained share within the window, in parts per million, or `None` if no request
    /// ended in it.
    #[must_use]
    pub fn share_ppm(&self, class: ClassIndex, now: ClockTime) -> Option<u64> {
        let number = self.part_number(now);
        let window = self.classes.get(class.place())?;
        let (ended, in_time) = window
            .parts
            .iter()
            .filter(|part| part.number <= number && part.number + PARTS > number)
            .fold((0, 0), |(ended, in_time), part| {
                (ended + part.counts.ended, in_time + part.counts.in_time)
            });
        (ended > 0).then(|| in_time * MILLION / ended)
    }

    /// Returns whether the class is below its target. A class without data is not.
    #[must_use]
    pub fn has_need(&self, class: ClassIndex, now: ClockTime) -> bool {
        let wanted = self
            .classes
            .get(class.place())
            .map(|window| window.wanted_ppm);
        match (self.share_ppm(class, now), wanted) {
            (Some(share), Some(wanted)) => share < wanted,
            _ => false,
        }
    }

    /// Returns whether any class is below its target.
    #[must_use]
    pub fn any_need(&self, now: ClockTime) -> bool {
        (0..self.classes.len()).any(|place| self.has_need(ClassIndex::of_place(place), now))
    }

    /// Returns the counts since the entry started.
    #[must_use]
    pub fn totals(&self, class: ClassIndex) -> ClassTotals {
        self.classes
            .get(class.place())
            .map(|window| window.totals)
            .unwrap_or_default()
    }

    fn part_number(&self, now: ClockTime) -> u64 {
        now.as_micros() / self.part_us
    }
}

fn part_place(number: u64) -> usize {
    usize::try_from(number % PARTS).unwrap_or(0)
}

fn count(totals: &mut ClassTotals, in_time: bool) {
    totals.ended += 1;
    totals.in_time += u64::from(in_time);
}
