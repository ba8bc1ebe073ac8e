//! Retry budgets, so that a fault does not multiply load.
//!
//! While endpoints fail, each request would be sent several times, and the repeats would take
//! what capacity is left. A class may owe a bounded number of repeats, and its successes pay them
//! back: when nothing succeeds, repeats soon stop, and requests are refused at once.
//!
//! The bound follows the requests in flight. An endpoint that dies takes all its requests with it
//! at one moment, and each of them needs one repeat; a fixed number would lose the rest, although
//! the other endpoints have room. Repeating each request in flight once is no more load than the
//! fleet had a moment before. What fails again, and what comes while nothing succeeds, is not
//! repeated.

use serde::{Deserialize, Serialize};

use crate::index::ClassIndex;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeats allowed for each hundred successes.
    pub percent: u32,
    /// Repeats that a class may owe, however few of its requests are in flight.
    pub burst: u32,
    /// Repeats that a class may owe for each hundred of its requests in flight, if that is more.
    pub in_flight_percent: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            percent: 20,
            burst: 20,
            in_flight_percent: 100,
        }
    }
}

/// Hundredths of a repeat.
const WHOLE_REPEAT: u32 = 100;

#[derive(Debug, Clone, Copy, Default)]
struct ClassDebt {
    /// Requests without a final answer.
    in_flight: u32,
    /// Repeats that were taken and not paid back, in hundredths.
    owed: u32,
}

/// A leaky bucket of repeats for each class, drained by its successes.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    debts: Vec<ClassDebt>,
    refused: u64,
}

impl RetryBudget {
    /// Nothing owed.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            debts: Vec::new(),
            refused: 0,
        }
    }

    /// A request of the class was taken in.
    pub fn note_started(&mut self, class: ClassIndex) {
        self.debt(class).in_flight += 1;
    }

    /// A request of the class got its final answer.
    pub fn note_ended(&mut self, class: ClassIndex) {
        let debt = self.debt(class);
        debt.in_flight = debt.in_flight.saturating_sub(1);
    }

    /// A request of the class came to a whole answer.
    pub fn note_success(&mut self, class: ClassIndex) {
        let paid = self.settings.percent;
        let debt = self.debt(class);
        debt.owed = debt.owed.saturating_sub(paid);
    }

    /// Takes one repeat; false if the class may owe no more.
    pub fn take(&mut self, class: ClassIndex) -> bool {
        let settings = self.settings;
        let debt = self.debt(class);
        let bound = bound_of(&settings, debt.in_flight);
        let owed = debt.owed.saturating_add(WHOLE_REPEAT);
        if owed <= bound {
            debt.owed = owed;
            return true;
        }
        self.refused += 1;
        false
    }

    /// How many repeats were refused.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    fn debt(&mut self, class: ClassIndex) -> &mut ClassDebt {
        if self.debts.len() <= class.place() {
            self.debts.resize(class.place() + 1, ClassDebt::default());
        }
        &mut self.debts[class.place()]
    }
}

/// What a class may owe, in hundredths of a repeat.
fn bound_of(settings: &RetrySettings, in_flight: u32) -> u32 {
    let fixed = settings.burst.saturating_mul(WHOLE_REPEAT);
    fixed.max(in_flight.saturating_mul(settings.in_flight_percent))
}
