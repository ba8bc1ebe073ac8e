//! What a gateway knows of the store, from its own reads and those of other gateways.
//!
//! A log line says when the knowledge becomes too old and when it is current again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use oatpier_duty::duty::{StopPhase, StopSignal};
use oatpier_serving::directory::{DirectoryChange, EndpointDirectory, EndpointRecord};
use oatpier_serving::message::InnerMessage;
use oatpier_serving::quota::lease::StoreEra;
use oatpier_serving::reads::{
    KnowledgeSource, RegisteredEndpoints, RemovedEndpoint, StoreDelta, StoreKnowledge,
};
use oatpier_serving::site::SiteConfig;
use oatpier_types::clock::ClockTime;

use super::core::{CoreState, GatewayCore};
use crate::decisions::{DecisionLine, LinePriority};
use crate::store_reader::{ReceivedDelta, StorePeers};

/// The age of what this gateway knows of the store.
#[derive(Debug, Default)]
pub(super) struct StoreAge {
    known_at: Option<ClockTime>,
    /// Whether the age has been logged as too large.
    is_behind: bool,
    /// Why the last read failed, if it did.
    failure: Option<String>,
}

impl StoreAge {
    /// Returns the age; `None` if the store has never been read.
    pub(super) fn age(&self, now: ClockTime) -> Option<Duration> {
        self.known_at.map(|at| now.since(at))
    }

    /// Records knowledge of the store's contents at a time. Returns the line about it if the age was logged as too large
    /// and is within `bound` again.
    pub(super) fn note_known(
        &mut self,
        at: ClockTime,
        source: KnowledgeSource,
        bound: Duration,
        now: ClockTime,
    ) -> Option<DecisionLine> {
        let before = self.age(now);
        self.known_at = self.known_at.max(Some(at));
        if source == KnowledgeSource::OwnRead {
            self.failure = None;
        }
        let is_current = self.age(now).is_some_and(|age| age <= bound);
        let has_caught_up = self.is_behind && is_current;
        self.is_behind &= !is_current;
        has_caught_up.then(|| {
            DecisionLine::new(LinePriority::Notable, "store knowledge")
                .with("state", "caught up")
                .with("source", source.as_str())
                .with("age_ms", before.map(millis))
        })
    }

    /// Records why the store could not be read.
    pub(super) fn note_failure(&mut self, reason: String) {
        self.failure = Some(reason);
    }

    /// Returns the line about an age that has just exceeded `bound`.
    pub(super) fn check(&mut self, bound: Duration, now: ClockTime) -> Option<DecisionLine> {
        let age = self.age(now)?;
        if self.is_behind || age <= bound {
            return None;
        }
        self.is_behind = true;
        let cause = self.failure.as_deref().unwrap_or("no read has failed");
        Some(
            DecisionLine::new(LinePriority::Notable, "store knowledge")
                .with("state", "behind")
                .with("cause", cause)
                .with("age_ms", millis(age)),
        )
    }
}

impl GatewayCore {
    /// Applies the endpoints and the configuration of a read that this gateway has just made.
    pub fn apply_records(&self, config: Option<Arc<SiteConfig>>, endpoints: Vec<EndpointRecord>) {
        let knowledge = StoreKnowledge {
            source: KnowledgeSource::OwnRead,
            age: Duration::ZERO,
            confirms_config: true,
            endpoints: Some(endpoints.into()),
            newly_kept: Vec::new(),
            era: StoreEra::default(),
            internal: None,
            delta: None,
        };
        self.apply_knowledge(knowledge, config);
    }

    /// Applies what was learned about the store. A configuration is never replaced by an older version.
    pub fn apply_knowledge(&self, knowledge: StoreKnowledge, config: Option<Arc<SiteConfig>>) {
        let known_at = self.clock.now() - knowledge.age;
        self.note_store_known(known_at, knowledge.source);
        let mut state = self.lock();
        if knowledge.confirms_config {
            state.config_known_at = state.config_known_at.max(Some(known_at));
        }
        if let Some(config) = config {
            self.apply_config(&mut state, config);
        }
        let can_serve = state.config.is_some();
        drop(state);
        for name in &knowledge.newly_kept {
            let line = DecisionLine::new(LinePriority::Notable, "directory");
            self.log
                .write(line.with("change", format!("Kept({name:?})")));
        }
        if let Some(endpoints) = knowledge.endpoints {
            self.apply_endpoints(endpoints, known_at);
        }
        self.can_serve.store(can_serve, Ordering::Relaxed);
        if let Some(delta) = knowledge.delta {
            self.broadcast_store_delta(delta);
        }
    }

    fn apply_endpoints(&self, endpoints: RegisteredEndpoints, known_at: ClockTime) {
        let now = self.clock.now();
        let count = i64::try_from(endpoints.listed.len()).unwrap_or(i64::MAX);
        self.metrics.endpoints.set(count);
        let mut state = self.lock();
        let CoreState {
            directory, holder, ..
        } = &mut *state;
        let changes = directory.apply_registered(endpoints, known_at, now);
        holder.retain_endpoints(|endpoint| directory.row(endpoint).is_some());
        let lines: Vec<DecisionLine> = changes
            .iter()
            .map(|change| directory_line(directory, change))
            .collect();
        Self::observe_versions(&mut state, now);
        if !changes.is_empty() {
            self.update_record_sidecars(&mut state);
        }
        drop(state);
        for line in lines {
            self.log.write(line);
        }
        self.resolve_broken();
        if !changes.is_empty() {
            self.endpoints_appeared.notify_one();
            self.changed.notify_waiters();
        }
    }

    /// Applies the entries that gateways wrote, and whether the store came back from an older copy.
    pub fn apply_internal(&self, knowledge: &StoreKnowledge, stop: &StopSignal) {
        let has_returned = self.note_era(knowledge.era);
        let Some(internal) = &knowledge.internal else {
            return;
        };
        // The crashes must be known before the first configuration makes this gateway serve requests.
        self.apply_stored_crashes(&internal.crashes, has_returned);
        self.apply_stored_part_crashes(&internal.part_crashes, has_returned);
        self.apply_parts(&internal.parts, knowledge.era);
        // A part holder that has just started resumes its parts at once, because their workspaces wait until then.
        self.maintain_parts(stop.phase() != StopPhase::Serving);
    }

    /// Returns the log lines about endpoints that have replaced their predecessors before the registry lists them.
    pub(super) fn take_adopted_lines(state: &mut CoreState) -> Vec<DecisionLine> {
        let adopted = state.directory.take_adopted();
        let lines = adopted.iter();
        lines
            .map(|change| directory_line(&state.directory, change))
            .collect()
    }

    /// Records which copy of the store was read. Returns whether the store was restored from an older copy since the
    /// last read.
    pub fn note_era(&self, era: StoreEra) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let known = state.store_era.replace(era);
        let is_restored = known.is_some_and(|known| known != era);
        if is_restored {
            state.directory.note_store_restored(now);
            let line =
                DecisionLine::new(LinePriority::Notable, "store came back from an older copy");
            self.log.write(line.with("era", era));
        }
        is_restored
    }

    /// Sends the changes found in the store to the other gateways of the availability zone, so that they need not
    /// read it.
    fn broadcast_store_delta(&self, delta: StoreDelta) {
        let now = self.clock.now();
        let peers: Vec<SocketAddr> = self.lock().peers.in_zone(&self.zone, now).collect();
        let message = InnerMessage::StoreSeen(Box::new(delta));
        for peer in peers {
            self.outlet.send(peer, &message);
        }
    }

    /// Applies a store delta from another gateway of the availability zone, as far as it names endpoints that have left,
    /// and queues it.
    pub fn queue_store_delta(&self, from: SocketAddr, delta: StoreDelta) {
        self.note_removed(&delta.removed);
        // A full ring counts what it drops. The store is then read at the usual time, as without the delta.
        let _ = self.store_deltas.try_send(ReceivedDelta { from, delta });
    }

    /// Records endpoints that another gateway has seen the registry cease to list. This gateway may have started since.
    fn note_removed(&self, removed: &[RemovedEndpoint]) {
        let now = self.clock.now();
        let mut state = self.lock();
        let changes = state.directory.note_removed(removed, now);
        let lines: Vec<DecisionLine> = changes
            .iter()
            .map(|change| directory_line(&state.directory, change))
            .collect();
        Self::observe_versions(&mut state, now);
        drop(state);
        for line in lines {
            self.log.write(line);
        }
        if !changes.is_empty() {
            self.resolve_broken();
            self.changed.notify_waiters();
        }
    }

    /// Records why the store could not be read.
    pub fn note_store_failure(&self, reason: String) {
        self.lock().store_age.note_failure(reason);
    }

    /// Updates which gateways can be asked for what they know of the store, and which hold the records of streams.
    pub fn update_gateways(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let others = state.peers.live_addresses(now);
        let peers = StorePeers {
            addresses: others.as_slice().into(),
            place: state.peers.zone_place(&self.zone, now),
        };
        let known = state.peers.count(now);
        state.origins.set_gateways(others, known, now);
        drop(state);
        self.store_peers.send_if_modified(|published| {
            let is_changed = *published != peers;
            if is_changed {
                *published = peers;
            }
            is_changed
        });
    }

    /// Updates the metric of the age, and logs an age that exceeds the bound on the use of leaving endpoints.
    pub fn check_store_age(&self) {
        let now = self.clock.now();
        let bound = self.settings.borrow().bounds.drain;
        let mut state = self.lock();
        let line = state.store_age.check(bound, now);
        let age = state.store_age.age(now).unwrap_or_default();
        drop(state);
        let age_ms = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.metrics.store_age_ms.set(age_ms);
        if let Some(line) = line {
            self.log.write(line);
        }
    }

    /// Records knowledge of the store's contents at a time.
    pub(super) fn note_store_known(&self, at: ClockTime, source: KnowledgeSource) {
        let now = self.clock.now();
        let bound = self.settings.borrow().bounds.drain;
        let mut state = self.lock();
        state.origins.note_registry_known(at);
        let line = state.store_age.note_known(at, source, bound, now);
        drop(state);
        if let Some(line) = line {
            self.log.write(line);
        }
    }

    /// Returns the age of what is known of the store, in milliseconds for a log line.
    pub(super) fn store_age_ms(&self) -> Option<u64> {
        let now = self.clock.now();
        self.lock().store_age.age(now).map(millis)
    }
}

/// Creates the log line for a change in the set of endpoints.
fn directory_line(directory: &EndpointDirectory, change: &DirectoryChange) -> DecisionLine {
    let row = directory.row(change.endpoint());
    let version = row.and_then(|row| row.record.version.as_ref());
    DecisionLine::new(LinePriority::Notable, "directory")
        .with("change", format!("{change:?}"))
        .with("version", version.map(ToString::to_string))
}

fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}
