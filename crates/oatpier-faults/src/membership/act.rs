//! What the member machines ask for, and how calls travel.

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

use super::inflict::CallFate;
use super::store::WaitingWatch;
use super::world::{
    ARMED_FROM, Answer, Call, ENTRIES, Happening, LATE, MemberNode, MemberWorld, PROCESSES,
};
use crate::run::Bypass;
use crate::step::StepName;

impl MemberWorld {
    pub fn take(&mut self, to: usize, what: Happening) {
        match what {
            Happening::Wake => self.wake(to),
            Happening::Store(reply) => self.tell_entry(to, EntryEvent::StoreEnded(*reply)),
            Happening::End { call, answer } => self.end_call(to, call, answer),
            Happening::Lagging(stored) => self.take_lagging(to, &stored),
            Happening::Deliver {
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
            self.tell_entry(index, EntryEvent::Tick);
        } else {
            self.tell_agent(index, AgentEvent::Tick);
        }
    }

    fn end_call(&mut self, index: usize, call: CallNumber, answer: Option<Box<Answer>>) {
        if index < ENTRIES {
            self.tell_entry(index, EntryEvent::CallEnded { call, answer });
        } else {
            self.tell_agent(index, AgentEvent::CallEnded { call, answer });
        }
    }

    pub fn deliver(&mut self, index: usize, from: usize, boot: u64, call: CallNumber, body: Call) {
        let local = self.local(index);
        let answer = match &mut self.processes[index].node {
            Some(MemberNode::Entry(entry)) => {
                let (answer, actions) = entry.answer(body, local);
                self.act_entry(index, actions);
                answer
            }
            Some(MemberNode::Agent(agent)) => {
                let (answer, actions) = agent.answer(body, local);
                self.act_agent(index, actions);
                answer
            }
            None => return,
        };
        self.watch_generation(index);
        self.schedule(index);
        if !self.is_blocked(index, from) {
            let takes = self.takes(index, from);
            let answer = Some(Box::new(answer));
            self.put(takes, from, Some(boot), Happening::End { call, answer });
        }
    }

    fn is_blocked(&self, from: usize, to: usize) -> bool {
        self.blocked
            .get(&(from, to))
            .is_some_and(|until| *until > self.now)
    }

    fn takes(&mut self, from: usize, to: usize) -> Duration {
        let slow = [from, to]
            .iter()
            .any(|index| self.processes[*index].slow_until > self.now);
        if slow {
            return self.millis(30, 700);
        }
        if from % 2 == to % 2 {
            Duration::from_micros(700)
        } else {
            Duration::from_micros(1_700)
        }
    }

    fn send(&mut self, from: usize, to: &EntryContact, call: CallNumber, body: Call) {
        let boot = self.processes[from].boot;
        let end = Happening::End { call, answer: None };
        self.put(CALL_TIMEOUT, from, Some(boot), end);
        let target =
            (0..PROCESSES).find(|index| self.processes[*index].contact.daemon == to.daemon);
        let Some(target) = target else {
            return;
        };
        let mut fate = CallFate::Kept;
        for step in self.steps_of(from, target, &body) {
            fate = fate.max(self.pass(step, from, target));
        }
        if fate == CallFate::Lost || self.is_blocked(from, target) {
            return;
        }
        let mut takes = self.takes(from, target);
        if fate == CallFate::Late {
            takes += self.millis(100, 5_000);
        }
        let deliver = Happening::Deliver {
            from,
            from_boot: boot,
            call,
            body: Box::new(body),
        };
        if fate == CallFate::Doubled {
            let again = self.millis(1, 5_000);
            self.put(takes + again, target, None, deliver.clone());
        }
        if fate == CallFate::Crossed {
            // Another process has taken the address over: it gets the call, and answers.
            let other = (target + 2) % PROCESSES;
            return self.put(takes, other, None, deliver);
        }
        self.put(takes, target, None, deliver);
    }

    /// The steps that a call passes.
    fn steps_of(&mut self, from: usize, to: usize, body: &Call) -> SmallVec<[StepName; 2]> {
        let late = LATE.contains(&from) && self.now >= ARMED_FROM;
        let mut steps = SmallVec::new();
        match body {
            PeerCall::Heartbeat(_) => {
                steps.push(StepName::Heartbeat);
                let early = self.now < ARMED_FROM;
                let known = &mut self.processes[from].known;
                let is_new = !known.contains(&to);
                if early && is_new {
                    known.push(to);
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
                if late || LATE.contains(&to) {
                    steps.push(StepName::StartConfig);
                }
            }
        }
        steps
    }

    pub fn act_entry(&mut self, index: usize, actions: Vec<EntryAction<FleetConfig>>) {
        for action in actions {
            if self.processes[index].node.is_none() {
                return;
            }
            match action {
                EntryAction::Call { call, to, body } => self.send(index, &to, call, body),
                EntryAction::ReadConfig => self.read_config(index),
                EntryAction::WatchConfig { after, wait } => {
                    self.pass(StepName::ConfigWatch, index, index);
                    let watch = WaitingWatch {
                        process: index,
                        boot: self.processes[index].boot,
                        after,
                        until: self.now + wait,
                    };
                    let reply = if self.storeless[index] > self.now {
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
                    self.watch_gone(index, &change);
                }
                EntryAction::Stop(_) => {}
            }
        }
    }

    fn read_config(&mut self, index: usize) {
        if LATE.contains(&index) {
            self.pass(StepName::StartConfig, index, index);
        }
        let reply = if self.storeless[index] > self.now {
            StoreReply::Failed
        } else {
            self.store.read(self.now)
        };
        self.end_store(index, reply);
    }

    pub fn act_agent(&mut self, index: usize, actions: Vec<AgentAction<FleetConfig>>) {
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
        self.see_generation(index, generation);
        self.note(FleetEvent::ConfigInForce {
            daemon: daemon.clone(),
            generation,
            content,
        });
        if self.order.omits(Bypass::Generation) && generation > Generation(1) {
            // As if an older one that came late were taken over.
            self.note(FleetEvent::ConfigInForce {
                daemon,
                generation: Generation(1),
                content,
            });
        }
    }

    fn end_store(&mut self, index: usize, reply: StoreReply<FleetConfig>) {
        let takes = if self.store.slow_until > self.now {
            self.millis(100, 900)
        } else {
            Duration::from_millis(2)
        };
        let boot = Some(self.processes[index].boot);
        self.put(takes, index, boot, Happening::Store(Box::new(reply)));
    }

    /// A change answers the watches.
    pub fn tell_watches(&mut self) {
        let Some(stored) = self.store.stored.clone() else {
            return;
        };
        for watch in std::mem::take(&mut self.store.watches) {
            if self.store.hangs(watch.process, self.now) {
                continue;
            }
            let fate = self.pass(StepName::ConfigWatch, watch.process, watch.process);
            if fate == CallFate::Lost || self.storeless[watch.process] > self.now {
                // Its connection broke without a word: it ends by its own time.
                continue;
            }
            self.answer_watch(&watch, StoreReply::Value(stored.clone()), fate);
        }
    }

    fn answer_watch(
        &mut self,
        watch: &WaitingWatch,
        reply: StoreReply<FleetConfig>,
        fate: CallFate,
    ) {
        if self.processes[watch.process].boot != watch.boot {
            return;
        }
        let late = if fate == CallFate::Late {
            self.millis(500, 6_000)
        } else {
            Duration::from_millis(2)
        };
        let boot = Some(watch.boot);
        let happening = Happening::Store(Box::new(reply));
        if fate == CallFate::Doubled {
            let again = self.millis(10, 3_000);
            self.put(late + again, watch.process, boot, happening.clone());
        }
        self.put(late, watch.process, boot, happening);
    }

    /// Watches end by their own time, or fail with the store.
    pub fn end_watches(&mut self) {
        let now = self.now;
        let down = self.store.down_until > now;
        let ended = |watch: &WaitingWatch| down || watch.until <= now;
        let (over, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.store.watches)
            .into_iter()
            .partition(ended);
        self.store.watches = waiting;
        for watch in over {
            if self.store.hangs(watch.process, now) {
                continue;
            }
            let reply = if down {
                StoreReply::Failed
            } else {
                StoreReply::Unchanged
            };
            self.answer_watch(&watch, reply, CallFate::Kept);
        }
    }
}
