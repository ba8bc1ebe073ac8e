//! The runtime's clock, converted to the time type of the cores.

use oatpier_types::clock::ClockTime;
use tokio::time::Instant;

/// Clock that counts from its own start, on the runtime's clock.
#[derive(Debug, Clone, Copy)]
pub struct StandinClock {
    start: Instant,
}

impl StandinClock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        ClockTime::from_start(self.start.elapsed())
    }

    /// Returns the runtime's instant of a point in time, or `None` for [`ClockTime::NEVER`].
    #[must_use]
    pub fn instant(&self, point: ClockTime) -> Option<Instant> {
        if point == ClockTime::NEVER {
            return None;
        }
        Some(self.start + point.since(ClockTime::ZERO))
    }

    /// Sleeps until a point in time. Never returns for [`ClockTime::NEVER`].
    pub async fn sleep_until(&self, point: ClockTime) {
        match self.instant(point) {
            Some(instant) => tokio::time::sleep_until(instant).await,
            None => std::future::pending().await,
        }
    }
}
