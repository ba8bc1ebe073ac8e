//! The rules, one per promise.

mod answers;
mod configuration;
mod leaving;
mod memory;
mod once;
mod reach;
mod refusals;
mod stops;

use oatpier_types::event::LoggedEvent;

use crate::bounds::RuleBounds;
use crate::breach::RuleBreach;

/// A rule that folds over a log in time order and reports breaches of its promise.
pub trait PromiseRule {
    /// Processes the next event.
    fn observe(&mut self, logged: &LoggedEvent, breaches: &mut Vec<RuleBreach>);

    /// Reports breaches that only the end of the log shows.
    fn finish(&mut self, _breaches: &mut Vec<RuleBreach>) {}
}

/// Returns all rules in their initial state.
#[must_use]
pub fn all_rules(bounds: RuleBounds) -> Vec<Box<dyn PromiseRule>> {
    vec![
        Box::new(memory::MemoryRule),
        Box::new(reach::ReachRule::new(bounds.reach)),
        Box::new(answers::AnswerRule::default()),
        Box::new(refusals::RefusalRule::default()),
        Box::new(once::OnceRule::default()),
        Box::new(leaving::LeaveRule::new(bounds.leave)),
        Box::new(stops::StopRule),
        Box::new(configuration::ConfigRule::new(bounds.spread)),
    ]
}
