//! The store of the lease and the plan, and the injected faults.

use std::time::Duration;

use oatpier_membership::lease::{LeaseAction, LeaseEvent, LeaseWrite, PlannerLease, StoredLease};
use oatpier_types::ids::Revision;
use rand::RngExt;

use super::simulation::{
    FAULTS_END, INJECTION_START, LeaseSimulation, PlanWrite, SimEvent, StoredPlan,
};
use crate::fault::FaultKind;
use crate::run::Bypass;
use crate::step::StepName;

impl LeaseSimulation {
    pub fn handle_at_store(&mut self, index: usize, boot: u64, event: SimEvent) {
        match event {
            SimEvent::Lease(action) => {
                let answer = self.lease_answer(action);
                let is_current = self.planners[index].boot == boot;
                if is_current && let Some(answer) = answer {
                    self.answer(index, answer);
                }
            }
            SimEvent::WritePlan(write) => self.write_plan(index, write),
            _ => {}
        }
    }

    pub fn answer(&mut self, index: usize, event: LeaseEvent) {
        let lost = self.cut_from[index] > self.now;
        let event = match event {
            LeaseEvent::Wrote(LeaseWrite::Written(_)) if lost || self.loses_answer() => {
                LeaseEvent::Wrote(LeaseWrite::AnswerLost)
            }
            LeaseEvent::Read(_) if lost => LeaseEvent::Read(Err(())),
            other => other,
        };
        self.post(index, SimEvent::Answer(event), Duration::from_millis(2));
    }

    pub fn loses_answer(&mut self) -> bool {
        let loses = self.answers_to_lose > 0;
        self.answers_to_lose = self.answers_to_lose.saturating_sub(1);
        loses
    }

    pub fn lease_answer(&mut self, action: LeaseAction) -> Option<LeaseEvent> {
        let down = self.down_until > self.now;
        match action {
            LeaseAction::Read if down => Some(LeaseEvent::Read(Err(()))),
            LeaseAction::Read => Some(LeaseEvent::Read(Ok(self.lease.clone()))),
            LeaseAction::Write { .. } if down => Some(LeaseEvent::Wrote(LeaseWrite::Failed)),
            LeaseAction::Write { lease, expected } => {
                Some(LeaseEvent::Wrote(self.write_lease(lease, expected)))
            }
            LeaseAction::Gained(_) | LeaseAction::Lost(_) => None,
        }
    }

    pub fn write_lease(&mut self, lease: PlannerLease, expected: Option<Revision>) -> LeaseWrite {
        let current = self.lease.as_ref().map(|stored| stored.revision);
        if current != expected {
            return LeaseWrite::Conflict;
        }
        let previous = self.lease.as_ref().map(|stored| stored.lease.term);
        if previous.is_some_and(|previous| lease.term < previous) {
            let text = format!("the term decreased from {previous:?} to {:?}", lease.term);
            self.report.findings.push(text);
        }
        let revision = current.unwrap_or_default().next();
        self.lease = Some(StoredLease { revision, lease });
        LeaseWrite::Written(revision)
    }

    pub fn write_plan(&mut self, index: usize, write: PlanWrite) {
        let Some(read) = write.read.filter(|_| self.down_until <= self.now) else {
            return;
        };
        // Without the check of the term the revision check is skipped too, as if the plan was read just before the write.
        let is_current =
            self.run_spec.bypasses(Bypass::Term) || read.revision == self.stored.revision;
        if !is_current {
            return;
        }
        if write.term < self.stored.term {
            let text = format!(
                "a plan of {:?} overwrote one of {:?}",
                write.term, self.stored.term
            );
            self.report.findings.push(text);
        }
        self.stored = StoredPlan {
            term: write.term,
            sequence: self.stored.sequence + 1,
            revision: self.stored.revision.next(),
        };
        self.last_plan_at = self.now;
        self.loses_answer();
        let _ = index;
    }

    pub fn inject_at(&mut self, step: StepName, index: usize) -> Vec<FaultKind> {
        let early = self.now < INJECTION_START && step != StepName::LeaseTake;
        if early || self.now > FAULTS_END {
            return Vec::new();
        }
        let faults = self.plan.take_due(step).to_vec();
        for fault in &faults {
            self.inject(*fault, index);
        }
        faults
    }

    pub fn inject(&mut self, fault: FaultKind, index: usize) {
        let duration = self.random_millis(1_000, 12_000);
        let until = self.now + duration;
        match fault {
            FaultKind::Kill => self.stop_planner(index, duration),
            FaultKind::Restart => self.stop_planner(index, Duration::from_millis(200)),
            FaultKind::Pause => self.planners[index].paused_until = until,
            // Longer than the lease lasts, so that another planner takes the lease meanwhile.
            FaultKind::LeaseLapsed => {
                self.planners[index].paused_until = until + Duration::from_secs(8);
            }
            FaultKind::CutTo => self.cut_to[index] = until,
            FaultKind::CutFrom => self.cut_from[index] = until,
            FaultKind::CutBoth => {
                self.cut_to[index] = until;
                self.cut_from[index] = until;
            }
            FaultKind::SlowPeer => self.slow_planner[index] = until,
            FaultKind::StoreDown => self.down_until = until,
            FaultKind::StoreSlow => self.slow_until = until,
            FaultKind::AnswerLost => self.answers_to_lose = self.random.random_range(1..=2),
            _ => {}
        }
    }

    pub fn stop_planner(&mut self, index: usize, downtime: Duration) {
        self.planners[index].up = false;
        self.planners[index].boot += 1;
        self.post(index, SimEvent::Start, downtime);
    }
}
