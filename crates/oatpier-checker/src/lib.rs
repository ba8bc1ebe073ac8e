//! Checks an event log against what must always hold.
//!
//! The policy bench, the fault tests and the tests with separate processes all write the typed
//! events of `oatpier_types::event` and have them judged here, so that one reading of each promise
//! serves everywhere. Data flows one way: a time-ordered log goes in, each [`PromiseRule`] folds
//! over it, and the breaches come out.
//!
//! A rule sees only what could be seen from outside. It never asks the code what it believed.

mod bounds;
mod breach;
mod rules;

pub use bounds::RuleBounds;
pub use breach::{PromiseName, RuleBreach};
pub use rules::{PromiseRule, all_rules};

use oatpier_types::event::LoggedEvent;

/// Runs every rule over a log.
pub struct LogChecker {
    bounds: RuleBounds,
}

impl LogChecker {
    /// A checker with these time bounds.
    #[must_use]
    pub fn new(bounds: RuleBounds) -> Self {
        Self { bounds }
    }

    /// The breaches that the log holds, in the order of the rules; none if all promises held.
    ///
    /// Events may come in any order; they are judged by their time.
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
