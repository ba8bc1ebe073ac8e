//! Checks of the final state, and of the propagation time during the run.

use std::time::Duration;

use oatpier_membership::members::{MemberChange, MemberState};
use oatpier_types::clock::ClockTime;
use oatpier_types::event::FleetEvent;
use oatpier_types::ids::Generation;

use super::simulation::{ENTRIES, LATE_STARTERS, MemberNode, MemberSimulation, PROCESSES};
use crate::fault::FaultKind;

/// Maximum time until a process that no fault affects applies an accepted configuration.
const MAX_PROPAGATION: Duration = Duration::from_secs(5);

impl MemberSimulation {
    /// Checks that every process runs, has the last configuration, and is known to the entries of its availability zone.
    pub fn check_end_state(&mut self) {
        let last = self.store.stored.as_ref().map(|stored| stored.generation);
        for index in 0..PROCESSES {
            if self.generation(index) != last {
                let text = format!(
                    "process {index} is on {:?}, not {last:?}",
                    self.generation(index)
                );
                self.report.findings.push(text);
            }
        }
        self.check_propagation();
        for ((entry, other), since) in std::mem::take(&mut self.gone) {
            self.report_gone(entry, other, since);
        }
        for entry in 0..ENTRIES {
            let others = (0..PROCESSES).filter(|other| other % 2 == entry % 2);
            for other in others {
                let state = self.state(entry, other);
                if state != Some(MemberState::Alive) {
                    let text = format!("entry {entry} lists process {other} as {state:?}");
                    self.report.findings.push(text);
                }
            }
        }
    }

    fn state(&self, entry: usize, other: usize) -> Option<MemberState> {
        let Some(MemberNode::Entry(member)) = &self.processes[entry].node else {
            return None;
        };
        let daemon = &self.processes[other].contact.daemon;
        Some(member.table().get(daemon)?.state)
    }

    /// Records when an entry wrongly marks a process of its availability zone as gone, while no fault affects either of
    /// them.
    pub fn check_gone(&mut self, entry: usize, change: &MemberChange) {
        let other =
            (0..PROCESSES).find(|other| self.processes[*other].contact.daemon == change.daemon);
        let Some(other) = other.filter(|other| other % 2 == entry % 2) else {
            return;
        };
        if change.state == MemberState::Gone {
            let is_unaffected = |index: usize| {
                let process = &self.processes[index];
                process.node.is_some() && !process.is_affected
            };
            if is_unaffected(other) && is_unaffected(entry) {
                self.gone.insert((entry, other), self.now);
            }
        } else if let Some(since) = self.gone.remove(&(entry, other)) {
            self.report_gone(entry, other, since);
        }
    }

    fn report_gone(&mut self, entry: usize, other: usize, since: ClockTime) {
        let duration = self.now.since(since);
        let text = format!(
            "entry {entry} marked the running process {other} as gone for {duration:?} at {since:?}"
        );
        self.report.findings.push(text);
    }

    /// Checks the propagation time at processes that no fault affects. The checker counts from the end of the last
    /// fault; these processes must be in time during the faults too, unless the store itself is down.
    fn check_propagation(&mut self) {
        let down = self
            .run_spec
            .injections
            .iter()
            .any(|injection| injection.fault == FaultKind::StoreDown);
        if down {
            return;
        }
        let accepted = self
            .report
            .log
            .iter()
            .filter_map(|logged| match logged.event {
                FleetEvent::ConfigAccepted { generation } => Some((logged.at, generation)),
                _ => None,
            });
        let accepted: Vec<(ClockTime, Generation)> = accepted.collect();
        let unaffected = (0..PROCESSES).filter(|index| !LATE_STARTERS.contains(index));
        let unaffected = unaffected.filter(|index| !self.processes[*index].is_affected);
        let mut late = Vec::new();
        for index in unaffected {
            for (at, generation) in &accepted {
                let taken = self
                    .taken_at(index, *generation)
                    .unwrap_or(ClockTime::NEVER);
                if taken.since(*at) > MAX_PROPAGATION {
                    late.push(format!(
                        "process {index} got generation {generation} {:?} late",
                        taken.since(*at)
                    ));
                }
            }
        }
        self.report.findings.extend(late);
    }

    fn taken_at(&self, index: usize, wanted: Generation) -> Option<ClockTime> {
        let own = &self.processes[index].contact.daemon;
        let mut taken = self.report.log.iter().filter(|logged| match &logged.event {
            FleetEvent::ConfigInForce {
                daemon, generation, ..
            } => daemon == own && *generation >= wanted,
            _ => false,
        });
        taken.next().map(|logged| logged.at)
    }
}
