//! Retry budgets, so that a fault does not multiply load.
//!
//! While endpoints fail, each request would be sent several times, and the repeats would take
//! what capacity is left. A budget for each class allows repeats only as a share of its
//! successes: when nothing succeeds, repeats soon stop, and requests are refused at once.

use serde::{Deserialize, Serialize};

use crate::index::ClassIndex;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeats allowed for each hundred successes.
    pub percent: u32,
    /// The most repeats that can be saved up; also what a class starts with.
    pub burst: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            percent: 20,
            burst: 20,
        }
    }
}

/// Hundredths of a repeat.
const WHOLE_REPEAT: u32 = 100;

/// A token bucket for each class, filled by its successes.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    /// Hundredths of a repeat that are left, by class.
    left: Vec<u32>,
    refused: u64,
}

impl RetryBudget {
    /// Full buckets.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            left: Vec::new(),
            refused: 0,
        }
    }

    /// A request of the class came to a whole answer.
    pub fn note_success(&mut self, class: ClassIndex) {
        let full = self.full();
        let percent = self.settings.percent;
        let left = self.bucket(class);
        *left = left.saturating_add(percent).min(full);
    }

    /// Takes one repeat; false if the class has none left.
    pub fn take(&mut self, class: ClassIndex) -> bool {
        let left = self.bucket(class);
        if let Some(rest) = left.checked_sub(WHOLE_REPEAT) {
            *left = rest;
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

    fn full(&self) -> u32 {
        self.settings.burst.saturating_mul(WHOLE_REPEAT)
    }

    fn bucket(&mut self, class: ClassIndex) -> &mut u32 {
        let full = self.full();
        if self.left.len() <= class.place() {
            self.left.resize(class.place() + 1, full);
        }
        &mut self.left[class.place()]
    }
}
