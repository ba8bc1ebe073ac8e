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
struct ForceRecord {
    generation: Generation,
    since: ClockTime,
}

/// A rule that tracks the active generation of each process.
pub(super) struct ConfigRule {
    bound: Duration,
    accepted: Vec<(ClockTime, Generation)>,
    in_force: IndexMap<DaemonName, ForceRecord>,
    contents: IndexMap<Generation, u64>,
    faults_until: ClockTime,
    now: ClockTime,
}

impl ConfigRule {
    pub(super) fn new(bound: Duration) -> Self {
        Self {
            bound,
            accepted: Vec::new(),
            in_force: IndexMap::new(),
            contents: IndexMap::new(),
            faults_until: ClockTime::ZERO,
            now: ClockTime::ZERO,
        }
    }

    fn in_force(
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
        if let Some(record) = self.in_force.get(daemon) {
            if generation < record.generation {
                findings.push(format!(
                    "{daemon} reverted from generation {} to {generation}",
                    record.generation
                ));
            }
            findings.extend(self.overdue(daemon, record, self.now));
        }
        let record = ForceRecord {
            generation,
            since: self.now,
        };
        self.in_force.insert(daemon.clone(), record);
        findings
    }

    /// Returns a finding for the first accepted generation that was still not active in the process at `until`, after the
    /// time bound.
    fn overdue(
        &self,
        daemon: &DaemonName,
        record: &ForceRecord,
        until: ClockTime,
    ) -> Option<String> {
        self.accepted
            .iter()
            .filter(|(_, generation)| *generation > record.generation)
            .map(|(at, generation)| ((*at).max(record.since).max(self.faults_until), *generation))
            .find(|(due_from, _)| until.since(*due_from) > self.bound)
            .map(|(due_from, generation)| {
                let late = until.since(due_from);
                format!("{daemon} had not activated generation {generation} after {late:?}")
            })
    }

    fn report(&self, findings: Vec<String>, breaches: &mut Vec<RuleBreach>) {
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
                let findings = self.in_force(daemon, *generation, *content);
                self.report(findings, breaches);
            }
            FleetEvent::Ended { name, .. } => {
                self.in_force.swap_remove(name);
            }
            FleetEvent::FaultsOver => self.faults_until = logged.at,
            _ => {}
        }
    }

    fn finish(&mut self, breaches: &mut Vec<RuleBreach>) {
        let findings = self
            .in_force
            .iter()
            .filter_map(|(daemon, record)| self.overdue(daemon, record, self.now))
            .collect();
        self.report(findings, breaches);
    }
}
