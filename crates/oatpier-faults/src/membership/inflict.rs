//! Injects faults into registration and configuration propagation.

use std::time::Duration;

use oatpier_membership::agent::AgentEvent;
use oatpier_membership::entry::EntryEvent;
use oatpier_membership::members::VmHint;
use rand::RngExt;

use super::world::{ARMED_FROM, ENTRIES, Happening, MemberWorld, PROCESSES};
use crate::fault::FaultKind;
use crate::step::StepName;

/// Interval at which the list of VMs is read.
const LIST_EVERY: Duration = Duration::from_secs(5);

/// How a call is delivered. If several faults apply to it, the greatest value wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum CallFate {
    #[default]
    Kept,
    Doubled,
    Crossed,
    Late,
    Lost,
}

impl MemberWorld {
    /// Injects the faults that are due when a call reaches `step`, and returns how it is delivered.
    /// `to` equals `from` if the call goes to the store.
    pub fn pass(&mut self, step: StepName, from: usize, to: usize) -> CallFate {
        if self.now < ARMED_FROM {
            return CallFate::Kept;
        }
        let mut fate = CallFate::Kept;
        for fault in self.plan.pass(step) {
            match fault {
                FaultKind::Lost => fate = CallFate::Lost,
                FaultKind::Late => fate = CallFate::Late,
                FaultKind::Doubled => fate = CallFate::Doubled,
                FaultKind::Crossed => fate = CallFate::Crossed,
                other => self.inflict(other, from, to),
            }
        }
        fate
    }

    fn inflict(&mut self, fault: FaultKind, from: usize, to: usize) {
        let span = self.millis(500, 9_000);
        let until = self.now + span;
        let victim = if self.random.random_bool(0.5) {
            from
        } else {
            to
        };
        match fault {
            FaultKind::Kill => self.end(victim, span),
            FaultKind::Restart => self.end(victim, Duration::from_millis(30)),
            FaultKind::Pause => {
                self.processes[victim].paused_until = until;
                self.processes[victim].touched = true;
                self.put(span, victim, None, Happening::FaultsOver);
            }
            FaultKind::CutTo => self.cut(from, to, span),
            FaultKind::CutFrom => self.cut(to, from, span),
            FaultKind::CutBoth => self.cut_both(from, to, span),
            FaultKind::SlowPeer => {
                self.processes[to].slow_until = until;
                self.processes[to].touched = true;
            }
            FaultKind::StoreDown => {
                self.store.down_until = until;
                self.put(span, from, None, Happening::FaultsOver);
            }
            FaultKind::StoreSlow => self.store.slow_until = until,
            FaultKind::WatchBroken if self.order.seed.is_multiple_of(2) => {
                self.store.hanging = Some(from);
                self.store.hang_until = until + Duration::from_secs(10);
            }
            FaultKind::WatchBroken => {
                self.store.hanging = None;
                self.store.hang_until = until + Duration::from_secs(10);
            }
            FaultKind::VmListWrong => {
                self.wrong_list_until = until + LIST_EVERY;
                self.list_vms();
            }
            _ => {}
        }
    }

    fn end(&mut self, victim: usize, away: Duration) {
        if self.processes[victim].node.is_some() {
            self.kill(victim);
            self.put(away, victim, None, Happening::Start);
        }
    }

    /// Blocks messages to `to`: with equal probability those from `from` only, or from all processes.
    fn cut(&mut self, from: usize, to: usize, span: Duration) {
        let whole = self.random.random_bool(0.5);
        self.touch_cut(from, to, whole, span);
        let until = self.now + span;
        for other in (0..PROCESSES).filter(|other| whole || *other == from) {
            self.blocked.insert((other, to), until);
        }
    }

    /// Blocks messages to and from `to`: with equal probability the link to `from` only, or all links.
    fn cut_both(&mut self, from: usize, to: usize, span: Duration) {
        let whole = self.random.random_bool(0.5);
        self.touch_cut(from, to, whole, span);
        let until = self.now + span;
        for other in (0..PROCESSES).filter(|other| whole || *other == from) {
            self.blocked.insert((other, to), until);
            self.blocked.insert((to, other), until);
        }
    }

    fn touch_cut(&mut self, from: usize, to: usize, whole: bool, span: Duration) {
        self.processes[to].touched = true;
        self.processes[from].touched |= !whole;
        if whole || from == to {
            self.storeless[to] = self.now + span;
        }
        self.put(span, to, None, Happening::FaultsOver);
    }

    /// Delivers the list of VMs, which is read periodically. A wrong list reports some VMs as leaving to the entries,
    /// and names only two entries to the agents.
    pub fn list_vms(&mut self) {
        let wrong = self.wrong_list_until > self.now;
        if !wrong {
            self.put(LIST_EVERY, 0, None, Happening::ListVms);
        } else if self.now + LIST_EVERY >= self.wrong_list_until {
            self.put(LIST_EVERY * 2, 0, None, Happening::ListVms);
        }
        let hint = |index: usize| VmHint {
            contact: self.processes[index].contact.clone(),
            entry: index < ENTRIES,
            leaving: wrong && index.is_multiple_of(3),
        };
        let hints: Vec<VmHint> = (0..PROCESSES).map(hint).collect();
        for entry in (0..ENTRIES)
            .filter(|entry| self.is_awake(*entry))
            .collect::<Vec<_>>()
        {
            self.tell_entry(entry, EntryEvent::Hints(hints.clone()));
        }
        let named = if wrong { 2 } else { ENTRIES };
        let named: Vec<_> = (0..named)
            .map(|entry| self.processes[entry].contact.clone())
            .collect();
        for agent in (ENTRIES..PROCESSES)
            .filter(|agent| self.is_awake(*agent))
            .collect::<Vec<_>>()
        {
            self.tell_agent(agent, AgentEvent::Hints(named.clone()));
        }
    }

    fn is_awake(&self, index: usize) -> bool {
        let process = &self.processes[index];
        process.node.is_some() && process.paused_until <= self.now
    }

    pub fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.random.random_range(least..most))
    }
}
