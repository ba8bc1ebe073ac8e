//! What requests for an engine's permits wait for.

use std::time::Duration;

use oatpier_serving::permits::{PermitIssuer, WaitCause};
use oatpier_types::clock::ClockTime;

use crate::decisions::{DecisionLine, LinePriority};
use crate::pace_metrics::PaceMetrics;

/// Minimum time between two log lines.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

/// Waiting time of all requests together from which a line is logged.
const MIN_LOGGED_WAIT: Duration = Duration::from_secs(1);

/// Time that requests have waited for permits, by cause.
#[derive(Debug, Default)]
pub struct PermitWaits {
    /// Time up to which the waiting has been counted.
    counted_at: ClockTime,
    logged_at: ClockTime,
    /// Waiting since the last log line.
    slot: Duration,
    prefill: Duration,
}

impl PermitWaits {
    /// Counts the waiting since the last call by what the next request waits for now.
    pub fn count(&mut self, issuer: &PermitIssuer, metrics: &PaceMetrics, now: ClockTime) {
        let span = now.since(std::mem::replace(&mut self.counted_at, now));
        let Some(cause) = issuer.wait_cause(now) else {
            return;
        };
        let waited = span * issuer.pending_requests();
        metrics.count_wait(cause, waited);
        match cause {
            WaitCause::Slot => self.slot += waited,
            WaitCause::Prefill => self.prefill += waited,
        }
    }

    /// Returns a log line if requests have waited for long since the last one.
    pub fn due_line(&mut self, now: ClockTime) -> Option<DecisionLine> {
        let is_long = self.slot + self.prefill >= MIN_LOGGED_WAIT;
        if !is_long || now.since(self.logged_at) < LINE_INTERVAL {
            return None;
        }
        let whole_ms = |waited: Duration| u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        let line = DecisionLine::new(LinePriority::Notable, "permits waited for")
            .with("slot_ms", whole_ms(self.slot))
            .with("prefill_ms", whole_ms(self.prefill));
        *self = Self {
            counted_at: self.counted_at,
            logged_at: now,
            ..Self::default()
        };
        Some(line)
    }
}
