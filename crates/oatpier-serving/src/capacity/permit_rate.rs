//! Rate at which an engine takes requests while others wait.

use std::time::Duration;

use oatpier_types::clock::ClockTime;

/// Half-life of the counts, in time during which requests wait.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Minimum waiting time that a rate is computed from.
const MIN_WAITING: Duration = Duration::from_millis(300);

/// Rate of permits while requests wait for them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PermitRate {
    permits: f64,
    waiting_seconds: f64,
    noted_at: Option<ClockTime>,
    is_waiting: bool,
}

impl PermitRate {
    /// Records the permits issued since the last call, and whether requests still wait.
    pub(super) fn note(&mut self, issued: u32, is_waiting: bool, now: ClockTime) {
        let span = self.noted_at.map_or(Duration::ZERO, |at| now.since(at));
        if self.is_waiting {
            let kept = 0.5_f64.powf(span.as_secs_f64() / HALF_LIFE.as_secs_f64());
            self.permits = self.permits * kept + f64::from(issued);
            self.waiting_seconds = self.waiting_seconds * kept + span.as_secs_f64();
        }
        self.noted_at = Some(now);
        self.is_waiting = is_waiting;
    }

    /// Returns the permits per second while requests waited; 0 while unknown.
    pub(super) fn per_second(&self) -> f64 {
        if self.waiting_seconds < MIN_WAITING.as_secs_f64() {
            return 0.0;
        }
        self.permits / self.waiting_seconds
    }
}
