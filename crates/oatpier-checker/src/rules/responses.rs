//! Checks that a caller gets the complete response to its own request, no other response, and only once.

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::event::{AnswerEnd, FleetEvent, LoggedEvent};
use oatpier_types::ids::RequestId;

use super::PromiseRule;
use crate::breach::{PromiseName, RuleBreach};

/// A rule that matches each response with its request.
#[derive(Default)]
pub(super) struct ResponseRule {
    unanswered: IndexMap<RequestId, ClockTime>,
    answered: IndexMap<RequestId, ()>,
}

impl ResponseRule {
    fn check_response(
        &mut self,
        request: RequestId,
        content_of: Option<RequestId>,
        end: AnswerEnd,
    ) -> Option<String> {
        self.unanswered.swap_remove(&request);
        if self.answered.insert(request, ()).is_some() {
            return Some(format!("request {request} was answered twice"));
        }
        match (end, content_of) {
            (AnswerEnd::Cut, _) => Some(format!(
                "the response to request {request} was cut off without an error"
            )),
            (AnswerEnd::Whole, None) => Some(format!(
                "the complete response to request {request} was empty"
            )),
            (_, Some(content)) if content != request => Some(format!(
                "request {request} got the response to request {content}"
            )),
            _ => None,
        }
    }
}

impl PromiseRule for ResponseRule {
    fn observe(&mut self, logged: &LoggedEvent, breaches: &mut Vec<RuleBreach>) {
        let finding = match &logged.event {
            FleetEvent::RequestSent { request, .. } => {
                self.unanswered.insert(*request, logged.at);
                None
            }
            FleetEvent::AnswerEnded {
                request,
                content_of,
                end,
                ..
            } => self.check_response(*request, *content_of, *end),
            _ => None,
        };
        breaches.extend(finding.map(|finding| RuleBreach {
            promise: PromiseName::OwnAnswer,
            at: logged.at,
            finding,
        }));
    }

    fn finish(&mut self, breaches: &mut Vec<RuleBreach>) {
        breaches.extend(self.unanswered.iter().map(|(request, sent_at)| RuleBreach {
            promise: PromiseName::OwnAnswer,
            at: *sent_at,
            finding: format!("request {request} was never answered"),
        }));
    }
}
