//! Planners that compete for one lease, simulated in ticks.

use std::time::Duration;

use oatpier_membership::lease::{
    LeaseAction, LeaseEvent, LeaseKeeper, LeaseWrite, StoredLease, may_write,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Revision, Term};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fault::FaultKind;
use crate::injection::InjectionPlan;
use crate::queue::EventQueue;
use crate::request::name;
use crate::run::{Bypass, RunReport, RunSpec};
use crate::step::StepName;

/// Number of entries that compete for the lease.
pub const PLANNERS: usize = 3;
/// The time between two ticks of the simulation.
const TICK: Duration = Duration::from_millis(100);
/// The time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Start of fault injection; only faults at the acquisition of the lease are injected earlier.
pub const INJECTION_START: ClockTime = ClockTime::from_millis(5_000);
/// No fault is injected after this time.
pub const FAULTS_END: ClockTime = ClockTime::from_millis(30_000);
/// The end of the run; plans must be written again by then.
const RUN_END: ClockTime = ClockTime::from_millis(60_000);

/// The stored plan: its term, number and revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoredPlan {
    pub term: Term,
    pub sequence: u64,
    pub revision: Revision,
}

/// A planner's pending write of a plan, with the stored plan that it read.
#[derive(Debug, Clone, Copy)]
pub struct PlanWrite {
    pub term: Term,
    pub read: Option<StoredPlan>,
}

pub struct Planner {
    pub keeper: LeaseKeeper,
    pub boot: u64,
    pub up: bool,
    pub paused_until: ClockTime,
    pub next_plan: ClockTime,
    pub write: Option<PlanWrite>,
}

#[derive(Debug)]
pub enum SimEvent {
    /// A lease call arrives at the store.
    Lease(LeaseAction),
    /// The store's answer to a lease call arrives.
    Answer(LeaseEvent),
    /// The planner reads the plan, then sends its own.
    ReadPlan,
    /// The write of a plan arrives at the store.
    WritePlan(PlanWrite),
    /// The planner starts.
    Start,
}

pub struct QueuedEvent {
    pub planner: usize,
    pub boot: u64,
    pub event: SimEvent,
}

pub struct LeaseSimulation {
    pub run_spec: RunSpec,
    pub plan: InjectionPlan,
    pub random: ChaCha8Rng,
    pub now: ClockTime,
    pub planners: Vec<Planner>,
    pub queue: EventQueue<QueuedEvent>,
    pub lease: Option<StoredLease>,
    pub stored: StoredPlan,
    pub last_plan_at: ClockTime,
    pub down_until: ClockTime,
    pub slow_until: ClockTime,
    /// Calls of these planners are blocked until then; `cut_from` blocks the answers to them.
    pub cut_to: [ClockTime; PLANNERS],
    pub cut_from: [ClockTime; PLANNERS],
    pub slow_planner: [ClockTime; PLANNERS],
    pub answers_to_lose: u32,
    pub report: RunReport,
}

impl LeaseSimulation {
    pub fn new(run_spec: &RunSpec) -> Self {
        let mut simulation = Self {
            plan: run_spec.plan(),
            random: run_spec.generator(),
            run_spec: run_spec.clone(),
            now: ClockTime::ZERO,
            planners: Vec::new(),
            queue: EventQueue::default(),
            lease: None,
            stored: StoredPlan::default(),
            last_plan_at: ClockTime::ZERO,
            down_until: ClockTime::ZERO,
            slow_until: ClockTime::ZERO,
            cut_to: [ClockTime::ZERO; PLANNERS],
            cut_from: [ClockTime::ZERO; PLANNERS],
            slow_planner: [ClockTime::ZERO; PLANNERS],
            answers_to_lose: 0,
            report: RunReport::default(),
        };
        simulation.planners = (0..PLANNERS)
            .map(|index| simulation.planner(index, 1))
            .collect();
        simulation
    }

    pub fn planner(&mut self, index: usize, boot: u64) -> Planner {
        let id = BootId(u128::from(boot) * 16 + index as u128);
        let random = ChaCha8Rng::from_rng(&mut self.random);
        let daemon = name(&format!("entry-{index}"));
        Planner {
            keeper: LeaseKeeper::new(daemon, id, random, self.now),
            boot,
            up: true,
            paused_until: self.now,
            next_plan: self.now,
            write: None,
        }
    }

    pub fn run(mut self) -> RunReport {
        while self.now < RUN_END {
            self.now = self.now + TICK;
            while let Some((at, queued)) = self.queue.take(self.now) {
                self.handle_event(at, queued);
            }
            for index in 0..PLANNERS {
                self.tick(index);
            }
            self.check_single_holder();
        }
        if self.last_plan_at + PLAN_INTERVAL * 5 < self.now {
            let text = format!("no plan since {:?}", self.last_plan_at);
            self.report.findings.push(text);
        }
        self.report.all_injected = self.plan.is_exhausted();
        self.report
    }

    pub fn is_awake(&self, index: usize) -> bool {
        self.planners[index].up && self.planners[index].paused_until <= self.now
    }

    fn tick(&mut self, index: usize) {
        if !self.is_awake(index) {
            return;
        }
        self.handle_lease_event(index, LeaseEvent::Tick);
        let now = self.now;
        let planner = &mut self.planners[index];
        let Some(term) = planner.keeper.may_act(now) else {
            planner.write = None;
            return;
        };
        if planner.write.is_none() && planner.next_plan <= now {
            planner.next_plan = now + PLAN_INTERVAL;
            planner.write = Some(PlanWrite { term, read: None });
            self.post(index, SimEvent::ReadPlan, Duration::from_millis(2));
        }
    }

    pub fn handle_lease_event(&mut self, index: usize, event: LeaseEvent) {
        let actions = self.planners[index].keeper.handle(event, self.now);
        for action in actions {
            match action {
                LeaseAction::Gained(_) | LeaseAction::Lost(_) => {
                    self.planners[index].next_plan = self.now;
                    self.planners[index].write = None;
                }
                LeaseAction::Read => self.call(index, LeaseAction::Read, None),
                LeaseAction::Write { lease, expected } => {
                    let is_takeover = self.lease.as_ref().is_none_or(|stored| {
                        stored.lease.boot != lease.boot || stored.lease.holder != lease.holder
                    });
                    let step = if is_takeover {
                        StepName::LeaseTake
                    } else {
                        StepName::LeaseRenew
                    };
                    self.call(index, LeaseAction::Write { lease, expected }, Some(step));
                }
            }
        }
    }

    /// Sends a call of the lease keeper to the store.
    pub fn call(&mut self, index: usize, action: LeaseAction, step: Option<StepName>) {
        let is_write = matches!(action, LeaseAction::Write { .. });
        let faults = step
            .map(|step| self.inject_at(step, index))
            .unwrap_or_default();
        let is_dropped = self.cut_to[index] > self.now || faults.contains(&FaultKind::Lost);
        if is_dropped {
            let failed = if is_write {
                LeaseEvent::Wrote(LeaseWrite::AnswerLost)
            } else {
                LeaseEvent::Read(Err(()))
            };
            return self.post(index, SimEvent::Answer(failed), Duration::from_millis(500));
        }
        let late = faults.contains(&FaultKind::Late);
        let latency = if late {
            self.random_millis(500, 4_000)
        } else {
            self.latency(index)
        };
        if faults.contains(&FaultKind::Doubled) {
            let duplicate_delay = self.random_millis(10, 4_000);
            self.post_duplicate(index, SimEvent::Lease(action.clone()), duplicate_delay);
        }
        self.post(index, SimEvent::Lease(action), latency);
    }

    pub fn latency(&mut self, index: usize) -> Duration {
        if self.slow_until > self.now || self.slow_planner[index] > self.now {
            self.random_millis(100, 1_200)
        } else {
            Duration::from_millis(2)
        }
    }

    pub fn random_millis(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.random.random_range(min..max))
    }

    pub fn post(&mut self, planner: usize, event: SimEvent, after: Duration) {
        let boot = self.planners[planner].boot;
        self.queue.put(
            self.now + after,
            QueuedEvent {
                planner,
                boot,
                event,
            },
        );
    }

    /// Posts a duplicate whose answer is dropped: no planner has boot 0.
    fn post_duplicate(&mut self, planner: usize, event: SimEvent, after: Duration) {
        let boot = 0;
        self.queue.put(
            self.now + after,
            QueuedEvent {
                planner,
                boot,
                event,
            },
        );
    }

    fn handle_event(&mut self, at: ClockTime, queued: QueuedEvent) {
        let QueuedEvent {
            planner,
            boot,
            event,
        } = queued;
        let index = planner;
        if let SimEvent::Start = event {
            let next = self.planners[index].boot;
            self.planners[index] = self.planner(index, next);
            return;
        }
        let at_store = matches!(event, SimEvent::Lease(_) | SimEvent::WritePlan(_));
        if at_store {
            return self.handle_at_store(index, boot, event);
        }
        let state = &self.planners[index];
        if !state.up || state.boot != boot {
            return;
        }
        if state.paused_until > self.now {
            let wake = state.paused_until.max(at);
            self.queue.put(
                wake,
                QueuedEvent {
                    planner,
                    boot,
                    event,
                },
            );
            return;
        }
        match event {
            SimEvent::Answer(event) => self.handle_lease_event(index, event),
            SimEvent::ReadPlan => self.handle_plan_read(index),
            _ => {}
        }
    }

    /// Handles the read of the stored plan: the planner overwrites it if its own term allows.
    fn handle_plan_read(&mut self, index: usize) {
        let Some(mut write) = self.planners[index].write else {
            return;
        };
        if self.down_until > self.now
            || self.cut_to[index] > self.now
            || self.cut_from[index] > self.now
        {
            self.planners[index].write = None;
            return;
        }
        let allowed =
            may_write(write.term, self.stored.term) || self.run_spec.bypasses(Bypass::Term);
        if !allowed {
            self.planners[index].write = None;
            return;
        }
        write.read = Some(self.stored);
        let faults = self.inject_at(StepName::PlanWrite, index);
        self.planners[index].write = None;
        if faults.contains(&FaultKind::Lost) {
            return;
        }
        let late = faults.contains(&FaultKind::Late);
        let latency = if late {
            self.random_millis(500, 9_000)
        } else {
            self.latency(index)
        };
        // A paused process sends its pending write when it resumes.
        let pause_left = self.planners[index].paused_until.since(self.now);
        let scheduled = SimEvent::WritePlan(write);
        if faults.contains(&FaultKind::Doubled) {
            let duplicate_delay = self.random_millis(10, 4_000);
            self.post(
                index,
                SimEvent::WritePlan(write),
                latency + pause_left + duplicate_delay,
            );
        }
        if self.planners[index].up {
            self.post(index, scheduled, latency + pause_left);
        }
    }

    /// Checks that at most one planner may act at a time.
    fn check_single_holder(&mut self) {
        let now = self.now;
        let awake = (0..PLANNERS).filter(|index| self.is_awake(*index));
        let holders = awake.filter(|index| self.planners[*index].keeper.may_act(now).is_some());
        if holders.count() > 1 {
            let text = format!("two planners can act at {now:?}");
            self.report.findings.push(text);
        }
    }
}
