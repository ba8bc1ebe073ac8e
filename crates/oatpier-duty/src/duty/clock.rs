//! The runtime's clock, for use by the decision packages.

use oatpier_types::clock::ClockTime;
use tokio::time::Instant;

/// Reads the runtime's clock as a [`ClockTime`] since the process's start.
///
/// All duties of a process share one clock, so that their times can be compared.
#[derive(Debug, Clone, Copy)]
pub struct RuntimeClock {
    start: Instant,
}

impl RuntimeClock {
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

    /// Returns the runtime's instant of a time. Times later than one year after the start are clamped to it.
    #[must_use]
    pub fn instant(&self, at: ClockTime) -> Instant {
        const YEAR: std::time::Duration = std::time::Duration::from_hours(365 * 24);
        let since_start = std::time::Duration::from_micros(at.as_micros());
        self.start + since_start.min(YEAR)
    }
}
