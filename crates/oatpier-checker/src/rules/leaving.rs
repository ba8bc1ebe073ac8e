//! Checks that an endpoint that shuts down gets no new work after a few seconds.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::event::{FleetEvent, LoggedEvent};
use oatpier_types::names::EndpointName;

use super::PromiseRule;
use crate::breach::{PromiseName, RuleBreach};

/// A rule that finds runs that start at an endpoint too long after the start of its shutdown.
pub(super) struct LeaveRule {
    bound: Duration,
    leaving: IndexMap<EndpointName, ClockTime>,
}

impl LeaveRule {
    pub(super) fn new(bound: Duration) -> Self {
        Self {
            bound,
            leaving: IndexMap::new(),
        }
    }
}

impl PromiseRule for LeaveRule {
    fn observe(&mut self, logged: &LoggedEvent, breaches: &mut Vec<RuleBreach>) {
        match &logged.event {
            FleetEvent::LeaveStarted { endpoint } => {
                self.leaving.entry(endpoint.clone()).or_insert(logged.at);
            }
            FleetEvent::RunStarted {
                endpoint, request, ..
            } => {
                let late = self
                    .leaving
                    .get(endpoint)
                    .map(|leaving_at| logged.at.since(*leaving_at))
                    .filter(|late| *late > self.bound);
                breaches.extend(late.map(|late| RuleBreach {
                    promise: PromiseName::Leaving,
                    at: logged.at,
                    finding: format!("{endpoint} started request {request} {late:?} after the start of its shutdown"),
                }));
            }
            _ => {}
        }
    }
}
