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
pub(super) struct ReachRule {
    bound: Duration,
    lost_at: IndexMap<ModelName, ClockTime>,
    seen_ready: IndexMap<ModelName, ()>,
    last_kill: Option<ClockTime>,
    now: ClockTime,
}

impl ReachRule {
    pub(super) fn new(bound: Duration) -> Self {
        Self {
            bound,
            lost_at: IndexMap::new(),
            seen_ready: IndexMap::new(),
            last_kill: None,
            now: ClockTime::ZERO,
        }
    }

    fn lost(&mut self, model: &ModelName, breaches: &mut Vec<RuleBreach>) {
        let fault_explains = self
            .last_kill
            .is_some_and(|killed| self.now.since(killed) <= self.bound);
        if self.seen_ready.contains_key(model) && !fault_explains {
            breaches.push(self.breach(format!("{model} lost its last replica without a fault")));
        }
        self.lost_at.entry(model.clone()).or_insert(self.now);
    }

    fn found(&mut self, model: &ModelName, breaches: &mut Vec<RuleBreach>) {
        self.seen_ready.insert(model.clone(), ());
        if let Some(lost_at) = self.lost_at.swap_remove(model) {
            self.judge(model, lost_at, breaches);
        }
    }

    fn judge(&self, model: &ModelName, lost_at: ClockTime, breaches: &mut Vec<RuleBreach>) {
        let away = self.now.since(lost_at);
        if away > self.bound {
            breaches.push(self.breach(format!("{model} was unreachable for {away:?}")));
        }
    }

    fn breach(&self, finding: String) -> RuleBreach {
        RuleBreach {
            promise: PromiseName::Reachability,
            at: self.now,
            finding,
        }
    }
}

impl PromiseRule for ReachRule {
    fn observe(&mut self, logged: &LoggedEvent, breaches: &mut Vec<RuleBreach>) {
        self.now = logged.at;
        match &logged.event {
            FleetEvent::ReplicasReady { model, count: 0 } => self.lost(model, breaches),
            FleetEvent::ReplicasReady { model, .. } => self.found(model, breaches),
            FleetEvent::Ended { killed: true, .. } => self.last_kill = Some(logged.at),
            _ => {}
        }
    }

    fn finish(&mut self, breaches: &mut Vec<RuleBreach>) {
        for (model, lost_at) in &self.lost_at {
            self.judge(model, *lost_at, breaches);
        }
    }
}
