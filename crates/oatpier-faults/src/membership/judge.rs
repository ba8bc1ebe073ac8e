//! Checks of the final state, and of the propagation time during the run.

use std::time::Duration;

use oatpier_membership::members::{MemberChange, MemberState};
use oatpier_types::clock::ClockTime;
use oatpier_types::event::FleetEvent;
use oatpier_types::ids::Generation;

use super::world::{ENTRIES, LATE, MemberNode, MemberWorld, PROCESSES};
use crate::fault::FaultKind;

/// Maximum time until a process that no fault affects applies an accepted configuration.
const SPREAD_WITHIN: Duration = Duration::from_secs(5);

impl MemberWorld {
    /// Checks that every process runs, has the last configuration, and is known to the entries of its availability zone.
    pub fn judge(&mut self) {
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
        self.judge_spread();
        for ((entry, other), since) in std::mem::take(&mut self.gone) {
            self.note_gone(entry, other, since);
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
    pub fn watch_gone(&mut self, entry: usize, change: &MemberChange) {
        let other =
            (0..PROCESSES).find(|other| self.processes[*other].contact.daemon == change.daemon);
        let Some(other) = other.filter(|other| other % 2 == entry % 2) else {
            return;
        };
        if change.state == MemberState::Gone {
            let whole = |index: usize| {
                let process = &self.processes[index];
                process.node.is_some() && !process.touched
            };
            if whole(other) && whole(entry) {
                self.gone.insert((entry, other), self.now);
            }
        } else if let Some(since) = self.gone.remove(&(entry, other)) {
            self.note_gone(entry, other, since);
        }
    }

    fn note_gone(&mut self, entry: usize, other: usize, since: ClockTime) {
        let span = self.now.since(since);
        let text = format!(
            "entry {entry} marked the running process {other} as gone for {span:?} at {since:?}"
        );
        self.report.findings.push(text);
    }

    /// Checks the propagation time at processes that no fault affects. The checker counts from the end of the last
    /// fault; these processes must be in time during the faults too, unless the store itself is down.
    fn judge_spread(&mut self) {
        let down = self
            .order
            .strikes
            .iter()
            .any(|strike| strike.fault == FaultKind::StoreDown);
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
        let untouched = (0..PROCESSES).filter(|index| !LATE.contains(index));
        let untouched = untouched.filter(|index| !self.processes[*index].touched);
        let mut late = Vec::new();
        for index in untouched {
            for (at, generation) in &accepted {
                let taken = self
                    .taken_at(index, *generation)
                    .unwrap_or(ClockTime::NEVER);
                if taken.since(*at) > SPREAD_WITHIN {
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
