//! Checks that an accepted configuration is active everywhere within seconds and is never reverted.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::event::{FleetEvent, LoggedEvent};
use oatpier_types::ids::Generation;
use oatpier_types::names::DaemonName;

use super::PromiseRule;
use crate::breach::{PromiseName, RuleBreach};

/// The generation that is active in one process.
struct ActiveRecord {
    generation: Generation,
    since: ClockTime,
}

/// A rule that tracks the active generation of each process.
pub(super) struct ConfigRule {
    bound: Duration,
    accepted: Vec<(ClockTime, Generation)>,
    active: IndexMap<DaemonName, ActiveRecord>,
    contents: IndexMap<Generation, u64>,
    faults_ended_at: ClockTime,
    now: ClockTime,
}

impl ConfigRule {
    pub(super) fn new(bound: Duration) -> Self {
        Self {
            bound,
            accepted: Vec::new(),
            active: IndexMap::new(),
            contents: IndexMap::new(),
            faults_ended_at: ClockTime::ZERO,
            now: ClockTime::ZERO,
        }
    }

    fn activate(
        &mut self,
        daemon: &DaemonName,
        generation: Generation,
        content: u64,
    ) -> Vec<String> {
        let mut findings = Vec::new();
        if *self.contents.entry(generation).or_insert(content) != content {
            findings.push(format!(
                "generation {generation} has two different contents"
            ));
        }
        if let Some(record) = self.active.get(daemon) {
            if generation < record.generation {
                findings.push(format!(
                    "{daemon} reverted from generation {} to {generation}",
                    record.generation
                ));
            }
            findings.extend(self.find_overdue(daemon, record, self.now));
        }
        let record = ActiveRecord {
            generation,
            since: self.now,
        };
        self.active.insert(daemon.clone(), record);
        findings
    }

    /// Returns a finding for the first accepted generation that was still not active in the process at `until`, after
    /// the time bound.
    fn find_overdue(
        &self,
        daemon: &DaemonName,
        record: &ActiveRecord,
        until: ClockTime,
    ) -> Option<String> {
        self.accepted
            .iter()
            .filter(|(_, generation)| *generation > record.generation)
            .map(|(at, generation)| {
                (
                    (*at).max(record.since).max(self.faults_ended_at),
                    *generation,
                )
            })
            .find(|(due_from, _)| until.since(*due_from) > self.bound)
            .map(|(due_from, generation)| {
                let late = until.since(due_from);
                format!("{daemon} had not activated generation {generation} after {late:?}")
            })
    }

    fn report_findings(&self, findings: Vec<String>, breaches: &mut Vec<RuleBreach>) {
        breaches.extend(findings.into_iter().map(|finding| RuleBreach {
            promise: PromiseName::Configuration,
            at: self.now,
            finding,
        }));
    }
}

impl PromiseRule for ConfigRule {
    fn observe(&mut self, logged: &LoggedEvent, breaches: &mut Vec<RuleBreach>) {
        self.now = logged.at;
        match &logged.event {
            FleetEvent::ConfigAccepted { generation } => {
                self.accepted.push((logged.at, *generation));
            }
            FleetEvent::ConfigInForce {
                daemon,
                generation,
                content,
            } => {
                let findings = self.activate(daemon, *generation, *content);
                self.report_findings(findings, breaches);
            }
            FleetEvent::Ended { name, .. } => {
                self.active.swap_remove(name);
            }
            FleetEvent::FaultsOver => self.faults_ended_at = logged.at,
            _ => {}
        }
    }

    fn finish(&mut self, breaches: &mut Vec<RuleBreach>) {
        let findings = self
            .active
            .iter()
            .filter_map(|(daemon, record)| self.find_overdue(daemon, record, self.now))
            .collect();
        self.report_findings(findings, breaches);
    }
}
