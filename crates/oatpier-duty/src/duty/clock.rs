//! The runtime's clock as decisions see it.

use oatpier_types::clock::ClockTime;
use tokio::time::Instant;

/// Makes a [`ClockTime`] of the runtime's clock, counted from the process's start.
///
/// All duties of a process share one, so that their points can be compared.
#[derive(Debug, Clone, Copy)]
pub struct RuntimeClock {
    start: Instant,
}

impl RuntimeClock {
    /// A clock that starts now.
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

    /// The runtime's instant of a point; what lies too far ahead is a year off.
    #[must_use]
    pub fn instant(&self, at: ClockTime) -> Instant {
        const YEAR: std::time::Duration = std::time::Duration::from_hours(365 * 24);
        let since_start = std::time::Duration::from_micros(at.as_micros());
        self.start + since_start.min(YEAR)
    }
}
