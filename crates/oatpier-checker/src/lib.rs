//! Checks an event log against the promises.
//!
//! The policy bench, the fault tests and the tests with separate processes all write the typed events of
//! `oatpier_types::event` and check them here, so that all of them apply the same definition of each promise. Data
//! flows one way: a time-ordered log goes in, each [`PromiseRule`] folds over it, and the breaches come out.
//!
//! A rule uses only events that are observable from outside, never the internal state of the code under test.

mod bounds;
mod breach;
mod rules;

pub use bounds::RuleBounds;
pub use breach::{PromiseName, RuleBreach};
pub use rules::{PromiseRule, all_rules};

use oatpier_types::event::LoggedEvent;

/// A checker that runs every rule over a log.
pub struct LogChecker {
    bounds: RuleBounds,
}

impl LogChecker {
    /// Creates a checker with these time bounds.
    #[must_use]
    pub fn new(bounds: RuleBounds) -> Self {
        Self { bounds }
    }

    /// Returns the breaches in the log, in the order of the rules, or none if all promises held.
    ///
    /// Events may come in any order; they are sorted by their time.
    #[must_use]
    pub fn check(&self, log: &[LoggedEvent]) -> Vec<RuleBreach> {
        let mut ordered: Vec<&LoggedEvent> = log.iter().collect();
        ordered.sort_by_key(|logged| logged.at);
        let mut breaches = Vec::new();
        for mut rule in all_rules(self.bounds) {
            for logged in &ordered {
                rule.observe(logged, &mut breaches);
            }
            rule.finish(&mut breaches);
        }
        breaches
    }
}
