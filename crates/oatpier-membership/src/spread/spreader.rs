//! The state machine that obtains and distributes configurations.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::DaemonName;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::push::PushQueue;
use super::watch::{StoreWatch, WATCHERS, WatchCall};
use super::{SpreadAction, SpreadEvent, SpreadPeers, StoreReply, WATCH_WAIT};
use crate::backoff::jittered;
use crate::generation::{
    ConfigContent, ConfigPayload, ConfigSource, GenerationKeeper, HeldConfig, OfferOutcome,
};
use crate::messages::{ConfigAck, ConfigAnswer, ConfigPull, ConfigPush, EntryContact, FormerBoot};
use crate::rendezvous;

/// The maximum number of peers remembered as ahead.
const MAX_AHEAD: usize = 8;

/// The interval between two pulls of a starting entry that has no configuration yet.
const PULL_EVERY: Duration = Duration::from_millis(300);

/// Obtains configurations and distributes them, for one entry.
#[derive(Debug, Clone)]
pub struct ConfigSpreader<P: ConfigPayload> {
    own: EntryContact,
    boot: BootId,
    keeper: GenerationKeeper<P>,
    watch: StoreWatch,
    pushes: PushQueue,
    ahead: IndexMap<DaemonName, (EntryContact, Generation)>,
    pulling_from: Option<DaemonName>,
    next_pull: ClockTime,
    is_watcher: bool,
    generator: ChaCha8Rng,
}

impl<P: ConfigPayload> ConfigSpreader<P> {
    /// Creates the spreader of an entry that starts at `now`.
    #[must_use]
    pub fn new(own: EntryContact, boot: BootId, mut generator: ChaCha8Rng, now: ClockTime) -> Self {
        Self {
            own,
            boot,
            keeper: GenerationKeeper::default(),
            watch: StoreWatch::new(&mut generator, now),
            pushes: PushQueue::default(),
            ahead: IndexMap::new(),
            pulling_from: None,
            next_pull: now + jittered(PULL_EVERY, &mut generator),
            is_watcher: false,
            generator,
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&HeldConfig<P>> {
        self.keeper.in_force()
    }

    /// Returns the generation in force, or 0 if there is none yet.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.keeper.generation()
    }

    /// Whether this entry watches the store, according to its current peers.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// Sets a lower bound: an earlier boot of this entry had this generation in force.
    pub fn raise_floor(&mut self, generation: Generation) {
        self.keeper.raise_floor(generation);
    }

    /// Returns when a tick has something to do.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        let mut wake = self.watch.next_wake().min(self.pushes.next_wake());
        wake = wake.min(self.keeper.settles_at());
        if self.pulling_from.is_none() && (self.is_starting() || !self.ahead.is_empty()) {
            wake = wake.min(self.next_pull);
        }
        wake
    }

    /// Returns the answer to a pull.
    #[must_use]
    pub fn answer_pull(&self, pull: &ConfigPull, former: Option<FormerBoot>) -> ConfigAnswer<P> {
        ConfigAnswer {
            generation: self.generation(),
            former,
            content: self.keeper.content_since(pull.have),
        }
    }

    /// Returns the answer to a push that was handled.
    #[must_use]
    pub fn ack(&self) -> ConfigAck {
        ConfigAck {
            generation: self.keeper.latest(),
        }
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(
        &mut self,
        event: SpreadEvent<P>,
        peers: &SpreadPeers,
        now: ClockTime,
    ) -> Vec<SpreadAction<P>> {
        let before = self.generation();
        self.apply_event(event, peers, now);
        self.keeper.settle(now);
        let mut actions = Vec::new();
        if self.generation() > before {
            actions.extend(self.in_force().cloned().map(SpreadAction::InForce));
            self.start_pushes(before, peers, now);
        }
        self.send_pushes(&mut actions, now);
        self.send_pull(peers, &mut actions, now);
        self.call_store(peers, &mut actions, now);
        actions
    }

    /// Starts the pushes of a new configuration. The first configuration of a started process is
    /// not pushed: other processes had it before, and those that also start pull it themselves.
    /// Each starting process would push the whole value.
    fn start_pushes(&mut self, before: Generation, peers: &SpreadPeers, now: ClockTime) {
        if before == Generation(0) {
            return;
        }
        let reached = self.generation();
        let group = self.local_group(peers);
        let generator = &mut self.generator;
        let agents = peers.agents.iter().filter(|agent| agent.1 < reached);
        let agents = agents.map(|agent| &agent.0);
        self.pushes.start(&group, agents, generator, now);
    }

    fn is_starting(&self) -> bool {
        self.keeper.in_force().is_none()
    }

    fn apply_event(&mut self, event: SpreadEvent<P>, peers: &SpreadPeers, now: ClockTime) {
        match event {
            SpreadEvent::Tick => {}
            SpreadEvent::GenerationSeen { from, generation } => {
                self.compare_generation(&from, generation, now);
            }
            SpreadEvent::Pushed(push) => self.handle_push(&push, peers, now),
            SpreadEvent::PullEnded { from, answer } => self.end_pull(&from, answer, now),
            SpreadEvent::PushEnded { to, ack } => {
                let reached = ack.map(|ack| ack.generation);
                self.pushes
                    .handle_end(&to.daemon, reached, self.generation(), now);
                if let Some(reached) = reached.filter(|reached| *reached > self.generation()) {
                    self.compare_generation(&to, reached, now);
                }
            }
            SpreadEvent::StoreEnded(reply) => self.end_store(reply, now),
        }
    }

    /// Resolves a difference in generations in either direction: a peer that is ahead is pulled
    /// from, one that is behind is pushed to.
    fn compare_generation(&mut self, from: &EntryContact, generation: Generation, now: ClockTime) {
        if generation > self.keeper.pull_generation() && self.ahead.len() < MAX_AHEAD {
            let row = (from.clone(), generation);
            self.ahead.insert(from.daemon.clone(), row);
        } else if generation > Generation(0) && generation < self.generation() {
            self.pushes.add(from, Some(generation), now);
        }
    }

    fn handle_push(&mut self, push: &ConfigPush<P>, peers: &SpreadPeers, now: ClockTime) {
        let outcome = self.offer(&push.content, ConfigSource::Peer, now);
        if !matches!(outcome, OfferOutcome::NeedFull | OfferOutcome::Behind) {
            return;
        }
        let known = peers.group.iter().chain(&peers.remote);
        if let Some(from) = known.into_iter().find(|peer| peer.daemon == push.daemon) {
            self.compare_generation(from, push.generation, now);
        }
    }

    fn end_pull(
        &mut self,
        from: &EntryContact,
        answer: Option<Box<ConfigAnswer<P>>>,
        now: ClockTime,
    ) {
        self.pulling_from = None;
        self.next_pull = now + jittered(PULL_EVERY, &mut self.generator);
        self.ahead.swap_remove(&from.daemon);
        let Some(answer) = answer else {
            return;
        };
        if let Some(former) = answer.former {
            self.keeper.raise_floor(former.generation);
        }
        let Some(content) = &answer.content else {
            return;
        };
        if self.offer(content, ConfigSource::Peer, now) == OfferOutcome::NeedFull {
            self.next_pull = now;
            let row = (from.clone(), answer.generation);
            self.ahead.insert(from.daemon.clone(), row);
        }
    }

    fn end_store(&mut self, reply: StoreReply<P>, now: ClockTime) {
        match reply {
            StoreReply::Failed => self.watch.failed(&mut self.generator, now),
            StoreReply::Unchanged => self.watch.answered(None, now),
            StoreReply::Value(stored) => {
                self.watch.answered(Some(stored.revision), now);
                let content = ConfigContent::Full {
                    generation: stored.generation,
                    value: stored.value,
                };
                self.offer(&content, ConfigSource::Store, now);
            }
        }
    }

    fn offer(
        &mut self,
        content: &ConfigContent<P>,
        source: ConfigSource,
        now: ClockTime,
    ) -> OfferOutcome {
        let outcome = self.keeper.offer(content, source, now);
        let latest = self.keeper.pull_generation();
        self.ahead.retain(|_, (_, generation)| *generation > latest);
        outcome
    }

    /// Returns the entries of this availability zone, which are preferred as they are many and
    /// close. If there are none, returns the whole group.
    fn local_group(&self, peers: &SpreadPeers) -> Vec<EntryContact> {
        let near = peers.group.iter().filter(|peer| peer.zone == self.own.zone);
        let near: Vec<EntryContact> = near.cloned().collect();
        if near.is_empty() {
            peers.group.clone()
        } else {
            near
        }
    }

    fn send_pushes(&mut self, actions: &mut Vec<SpreadAction<P>>, now: ClockTime) {
        for (to, have) in self.pushes.due(now) {
            let Some(push) = self.push_for(have) else {
                let reached = self.generation();
                self.pushes
                    .handle_end(&to.daemon, Some(reached), reached, now);
                continue;
            };
            actions.push(SpreadAction::Push { to, push });
        }
    }

    /// Returns the push for a peer that has generation `have`. If that is not known, it contains
    /// the last edit, which is what nearly all peers lack. A peer that lacks more reports it in its
    /// answer and gets the rest.
    fn push_for(&self, have: Option<Generation>) -> Option<Arc<ConfigPush<P>>> {
        let content = match have {
            Some(have) => self.keeper.content_since(have),
            None => self.keeper.last_step(),
        };
        Some(Arc::new(ConfigPush {
            daemon: self.own.daemon.clone(),
            generation: self.generation(),
            content: content?,
        }))
    }

    /// Pulls from a peer that is ahead; a starting entry pulls from any peer.
    fn send_pull(
        &mut self,
        peers: &SpreadPeers,
        actions: &mut Vec<SpreadAction<P>>,
        now: ClockTime,
    ) {
        if self.pulling_from.is_some() {
            return;
        }
        let ahead: Vec<&EntryContact> = self.ahead.values().map(|row| &row.0).collect();
        let to = match ahead.choose(&mut self.generator) {
            Some(to) => (*to).clone(),
            None if self.is_starting() && now >= self.next_pull => {
                let near = peers.group.iter().chain(&peers.remote).collect::<Vec<_>>();
                let asked = near.choose(&mut self.generator);
                let Some(to) = asked else {
                    self.next_pull = now + PULL_EVERY;
                    return;
                };
                (*to).clone()
            }
            None => return,
        };
        self.pulling_from = Some(to.daemon.clone());
        let pull = ConfigPull {
            daemon: self.own.daemon.clone(),
            boot: self.boot,
            have: self.keeper.pull_generation(),
        };
        actions.push(SpreadAction::Pull { to, pull });
    }

    fn call_store(
        &mut self,
        peers: &SpreadPeers,
        actions: &mut Vec<SpreadAction<P>>,
        now: ClockTime,
    ) {
        let zone = &self.own.zone;
        let near = peers.group.iter().filter(|peer| peer.zone == *zone);
        let names = near.map(|peer| peer.daemon.as_str());
        let own = self.own.daemon.as_str();
        let rank = rendezvous::rank_of("watch/config", names.chain([own]), own);
        self.is_watcher = rank.is_some_and(|rank| rank < WATCHERS);
        let is_starting = self.is_starting();
        let generator = &mut self.generator;
        let call = self.watch.due(self.is_watcher, is_starting, generator, now);
        actions.extend(call.map(|call| match call {
            WatchCall::Read => SpreadAction::ReadStore,
            WatchCall::Watch(after) => SpreadAction::WatchStore {
                after,
                wait: WATCH_WAIT,
            },
        }));
    }
}
