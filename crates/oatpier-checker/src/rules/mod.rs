//! The rules, one per promise.

mod configuration;
mod memory;
mod once;
mod reachability;
mod refusals;
mod responses;
mod shutdown;
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
        Box::new(reachability::ReachabilityRule::new(bounds.recovery)),
        Box::new(responses::ResponseRule::default()),
        Box::new(refusals::RefusalRule::default()),
        Box::new(once::OnceRule::default()),
        Box::new(shutdown::ShutdownRule::new(bounds.shutdown)),
        Box::new(stops::StopRule),
        Box::new(configuration::ConfigRule::new(bounds.activation)),
    ]
}
