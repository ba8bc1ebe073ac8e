//! The store of the configuration record, the injected faults, and the checks.

use std::time::Duration;

use oatpier_types::config::record::ConfigRecord;
use oatpier_types::ids::{Generation, Revision};
use rand::RngExt;

use super::operators::{CHANGES, Happening, OPERATORS, OperatorBench};
use crate::fault::FaultKind;
use crate::step::StepName;

impl OperatorBench {
    pub fn see_read(&mut self, operator: usize, call: u64) {
        if self.cut_from[operator] > self.now {
            return;
        }
        let up = self.down_until <= self.now;
        let record = up.then(|| Box::new((self.record.clone(), self.revision)));
        let takes = self.takes(operator);
        self.post(operator, Happening::HaveRead { call, record }, takes);
    }

    pub fn see_write(
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
            self.judge_step(&record);
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
        let takes = self.takes(operator);
        let happening = Happening::HaveWritten {
            call,
            done,
            generation,
        };
        self.post(operator, happening, takes);
    }

    /// Checks that a successful write creates the next generation and keeps every accepted change.
    pub fn judge_step(&mut self, record: &ConfigRecord) {
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

    pub fn judge(&mut self) {
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
        let ended = self.accepted.len() + self.clashes as usize;
        if ended != wanted {
            let text = format!("{ended} of {wanted} changes were completed");
            self.report.findings.push(text);
        }
        if self.races && self.clashes == 0 && self.order.strikes.len() == 1 {
            self.report
                .findings
                .push("racing operators never conflicted".to_owned());
        }
    }

    pub fn pass(&mut self, step: StepName, operator: usize) -> Vec<FaultKind> {
        let faults = self.plan.pass(step).to_vec();
        for fault in &faults {
            self.inflict(*fault, operator);
        }
        faults
    }

    pub fn inflict(&mut self, fault: FaultKind, operator: usize) {
        let span = self.millis(500, 5_000);
        let until = self.now + span;
        match fault {
            // The command is run again with the same change id, as its message instructs the operator.
            FaultKind::Kill => self.run_again(operator, span),
            FaultKind::Restart => self.run_again(operator, Duration::from_millis(50)),
            FaultKind::Pause => self.commands[operator].awake_from = until,
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
            FaultKind::ClockStep => self.stamp = self.random.random_range(0..4_000_000_000),
            _ => {}
        }
    }

    pub fn run_again(&mut self, operator: usize, away: Duration) {
        let command = &mut self.commands[operator];
        command.up = false;
        command.change -= 1;
        // The next run reports that the id was tried before, and the highest generation that may contain it.
        self.post(operator, Happening::Begin, away);
    }

    pub fn takes(&mut self, operator: usize) -> Duration {
        if self.slow_until > self.now || self.slow_operator[operator] > self.now {
            self.millis(50, 700)
        } else {
            Duration::from_millis(2)
        }
    }

    pub fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.random.random_range(least..most))
    }

    pub fn post(&mut self, operator: usize, happening: Happening, after: Duration) {
        self.queue.put(self.now + after, (operator, happening));
    }
}
