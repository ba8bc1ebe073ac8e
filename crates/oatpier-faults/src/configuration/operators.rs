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
use crate::injection::InjectionPlan;
use crate::queue::EventQueue;
use crate::request::name;
use crate::run::{RunReport, RunSpec};
use crate::step::StepName;

pub const OPERATORS: usize = 2;
/// Number of changes of each operator.
pub const CHANGES: u32 = 3;
/// The end of the run; commands are retried until then.
const RUN_END: ClockTime = ClockTime::from_millis(60_000);
/// Time after which a command stops waiting for the answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The state of an operator's command.
pub struct Command {
    pub proposal: Option<ChangeProposal>,
    pub change: u32,
    /// The number of the open call; answers to others are dropped.
    pub call: u64,
    pub up: bool,
    pub paused_until: ClockTime,
}

pub enum SimEvent {
    Begin,
    ReadArrives {
        call: u64,
    },
    ReadEnds {
        call: u64,
        record: Option<Box<(ConfigRecord, Revision)>>,
    },
    WriteArrives {
        call: u64,
        record: Box<ConfigRecord>,
        expected: Revision,
    },
    WriteEnds {
        call: u64,
        done: Option<bool>,
        generation: Generation,
    },
    CallTimeout {
        call: u64,
        wrote: Option<Generation>,
    },
}

pub struct OperatorSimulation {
    pub plan: InjectionPlan,
    pub run_spec: RunSpec,
    pub random: ChaCha8Rng,
    pub now: ClockTime,
    pub record: ConfigRecord,
    pub revision: Revision,
    pub commands: Vec<Command>,
    pub accepted: Vec<(ChangeId, Generation)>,
    pub conflicts: u32,
    pub queue: EventQueue<(usize, SimEvent)>,
    pub down_until: ClockTime,
    pub slow_until: ClockTime,
    pub slow_operator: [ClockTime; OPERATORS],
    pub cut_to: [ClockTime; OPERATORS],
    pub cut_from: [ClockTime; OPERATORS],
    pub answers_to_lose: u32,
    pub is_race: bool,
    pub timestamp: u64,
    pub report: RunReport,
}

impl OperatorSimulation {
    pub fn new(run_spec: &RunSpec) -> Self {
        let is_race = run_spec
            .injections
            .iter()
            .any(|injection| injection.fault == FaultKind::RacingOperators);
        let commands = (0..OPERATORS).map(|_| Command {
            proposal: None,
            change: 0,
            call: 0,
            up: true,
            paused_until: ClockTime::ZERO,
        });
        let mut simulation = Self {
            plan: run_spec.plan(),
            random: run_spec.generator(),
            run_spec: run_spec.clone(),
            now: ClockTime::ZERO,
            record: ConfigRecord::default(),
            revision: Revision(1),
            commands: commands.collect(),
            accepted: Vec::new(),
            conflicts: 0,
            queue: EventQueue::default(),
            down_until: ClockTime::ZERO,
            slow_until: ClockTime::ZERO,
            slow_operator: [ClockTime::ZERO; OPERATORS],
            cut_to: [ClockTime::ZERO; OPERATORS],
            cut_from: [ClockTime::ZERO; OPERATORS],
            answers_to_lose: 0,
            is_race,
            timestamp: 1_750_000_000,
            report: RunReport::default(),
        };
        for operator in 0..OPERATORS {
            let delay = simulation.random_millis(1, 30);
            let delay = if is_race {
                Duration::from_millis(1)
            } else {
                delay
            };
            simulation.post(operator, SimEvent::Begin, delay);
        }
        simulation
    }

    pub fn run(mut self) -> RunReport {
        while let Some((at, (operator, event))) = self.queue.take(RUN_END) {
            self.now = at;
            let command = &self.commands[operator];
            let at_store = matches!(
                event,
                SimEvent::ReadArrives { .. } | SimEvent::WriteArrives { .. }
            );
            if !at_store && command.paused_until > self.now {
                self.queue.put(command.paused_until, (operator, event));
                continue;
            }
            self.handle_event(operator, event);
        }
        self.check_end_state();
        self.report.all_injected = self.plan.is_exhausted();
        self.report
    }

    fn handle_event(&mut self, operator: usize, event: SimEvent) {
        match event {
            SimEvent::Begin => self.begin(operator),
            SimEvent::ReadArrives { call } => self.read_at_store(operator, call),
            SimEvent::ReadEnds { call, record } if self.is_awaited(operator, call) => {
                self.handle_read(operator, record);
            }
            SimEvent::WriteArrives {
                call,
                record,
                expected,
            } => self.write_at_store(operator, call, *record, expected),
            SimEvent::WriteEnds {
                call,
                done,
                generation,
            } if self.is_awaited(operator, call) => self.handle_write(operator, done, generation),
            SimEvent::CallTimeout { call, wrote } if self.is_awaited(operator, call) => {
                self.handle_timeout(operator, wrote);
            }
            _ => {}
        }
    }

    fn is_awaited(&self, operator: usize, call: u64) -> bool {
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

    fn proposed_edits(&self, operator: usize, base: &FleetConfig) -> Vec<ConfigEdit> {
        let number = self.commands[operator].change;
        let owner = if self.is_race { 0 } else { operator };
        let class: ClassName = name(&format!("class-{owner}-{number}"));
        let millis = if self.is_race {
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
            SimEvent::CallTimeout { call, wrote: None },
            CALL_TIMEOUT,
        );
        if self.cut_to[operator] <= self.now {
            let latency = self.latency(operator);
            self.post(operator, SimEvent::ReadArrives { call }, latency);
        }
    }

    fn handle_read(&mut self, operator: usize, found: Option<Box<(ConfigRecord, Revision)>>) {
        let Some(found) = found else {
            return self.retry(operator);
        };
        let (record, revision) = *found;
        let change = Self::change_id(operator, self.commands[operator].change);
        if self.commands[operator].proposal.is_none() {
            let edits = self.proposed_edits(operator, &record.content);
            self.commands[operator].proposal = Some(ChangeProposal {
                change,
                base: record.generation,
                edits,
                operator: format!("operator-{operator}"),
                at: self.timestamp,
                summary: String::new(),
                unanswered: None,
            });
        }
        self.inject_at(StepName::ConfigMerge, operator);
        if !self.commands[operator].up {
            return;
        }
        let Some(proposal) = self.commands[operator].proposal.clone() else {
            return;
        };
        match record.merge(&proposal) {
            Ok(MergeOutcome::Accepted { generation }) => self.accept(operator, generation),
            Ok(MergeOutcome::Unchanged { .. }) => self.finish_change(operator),
            Ok(MergeOutcome::Write { record, .. }) => self.write(operator, record, revision),
            Err(MergeError::Conflict { other, .. }) => {
                self.conflicts += 1;
                if other.is_none() {
                    let text = "a conflict does not name the other change".to_owned();
                    self.report.findings.push(text);
                }
                self.finish_change(operator);
            }
            Err(error) => {
                self.report
                    .findings
                    .push(format!("a change was refused: {error}"));
                self.finish_change(operator);
            }
        }
    }

    fn write(&mut self, operator: usize, record: Box<ConfigRecord>, expected: Revision) {
        self.commands[operator].call += 1;
        let call = self.commands[operator].call;
        let faults = self.inject_at(StepName::ConfigWrite, operator);
        // A command that crashed may have sent its write before.
        if !self.commands[operator].up && self.random.random_bool(0.5) {
            return;
        }
        let wrote = Some(record.generation);
        self.post(
            operator,
            SimEvent::CallTimeout { call, wrote },
            CALL_TIMEOUT,
        );
        if faults.contains(&FaultKind::Lost) || self.cut_to[operator] > self.now {
            return;
        }
        let mut latency = self.latency(operator);
        if faults.contains(&FaultKind::Late) {
            latency += self.random_millis(500, 5_000);
        }
        if faults.contains(&FaultKind::Doubled) {
            let duplicate_delay = self.random_millis(1, 4_000);
            let record = record.clone();
            let copy = SimEvent::WriteArrives {
                call: 0,
                record,
                expected,
            };
            self.post(operator, copy, latency + duplicate_delay);
        }
        let event = SimEvent::WriteArrives {
            call,
            record,
            expected,
        };
        self.post(operator, event, latency);
    }

    fn handle_write(&mut self, operator: usize, done: Option<bool>, generation: Generation) {
        match done {
            Some(true) => self.accept(operator, generation),
            Some(false) | None => self.retry(operator),
        }
    }

    fn handle_timeout(&mut self, operator: usize, wrote: Option<Generation>) {
        if let Some(proposal) = &mut self.commands[operator].proposal {
            proposal.unanswered = proposal.unanswered.max(wrote);
        }
        self.retry(operator);
    }

    /// Reads again after a delay; answers to earlier calls are dropped.
    fn retry(&mut self, operator: usize) {
        self.commands[operator].call += 1;
        let call = self.commands[operator].call;
        let wait = self.random_millis(20, 400);
        let timeout = SimEvent::CallTimeout { call, wrote: None };
        self.post(operator, timeout, wait + CALL_TIMEOUT);
        if self.cut_to[operator] <= self.now + wait {
            let latency = wait + self.latency(operator);
            self.post(operator, SimEvent::ReadArrives { call }, latency);
        }
    }

    fn accept(&mut self, operator: usize, generation: Generation) {
        let change = Self::change_id(operator, self.commands[operator].change);
        self.accepted.push((change, generation));
        let at = self.now;
        let event = FleetEvent::ConfigAccepted { generation };
        self.report.log.push(LoggedEvent { at, event });
        self.finish_change(operator);
    }

    fn finish_change(&mut self, operator: usize) {
        self.commands[operator].call += 1;
        self.commands[operator].up = false;
        let wait = if self.is_race {
            // Both operators start their next change at the same time.
            let second = 1_000_000;
            Duration::from_micros(second - self.now.as_micros() % second)
        } else {
            self.random_millis(5, 200)
        };
        self.post(operator, SimEvent::Begin, wait);
    }
}
