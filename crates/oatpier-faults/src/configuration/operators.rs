//! Operators that change the configuration.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::config::diff::{ConfigEdit, diff};
use oatpier_types::config::record::ConfigRecord;
use oatpier_types::config::record::merge::{ChangeProposal, MergeError, MergeOutcome};
use oatpier_types::config::{ClassSpec, ClassTarget, FleetConfig};
use oatpier_types::event::{FleetEvent, LoggedEvent};
use oatpier_types::ids::{ChangeId, Generation, Revision};
use oatpier_types::names::ClassName;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::fault::FaultKind;
use crate::queue::EventQueue;
use crate::request::name;
use crate::run::{RunOrder, RunReport};
use crate::step::StepName;
use crate::strike::StrikePlan;

pub const OPERATORS: usize = 2;
/// Number of changes of each operator.
pub const CHANGES: u32 = 3;
/// The end of the run; commands are retried until then.
const LAST_MOMENT: ClockTime = ClockTime::from_millis(60_000);
/// Time after which a command stops waiting for the answer to a call.
const CALL_WITHIN: Duration = Duration::from_millis(800);

/// The state of an operator's command.
pub struct Command {
    pub proposal: Option<ChangeProposal>,
    pub change: u32,
    /// The number of the open call; answers to others are dropped.
    pub call: u64,
    pub up: bool,
    pub awake_from: ClockTime,
}

pub enum Happening {
    Begin,
    SeeRead {
        call: u64,
    },
    HaveRead {
        call: u64,
        record: Option<Box<(ConfigRecord, Revision)>>,
    },
    SeeWrite {
        call: u64,
        record: Box<ConfigRecord>,
        expected: Revision,
    },
    HaveWritten {
        call: u64,
        done: Option<bool>,
        generation: Generation,
    },
    Overdue {
        call: u64,
        wrote: Option<Generation>,
    },
}

pub struct OperatorBench {
    pub plan: StrikePlan,
    pub order: RunOrder,
    pub random: ChaCha8Rng,
    pub now: ClockTime,
    pub record: ConfigRecord,
    pub revision: Revision,
    pub commands: Vec<Command>,
    pub accepted: Vec<(ChangeId, Generation)>,
    pub clashes: u32,
    pub queue: EventQueue<(usize, Happening)>,
    pub down_until: ClockTime,
    pub slow_until: ClockTime,
    pub slow_operator: [ClockTime; OPERATORS],
    pub cut_to: [ClockTime; OPERATORS],
    pub cut_from: [ClockTime; OPERATORS],
    pub answers_to_lose: u32,
    pub races: bool,
    pub stamp: u64,
    pub report: RunReport,
}

impl OperatorBench {
    pub fn new(order: &RunOrder) -> Self {
        let races = order
            .strikes
            .iter()
            .any(|strike| strike.fault == FaultKind::RacingOperators);
        let commands = (0..OPERATORS).map(|_| Command {
            proposal: None,
            change: 0,
            call: 0,
            up: true,
            awake_from: ClockTime::ZERO,
        });
        let mut bench = Self {
            plan: order.plan(),
            random: order.generator(),
            order: order.clone(),
            now: ClockTime::ZERO,
            record: ConfigRecord::default(),
            revision: Revision(1),
            commands: commands.collect(),
            accepted: Vec::new(),
            clashes: 0,
            queue: EventQueue::default(),
            down_until: ClockTime::ZERO,
            slow_until: ClockTime::ZERO,
            slow_operator: [ClockTime::ZERO; OPERATORS],
            cut_to: [ClockTime::ZERO; OPERATORS],
            cut_from: [ClockTime::ZERO; OPERATORS],
            answers_to_lose: 0,
            races,
            stamp: 1_750_000_000,
            report: RunReport::default(),
        };
        for operator in 0..OPERATORS {
            let late = bench.millis(1, 30);
            let late = if races {
                Duration::from_millis(1)
            } else {
                late
            };
            bench.post(operator, Happening::Begin, late);
        }
        bench
    }

    pub fn run(mut self) -> RunReport {
        while let Some((at, (operator, happening))) = self.queue.take(LAST_MOMENT) {
            self.now = at;
            let command = &self.commands[operator];
            let at_store = matches!(
                happening,
                Happening::SeeRead { .. } | Happening::SeeWrite { .. }
            );
            if !at_store && command.awake_from > self.now {
                self.queue.put(command.awake_from, (operator, happening));
                continue;
            }
            self.happen(operator, happening);
        }
        self.judge();
        self.report.struck = self.plan.is_spent();
        self.report
    }

    fn happen(&mut self, operator: usize, happening: Happening) {
        match happening {
            Happening::Begin => self.begin(operator),
            Happening::SeeRead { call } => self.see_read(operator, call),
            Happening::HaveRead { call, record } if self.awaits(operator, call) => {
                self.have_read(operator, record);
            }
            Happening::SeeWrite {
                call,
                record,
                expected,
            } => self.see_write(operator, call, *record, expected),
            Happening::HaveWritten {
                call,
                done,
                generation,
            } if self.awaits(operator, call) => self.have_written(operator, done, generation),
            Happening::Overdue { call, wrote } if self.awaits(operator, call) => {
                self.answer_lost(operator, wrote);
            }
            _ => {}
        }
    }

    fn awaits(&self, operator: usize, call: u64) -> bool {
        self.commands[operator].call == call && self.commands[operator].up
    }

    /// Starts the operator's next change: a class of its own, or the same class for both operators if they race.
    fn begin(&mut self, operator: usize) {
        let command = &mut self.commands[operator];
        if command.change >= CHANGES {
            return;
        }
        command.up = true;
        command.change += 1;
        command.proposal = None;
        self.read(operator);
    }

    fn wanted(&self, operator: usize, base: &FleetConfig) -> Vec<ConfigEdit> {
        let number = self.commands[operator].change;
        let owner = if self.races { 0 } else { operator };
        let class: ClassName = name(&format!("class-{owner}-{number}"));
        let millis = if self.races {
            1_000 + operator as u64
        } else {
            1_000
        };
        let answer = Duration::from_millis(millis);
        let spec = ClassSpec {
            target: ClassTarget::Whole { answer },
            attain: 0.95,
        };
        let mut wanted = base.clone();
        wanted.classes.insert(class, spec);
        diff(base, &wanted)
    }

    fn change_id(operator: usize, change: u32) -> ChangeId {
        ChangeId(u128::from(change) * 16 + operator as u128)
    }

    fn read(&mut self, operator: usize) {
        self.commands[operator].call += 1;
        let call = self.commands[operator].call;
        self.post(
            operator,
            Happening::Overdue { call, wrote: None },
            CALL_WITHIN,
        );
        if self.cut_to[operator] <= self.now {
            let takes = self.takes(operator);
            self.post(operator, Happening::SeeRead { call }, takes);
        }
    }

    fn have_read(&mut self, operator: usize, found: Option<Box<(ConfigRecord, Revision)>>) {
        let Some(found) = found else {
            return self.again(operator);
        };
        let (record, revision) = *found;
        let change = Self::change_id(operator, self.commands[operator].change);
        if self.commands[operator].proposal.is_none() {
            let edits = self.wanted(operator, &record.content);
            self.commands[operator].proposal = Some(ChangeProposal {
                change,
                base: record.generation,
                edits,
                operator: format!("operator-{operator}"),
                at: self.stamp,
                summary: String::new(),
                unanswered: None,
            });
        }
        self.pass(StepName::ConfigMerge, operator);
        if !self.commands[operator].up {
            return;
        }
        let Some(proposal) = self.commands[operator].proposal.clone() else {
            return;
        };
        match record.merge(&proposal) {
            Ok(MergeOutcome::Accepted { generation }) => self.accept(operator, generation),
            Ok(MergeOutcome::Unchanged { .. }) => self.done(operator),
            Ok(MergeOutcome::Write { record, .. }) => self.write(operator, record, revision),
            Err(MergeError::Conflict { other, .. }) => {
                self.clashes += 1;
                if other.is_none() {
                    let text = "a conflict does not name the other change".to_owned();
                    self.report.findings.push(text);
                }
                self.done(operator);
            }
            Err(error) => {
                self.report
                    .findings
                    .push(format!("a change was refused: {error}"));
                self.done(operator);
            }
        }
    }

    fn write(&mut self, operator: usize, record: Box<ConfigRecord>, expected: Revision) {
        self.commands[operator].call += 1;
        let call = self.commands[operator].call;
        let faults = self.pass(StepName::ConfigWrite, operator);
        // A command that crashed may have sent its write before.
        if !self.commands[operator].up && self.random.random_bool(0.5) {
            return;
        }
        let wrote = Some(record.generation);
        self.post(operator, Happening::Overdue { call, wrote }, CALL_WITHIN);
        if faults.contains(&FaultKind::Lost) || self.cut_to[operator] > self.now {
            return;
        }
        let mut takes = self.takes(operator);
        if faults.contains(&FaultKind::Late) {
            takes += self.millis(500, 5_000);
        }
        if faults.contains(&FaultKind::Doubled) {
            let again = self.millis(1, 4_000);
            let record = record.clone();
            let copy = Happening::SeeWrite {
                call: 0,
                record,
                expected,
            };
            self.post(operator, copy, takes + again);
        }
        let happening = Happening::SeeWrite {
            call,
            record,
            expected,
        };
        self.post(operator, happening, takes);
    }

    fn have_written(&mut self, operator: usize, done: Option<bool>, generation: Generation) {
        match done {
            Some(true) => self.accept(operator, generation),
            Some(false) | None => self.again(operator),
        }
    }

    fn answer_lost(&mut self, operator: usize, wrote: Option<Generation>) {
        if let Some(proposal) = &mut self.commands[operator].proposal {
            proposal.unanswered = proposal.unanswered.max(wrote);
        }
        self.again(operator);
    }

    /// Reads again after a delay; answers to earlier calls are dropped.
    fn again(&mut self, operator: usize) {
        self.commands[operator].call += 1;
        let call = self.commands[operator].call;
        let wait = self.millis(20, 400);
        let overdue = Happening::Overdue { call, wrote: None };
        self.post(operator, overdue, wait + CALL_WITHIN);
        if self.cut_to[operator] <= self.now + wait {
            let takes = wait + self.takes(operator);
            self.post(operator, Happening::SeeRead { call }, takes);
        }
    }

    fn accept(&mut self, operator: usize, generation: Generation) {
        let change = Self::change_id(operator, self.commands[operator].change);
        self.accepted.push((change, generation));
        let at = self.now;
        let event = FleetEvent::ConfigAccepted { generation };
        self.report.log.push(LoggedEvent { at, event });
        self.done(operator);
    }

    fn done(&mut self, operator: usize) {
        self.commands[operator].call += 1;
        self.commands[operator].up = false;
        let wait = if self.races {
            // Both operators start their next change at the same time.
            let second = 1_000_000;
            Duration::from_micros(second - self.now.as_micros() % second)
        } else {
            self.millis(5, 200)
        };
        self.post(operator, Happening::Begin, wait);
    }
}
