//! When a gateway reads the store.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Minimum interval between two reads as a share of the period.
const MIN_INTERVAL_SHARE: f64 = 0.8;

/// Number of gateways of a zone that are due one after the other, in the order of their ranks. The others are due if
/// none of these has read.
const RANKED_READERS: u32 = 4;

/// Maximum time since the last own read for which messages of other gateways may replace reads, in periods.
///
/// The digest leaves out what engines hold, because sidecars report it sooner. If a sidecar's updates do
/// not arrive, this bounds the age of that information. In a zone with more gateways than this, their number
/// takes its place, so that all of them together read about once a period.
const MAX_SKIPPED_PERIODS: u32 = 16;

/// The schedule of reads of the store.
#[derive(Debug)]
pub struct ReadSchedule {
    generator: ChaCha8Rng,
    next_at: ClockTime,
    /// Until when messages of other gateways may replace own reads.
    replaceable_until: ClockTime,
    /// The place of this gateway among those of its zone, once others are known.
    place: Option<ZonePlace>,
}

/// The place of a gateway among those of its availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZonePlace {
    /// Number of gateways that are to read before this one.
    pub rank: u32,
    /// Number of gateways, including this one.
    pub gateways: u32,
}

impl ReadSchedule {
    /// Creates a schedule whose first read is due immediately. `seed` determines its random intervals.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            generator: ChaCha8Rng::seed_from_u64(seed),
            next_at: ClockTime::ZERO,
            replaceable_until: ClockTime::ZERO,
            place: None,
        }
    }

    /// Sets the place of this gateway among those of its zone.
    pub fn set_place(&mut self, place: Option<ZonePlace>) {
        self.place = place;
    }

    /// Returns when the next read is due.
    #[must_use]
    pub fn next_at(&self) -> ClockTime {
        self.next_at
    }

    /// Records a read that began at `begun`. A later change must be seen within `period` after that.
    pub fn note_read(&mut self, begun: ClockTime, period: Duration) {
        self.replaceable_until = begun + self.replaceable_time(period);
        self.next_at = begun + self.interval(period);
    }

    /// Records that the store could not be read and is to be read again at `at`.
    pub fn note_failure(&mut self, at: ClockTime) {
        self.next_at = at;
    }

    /// Records that another gateway began a read at `begun` and that its result is known here.
    pub fn note_peer_read(&mut self, begun: ClockTime, period: Duration) {
        if begun < self.replaceable_until {
            self.next_at = self.next_at.max(begun + self.interval(period));
        }
    }

    /// Ensures that the next read is not due before `at`.
    pub fn postpone(&mut self, at: ClockTime) {
        self.next_at = self.next_at.max(at);
    }

    /// Ensures that the next read is due at `at` at the latest.
    pub fn bring_forward(&mut self, at: ClockTime) {
        self.next_at = self.next_at.min(at);
    }

    /// Draws how long messages of other gateways may replace own reads. Gateways that started together would
    /// otherwise all read in the same period.
    fn replaceable_time(&mut self, period: Duration) -> Duration {
        let gateways = self.place.map_or(1, |place| place.gateways);
        let longest = period * MAX_SKIPPED_PERIODS.max(gateways);
        longest.mul_f64(self.generator.random_range(0.5..1.0))
    }

    /// Returns the interval to the next read.
    ///
    /// A read takes some time to reach the other gateways of the zone. If all of them drew their intervals from the same
    /// range, the number of those that read within that time would grow with their number. Therefore, the first ones
    /// are due one after the other, far enough apart for that. The others draw from the rest of the range.
    fn interval(&mut self, period: Duration) -> Duration {
        let drawn: f64 = self.generator.random();
        let ranked = f64::from(RANKED_READERS);
        let position = match self.place {
            None => drawn,
            Some(place) if place.rank < RANKED_READERS => f64::from(place.rank) / (ranked + 1.0),
            Some(_) => (ranked + drawn) / (ranked + 1.0),
        };
        period.mul_f64(MIN_INTERVAL_SHARE + (1.0 - MIN_INTERVAL_SHARE) * position)
    }
}
