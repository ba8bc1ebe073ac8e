//! Share of each class's requests that meet its target, over a sliding window.
//!
//! When requests must be refused, a class whose share is below its target takes precedence over a
//! class that meets its target.

use oatpier_types::clock::ClockTime;

use crate::entry::settings::AttainmentSettings;
use crate::index::ClassIndex;
use crate::units::micros;

/// Number of buckets in the window. The window advances by one bucket at a time.
const BUCKETS: u64 = 12;
const BUCKET_COUNT: usize = 12;

/// Parts per million in a share of 1.
const PARTS_PER_MILLION: u64 = 1_000_000;

/// Requests of one class, counted since the entry started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClassTotals {
    /// Number of requests that ended.
    pub ended: u64,
    /// Number of requests with a complete answer within the target.
    pub in_time: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct WindowBucket {
    number: u64,
    counts: ClassTotals,
}

#[derive(Debug, Clone)]
struct ClassWindow {
    target_ppm: u64,
    totals: ClassTotals,
    buckets: [WindowBucket; BUCKET_COUNT],
}

/// Tracks the attained share of each class.
#[derive(Debug)]
pub struct AttainmentTracker {
    bucket_us: u64,
    classes: Vec<ClassWindow>,
}

impl AttainmentTracker {
    /// Creates a tracker without classes.
    #[must_use]
    pub fn new(settings: AttainmentSettings) -> Self {
        Self {
            bucket_us: (micros(settings.window) / BUCKETS).max(1),
            classes: Vec::new(),
        }
    }

    /// Sets the target share of a class, in parts per million. Existing counts are kept.
    pub fn set_target(&mut self, class: ClassIndex, target_ppm: u64) {
        let fresh = ClassWindow {
            target_ppm,
            totals: ClassTotals::default(),
            buckets: [WindowBucket::default(); BUCKET_COUNT],
        };
        if self.classes.len() <= class.as_usize() {
            self.classes.resize(class.as_usize() + 1, fresh);
        }
        self.classes[class.as_usize()].target_ppm = target_ppm;
    }

    /// Records the end of a request.
    pub fn record(&mut self, class: ClassIndex, in_time: bool, now: ClockTime) {
        let number = self.bucket_number(now);
        let Some(window) = self.classes.get_mut(class.as_usize()) else {
            return;
        };
        let bucket = &mut window.buckets[bucket_index(number)];
        if bucket.number != number {
            *bucket = WindowBucket {
                number,
                counts: ClassTotals::default(),
            };
        }
        count_request(&mut bucket.counts, in_time);
        count_request(&mut window.totals, in_time);
    }

    /// Returns the attained share within the window, in parts per million, or `None` if no request
    /// ended in it.
    #[must_use]
    pub fn share_ppm(&self, class: ClassIndex, now: ClockTime) -> Option<u64> {
        let number = self.bucket_number(now);
        let window = self.classes.get(class.as_usize())?;
        let (ended, in_time) = window
            .buckets
            .iter()
            .filter(|bucket| bucket.number <= number && bucket.number + BUCKETS > number)
            .fold((0, 0), |(ended, in_time), bucket| {
                (ended + bucket.counts.ended, in_time + bucket.counts.in_time)
            });
        (ended > 0).then(|| in_time * PARTS_PER_MILLION / ended)
    }

    /// Returns whether the class is below its target. A class without data is not.
    #[must_use]
    pub fn is_below_target(&self, class: ClassIndex, now: ClockTime) -> bool {
        let target_ppm = self
            .classes
            .get(class.as_usize())
            .map(|window| window.target_ppm);
        match (self.share_ppm(class, now), target_ppm) {
            (Some(share), Some(target_ppm)) => share < target_ppm,
            _ => false,
        }
    }

    /// Returns whether any class is below its target.
    #[must_use]
    pub fn is_any_below_target(&self, now: ClockTime) -> bool {
        (0..self.classes.len())
            .any(|index| self.is_below_target(ClassIndex::from_usize(index), now))
    }

    /// Returns the counts since the entry started.
    #[must_use]
    pub fn totals(&self, class: ClassIndex) -> ClassTotals {
        self.classes
            .get(class.as_usize())
            .map(|window| window.totals)
            .unwrap_or_default()
    }

    fn bucket_number(&self, now: ClockTime) -> u64 {
        now.as_micros() / self.bucket_us
    }
}

fn bucket_index(number: u64) -> usize {
    usize::try_from(number % BUCKETS).unwrap_or(0)
}

fn count_request(totals: &mut ClassTotals, in_time: bool) {
    totals.ended += 1;
    totals.in_time += u64::from(in_time);
}
