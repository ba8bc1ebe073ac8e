//! The store of the configuration record, the injected faults, and the checks.

use std::time::Duration;

use oatpier_types::config::record::ConfigRecord;
use oatpier_types::ids::{Generation, Revision};
use rand::RngExt;

use super::operators::{CHANGES, OPERATORS, OperatorSimulation, SimEvent};
use crate::fault::FaultKind;
use crate::step::StepName;

impl OperatorSimulation {
    pub fn read_at_store(&mut self, operator: usize, call: u64) {
        if self.cut_from[operator] > self.now {
            return;
        }
        let up = self.down_until <= self.now;
        let record = up.then(|| Box::new((self.record.clone(), self.revision)));
        let latency = self.latency(operator);
        self.post(operator, SimEvent::ReadEnds { call, record }, latency);
    }

    pub fn write_at_store(
        &mut self,
        operator: usize,
        call: u64,
        record: ConfigRecord,
        expected: Revision,
    ) {
        let generation = record.generation;
        let done = if self.down_until > self.now {
            None
        } else {
            Some(expected == self.revision)
        };
        if done == Some(true) {
            self.check_write(&record);
            self.record = record;
            self.revision = self.revision.next();
        }
        let loses = done == Some(true) && self.answers_to_lose > 0;
        if loses {
            self.answers_to_lose -= 1;
        }
        if loses || self.cut_from[operator] > self.now {
            return;
        }
        let latency = self.latency(operator);
        let event = SimEvent::WriteEnds {
            call,
            done,
            generation,
        };
        self.post(operator, event, latency);
    }

    /// Checks that a successful write creates the next generation and keeps every accepted change.
    pub fn check_write(&mut self, record: &ConfigRecord) {
        if record.generation != self.record.generation.next() {
            let text = format!(
                "generation {} follows {}",
                record.generation, self.record.generation
            );
            self.report.findings.push(text);
        }
        let classes = self.record.content.classes.keys();
        let mut lost = classes.filter(|class| !record.content.classes.contains_key(*class));
        if let Some(lost) = lost.next() {
            self.report.findings.push(format!("{lost} was undone"));
        }
    }

    pub fn check_end_state(&mut self) {
        for (change, generation) in &self.accepted {
            let made = self
                .record
                .recent
                .iter()
                .filter(|done| done.change == *change);
            let made: Vec<Generation> = made.map(|done| done.generation).collect();
            if made != [*generation] {
                let text = format!(
                    "change {change} was accepted as {generation}, but is recorded as {made:?}"
                );
                self.report.findings.push(text);
            }
        }
        let wanted = usize::try_from(CHANGES).unwrap_or(0) * OPERATORS;
        let ended = self.accepted.len() + self.conflicts as usize;
        if ended != wanted {
            let text = format!("{ended} of {wanted} changes were completed");
            self.report.findings.push(text);
        }
        if self.is_race && self.conflicts == 0 && self.run_spec.injections.len() == 1 {
            self.report
                .findings
                .push("racing operators never conflicted".to_owned());
        }
    }

    pub fn inject_at(&mut self, step: StepName, operator: usize) -> Vec<FaultKind> {
        let faults = self.plan.take_due(step).to_vec();
        for fault in &faults {
            self.inject(*fault, operator);
        }
        faults
    }

    pub fn inject(&mut self, fault: FaultKind, operator: usize) {
        let duration = self.random_millis(500, 5_000);
        let until = self.now + duration;
        match fault {
            // The command is run again with the same change id, as its message instructs the operator.
            FaultKind::Kill => self.rerun_command(operator, duration),
            FaultKind::Restart => self.rerun_command(operator, Duration::from_millis(50)),
            FaultKind::Pause => self.commands[operator].paused_until = until,
            FaultKind::CutTo => self.cut_to[operator] = until,
            FaultKind::CutFrom => self.cut_from[operator] = until,
            FaultKind::CutBoth => {
                self.cut_to[operator] = until;
                self.cut_from[operator] = until;
            }
            FaultKind::SlowPeer => self.slow_operator[operator] = until,
            FaultKind::StoreDown => self.down_until = until,
            FaultKind::StoreSlow => self.slow_until = until,
            FaultKind::AnswerLost => self.answers_to_lose = self.random.random_range(1..=2),
            FaultKind::ClockStep => self.timestamp = self.random.random_range(0..4_000_000_000),
            _ => {}
        }
    }

    pub fn rerun_command(&mut self, operator: usize, downtime: Duration) {
        let command = &mut self.commands[operator];
        command.up = false;
        command.change -= 1;
        // The next run reports that the id was tried before, and the highest generation that may contain it.
        self.post(operator, SimEvent::Begin, downtime);
    }

    pub fn latency(&mut self, operator: usize) -> Duration {
        if self.slow_until > self.now || self.slow_operator[operator] > self.now {
            self.random_millis(50, 700)
        } else {
            Duration::from_millis(2)
        }
    }

    pub fn random_millis(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.random.random_range(min..max))
    }

    pub fn post(&mut self, operator: usize, event: SimEvent, after: Duration) {
        self.queue.put(self.now + after, (operator, event));
    }
}
