//! Checks that a request that is refused as "not run" neither ran before nor runs later.

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::event::{FleetEvent, LoggedEvent};
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::RunVerdict;

use super::PromiseRule;
use crate::breach::{PromiseName, RuleBreach};

/// A rule that finds runs of requests that were reported to their callers as not run.
#[derive(Default)]
pub(super) struct RefusalRule {
    ran: IndexMap<RequestId, ClockTime>,
    refused: IndexMap<RequestId, ClockTime>,
}

impl PromiseRule for RefusalRule {
    fn observe(&mut self, logged: &LoggedEvent, breaches: &mut Vec<RuleBreach>) {
        let request = match &logged.event {
            FleetEvent::RunStarted { request, .. } => {
                self.ran.entry(*request).or_insert(logged.at);
                request
            }
            FleetEvent::AnswerEnded {
                request,
                verdict: RunVerdict::NotRun,
                ..
            } => {
                self.refused.insert(*request, logged.at);
                request
            }
            _ => return,
        };
        if let (Some(ran_at), Some(refused_at)) = (self.ran.get(request), self.refused.get(request))
        {
            breaches.push(RuleBreach {
                promise: PromiseName::TrueRefusal,
                at: logged.at,
                finding: format!(
                    "request {request} was reported as not run at {refused_at:?} but ran at {ran_at:?}"
                ),
            });
        }
    }
}
