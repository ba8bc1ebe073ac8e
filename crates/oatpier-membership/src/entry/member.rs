//! The state machine of an entry.

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Generation};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

use super::{CallNumber, EntryAction, EntryEvent};
use crate::exchange::{EntryExchange, ExchangeScope, SummaryExchange};
use crate::generation::{ConfigPayload, HeldConfig};
use crate::members::{MemberFacts, MemberPhase, MemberTable, TableLimits, VmHint};
use crate::messages::{
    AgentHeartbeat, ConfigPull, EntryContact, EntryGossip, FormerBoot, HeartbeatAnswer, NamedStop,
    PeerAnswer, PeerCall, SummaryAnswer, SummaryCall,
};
use crate::registrar::{RegistrarTable, entries_digest};
use crate::spread::{ConfigSpreader, SpreadEvent, SpreadPeers};
use crate::stops::{StopRegistry, StopRequest};
use crate::summary::SummaryTable;

/// The interval between two checks for silent agents.
const CHECK_EVERY: Duration = Duration::from_millis(500);

/// A gap between two checks that shows that this process was paused.
const PAUSED_AFTER: Duration = Duration::from_secs(3);

/// The state of an entry in configuration and membership.
#[derive(Debug, Clone)]
pub struct EntryMember<P: ConfigPayload> {
    own: EntryContact,
    pub(super) table: MemberTable,
    pub(super) registrar: RegistrarTable,
    pub(super) exchange: EntryExchange,
    pub(super) summaries: SummaryExchange,
    pub(super) zone_summaries: SummaryTable,
    pub(super) stops: StopRegistry,
    own_stop: Option<StopRequest>,
    pub(super) spreader: ConfigSpreader<P>,
    pub(super) calls: IndexMap<CallNumber, (EntryContact, CallPurpose)>,
    pub(super) next_call: u64,
    last_check: ClockTime,
    refreshed_mark: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallPurpose {
    Gossip,
    Summary,
    Pull,
    Push,
}

pub(super) type Actions<P> = Vec<EntryAction<P>>;

impl<P: ConfigPayload> EntryMember<P> {
    /// Creates an entry that starts at `now`. `seeds` are the entries named in its settings.
    #[must_use]
    pub fn new(
        own: EntryContact,
        boot: BootId,
        seeds: Vec<EntryContact>,
        limits: TableLimits,
        generator: &mut ChaCha8Rng,
        now: ClockTime,
    ) -> Self {
        let mut fork = || ChaCha8Rng::from_rng(&mut *generator);
        let mut summaries = SummaryExchange::new(own.clone(), fork(), now);
        summaries.add_contacts(&seeds);
        Self {
            table: MemberTable::new(own.daemon.clone(), limits),
            registrar: RegistrarTable::default(),
            exchange: EntryExchange::new(own.clone(), boot, seeds, fork(), now),
            summaries,
            zone_summaries: SummaryTable::default(),
            stops: StopRegistry::default(),
            own_stop: None,
            spreader: ConfigSpreader::new(own.clone(), boot, fork(), now),
            calls: IndexMap::new(),
            next_call: 0,
            last_check: now,
            refreshed_mark: 0,
            own,
        }
    }

    /// Returns the table of members.
    #[must_use]
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns the summaries of other availability zones.
    #[must_use]
    pub fn zone_summaries(&self) -> &SummaryTable {
        &self.zone_summaries
    }

    /// Returns the planned stops.
    #[must_use]
    pub fn stops(&self) -> &StopRegistry {
        &self.stops
    }

    /// Returns the agents registered with this entry.
    #[must_use]
    pub fn registrar(&self) -> &RegistrarTable {
        &self.registrar
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&HeldConfig<P>> {
        self.spreader.in_force()
    }

    /// Returns the generation in force, or 0 if there is none yet.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.spreader.generation()
    }

    /// Whether this entry watches the configuration in the store. If so, it must also watch the
    /// planned stops.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.spreader.is_watcher()
    }

    /// Returns when a tick has something to do.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        let check = self.last_check + CHECK_EVERY;
        check
            .min(self.exchange.next_wake())
            .min(self.summaries.next_wake())
            .min(self.spreader.next_wake())
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, event: EntryEvent<P>, now: ClockTime) -> Actions<P> {
        let mut actions = Vec::new();
        match event {
            EntryEvent::Tick => self.tick(now, &mut actions),
            EntryEvent::CallEnded { call, answer } => {
                let answer = answer.map(|answer| *answer);
                self.end_call(call, answer, now, &mut actions);
            }
            EntryEvent::StoreEnded(reply) => {
                self.run_spreader(SpreadEvent::StoreEnded(reply), now, &mut actions);
            }
            EntryEvent::StopsListed(listed) => {
                let news = self.stops.replace(&listed);
                for stop in &news {
                    self.exchange.queue_stop(&stop.daemon);
                }
            }
            EntryEvent::StopChanged(stop) => self.merge_stop(&stop),
            EntryEvent::Hints(hints) => self.set_hints(hints),
            EntryEvent::Path { daemon, evidence } => {
                self.table.record_evidence(&daemon, evidence, now);
                self.refresh(now, &mut actions);
            }
            EntryEvent::QueueReport { daemon, report } => {
                self.table.record_queue_report(&daemon, &report);
            }
            EntryEvent::Phase(phase) => self.set_phase(phase, now, &mut actions),
            EntryEvent::Scope(scope) => self.exchange.set_scope(scope),
        }
        self.finish(now, &mut actions);
        actions
    }

    /// Handles a call of another process and returns the answer.
    pub fn answer(&mut self, call: PeerCall<P>, now: ClockTime) -> (PeerAnswer<P>, Actions<P>) {
        let mut actions = Vec::new();
        let answer = match call {
            PeerCall::Heartbeat(heartbeat) => {
                let answer = self.handle_heartbeat(&heartbeat, now, &mut actions);
                PeerAnswer::Heartbeat(Box::new(answer))
            }
            PeerCall::Gossip(gossip) => self.handle_gossip(&gossip, now, &mut actions),
            PeerCall::Summary(call) => {
                let answer = self.handle_summary(&call, now, &mut actions);
                PeerAnswer::Summary(Box::new(answer))
            }
            PeerCall::Pull(pull) => {
                let former = self.former_of(&pull);
                PeerAnswer::Pull(Box::new(self.spreader.answer_pull(&pull, former)))
            }
            PeerCall::Push(push) => {
                self.run_spreader(SpreadEvent::Pushed(push), now, &mut actions);
                PeerAnswer::Push(self.spreader.ack())
            }
        };
        self.finish(now, &mut actions);
        (answer, actions)
    }

    fn tick(&mut self, now: ClockTime, actions: &mut Actions<P>) {
        if now.since(self.last_check) >= CHECK_EVERY {
            let was_paused = now.since(self.last_check) >= PAUSED_AFTER;
            self.last_check = now;
            let is_isolated = self.check_isolation(now) || was_paused;
            for vote in self.registrar.check(is_isolated, &self.table, now) {
                self.exchange.cast_vote(&vote, &mut self.table);
            }
            self.zone_summaries.prune(now);
            self.refresh(now, actions);
        }
        let generation = self.generation();
        let table = &mut self.table;
        let sent = self.exchange.tick(table, &self.stops, generation, now);
        self.send(sent, now, actions);
        if self.exchange.scope() == ExchangeScope::Zone {
            let sent = self.summaries.tick(&self.table, generation, now);
            self.send(sent, now, actions);
        }
        self.run_spreader(SpreadEvent::Tick, now, actions);
    }

    /// Whether this entry receives so little that the cause is its own isolation.
    pub(super) fn check_isolation(&mut self, now: ClockTime) -> bool {
        let agents = self.registrar.reachable_share(now);
        self.exchange.check_isolation(agents, &self.table, now)
    }

    /// Runs after every event: merges the own row, recomputes states after changes, and reports a
    /// new stop of this entry.
    fn finish(&mut self, now: ClockTime, actions: &mut Actions<P>) {
        let own = self.exchange.own_row(self.spreader.generation());
        self.table.merge(&own, now);
        if self.table.mark() != self.refreshed_mark {
            self.refresh(now, actions);
        }
        let request = self.stops.request(&self.own.daemon);
        if request != self.own_stop {
            self.own_stop = request;
            actions.extend(request.map(EntryAction::Stop));
        }
    }

    fn refresh(&mut self, now: ClockTime, actions: &mut Actions<P>) {
        self.refreshed_mark = self.table.mark();
        let changes = self.table.refresh(now);
        actions.extend(changes.into_iter().map(EntryAction::Changed));
    }

    fn merge_stop(&mut self, stop: &NamedStop) {
        if self.stops.merge(stop) {
            self.exchange.queue_stop(&stop.daemon);
        }
    }

    fn set_hints(&mut self, hints: Vec<VmHint>) {
        let entries = hints.iter().filter(|hint| hint.entry && !hint.leaving);
        self.summaries
            .add_contacts(entries.map(|hint| &hint.contact));
        self.table.set_hints(hints);
    }

    fn set_phase(&mut self, phase: MemberPhase, now: ClockTime, actions: &mut Actions<P>) {
        let renewed = self.exchange.set_phase(phase, now);
        self.send(renewed, now, actions);
    }

    fn handle_heartbeat(
        &mut self,
        heartbeat: &AgentHeartbeat,
        now: ClockTime,
        actions: &mut Actions<P>,
    ) -> HeartbeatAnswer {
        let mark = self.table.mark();
        let handled = self
            .registrar
            .handle_heartbeat(heartbeat, &mut self.table, now);
        let (mut answer, vote) = handled;
        if self.table.mark() != mark {
            self.exchange.queue_row(&heartbeat.daemon);
        }
        if let Some(vote) = vote {
            self.exchange.cast_vote(&vote, &mut self.table);
        }
        let contact = EntryContact {
            daemon: heartbeat.daemon.clone(),
            zone: heartbeat.zone.clone(),
            address: heartbeat.address,
        };
        // An agent that is behind pulls after this answer; one that is ahead is pulled from.
        if heartbeat.generation > self.generation() {
            let seen = SpreadEvent::GenerationSeen {
                from: contact,
                generation: heartbeat.generation,
            };
            self.run_spreader(seen, now, actions);
        }
        answer.generation = self.generation();
        answer.stop = self.stops.request(&heartbeat.daemon);
        let entries = self.group_entries();
        if entries_digest(entries.iter()) != heartbeat.entries_digest {
            answer.entries = Some(entries);
        }
        answer
    }

    fn handle_gossip(
        &mut self,
        gossip: &EntryGossip,
        now: ClockTime,
        actions: &mut Actions<P>,
    ) -> PeerAnswer<P> {
        let stops = &mut self.stops;
        let (mut answer, sent) = self
            .exchange
            .handle_gossip(gossip, &mut self.table, stops, now);
        self.send(sent, now, actions);
        for summary in &gossip.summaries {
            self.summaries.merge(summary, &mut self.zone_summaries, now);
        }
        // An empty table (apart from the sender's own row) means that the sender has just started.
        let is_empty = |parts: &Vec<u32>| parts.iter().filter(|part| **part != 0).count() <= 1;
        if gossip
            .digest
            .as_ref()
            .is_some_and(|digest| is_empty(&digest.parts))
        {
            answer.summaries = self.zone_summaries.all(now);
        }
        self.observe_generation(gossip.from.clone(), gossip.generation, now, actions);
        answer.generation = self.generation();
        PeerAnswer::Gossip(Box::new(answer))
    }

    fn handle_summary(
        &mut self,
        call: &SummaryCall,
        now: ClockTime,
        actions: &mut Actions<P>,
    ) -> SummaryAnswer {
        self.summaries
            .merge(&call.summary, &mut self.zone_summaries, now);
        self.summaries.add_contacts(&call.contacts);
        self.observe_generation(call.from.clone(), call.generation, now, actions);
        SummaryAnswer {
            generation: self.generation(),
            contacts: self.summaries.own_contacts(&self.table),
        }
    }

    fn former_of(&self, pull: &ConfigPull) -> Option<FormerBoot> {
        let known = &self.table.row(&pull.daemon)?.facts;
        (known.boot != pull.boot).then_some(FormerBoot {
            incarnation: known.incarnation,
            generation: known.generation,
        })
    }

    fn group_entries(&self) -> Vec<EntryContact> {
        let live = self.table.live_entries().map(MemberFacts::contact);
        live.filter(|entry| self.exchange.in_group(entry)).collect()
    }

    pub(super) fn peers(&self) -> SpreadPeers {
        let mut group = self.group_entries();
        group.retain(|peer| peer.daemon != self.own.daemon);
        let agents = self.registrar.reachable_agents();
        SpreadPeers {
            group,
            agents: agents.map(|(contact, at)| (contact.clone(), at)).collect(),
            remote: self.summaries.contacts().cloned().collect(),
        }
    }
}
