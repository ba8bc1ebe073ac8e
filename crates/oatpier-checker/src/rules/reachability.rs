//! Checks that every configured model stays reachable.
//!
//! A model may lose its last replica only because of a fault, and must be reachable again within the bound.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::event::{FleetEvent, LoggedEvent};
use oatpier_types::names::ModelName;

use super::PromiseRule;
use crate::breach::{PromiseName, RuleBreach};

/// A rule that tracks the ready replicas of each model.
pub(super) struct ReachabilityRule {
    bound: Duration,
    lost_at: IndexMap<ModelName, ClockTime>,
    ever_ready: IndexMap<ModelName, ()>,
    last_kill: Option<ClockTime>,
    now: ClockTime,
}

impl ReachabilityRule {
    pub(super) fn new(bound: Duration) -> Self {
        Self {
            bound,
            lost_at: IndexMap::new(),
            ever_ready: IndexMap::new(),
            last_kill: None,
            now: ClockTime::ZERO,
        }
    }

    fn note_lost(&mut self, model: &ModelName, breaches: &mut Vec<RuleBreach>) {
        let has_recent_fault = self
            .last_kill
            .is_some_and(|killed| self.now.since(killed) <= self.bound);
        if self.ever_ready.contains_key(model) && !has_recent_fault {
            breaches
                .push(self.build_breach(format!("{model} lost its last replica without a fault")));
        }
        self.lost_at.entry(model.clone()).or_insert(self.now);
    }

    fn note_ready(&mut self, model: &ModelName, breaches: &mut Vec<RuleBreach>) {
        self.ever_ready.insert(model.clone(), ());
        if let Some(lost_at) = self.lost_at.swap_remove(model) {
            self.check_outage(model, lost_at, breaches);
        }
    }

    fn check_outage(&self, model: &ModelName, lost_at: ClockTime, breaches: &mut Vec<RuleBreach>) {
        let outage = self.now.since(lost_at);
        if outage > self.bound {
            breaches.push(self.build_breach(format!("{model} was unreachable for {outage:?}")));
        }
    }

    fn build_breach(&self, finding: String) -> RuleBreach {
        RuleBreach {
            promise: PromiseName::Reachability,
            at: self.now,
            finding,
        }
    }
}

impl PromiseRule for ReachabilityRule {
    fn observe(&mut self, logged: &LoggedEvent, breaches: &mut Vec<RuleBreach>) {
        self.now = logged.at;
        match &logged.event {
            FleetEvent::ReplicasReady { model, count: 0 } => self.note_lost(model, breaches),
            FleetEvent::ReplicasReady { model, .. } => self.note_ready(model, breaches),
            FleetEvent::Ended { killed: true, .. } => self.last_kill = Some(logged.at),
            _ => {}
        }
    }

    fn finish(&mut self, breaches: &mut Vec<RuleBreach>) {
        for (model, lost_at) in &self.lost_at {
            self.check_outage(model, *lost_at, breaches);
        }
    }
}
