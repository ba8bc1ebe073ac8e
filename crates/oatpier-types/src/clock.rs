//! Timestamps relative to the start of the process.
//!
//! Decision functions take `now` as an argument and never read a clock. A process derives the
//! timestamp from the clock of its async runtime, so a test that pauses or advances the runtime
//! controls the time of all decisions. Timestamps of two processes can't be compared; messages
//! between processes carry the remaining time instead.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A timestamp in microseconds since the start of the process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The start of the process.
    pub const ZERO: Self = Self(0);
    /// A timestamp that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a timestamp `micros` microseconds after the start of the process.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp `millis` milliseconds after the start of the process.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Creates a timestamp `since_start` after the start of the process.
    #[must_use]
    pub fn from_start(since_start: Duration) -> Self {
        Self(whole_micros(since_start))
    }

    /// Returns the microseconds since the start of the process.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`; zero if `earlier` is later than this timestamp.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for ClockTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(whole_micros(span)))
    }
}

impl Sub<Duration> for ClockTime {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(whole_micros(span)))
    }
}

impl fmt::Debug for ClockTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}us", self.0)
    }
}

fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
