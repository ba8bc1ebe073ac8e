//! Gossip within a group.

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::DaemonName;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::isolation::{IsolationDetector, ReachableShare};
use super::own::OwnEntry;
use super::probe::ProbeTracker;
use super::rumors::take_due;
use super::{DIGEST_ROUNDS, ExchangeAction, ExchangeScope, GOSSIP_EVERY, GOSSIP_FANOUT, ROW_SENDS};
use crate::backoff::jittered;
use crate::members::{
    MemberFacts, MemberPhase, MemberRow, MemberState, MemberTable, Reachability, WitnessVote,
};
use crate::messages::{EntryContact, EntryGossip, FormerBoot, GossipAnswer, NamedStop};
use crate::registrar::RegistrarVote;
use crate::stops::StopRegistry;

/// The maximum number of parts of the table that one answer contains.
const ANSWER_PARTS: usize = 8;

/// If an answer changes at least this many rows, the next round compares tables again.
const CATCH_UP_ROWS: usize = 8;

/// Interval, in rounds, at which one entry that is gone or only hinted is contacted. After a cut,
/// each side counts the other as gone, and nothing else would reconnect them.
const RECONNECT_ROUNDS: u64 = 5;

/// The gossip state of one entry in its group.
#[derive(Debug, Clone)]
pub struct EntryExchange {
    own: OwnEntry,
    scope: ExchangeScope,
    seeds: Vec<EntryContact>,
    rumors: IndexMap<DaemonName, u8>,
    stop_rumors: IndexMap<DaemonName, u8>,
    probes: ProbeTracker,
    isolation: IsolationDetector,
    vote_count: u64,
    round: u64,
    next_round: ClockTime,
    is_catching_up: bool,
    generator: ChaCha8Rng,
}

impl EntryExchange {
    /// Creates the exchange of a starting entry that knows `seeds` from its settings.
    #[must_use]
    pub fn new(
        own: EntryContact,
        boot: BootId,
        seeds: Vec<EntryContact>,
        mut generator: ChaCha8Rng,
        now: ClockTime,
    ) -> Self {
        Self {
            own: OwnEntry::new(own, boot, ChaCha8Rng::from_rng(&mut generator)),
            scope: ExchangeScope::Zone,
            seeds,
            rumors: IndexMap::new(),
            stop_rumors: IndexMap::new(),
            probes: ProbeTracker::default(),
            isolation: IsolationDetector::default(),
            vote_count: 0,
            round: 0,
            next_round: now + jittered(GOSSIP_EVERY, &mut generator),
            is_catching_up: true,
            generator,
        }
    }

    /// Sets which entries form the group.
    pub fn set_scope(&mut self, scope: ExchangeScope) {
        self.scope = scope;
    }

    /// Whether an entry belongs to the group.
    #[must_use]
    pub fn in_group(&self, contact: &EntryContact) -> bool {
        self.scope == ExchangeScope::Fleet || contact.zone == self.own.contact.zone
    }

    /// Returns which entries form the group.
    #[must_use]
    pub fn scope(&self) -> ExchangeScope {
        self.scope
    }

    /// Returns this entry's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.own.incarnation
    }

    /// Sets this entry's phase. Returning to an earlier phase needs a new incarnation.
    pub fn set_phase(&mut self, phase: MemberPhase, now: ClockTime) -> Vec<ExchangeAction> {
        self.next_round = now;
        self.own.set_phase(phase)
    }

    /// Whether this entry receives so little that the silence of peers is no evidence against them.
    /// `agents` is the share of its registered agents that it can reach. Must be called before
    /// silent peers are counted.
    pub fn check_isolation(
        &mut self,
        agents: ReachableShare,
        table: &MemberTable,
        now: ClockTime,
    ) -> bool {
        let before = self.isolation.is_isolated();
        let is_isolated = self
            .isolation
            .check(agents, |peer| table.is_live(peer), now);
        if before && self.isolation.is_connected() {
            self.probes.reset_counts();
        }
        is_isolated
    }

    /// Returns what this entry states about itself.
    #[must_use]
    pub fn own_row(&self, generation: Generation) -> MemberRow {
        self.own.row(generation)
    }

    /// Returns when a tick has something to do.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        self.next_round.min(self.probes.next_wake())
    }

    /// Queues a row to be gossiped.
    pub fn queue_row(&mut self, daemon: &DaemonName) {
        self.rumors.insert(daemon.clone(), ROW_SENDS);
    }

    /// Queues a planned stop to be gossiped.
    pub fn queue_stop(&mut self, daemon: &DaemonName) {
        self.stop_rumors.insert(daemon.clone(), ROW_SENDS);
    }

    /// Merges this entry's own vote into the table and queues it to be gossiped.
    pub fn cast_vote(&mut self, vote: &RegistrarVote, table: &mut MemberTable) {
        self.vote_count += 1;
        let witness_vote = WitnessVote {
            witness: self.own.contact.daemon.clone(),
            about: vote.about,
            order: (self.own.incarnation, self.vote_count),
            reachability: vote.reachability,
        };
        if table.merge_vote(&vote.daemon, &witness_vote) {
            self.queue_row(&vote.daemon);
        }
    }

    /// Sends a round of gossip if it is due, and contacts again the peers that left a call
    /// unanswered.
    pub fn tick(
        &mut self,
        table: &mut MemberTable,
        stops: &StopRegistry,
        generation: Generation,
        now: ClockTime,
    ) -> Vec<ExchangeAction> {
        let mut targets: Vec<EntryContact> = Vec::new();
        for daemon in self.probes.due(now) {
            let row = table.row(&daemon);
            targets.extend(row.map(|row| row.facts.contact()));
        }
        self.probes.retain(|peer| table.row(peer).is_some());
        let round = now >= self.next_round;
        if round {
            self.round += 1;
            self.next_round = now + jittered(GOSSIP_EVERY, &mut self.generator);
            targets.extend(self.pick_targets(table));
        }
        let digest = round && (self.is_catching_up || self.round.is_multiple_of(DIGEST_ROUNDS));
        let mut actions = Vec::new();
        for to in targets {
            if self.probes.is_in_flight(&to.daemon) {
                continue;
            }
            self.probes.record_call(&to.daemon);
            let gossip = Box::new(self.gossip(table, stops, generation, digest));
            actions.push(ExchangeAction::Gossip { to, gossip });
        }
        actions
    }

    /// Handles gossip of another entry, except for its summaries.
    pub fn handle_gossip(
        &mut self,
        gossip: &EntryGossip,
        table: &mut MemberTable,
        stops: &mut StopRegistry,
        now: ClockTime,
    ) -> (GossipAnswer, Vec<ExchangeAction>) {
        self.isolation.record(&gossip.from.daemon, true, now);
        let former = former_of(gossip, table);
        let rows = gossip
            .rows
            .iter()
            .filter(|row| former.is_none() || row.facts.daemon != gossip.from.daemon);
        let (_, actions) = self.merge_rows(rows, true, table, now);
        for stop in &gossip.stops {
            if stops.merge(stop) {
                self.queue_stop(&stop.daemon);
            }
        }
        let mut answer = GossipAnswer {
            former,
            ..GossipAnswer::default()
        };
        if let Some(digest) = &gossip.digest {
            answer.rows = table.differing_rows(digest, ANSWER_PARTS);
            answer.stops = stops.all();
        }
        (answer, actions)
    }

    /// Handles an entry's answer to gossip.
    pub fn handle_answer(
        &mut self,
        from: &DaemonName,
        answer: &GossipAnswer,
        table: &mut MemberTable,
        stops: &mut StopRegistry,
        now: ClockTime,
    ) -> Vec<ExchangeAction> {
        self.isolation.record(from, true, now);
        let (changed, mut actions) = self.merge_rows(answer.rows.iter(), false, table, now);
        if !answer.rows.is_empty() || self.round.is_multiple_of(DIGEST_ROUNDS) {
            self.is_catching_up = changed >= CATCH_UP_ROWS;
        }
        for stop in &answer.stops {
            stops.merge(stop);
        }
        if let Some(former) = answer.former {
            actions.extend(self.own.raise_incarnation(former.incarnation + 1));
            actions.push(ExchangeAction::Former { former });
        }
        if self.probes.handle_answer(from) {
            self.vote_on_peer(from, true, table, &mut actions);
        }
        actions
    }

    /// Handles a call to an entry that got no answer.
    pub fn handle_loss(
        &mut self,
        to: &DaemonName,
        table: &mut MemberTable,
        now: ClockTime,
    ) -> Vec<ExchangeAction> {
        let mut actions = Vec::new();
        self.isolation.record(to, false, now);
        let is_isolated = self.isolation.is_isolated();
        if self
            .probes
            .handle_loss(to, is_isolated, &mut self.generator, now)
        {
            self.vote_on_peer(to, false, table, &mut actions);
        }
        actions
    }

    /// Votes again that unreachable peers are silent, after this entry's incarnation rose.
    pub fn renew_silent_votes(&mut self, table: &mut MemberTable) {
        let unreachable_peers: Vec<DaemonName> = self.probes.unreachable_peers().cloned().collect();
        for daemon in unreachable_peers {
            self.vote_on_peer(&daemon, false, table, &mut Vec::new());
        }
    }

    fn vote_on_peer(
        &mut self,
        about: &DaemonName,
        is_answering: bool,
        table: &mut MemberTable,
        actions: &mut Vec<ExchangeAction>,
    ) {
        let Some(row) = table.row(about) else {
            return;
        };
        let incarnation = row.facts.incarnation;
        let own = &self.own.contact.daemon;
        let has_voted = row.votes.iter().any(|vote| {
            vote.witness == *own
                && vote.about == incarnation
                && vote.reachability == Reachability::Silent
        });
        if has_voted && !is_answering {
            return;
        }
        let vote = RegistrarVote {
            daemon: about.clone(),
            about: incarnation,
            reachability: if is_answering {
                Reachability::Reachable
            } else {
                Reachability::Silent
            },
        };
        self.cast_vote(&vote, table);
        let daemon = about.clone();
        actions.push(ExchangeAction::PeerChanged {
            daemon,
            is_answering,
        });
    }

    fn pick_targets(&mut self, table: &MemberTable) -> Vec<EntryContact> {
        let live = table.live_entries().map(MemberFacts::contact);
        let others =
            live.filter(|peer| peer.daemon != self.own.contact.daemon && self.in_group(peer));
        let others: Vec<EntryContact> = others.collect();
        let picked = others.sample(&mut self.generator, GOSSIP_FANOUT);
        let mut picked: Vec<EntryContact> = picked.cloned().collect();
        if picked.is_empty() || self.round.is_multiple_of(RECONNECT_ROUNDS) {
            let reconnect_candidates = self.reconnect_candidates(table);
            picked.extend(reconnect_candidates.choose(&mut self.generator).cloned());
        }
        picked
    }

    /// Returns entries of the group that are gone, or known only from settings or the list of VMs.
    fn reconnect_candidates(&self, table: &MemberTable) -> Vec<EntryContact> {
        let gone = table.members().filter(|view| {
            view.facts.is_entry()
                && view.state == MemberState::Gone
                && view.facts.phase != MemberPhase::Left
        });
        let gone = gone.map(|view| view.facts.contact());
        let hinted = table.hinted_entries().chain(&self.seeds).cloned();
        let unknown = hinted.filter(|contact| table.row(&contact.daemon).is_none());
        let reconnect_candidates = gone.chain(unknown);
        reconnect_candidates
            .filter(|contact| contact.daemon != self.own.contact.daemon && self.in_group(contact))
            .collect()
    }

    fn gossip(
        &mut self,
        table: &MemberTable,
        stops: &StopRegistry,
        generation: Generation,
        digest: bool,
    ) -> EntryGossip {
        let mut rows = vec![self.own_row(generation)];
        let names = take_due(&mut self.rumors);
        rows.extend(names.iter().filter_map(|name| table.row(name)).cloned());
        let names = take_due(&mut self.stop_rumors);
        let requests = names.into_iter().filter_map(|daemon| {
            let request = stops.request(&daemon)?;
            Some(NamedStop { daemon, request })
        });
        EntryGossip {
            from: self.own.contact.clone(),
            boot: self.own.boot,
            generation,
            rows,
            summaries: Vec::new(),
            stops: requests.collect(),
            digest: digest.then(|| table.digest()),
        }
    }

    /// Merges rows. With `forward`, rows that changed the table are queued to be gossiped. Returns
    /// how many changed it.
    fn merge_rows<'a>(
        &mut self,
        rows: impl Iterator<Item = &'a MemberRow>,
        forward: bool,
        table: &mut MemberTable,
        now: ClockTime,
    ) -> (usize, Vec<ExchangeAction>) {
        let mut changed = 0;
        let mut actions = Vec::new();
        for row in rows {
            if row.facts.daemon == self.own.contact.daemon {
                actions.extend(self.own.check_row(row, now));
            } else if table.merge(row, now) {
                changed += 1;
                if forward {
                    self.queue_row(&row.facts.daemon);
                }
            }
        }
        (changed, actions)
    }
}

/// Returns an earlier boot of the sender that the table still takes for the current one.
fn former_of(gossip: &EntryGossip, table: &MemberTable) -> Option<FormerBoot> {
    let known = &table.row(&gossip.from.daemon)?.facts;
    let own = gossip
        .rows
        .iter()
        .find(|row| row.facts.daemon == known.daemon)?;
    let held = known.boot != gossip.boot && known.incarnation >= own.facts.incarnation;
    held.then_some(FormerBoot {
        incarnation: known.incarnation,
        generation: known.generation,
    })
}
