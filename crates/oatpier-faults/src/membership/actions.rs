//! Executes the actions of the member state machines, and delivers their calls.

use std::time::Duration;

use oatpier_membership::agent::{AgentAction, AgentEvent};
use oatpier_membership::entry::{CallNumber, EntryAction, EntryEvent};
use oatpier_membership::generation::{ConfigPayload, HeldConfig};
use oatpier_membership::messages::{EntryContact, PeerCall};
use oatpier_membership::spread::{CALL_TIMEOUT, StoreReply};
use oatpier_types::config::FleetConfig;
use oatpier_types::event::FleetEvent;
use oatpier_types::ids::Generation;
use smallvec::SmallVec;

use super::inject::MessageDelivery;
use super::simulation::{
    Answer, Call, ENTRIES, INJECTION_START, LATE_STARTERS, MemberNode, MemberSimulation, PROCESSES,
    SimEvent,
};
use super::store::WaitingWatch;
use crate::run::Bypass;
use crate::step::StepName;

impl MemberSimulation {
    pub fn take(&mut self, to: usize, event: SimEvent) {
        match event {
            SimEvent::Wake => self.wake(to),
            SimEvent::Store(reply) => self.step_entry(to, EntryEvent::StoreEnded(*reply)),
            SimEvent::End { call, answer } => self.end_call(to, call, answer),
            SimEvent::StalePush(stored) => self.deliver_stale_push(to, &stored),
            SimEvent::Deliver {
                from,
                from_boot,
                call,
                body,
            } => self.deliver(to, from, from_boot, call, *body),
            _ => {}
        }
    }

    fn wake(&mut self, index: usize) {
        if index < ENTRIES {
            self.step_entry(index, EntryEvent::Tick);
        } else {
            self.step_agent(index, AgentEvent::Tick);
        }
    }

    fn end_call(&mut self, index: usize, call: CallNumber, answer: Option<Box<Answer>>) {
        if index < ENTRIES {
            self.step_entry(index, EntryEvent::CallEnded { call, answer });
        } else {
            self.step_agent(index, AgentEvent::CallEnded { call, answer });
        }
    }

    pub fn deliver(&mut self, index: usize, from: usize, boot: u64, call: CallNumber, body: Call) {
        let local = self.local(index);
        let answer = match &mut self.processes[index].node {
            Some(MemberNode::Entry(entry)) => {
                let (answer, actions) = entry.answer(body, local);
                self.execute_entry_actions(index, actions);
                answer
            }
            Some(MemberNode::Agent(agent)) => {
                let (answer, actions) = agent.answer(body, local);
                self.execute_agent_actions(index, actions);
                answer
            }
            None => return,
        };
        self.check_generation(index);
        self.schedule(index);
        if !self.is_blocked(index, from) {
            let latency = self.latency(index, from);
            let answer = Some(Box::new(answer));
            self.put(latency, from, Some(boot), SimEvent::End { call, answer });
        }
    }

    fn is_blocked(&self, from: usize, to: usize) -> bool {
        self.blocked
            .get(&(from, to))
            .is_some_and(|until| *until > self.now)
    }

    fn latency(&mut self, from: usize, to: usize) -> Duration {
        let slow = [from, to]
            .iter()
            .any(|index| self.processes[*index].slow_until > self.now);
        if slow {
            return self.random_millis(30, 700);
        }
        if from % 2 == to % 2 {
            Duration::from_micros(700)
        } else {
            Duration::from_micros(1_700)
        }
    }

    fn send(&mut self, from: usize, to: &EntryContact, call: CallNumber, body: Call) {
        let boot = self.processes[from].boot;
        let end = SimEvent::End { call, answer: None };
        self.put(CALL_TIMEOUT, from, Some(boot), end);
        let target =
            (0..PROCESSES).find(|index| self.processes[*index].contact.daemon == to.daemon);
        let Some(target) = target else {
            return;
        };
        let mut delivery = MessageDelivery::Normal;
        for step in self.steps_of(from, target, &body) {
            delivery = delivery.max(self.inject_at(step, from, target));
        }
        if delivery == MessageDelivery::Dropped || self.is_blocked(from, target) {
            return;
        }
        let mut latency = self.latency(from, target);
        if delivery == MessageDelivery::Delayed {
            latency += self.random_millis(100, 5_000);
        }
        let deliver = SimEvent::Deliver {
            from,
            from_boot: boot,
            call,
            body: Box::new(body),
        };
        if delivery == MessageDelivery::Duplicated {
            let duplicate_delay = self.random_millis(1, 5_000);
            self.put(latency + duplicate_delay, target, None, deliver.clone());
        }
        if delivery == MessageDelivery::Misrouted {
            // Another process has taken over the address: it receives the call and answers it.
            let other = (target + 2) % PROCESSES;
            return self.put(latency, other, None, deliver);
        }
        self.put(latency, target, None, deliver);
    }

    /// Returns the steps that a call is part of.
    fn steps_of(&mut self, from: usize, to: usize, body: &Call) -> SmallVec<[StepName; 2]> {
        let late = LATE_STARTERS.contains(&from) && self.now >= INJECTION_START;
        let mut steps = SmallVec::new();
        match body {
            PeerCall::Heartbeat(_) => {
                steps.push(StepName::Heartbeat);
                let early = self.now < INJECTION_START;
                let known_before = &mut self.processes[from].known_before;
                let is_new = !known_before.contains(&to);
                if early && is_new {
                    known_before.push(to);
                }
                if late {
                    steps.push(StepName::StartRegister);
                } else if is_new && !early {
                    steps.push(StepName::Successor);
                }
            }
            PeerCall::Gossip(_) => {
                steps.push(StepName::Delta);
                if late {
                    steps.push(StepName::StartRegister);
                }
            }
            PeerCall::Summary(_) => steps.push(StepName::Summary),
            PeerCall::Pull(_) | PeerCall::Push(_) => {
                let agent = from >= ENTRIES || to >= ENTRIES;
                steps.push(if agent {
                    StepName::ConfigInForce
                } else {
                    StepName::ConfigSpread
                });
                if late || LATE_STARTERS.contains(&to) {
                    steps.push(StepName::StartConfig);
                }
            }
        }
        steps
    }

    pub fn execute_entry_actions(&mut self, index: usize, actions: Vec<EntryAction<FleetConfig>>) {
        for action in actions {
            if self.processes[index].node.is_none() {
                return;
            }
            match action {
                EntryAction::Call { call, to, body } => self.send(index, &to, call, body),
                EntryAction::ReadConfig => self.read_config(index),
                EntryAction::WatchConfig { after, wait } => {
                    self.inject_at(StepName::ConfigWatch, index, index);
                    let watch = WaitingWatch {
                        process: index,
                        boot: self.processes[index].boot,
                        after,
                        until: self.now + wait,
                    };
                    let reply = if self.store_cut_until[index] > self.now {
                        Some(StoreReply::Failed)
                    } else {
                        self.store.watch(watch, self.now)
                    };
                    if let Some(reply) = reply {
                        self.end_store(index, reply);
                    }
                }
                EntryAction::InForce(held) => self.in_force(index, &held),
                EntryAction::Changed(change) => {
                    self.check_gone(index, &change);
                }
                EntryAction::Stop(_) => {}
            }
        }
    }

    fn read_config(&mut self, index: usize) {
        if LATE_STARTERS.contains(&index) {
            self.inject_at(StepName::StartConfig, index, index);
        }
        let reply = if self.store_cut_until[index] > self.now {
            StoreReply::Failed
        } else {
            self.store.read(self.now)
        };
        self.end_store(index, reply);
    }

    pub fn execute_agent_actions(&mut self, index: usize, actions: Vec<AgentAction<FleetConfig>>) {
        for action in actions {
            if self.processes[index].node.is_none() {
                return;
            }
            match action {
                AgentAction::Call { call, to, body } => self.send(index, &to, call, body),
                AgentAction::InForce(held) => self.in_force(index, &held),
                AgentAction::Stop(_) | AgentAction::RegistrarLost(_) => {}
            }
        }
    }

    fn in_force(&mut self, index: usize, held: &HeldConfig<FleetConfig>) {
        let daemon = self.processes[index].contact.daemon.clone();
        let content = ConfigPayload::digest(&*held.value);
        let generation = held.generation;
        self.record_generation(index, generation);
        self.log_event(FleetEvent::ConfigInForce {
            daemon: daemon.clone(),
            generation,
            content,
        });
        if self.run_spec.bypasses(Bypass::Generation) && generation > Generation(1) {
            // Simulates that a delayed older configuration is applied.
            self.log_event(FleetEvent::ConfigInForce {
                daemon,
                generation: Generation(1),
                content,
            });
        }
    }

    fn end_store(&mut self, index: usize, reply: StoreReply<FleetConfig>) {
        let latency = if self.store.slow_until > self.now {
            self.random_millis(100, 900)
        } else {
            Duration::from_millis(2)
        };
        let boot = Some(self.processes[index].boot);
        self.put(latency, index, boot, SimEvent::Store(Box::new(reply)));
    }

    /// Answers the waiting watches with the new configuration.
    pub fn notify_watches(&mut self) {
        let Some(stored) = self.store.stored.clone() else {
            return;
        };
        for watch in std::mem::take(&mut self.store.watches) {
            if self.store.has_hung_watch(watch.process, self.now) {
                continue;
            }
            let delivery = self.inject_at(StepName::ConfigWatch, watch.process, watch.process);
            if delivery == MessageDelivery::Dropped
                || self.store_cut_until[watch.process] > self.now
            {
                // Its connection is lost without notice: the watch ends by its own timeout.
                continue;
            }
            self.answer_watch(&watch, StoreReply::Value(stored.clone()), delivery);
        }
    }

    fn answer_watch(
        &mut self,
        watch: &WaitingWatch,
        reply: StoreReply<FleetConfig>,
        delivery: MessageDelivery,
    ) {
        if self.processes[watch.process].boot != watch.boot {
            return;
        }
        let delay = if delivery == MessageDelivery::Delayed {
            self.random_millis(500, 6_000)
        } else {
            Duration::from_millis(2)
        };
        let boot = Some(watch.boot);
        let event = SimEvent::Store(Box::new(reply));
        if delivery == MessageDelivery::Duplicated {
            let duplicate_delay = self.random_millis(10, 3_000);
            self.put(delay + duplicate_delay, watch.process, boot, event.clone());
        }
        self.put(delay, watch.process, boot, event);
    }

    /// Ends the watches whose timeout has passed, or all of them if the store is down.
    pub fn end_watches(&mut self) {
        let now = self.now;
        let down = self.store.down_until > now;
        let ended = |watch: &WaitingWatch| down || watch.until <= now;
        let (over, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.store.watches)
            .into_iter()
            .partition(ended);
        self.store.watches = waiting;
        for watch in over {
            if self.store.has_hung_watch(watch.process, now) {
                continue;
            }
            let reply = if down {
                StoreReply::Failed
            } else {
                StoreReply::Unchanged
            };
            self.answer_watch(&watch, reply, MessageDelivery::Normal);
        }
    }
}
