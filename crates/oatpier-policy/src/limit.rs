//! Admission control: an upper bound on the concurrent requests of an entry, shared fairly.
//!
//! Without a bound, a burst or a retry storm exhausts the entry's memory and delays every answer.
//! Near the bound, a caller is limited to its fair share, and a class that meets its target yields
//! to one that misses its own. A refusal is immediate and suggests when to retry.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::names::CallerName;
use oatpier_types::refusal::{Refusal, RefusalCause};
use serde::{Deserialize, Serialize};

use crate::units::{micros, scale};

/// Settings of an [`EntryLimiter`].
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct LimitSettings {
    /// Upper bound on concurrent requests.
    pub bound: u32,
    /// Share of the bound above which each caller is limited to its fair share, in percent.
    pub fair_percent: u32,
    /// Share of the bound above which requests of a class with slack are refused, in percent.
    pub slack_percent: u32,
    /// Lower bound on the suggested retry delay.
    #[serde(with = "humantime_serde")]
    pub shortest_wait: Duration,
    /// Upper bound on the suggested retry delay.
    #[serde(with = "humantime_serde")]
    pub longest_wait: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            bound: 4_096,
            fair_percent: 50,
            slack_percent: 85,
            shortest_wait: Duration::from_millis(100),
            longest_wait: Duration::from_secs(10),
        }
    }
}

/// The attainment of a request's class compared with that of the other classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClassStatus {
    /// The class is below its target.
    BelowTarget,
    /// No class is below its target.
    Balanced,
    /// The class meets its target, while another class is below its own.
    Slack,
}

/// Divisor of the weight of a new value in the exponential moving average.
const MEAN_DIVISOR: u64 = 16;

/// Admits requests up to a bound on concurrency.
#[derive(Debug)]
pub struct EntryLimiter {
    settings: LimitSettings,
    in_flight: u32,
    callers: IndexMap<CallerName, u32>,
    /// Moving average of the time that a request is in flight, in microseconds.
    mean_hold_us: u64,
    /// Refused requests minus requests that ended since, an estimate of the callers that may retry
    /// before the next one.
    recent_refusals: u64,
    refused: u64,
}

impl EntryLimiter {
    /// Creates a limiter without requests in flight.
    #[must_use]
    pub fn new(settings: LimitSettings) -> Self {
        Self {
            settings,
            in_flight: 0,
            callers: IndexMap::new(),
            mean_hold_us: 0,
            recent_refusals: 0,
            refused: 0,
        }
    }

    /// Admits a request. Each admitted request must be released once.
    ///
    /// # Errors
    ///
    /// Returns a refusal with a suggested retry delay if there is no room.
    pub fn admit(&mut self, caller: &CallerName, status: ClassStatus) -> Result<(), Refusal> {
        if !self.has_room(caller, status) {
            return Err(self.refuse());
        }
        self.in_flight += 1;
        *self.callers.entry(caller.clone()).or_insert(0) += 1;
        Ok(())
    }

    /// Releases an admitted request that was in flight for `held`.
    pub fn release(&mut self, caller: &CallerName, held: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.recent_refusals = self.recent_refusals.saturating_sub(1);
        let sum = self.mean_hold_us.saturating_mul(MEAN_DIVISOR - 1);
        self.mean_hold_us = sum.saturating_add(micros(held)) / MEAN_DIVISOR;
        let Some(count) = self.callers.get_mut(caller) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.callers.swap_remove(caller);
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of refused requests.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    fn has_room(&self, caller: &CallerName, status: ClassStatus) -> bool {
        let settings = &self.settings;
        let bound = match status {
            ClassStatus::Slack => self.share(settings.slack_percent),
            ClassStatus::BelowTarget | ClassStatus::Balanced => settings.bound,
        };
        if self.in_flight >= bound {
            return false;
        }
        self.in_flight < self.share(settings.fair_percent) || self.is_below_fair_share(caller)
    }

    fn is_below_fair_share(&self, caller: &CallerName) -> bool {
        let held = self.callers.get(caller).copied();
        let new_callers = usize::from(held.is_none());
        let callers = u32::try_from(self.callers.len() + new_callers).unwrap_or(u32::MAX);
        let fair = (self.settings.bound / callers.max(1)).max(1);
        held.unwrap_or(0) < fair
    }

    fn share(&self, percent: u32) -> u32 {
        let part = u64::from(self.settings.bound) * u64::from(percent) / 100;
        u32::try_from(part).unwrap_or(u32::MAX)
    }

    /// Counts a refusal and returns it, with the estimated time until as many requests have ended
    /// as were refused recently, including this one.
    fn refuse(&mut self) -> Refusal {
        self.refused += 1;
        self.recent_refusals += 1;
        let bound = u64::from(self.settings.bound.max(1));
        let drain = Duration::from_micros(scale(self.mean_hold_us, self.recent_refusals, bound));
        let wait = drain.clamp(self.settings.shortest_wait, self.settings.longest_wait);
        Refusal {
            cause: RefusalCause::QueueFull,
            retry_after: Some(wait),
        }
    }
}
