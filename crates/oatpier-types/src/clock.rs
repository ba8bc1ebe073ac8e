//! A point on the runtime's clock, as the decisions see it.
//!
//! Decisions take `now` as an argument and never read a clock. A process makes the point from
//! the runtime's clock, counted from its own start, so that a test which pauses or advances the
//! runtime moves every decision with it. Points of two processes can't be compared: between
//! processes only remaining time travels.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds since the process started.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The process's start.
    pub const ZERO: Self = Self(0);
    /// A point that never comes.
    pub const NEVER: Self = Self(u64::MAX);

    /// The point `micros` microseconds after the process's start.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The point `millis` milliseconds after the process's start.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// The point `since_start` after the process's start.
    #[must_use]
    pub fn from_start(since_start: Duration) -> Self {
        Self(whole_micros(since_start))
    }

    /// Microseconds since the process's start.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to this point; zero if `earlier` is the later one.
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
