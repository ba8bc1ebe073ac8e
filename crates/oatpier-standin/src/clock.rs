//! The runtime's clock as the cores see it.

use oatpier_types::clock::ClockTime;
use tokio::time::Instant;

/// Counts from the stand-in's own start on the runtime's clock.
#[derive(Debug, Clone, Copy)]
pub struct StandinClock {
    start: Instant,
}

impl StandinClock {
    /// Starts to count now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present point.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        ClockTime::from_start(self.start.elapsed())
    }

    /// The runtime's instant of a point; none for a point that never comes.
    #[must_use]
    pub fn instant(&self, point: ClockTime) -> Option<Instant> {
        if point == ClockTime::NEVER {
            return None;
        }
        Some(self.start + point.since(ClockTime::ZERO))
    }

    /// Sleeps until a point; forever if it never comes.
    pub async fn sleep_until(&self, point: ClockTime) {
        match self.instant(point) {
            Some(instant) => tokio::time::sleep_until(instant).await,
            None => std::future::pending().await,
        }
    }
}
