//! The agent's side of heartbeats: their targets, times and contents.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::DaemonName;
use oatpier_types::status::{EndpointStatus, QueueReport};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::choose::{AvoidList, REGISTRARS, choose_registrars, entries_digest};
use crate::backoff::jittered;
use crate::members::MemberPhase;
use crate::messages::{AgentHeartbeat, EntryContact, FormerBoot, HeartbeatAnswer, HeartbeatBody};
use crate::stops::StopRequest;

/// The longest interval between two heartbeats; the average is one second. Heartbeats go to the
/// registrars in turn.
pub const HEARTBEAT_EVERY: Duration = Duration::from_millis(1_300);

/// Delay before a lost heartbeat is sent again.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// How long to wait for an answer before a heartbeat counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// The number of heartbeats lost in a row after which another entry replaces the registrar. With a
/// tenth of messages lost, a lower limit would replace registrars all the time.
const LOST_IN_ROW: u32 = 6;

/// An entry that this agent no longer uses as a registrar, as it did not answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistrarLost {
    /// The entry.
    pub daemon: DaemonName,
}

/// An action that a [`HeartbeatKeeper`] requests.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatAction {
    /// Send a heartbeat.
    Send {
        /// The registrar.
        to: EntryContact,
        /// The heartbeat.
        heartbeat: Box<AgentHeartbeat>,
    },
    /// A registrar did not answer and was replaced.
    Lost(RegistrarLost),
    /// A registrar knows an earlier boot of this agent.
    Former(FormerBoot),
    /// A registrar reported the generation that is in force at it.
    GenerationSeen {
        /// The registrar.
        from: EntryContact,
        /// Its generation.
        generation: Generation,
    },
    /// A planned stop of this agent was requested or withdrawn.
    Stop(StopRequest),
}

#[derive(Debug, Clone)]
struct RegistrarSlot {
    contact: EntryContact,
    lost: u32,
    acked: Option<FactsOrder>,
    sent: Option<(ClockTime, FactsOrder)>,
}

type FactsOrder = (u64, MemberPhase, u64);

/// Sends an agent's heartbeats.
#[derive(Debug, Clone)]
pub struct HeartbeatKeeper {
    own: EntryContact,
    boot: BootId,
    incarnation: u64,
    phase: MemberPhase,
    status: EndpointStatus,
    entries: IndexMap<DaemonName, EntryContact>,
    known_digest: u64,
    avoided: AvoidList,
    slots: SmallVec<[RegistrarSlot; REGISTRARS]>,
    next_slot: usize,
    next_send: ClockTime,
    generator: ChaCha8Rng,
}

impl HeartbeatKeeper {
    /// Creates the keeper of a starting agent. The entries that the agent knows, from its settings,
    /// from the list of VMs, or both, are added with [`Self::add_entries`].
    #[must_use]
    pub fn new(
        own: EntryContact,
        boot: BootId,
        status: EndpointStatus,
        mut generator: ChaCha8Rng,
        now: ClockTime,
    ) -> Self {
        Self {
            own,
            boot,
            incarnation: 0,
            phase: MemberPhase::Serving,
            status,
            entries: IndexMap::new(),
            known_digest: 0,
            avoided: AvoidList::default(),
            slots: SmallVec::new(),
            next_slot: 0,
            next_send: now + jittered(RETRY_AFTER, &mut generator),
            generator,
        }
    }

    /// Returns the agent's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the agent's registrars in order of rank.
    pub fn registrars(&self) -> impl Iterator<Item = &EntryContact> {
        self.slots.iter().map(|slot| &slot.contact)
    }

    /// Returns all entries that the agent knows.
    pub fn entries(&self) -> impl Iterator<Item = &EntryContact> {
        self.entries.values()
    }

    /// Returns when a tick has something to do.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        self.next_send
    }

    /// Adds entries that may be used as registrars.
    pub fn add_entries(
        &mut self,
        contacts: impl IntoIterator<Item = EntryContact>,
        now: ClockTime,
    ) {
        for contact in contacts {
            self.entries.insert(contact.daemon.clone(), contact);
        }
        self.choose_slots(now);
    }

    /// Sets the state of the queue, which is sent with the next heartbeat.
    pub fn set_queue_report(&mut self, report: QueueReport) {
        self.status.queue = report;
    }

    /// Sets the full status. A change of what is ready is sent at once.
    pub fn set_status(&mut self, status: EndpointStatus, now: ClockTime) {
        if status.ready_sequence != self.status.ready_sequence {
            self.next_send = now;
        }
        self.status = status;
    }

    /// Sets the phase and sends it at once. Returning to an earlier phase needs a new incarnation,
    /// as the phase only advances within one.
    pub fn set_phase(&mut self, phase: MemberPhase, now: ClockTime) {
        if phase < self.phase {
            self.incarnation += 1;
        }
        self.phase = phase;
        self.next_send = now;
    }

    /// Whether every registrar has acknowledged the current phase and status.
    #[must_use]
    pub fn is_acknowledged(&self) -> bool {
        let order = self.order();
        !self.slots.is_empty() && self.slots.iter().all(|slot| slot.acked == Some(order))
    }

    /// Sends the heartbeats that are due.
    pub fn tick(&mut self, generation: Generation, now: ClockTime) -> Vec<HeartbeatAction> {
        let mut actions = Vec::new();
        self.check_lost(now, &mut actions);
        if now < self.next_send {
            return actions;
        }
        self.choose_slots(now);
        self.next_send = now + jittered(HEARTBEAT_EVERY, &mut self.generator);
        let order = self.order();
        let next_slot = self.next_slot;
        self.next_slot = (next_slot + 1) % REGISTRARS;
        for index in 0..self.slots.len() {
            let slot = &self.slots[index];
            let is_urgent = slot.acked != Some(order) || slot.lost > 0;
            let is_due = is_urgent || index == next_slot || self.slots.len() == 1;
            if is_due && slot.sent.is_none() {
                actions.push(self.build_heartbeat(index, generation, now));
            }
        }
        self.wake_for_answers(now);
        actions
    }

    /// Handles a registrar's answer.
    pub fn handle_answer(
        &mut self,
        from: &DaemonName,
        answer: &HeartbeatAnswer,
        now: ClockTime,
    ) -> Vec<HeartbeatAction> {
        let mut actions = Vec::new();
        if let Some(former) = answer.former {
            self.apply_former(former, now);
            actions.push(HeartbeatAction::Former(former));
        }
        self.acknowledge(from, answer, now, &mut actions);
        if let Some(entries) = &answer.entries {
            self.replace_entries(entries, now);
        }
        actions.extend(answer.stop.map(HeartbeatAction::Stop));
        actions
    }

    /// Handles a heartbeat that got no answer.
    pub fn handle_loss(&mut self, to: &DaemonName, now: ClockTime) -> Vec<HeartbeatAction> {
        let slots = &mut self.slots;
        let Some(slot) = slots.iter_mut().find(|slot| slot.contact.daemon == *to) else {
            return Vec::new();
        };
        if slot.sent.take().is_none() {
            return Vec::new();
        }
        slot.lost += 1;
        self.next_send = self
            .next_send
            .min(now + jittered(RETRY_AFTER, &mut self.generator));
        if slot.lost < LOST_IN_ROW {
            return Vec::new();
        }
        self.avoided.avoid(to, &mut self.generator, now);
        self.choose_slots(now);
        vec![HeartbeatAction::Lost(RegistrarLost { daemon: to.clone() })]
    }

    fn order(&self) -> FactsOrder {
        (self.incarnation, self.phase, self.status.ready_sequence)
    }

    fn check_lost(&mut self, now: ClockTime, actions: &mut Vec<HeartbeatAction>) {
        let overdue = self.slots.iter().filter(|slot| {
            slot.sent
                .is_some_and(|(sent, _)| now.since(sent) >= ANSWER_TIMEOUT)
        });
        let overdue: Vec<DaemonName> = overdue.map(|slot| slot.contact.daemon.clone()).collect();
        for daemon in overdue {
            actions.extend(self.handle_loss(&daemon, now));
        }
    }

    fn wake_for_answers(&mut self, now: ClockTime) {
        let is_waiting = self.slots.iter().any(|slot| slot.sent.is_some());
        if is_waiting {
            self.next_send = self.next_send.min(now + ANSWER_TIMEOUT);
        }
    }

    fn build_heartbeat(
        &mut self,
        index: usize,
        generation: Generation,
        now: ClockTime,
    ) -> HeartbeatAction {
        let order = self.order();
        let slot = &mut self.slots[index];
        slot.sent = Some((now, order));
        let body = if slot.acked == Some(order) {
            HeartbeatBody::QueueReport {
                ready_sequence: self.status.ready_sequence,
                report: self.status.queue,
            }
        } else {
            HeartbeatBody::Full(Box::new(EndpointStatus {
                generation,
                ..self.status.clone()
            }))
        };
        HeartbeatAction::Send {
            to: slot.contact.clone(),
            heartbeat: Box::new(AgentHeartbeat {
                daemon: self.own.daemon.clone(),
                zone: self.own.zone.clone(),
                address: self.own.address,
                boot: self.boot,
                incarnation: self.incarnation,
                phase: self.phase,
                generation,
                entries_digest: self.known_digest,
                body,
            }),
        }
    }

    /// Handles an answer that names another boot: takes a higher incarnation and sends the full
    /// status again.
    fn apply_former(&mut self, former: FormerBoot, now: ClockTime) {
        self.incarnation = self.incarnation.max(former.incarnation + 1);
        self.next_send = now;
    }

    fn acknowledge(
        &mut self,
        from: &DaemonName,
        answer: &HeartbeatAnswer,
        now: ClockTime,
        actions: &mut Vec<HeartbeatAction>,
    ) {
        let slots = &mut self.slots;
        let Some(slot) = slots.iter_mut().find(|slot| slot.contact.daemon == *from) else {
            return;
        };
        actions.push(HeartbeatAction::GenerationSeen {
            from: slot.contact.clone(),
            generation: answer.generation,
        });
        let sent = slot.sent.take().map(|(_, order)| order);
        slot.lost = 0;
        slot.acked = if answer.need_full { None } else { sent };
        if answer.need_full {
            self.next_send = now;
        }
        self.avoided.forget(from);
    }

    /// Replaces the known entries by the registrar's list, which includes the registrar itself.
    fn replace_entries(&mut self, entries: &[EntryContact], now: ClockTime) {
        if entries.is_empty() {
            return;
        }
        self.entries = entries
            .iter()
            .map(|contact| (contact.daemon.clone(), contact.clone()))
            .collect();
        self.choose_slots(now);
    }

    fn choose_slots(&mut self, now: ClockTime) {
        self.known_digest = entries_digest(self.entries.values());
        let usable = self.entries.values();
        let usable = usable.filter(|contact| !self.avoided.avoids(&contact.daemon, now));
        let usable: Vec<&EntryContact> = usable.collect();
        // If every entry is avoided, use any rather than none.
        let all: Vec<&EntryContact> = self.entries.values().collect();
        let from = if usable.is_empty() { all } else { usable };
        let chosen = choose_registrars(&self.own.daemon, &self.own.zone, from);
        let slots = chosen.into_iter().map(|contact| self.slot_for(contact));
        self.slots = slots.collect();
    }

    fn slot_for(&self, contact: &EntryContact) -> RegistrarSlot {
        let known = self.slots.iter().find(|slot| slot.contact == *contact);
        known.cloned().unwrap_or_else(|| RegistrarSlot {
            contact: contact.clone(),
            lost: 0,
            acked: None,
            sent: None,
        })
    }
}
