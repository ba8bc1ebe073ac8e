//! The endpoints that a gateway knows, from the registry, pulses and its own requests.
//!
//! The registry says who is there, seconds late; a sidecar's pulse says what its engine holds and
//! does, a fraction of a second late; answers say how busy an endpoint was a moment ago. The newest
//! word on each point counts.

mod departures;
mod fate;
mod notices;
mod pulse;
mod requests;
mod rest;
mod row;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_policy::prefix::{PrefixIndex, PrefixSettings};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, PoolName};

use crate::engine::EndpointLoad;
use crate::health::{HealthSettings, HealthTracker};
use crate::message::{AdapterUse, EnginePulse, LoadPulse, ModelUse};
use crate::reading::ReadingPaces;

use departures::Departures;
pub use notices::HeardNotice;
pub use requests::EndpointOutcome;
pub use row::{AdapterState, EndpointRecord, EndpointRow, NamedLimit, PULSE_LIFE};

/// How long after the store has come back an entry that is missing from the registry may still
/// be written again by its endpoint. The platform promises about two seconds.
pub const REGISTRY_SETTLE: Duration = Duration::from_millis(2_200);

/// Blocks in the prefix index count parts of prompts, which differ in length; a unit this large
/// keeps its rounding small.
pub(crate) const PART_UNITS: u32 = 1_000;

/// Prompts whose parts are remembered; at some four parts each about sixteen thousand prompts,
/// in 1.5 MB.
const REMEMBERED_PARTS: usize = 1 << 16;

/// What changed in the set of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryChange {
    /// An endpoint is there.
    Appeared(EndpointName),
    /// An endpoint is gone.
    Gone(EndpointName),
    /// An endpoint started again under its name.
    Restarted(EndpointName),
    /// An endpoint began to drain.
    Draining(EndpointName),
}

/// Gives each start of an endpoint a place of its own in health and prefix tables.
#[derive(Debug, Default)]
struct IndexSource {
    next: u32,
}

impl IndexSource {
    fn draw(&mut self) -> EndpointIndex {
        let index = EndpointIndex(self.next);
        self.next += 1;
        index
    }
}

/// All endpoints.
#[derive(Debug)]
pub struct EndpointDirectory {
    rows: HashMap<EndpointName, EndpointRow>,
    by_address: HashMap<SocketAddr, EndpointName>,
    by_service: HashMap<PoolName, Vec<EndpointName>>,
    indices: IndexSource,
    health: HealthTracker,
    prefixes: PrefixIndex,
    paces: ReadingPaces,
    store_failed_at: Option<ClockTime>,
    departures: Departures,
}

impl Default for EndpointDirectory {
    fn default() -> Self {
        Self {
            rows: HashMap::new(),
            by_address: HashMap::new(),
            by_service: HashMap::new(),
            indices: IndexSource::default(),
            health: HealthTracker::new(HealthSettings {
                longest_backoff: Duration::from_secs(4),
                ..HealthSettings::default()
            }),
            prefixes: PrefixIndex::new(PrefixSettings {
                blocks: REMEMBERED_PARTS,
                block_tokens: PART_UNITS,
                ..PrefixSettings::default()
            }),
            paces: ReadingPaces::default(),
            store_failed_at: None,
            departures: Departures::default(),
        }
    }
}

impl EndpointDirectory {
    /// The store could not be read: entries that are missing soon after its return may come back.
    pub fn note_store_failure(&mut self, now: ClockTime) {
        self.store_failed_at = Some(now);
    }

    /// The store came back from a copy that is some seconds old. Entries that were written since are missing until
    /// their endpoints write them again, and entries that were gone are back.
    pub fn note_store_return(&mut self, now: ClockTime) {
        self.store_failed_at = Some(now);
        self.departures.note_store_return(now);
    }

    /// Takes the whole registry over.
    pub fn apply_registry(
        &mut self,
        records: Vec<EndpointRecord>,
        now: ClockTime,
    ) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        let listed: Vec<EndpointName> = records.iter().map(|record| record.name.clone()).collect();
        for record in records {
            let is_stale = self.is_superseded(&record, now) || self.departures.hold(&record, now);
            if !is_stale {
                self.take_record(record, now, &mut changes);
            }
        }
        if !self.is_settling(now) {
            self.drop_missing(&listed, now, &mut changes);
        }
        if !changes.is_empty() {
            self.rebuild();
        }
        changes
    }

    /// For a moment after the store was away, entries that lapsed meanwhile are being written
    /// again: taking them for gone at once would refuse requests that could be served.
    fn is_settling(&self, now: ClockTime) -> bool {
        self.store_failed_at
            .is_some_and(|at| now.since(at) < REGISTRY_SETTLE)
    }

    /// The registry may still list an endpoint whose successor has answered at its address.
    fn is_superseded(&self, record: &EndpointRecord, now: ClockTime) -> bool {
        let present = self
            .by_address
            .get(&record.address)
            .and_then(|name| self.rows.get(name));
        present.is_some_and(|row| row.record.name != record.name && row.is_adopted(now))
    }

    fn take_record(
        &mut self,
        record: EndpointRecord,
        now: ClockTime,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let name = record.name.clone();
        let Some(row) = self.rows.get_mut(&name) else {
            let index = self.indices.draw();
            self.rows
                .insert(name.clone(), EndpointRow::new(record, index));
            changes.push(DirectoryChange::Appeared(name));
            return;
        };
        if row.is_other_start(record.start) {
            // A sidecar reads its engine's report on the same VM several times a second; the registry lists a
            // start until its endpoint's next heartbeat.
            if row.pulse(now).is_some_and(|pulse| pulse.start.is_some()) {
                return;
            }
            let index = self.indices.draw();
            row.restart(record, index);
            changes.push(DirectoryChange::Restarted(name));
            return;
        }
        if record.draining && !row.record.draining {
            changes.push(DirectoryChange::Draining(name));
        }
        let start = record.start.or(row.record.start);
        // A start that drains never takes work again. An entry that says otherwise is from an older copy of the store.
        let draining = record.draining || row.record.draining;
        row.record = EndpointRecord {
            start,
            draining,
            ..record
        };
    }

    fn drop_missing(
        &mut self,
        listed: &[EndpointName],
        now: ClockTime,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let missing: Vec<EndpointName> = self
            .rows
            .iter()
            .filter(|(name, row)| !listed.contains(name) && !row.is_adopted(now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in missing {
            if let Some(row) = self.rows.remove(&name) {
                self.departures.note(&row.record, now);
            }
            changes.push(DirectoryChange::Gone(name));
        }
    }

    fn rebuild(&mut self) {
        self.by_address.clear();
        self.by_service.clear();
        let mut names: Vec<&EndpointName> = self.rows.keys().collect();
        names.sort();
        for name in names {
            let row = &self.rows[name];
            let record = &row.record;
            // The registry lists a restarted endpoint beside its predecessor for a few heartbeats. What
            // its sidecar says is about the later one.
            let known = self.by_address.get(&record.address);
            let known = known.and_then(|name| self.rows.get(name));
            if known.is_none_or(|known| known.gone || known.index.0 < row.index.0) {
                self.by_address.insert(record.address, name.clone());
            }
            let service = self.by_service.entry(record.service.clone()).or_default();
            service.push(name.clone());
        }
    }

    /// Takes a sidecar's pulse over; says whether it changed what the engine holds.
    pub fn take_pulse(&mut self, pulse: EnginePulse, now: ClockTime) -> bool {
        let known = self.by_address.get(&pulse.engine);
        let replaced = pulse.instance.clone().zip(known.cloned());
        let changed = self.keep_pulse(pulse, now);
        if let Some((instance, known)) = replaced
            && instance != known
        {
            self.note_replaced(&known, Some(&instance), now);
            return true;
        }
        changed
    }

    fn keep_pulse(&mut self, pulse: EnginePulse, now: ClockTime) -> bool {
        let Some(row) = self
            .by_address
            .get(&pulse.engine)
            .and_then(|name| self.rows.get_mut(name))
        else {
            return false;
        };
        let kept = row.pulse.as_ref();
        if kept.is_some_and(|kept| !pulse.number.supersedes(kept.pulse.number)) {
            return false;
        }
        if row.is_other_start(pulse.start) {
            let record = EndpointRecord {
                start: pulse.start,
                draining: false,
                ..row.record.clone()
            };
            row.restart(record, self.indices.draw());
        }
        row.record.start = pulse.start.or(row.record.start);
        let kept = row.pulse.as_ref();
        let changed = kept.is_none_or(|kept| {
            kept.pulse.models != pulse.models
                || kept.pulse.retiring != pulse.retiring
                || kept.pulse.draining != pulse.draining
        });
        row.keep(pulse, now);
        changed
    }

    /// Takes a sidecar's word on its engine's load over. Without a whole pulse of the same
    /// incarnation before, it says too little.
    pub fn take_load_pulse(&mut self, load: &LoadPulse, now: ClockTime) {
        let row = self
            .by_address
            .get(&load.engine)
            .and_then(|name| self.rows.get_mut(name));
        let Some(row) = row else {
            return;
        };
        let Some(kept) = &mut row.pulse else {
            return;
        };
        if kept.take_load(load) {
            kept.at = now;
            row.load.renew(load.load);
        }
    }

    /// An answer told how busy its endpoint is.
    pub fn take_load(&mut self, name: &EndpointName, load: EndpointLoad) {
        if let Some(row) = self.rows.get_mut(name) {
            row.load.renew(load);
        }
    }

    /// Another endpoint answered at the address: this one is gone.
    ///
    /// An engine that was restarted is known by its sidecar long before the registry lists it. If
    /// the sidecar at the address speaks for the same service, the new engine takes the old one's
    /// place at once; otherwise the address may belong to another service by now.
    pub fn note_replaced(
        &mut self,
        name: &EndpointName,
        successor: Option<&EndpointName>,
        now: ClockTime,
    ) {
        let Some(row) = self.rows.get_mut(name) else {
            return;
        };
        row.gone = true;
        let vouched = row.pulse(now).is_some_and(|pulse| {
            pulse.answers && pulse.service.as_ref() == Some(&row.record.service)
        });
        let Some(successor) = successor.filter(|_| vouched) else {
            return;
        };
        if self.rows.contains_key(successor) {
            self.hand_pulse_over(name, successor);
            return;
        }
        if let Some(old) = self.rows.remove(name) {
            let row = self.adopt(old, successor.clone(), now);
            self.rows.insert(successor.clone(), row);
            self.rebuild();
        }
    }

    /// What a sidecar said under its engine's last name is true of the present one.
    fn hand_pulse_over(&mut self, name: &EndpointName, successor: &EndpointName) {
        let pulse = self.rows.get_mut(name).and_then(|row| row.pulse.take());
        if let Some(row) = self.rows.get_mut(successor) {
            row.gone = false;
            row.pulse = pulse.or(row.pulse.take());
        }
        self.rebuild();
    }

    fn adopt(&mut self, old: EndpointRow, name: EndpointName, now: ClockTime) -> EndpointRow {
        let index = self.indices.draw();
        // Its predecessor's start is not its own: with it, the sidecar's next word would seem to be of one start
        // more, and the engine would be dropped while the registry does not list it.
        let record = EndpointRecord {
            name,
            start: None,
            draining: false,
            ..old.record
        };
        EndpointRow {
            pulse: old.pulse,
            adopted_at: Some(now),
            ..EndpointRow::new(record, index)
        }
    }

    /// An endpoint by its name.
    #[must_use]
    pub fn row(&self, name: &EndpointName) -> Option<&EndpointRow> {
        self.rows.get(name)
    }

    /// The endpoints of a service, in a fixed order.
    pub fn service(&self, service: &PoolName) -> impl Iterator<Item = &EndpointRow> {
        let names = self.by_service.get(service);
        names.into_iter().flatten().map(|name| &self.rows[name])
    }

    /// Engines whose sidecars are heard.
    #[must_use]
    pub fn engines_heard(&self, now: ClockTime) -> u32 {
        let heard = self.rows.values().filter(|row| row.pulse(now).is_some());
        u32::try_from(heard.count()).unwrap_or(u32::MAX)
    }

    /// All endpoints.
    pub fn all(&self) -> impl Iterator<Item = &EndpointRow> {
        self.rows.values()
    }

    /// Who keeps how many leading parts of a prompt.
    #[must_use]
    pub fn prefixes(&self) -> &PrefixIndex {
        &self.prefixes
    }

    /// The models that this gateway's requests use, engine by engine.
    #[must_use]
    pub fn model_uses(&self) -> Vec<ModelUse> {
        let rows = self.rows.values();
        let uses = rows.flat_map(|row| {
            let engine = row.record.address;
            row.models.iter().map(move |(model, requests)| ModelUse {
                engine,
                model: model.clone(),
                requests: *requests,
            })
        });
        uses.collect()
    }

    /// The adapters that this gateway uses at an endpoint, or used since it was last asked.
    pub fn take_used(&mut self, name: &EndpointName) -> Vec<AdapterUse> {
        let Some(row) = self.rows.get_mut(name) else {
            return Vec::new();
        };
        let used = row.adapters.iter().map(|(key, requests)| AdapterUse {
            key: key.clone(),
            requests: *requests,
        });
        let used = used.collect();
        row.adapters.retain(|_, requests| *requests > 0);
        used
    }
}
