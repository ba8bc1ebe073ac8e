//! Checks that an endpoint that shuts down gets no new work after a few seconds.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::event::{FleetEvent, LoggedEvent};
use oatpier_types::names::EndpointName;

use super::PromiseRule;
use crate::breach::{PromiseName, RuleBreach};

/// A rule that finds runs that start at an endpoint too long after the start of its shutdown.
pub(super) struct ShutdownRule {
    bound: Duration,
    shutdown_starts: IndexMap<EndpointName, ClockTime>,
}

impl ShutdownRule {
    pub(super) fn new(bound: Duration) -> Self {
        Self {
            bound,
            shutdown_starts: IndexMap::new(),
        }
    }
}

impl PromiseRule for ShutdownRule {
    fn observe(&mut self, logged: &LoggedEvent, breaches: &mut Vec<RuleBreach>) {
        match &logged.event {
            FleetEvent::LeaveStarted { endpoint } => {
                self.shutdown_starts
                    .entry(endpoint.clone())
                    .or_insert(logged.at);
            }
            FleetEvent::RunStarted {
                endpoint, request, ..
            } => {
                let late = self
                    .shutdown_starts
                    .get(endpoint)
                    .map(|started_at| logged.at.since(*started_at))
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
