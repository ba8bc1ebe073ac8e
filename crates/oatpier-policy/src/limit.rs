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
pub enum ClassStanding {
    /// The class is below its target.
    Need,
    /// No class is below its target.
    Level,
    /// The class meets its target, while another class is below its own.
    Slack,
}

/// Divisor of the weight of a new value in the exponential moving average.
const MEAN_WEIGHT: u64 = 16;

/// Admits requests up to a bound on concurrency.
#[derive(Debug)]
pub struct EntryLimiter {
    settings: LimitSettings,
    in_flight: u32,
    callers: IndexMap<CallerName, u32>,
    /// Moving average of the time that a request is in flight, in microseconds.
    hold_us: u64,
    /// Refused requests minus requests that ended since, an estimate of the callers that may retry
    /// before the next one.
    turned_away: u64,
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
            hold_us: 0,
            turned_away: 0,
            refused: 0,
        }
    }

    /// Admits a request. Each admitted request must be released once.
    ///
    /// # Errors
    ///
    /// Returns a refusal with a suggested retry delay if there is no room.
    pub fn admit(&mut self, caller: &CallerName, standing: ClassStanding) -> Result<(), Refusal> {
        if !self.has_room(caller, standing) {
            return Err(self.refuse());
        }
        self.in_flight += 1;
        *self.callers.entry(caller.clone()).or_insert(0) += 1;
        Ok(())
    }

    /// Releases an admitted request that was in flight for `held`.
    pub fn release(&mut self, caller: &CallerName, held: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.turned_away = self.turned_away.saturating_sub(1);
        let sum = self.hold_us.saturating_mul(MEAN_WEIGHT - 1);
        self.hold_us = sum.saturating_add(micros(held)) / MEAN_WEIGHT;
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

    fn has_room(&self, caller: &CallerName, standing: ClassStanding) -> bool {
        let settings = &self.settings;
        let bound = match standing {
            ClassStanding::Slack => self.share(settings.slack_percent),
            ClassStanding::Need | ClassStanding::Level => settings.bound,
        };
        if self.in_flight >= bound {
            return false;
        }
        self.in_flight < self.share(settings.fair_percent) || self.is_below_fair_share(caller)
    }

    fn is_below_fair_share(&self, caller: &CallerName) -> bool {
        let held = self.callers.get(caller).copied();
        let newcomer = usize::from(held.is_none());
        let callers = u32::try_from(self.callers.len() + newcomer).unwrap_or(u32::MAX);
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
        self.turned_away += 1;
        let bound = u64::from(self.settings.bound.max(1));
        let drain = Duration::from_micros(scale(self.hold_us, self.turned_away, bound));
        let wait = drain.clamp(self.settings.shortest_wait, self.settings.longest_wait);
        Refusal {
            cause: RefusalCause::QueueFull,
            retry_after: Some(wait),
        }
    }
}
