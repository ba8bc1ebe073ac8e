//! Injects faults into registration and configuration propagation.

use std::time::Duration;

use oatpier_membership::agent::AgentEvent;
use oatpier_membership::entry::EntryEvent;
use oatpier_membership::members::VmHint;
use rand::RngExt;

use super::simulation::{ENTRIES, INJECTION_START, MemberSimulation, PROCESSES, SimEvent};
use crate::fault::FaultKind;
use crate::step::StepName;

/// Interval at which the list of VMs is read.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// How a call is delivered. If several faults apply to it, the greatest value wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum MessageDelivery {
    #[default]
    Normal,
    Duplicated,
    Misrouted,
    Delayed,
    Dropped,
}

impl MemberSimulation {
    /// Injects the faults that are due when a call reaches `step`, and returns how it is delivered.
    /// `to` equals `from` if the call goes to the store.
    pub fn inject_at(&mut self, step: StepName, from: usize, to: usize) -> MessageDelivery {
        if self.now < INJECTION_START {
            return MessageDelivery::Normal;
        }
        let mut delivery = MessageDelivery::Normal;
        for fault in self.plan.take_due(step) {
            match fault {
                FaultKind::Lost => delivery = MessageDelivery::Dropped,
                FaultKind::Late => delivery = MessageDelivery::Delayed,
                FaultKind::Doubled => delivery = MessageDelivery::Duplicated,
                FaultKind::Crossed => delivery = MessageDelivery::Misrouted,
                other => self.inject(other, from, to),
            }
        }
        delivery
    }

    fn inject(&mut self, fault: FaultKind, from: usize, to: usize) {
        let duration = self.random_millis(500, 9_000);
        let until = self.now + duration;
        let victim = if self.random.random_bool(0.5) {
            from
        } else {
            to
        };
        match fault {
            FaultKind::Kill => self.end(victim, duration),
            FaultKind::Restart => self.end(victim, Duration::from_millis(30)),
            FaultKind::Pause => {
                self.processes[victim].paused_until = until;
                self.processes[victim].is_affected = true;
                self.put(duration, victim, None, SimEvent::FaultsOver);
            }
            FaultKind::CutTo => self.cut(from, to, duration),
            FaultKind::CutFrom => self.cut(to, from, duration),
            FaultKind::CutBoth => self.cut_both(from, to, duration),
            FaultKind::SlowPeer => {
                self.processes[to].slow_until = until;
                self.processes[to].is_affected = true;
            }
            FaultKind::StoreDown => {
                self.store.down_until = until;
                self.put(duration, from, None, SimEvent::FaultsOver);
            }
            FaultKind::StoreSlow => self.store.slow_until = until,
            FaultKind::WatchBroken if self.run_spec.seed.is_multiple_of(2) => {
                self.store.hung_process = Some(from);
                self.store.hung_until = until + Duration::from_secs(10);
            }
            FaultKind::WatchBroken => {
                self.store.hung_process = None;
                self.store.hung_until = until + Duration::from_secs(10);
            }
            FaultKind::VmListWrong => {
                self.wrong_list_until = until + VM_LIST_INTERVAL;
                self.list_vms();
            }
            _ => {}
        }
    }

    fn end(&mut self, victim: usize, downtime: Duration) {
        if self.processes[victim].node.is_some() {
            self.kill(victim);
            self.put(downtime, victim, None, SimEvent::Start);
        }
    }

    /// Blocks messages to `to`: with equal probability those from `from` only, or from all processes.
    fn cut(&mut self, from: usize, to: usize, duration: Duration) {
        let all_links = self.random.random_bool(0.5);
        self.mark_cut(from, to, all_links, duration);
        let until = self.now + duration;
        for other in (0..PROCESSES).filter(|other| all_links || *other == from) {
            self.blocked.insert((other, to), until);
        }
    }

    /// Blocks messages to and from `to`: with equal probability the link to `from` only, or all links.
    fn cut_both(&mut self, from: usize, to: usize, duration: Duration) {
        let all_links = self.random.random_bool(0.5);
        self.mark_cut(from, to, all_links, duration);
        let until = self.now + duration;
        for other in (0..PROCESSES).filter(|other| all_links || *other == from) {
            self.blocked.insert((other, to), until);
            self.blocked.insert((to, other), until);
        }
    }

    fn mark_cut(&mut self, from: usize, to: usize, all_links: bool, duration: Duration) {
        self.processes[to].is_affected = true;
        self.processes[from].is_affected |= !all_links;
        if all_links || from == to {
            self.store_cut_until[to] = self.now + duration;
        }
        self.put(duration, to, None, SimEvent::FaultsOver);
    }

    /// Delivers the list of VMs, which is read periodically. A wrong list reports some VMs as leaving to the entries,
    /// and names only two entries to the agents.
    pub fn list_vms(&mut self) {
        let wrong = self.wrong_list_until > self.now;
        if !wrong {
            self.put(VM_LIST_INTERVAL, 0, None, SimEvent::ListVms);
        } else if self.now + VM_LIST_INTERVAL >= self.wrong_list_until {
            self.put(VM_LIST_INTERVAL * 2, 0, None, SimEvent::ListVms);
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
            self.step_entry(entry, EntryEvent::Hints(hints.clone()));
        }
        let named = if wrong { 2 } else { ENTRIES };
        let named: Vec<_> = (0..named)
            .map(|entry| self.processes[entry].contact.clone())
            .collect();
        for agent in (ENTRIES..PROCESSES)
            .filter(|agent| self.is_awake(*agent))
            .collect::<Vec<_>>()
        {
            self.step_agent(agent, AgentEvent::Hints(named.clone()));
        }
    }

    fn is_awake(&self, index: usize) -> bool {
        let process = &self.processes[index];
        process.node.is_some() && process.paused_until <= self.now
    }

    pub fn random_millis(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.random.random_range(min..max))
    }
}
