//! The endpoints that a gateway knows, from the registry, sidecars' status updates and its own requests.
//!
//! The registry lists the endpoints with a delay of seconds. The status update of a sidecar
//! ([`EngineStatus`]) reports what its engine holds and does, with a delay of a fraction of a second.
//! Responses report the load of an endpoint a moment ago. For each fact the newest source applies.

mod capacity;
mod departures;
mod liveness;
mod notices;
mod requests;
mod rest;
mod row;
mod status;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_policy::prefix::{PrefixIndex, PrefixSettings};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, PoolName};

use crate::engine::EndpointLoad;
use crate::health::{HealthSettings, HealthTracker};
use crate::message::{AdapterUse, EngineStatus, LoadStatus, ModelUse, PaceStatus, ShareStatus};
use crate::origins::ObservedVersions;
use crate::pacing::StatusLifetime;
use crate::prefill::PrefillEstimator;
use crate::reads::{RegisteredEndpoints, RemovedEndpoint};

use departures::{DepartedEndpoints, DepartureCause};
pub use notices::ReceivedNotice;
pub use requests::RequestOutcome;
pub use row::{AdapterState, EndpointRecord, EndpointRow, ReportedLimit};

/// Time for which the registry may not list an endpoint yet that has replaced its predecessor.
const REGISTRY_GRACE: Duration = Duration::from_millis(2_200);

/// Units per block in the prefix index. A block stands for one part of a prompt, and parts differ in
/// length. A large unit keeps the rounding error small.
pub(crate) const UNITS_PER_PART: u32 = 1_000;

/// Capacity of the prefix index in prompt parts. At about four parts per prompt this covers about 16,000
/// prompts and takes 1.5 MB.
const PREFIX_INDEX_BLOCKS: usize = 1 << 16;

/// The versions of the endpoints of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceVersion {
    /// The service.
    pub service: PoolName,
    /// The versions of its endpoints.
    pub versions: ObservedVersions,
}

/// A change in the set of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryChange {
    /// An endpoint was added.
    Appeared(EndpointName),
    /// An endpoint replaced its predecessor before the registry listed it.
    Adopted(EndpointName),
    /// An endpoint was removed.
    Gone(EndpointName),
    /// An endpoint restarted under the same name.
    Restarted(EndpointName),
    /// An endpoint started to drain.
    Draining(EndpointName),
}

impl DirectoryChange {
    /// Returns the endpoint that the change concerns.
    #[must_use]
    pub fn endpoint(&self) -> &EndpointName {
        let (Self::Appeared(name)
        | Self::Adopted(name)
        | Self::Gone(name)
        | Self::Restarted(name)
        | Self::Draining(name)) = self;
        name
    }
}

/// Allocates a separate index in the health and prefix tables for each incarnation of an endpoint.
#[derive(Debug, Default)]
struct IndexAllocator {
    next: u32,
}

impl IndexAllocator {
    fn allocate(&mut self) -> EndpointIndex {
        let index = EndpointIndex(self.next);
        self.next += 1;
        index
    }
}

/// All known endpoints.
#[derive(Debug)]
pub struct EndpointDirectory {
    rows: HashMap<EndpointName, EndpointRow>,
    by_address: HashMap<SocketAddr, EndpointName>,
    by_service: HashMap<PoolName, Vec<EndpointName>>,
    indices: IndexAllocator,
    health: HealthTracker,
    prefixes: PrefixIndex,
    estimator: PrefillEstimator,
    departures: DepartedEndpoints,
    /// Endpoints that have replaced their predecessors since they were last taken.
    adopted: Vec<DirectoryChange>,
    status_lifetime: StatusLifetime,
    /// When an endpoint of each service last reported that its VM is disturbed.
    disturbed_at: HashMap<PoolName, ClockTime>,
    /// Whether the versions of endpoints have changed since they were last observed.
    has_new_versions: bool,
}

impl Default for EndpointDirectory {
    fn default() -> Self {
        Self {
            rows: HashMap::new(),
            by_address: HashMap::new(),
            by_service: HashMap::new(),
            indices: IndexAllocator::default(),
            health: HealthTracker::new(HealthSettings {
                longest_backoff: Duration::from_secs(4),
                ..HealthSettings::default()
            }),
            prefixes: PrefixIndex::new(PrefixSettings {
                blocks: PREFIX_INDEX_BLOCKS,
                block_tokens: UNITS_PER_PART,
                ..PrefixSettings::default()
            }),
            estimator: PrefillEstimator::default(),
            departures: DepartedEndpoints::default(),
            adopted: Vec::new(),
            status_lifetime: StatusLifetime::default(),
            disturbed_at: HashMap::new(),
            has_new_versions: false,
        }
    }
}

impl EndpointDirectory {
    /// Records that the store was restored from a copy that is some seconds old. Entries removed since the
    /// copy was made have reappeared.
    pub fn note_store_restored(&mut self, now: ClockTime) {
        self.departures.note_store_return(now);
    }

    /// Applies a registry as read just now, of which no endpoint is kept, and returns the changes.
    pub fn apply_registry(
        &mut self,
        records: Vec<EndpointRecord>,
        now: ClockTime,
    ) -> Vec<DirectoryChange> {
        self.apply_registered(records.into(), now, now)
    }

    /// Applies the registry as it was at `known_at`, and returns the changes. An endpoint that it neither lists nor
    /// keeps is gone.
    pub fn apply_registered(
        &mut self,
        endpoints: RegisteredEndpoints,
        known_at: ClockTime,
        now: ClockTime,
    ) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        let RegisteredEndpoints {
            listed,
            kept,
            is_settling,
        } = endpoints;
        let mut present: HashSet<EndpointName> = kept.into_iter().collect();
        present.extend(listed.iter().map(|record| record.name.clone()));
        for record in listed {
            let is_ignored =
                self.is_superseded(&record) || self.departures.is_excluded(&record, now);
            if !is_ignored {
                self.apply_record(record, now, &mut changes);
            }
        }
        let settled_at = (!is_settling).then_some(known_at);
        self.drop_missing(&present, settled_at, now, &mut changes);
        if !changes.is_empty() {
            self.rebuild();
        }
        changes
    }

    /// Returns whether the record is of an endpoint whose successor at the same address has already
    /// responded. The registry may still list such an endpoint.
    fn is_superseded(&self, record: &EndpointRecord) -> bool {
        let present = self
            .by_address
            .get(&record.address)
            .and_then(|name| self.rows.get(name));
        present.is_some_and(|row| row.record.name != record.name && row.adopted_at.is_some())
    }

    fn apply_record(
        &mut self,
        record: EndpointRecord,
        now: ClockTime,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let name = record.name.clone();
        let Some(row) = self.rows.get_mut(&name) else {
            let index = self.indices.allocate();
            self.departures.forget(&name);
            self.rows
                .insert(name.clone(), EndpointRow::new(record, index));
            changes.push(DirectoryChange::Appeared(name));
            return;
        };
        row.note_listed(&record);
        if row.is_other_incarnation(record.start) {
            // The sidecar reads its engine's report on the same VM several times a second, while the
            // registry lists an incarnation until the next heartbeat of its endpoint.
            if row.status(now).is_some_and(|status| status.start.is_some()) {
                return;
            }
            let index = self.indices.allocate();
            row.restart(record, index);
            changes.push(DirectoryChange::Restarted(name));
            return;
        }
        if row.is_other_version(&record) || row.is_of_other_service(&record) {
            let index = self.indices.allocate();
            row.restart(record, index);
            self.has_new_versions = true;
            changes.push(DirectoryChange::Restarted(name));
            return;
        }
        if record.draining && !row.record.draining {
            changes.push(DirectoryChange::Draining(name));
        }
        self.has_new_versions |= row.record.version != record.version;
        let start = record.start.or(row.record.start);
        // An incarnation that drains never accepts work again. An entry that says otherwise is from an
        // older copy of the store.
        let draining = record.draining || row.record.draining;
        row.record = EndpointRecord {
            start,
            draining,
            ..record
        };
    }

    /// Removes the endpoints that are not present. `settled_at` is the time of the registry, unless entries of running
    /// endpoints may be missing.
    fn drop_missing(
        &mut self,
        present: &HashSet<EndpointName>,
        settled_at: Option<ClockTime>,
        now: ClockTime,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let missing: Vec<EndpointName> = self
            .rows
            .iter()
            .filter(|(name, row)| !present.contains(*name) && !row.may_be_unlisted(settled_at))
            .map(|(name, _)| name.clone())
            .collect();
        for name in missing {
            if let Some(row) = self.rows.remove(&name) {
                self.departures
                    .record(&row.record, DepartureCause::Unlisted, now);
            }
            changes.push(DirectoryChange::Gone(name));
        }
    }

    /// Records endpoints that another gateway has seen the registry cease to list, and returns the changes. One that
    /// is listed here is left to the registry, because the message may be about an earlier time.
    pub fn note_removed(
        &mut self,
        removed: &[RemovedEndpoint],
        now: ClockTime,
    ) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        for endpoint in removed {
            let name = &endpoint.name;
            let is_listed = |row: &EndpointRow| row.adopted_at.is_none();
            if self.rows.get(name).is_some_and(is_listed) {
                continue;
            }
            self.departures.record_removed(endpoint, now);
            if self.rows.remove(name).is_some() {
                changes.push(DirectoryChange::Gone(name.clone()));
            }
        }
        if !changes.is_empty() {
            self.rebuild();
        }
        changes
    }

    fn rebuild(&mut self) {
        self.has_new_versions = true;
        self.by_address.clear();
        self.by_service.clear();
        let mut names: Vec<&EndpointName> = self.rows.keys().collect();
        names.sort();
        for name in names {
            let row = &self.rows[name];
            let record = &row.record;
            // The registry lists a restarted endpoint beside its predecessor for a few heartbeats. The
            // status updates from this address describe the later one.
            let known = self.by_address.get(&record.address);
            let known = known.and_then(|name| self.rows.get(name));
            if known.is_none_or(|known| known.is_gone || known.index.0 < row.index.0) {
                self.by_address.insert(record.address, name.clone());
            }
            let service = self.by_service.entry(record.service.clone()).or_default();
            service.push(name.clone());
        }
    }

    /// Applies a sidecar's status update and returns whether it changed what the engine holds.
    pub fn apply_status(&mut self, status: EngineStatus, now: ClockTime) -> bool {
        let known = self.by_address.get(&status.engine);
        let kept = known.and_then(|name| self.rows.get(name)?.status.as_ref());
        if kept.is_some_and(|kept| !status.number.supersedes(kept.status.number)) {
            return false;
        }
        let replaced = status.instance.clone().zip(known.cloned());
        let changed = self.store_status(status, now);
        if let Some((instance, known)) = replaced
            && instance != known
        {
            self.note_replaced(&known, Some(&instance), now);
            return true;
        }
        changed
    }

    fn store_status(&mut self, status: EngineStatus, now: ClockTime) -> bool {
        let lifetime = self.status_lifetime;
        let Some(row) = self
            .by_address
            .get(&status.engine)
            .and_then(|name| self.rows.get_mut(name))
        else {
            return false;
        };
        if row.is_other_incarnation(status.start) {
            let record = EndpointRecord {
                start: status.start,
                version: None,
                draining: row.is_listed_draining(status.start),
                ..row.record.clone()
            };
            row.restart(record, self.indices.allocate());
            self.has_new_versions = true;
        }
        row.record.start = status.start.or(row.record.start);
        let kept = row.status.as_ref();
        let changed = kept.is_none_or(|kept| {
            kept.status.models != status.models
                || kept.status.retiring != status.retiring
                || kept.status.draining != status.draining
        });
        row.store_status(status, lifetime, now);
        changed
    }

    /// Applies a sidecar's update of its engine's load. It is ignored unless a full status update of the
    /// same sidecar incarnation has been received before.
    pub fn apply_load_status(&mut self, load: &LoadStatus, now: ClockTime) {
        let row = self
            .by_address
            .get(&load.engine)
            .and_then(|name| self.rows.get_mut(name));
        let Some(row) = row else {
            return;
        };
        let Some(kept) = &mut row.status else {
            return;
        };
        if kept.take_load(load) {
            kept.at = now;
            kept.lifetime = self.status_lifetime;
            row.load.reset(load.load);
        }
    }

    /// Applies a sidecar's update of its engine's pace.
    pub fn apply_pace(&mut self, update: &PaceStatus, now: ClockTime) {
        if let Some(row) = self.row_at(update.engine) {
            row.capacity.store_pace(update, now);
        }
    }

    /// Applies a sidecar's update of the use of its engine by workspaces.
    pub fn apply_shares(&mut self, update: ShareStatus, now: ClockTime) {
        if let Some(row) = self.row_at(update.engine) {
            row.capacity.store_shares(update, now);
        }
    }

    fn row_at(&mut self, address: SocketAddr) -> Option<&mut EndpointRow> {
        let name = self.by_address.get(&address)?;
        self.rows.get_mut(name)
    }

    /// Applies the load that a response reported.
    pub fn apply_load(&mut self, name: &EndpointName, load: EndpointLoad) {
        if let Some(row) = self.rows.get_mut(name) {
            row.load.reset(load);
        }
    }

    /// Records that another endpoint responded at the address, so this one is gone.
    ///
    /// The sidecar knows a restarted engine long before the registry lists it. If its status update names the
    /// successor and the same service, the new engine replaces the old one immediately, unless the registry has
    /// ceased to list it. Otherwise the address may now belong to another service; a status update that names
    /// another instance says nothing about it.
    pub fn note_replaced(
        &mut self,
        name: &EndpointName,
        successor: Option<&EndpointName>,
        now: ClockTime,
    ) {
        let Some(row) = self.rows.get_mut(name) else {
            return;
        };
        row.is_gone = true;
        let Some(successor) = successor else {
            return;
        };
        let status = row
            .status(now)
            .filter(|status| status.answers && status.instance.as_ref() == Some(successor));
        let is_named = status.is_some();
        let service = status.and_then(|status| status.service.as_ref());
        let is_same_service = service == Some(&row.record.service);
        if self.rows.contains_key(successor) {
            self.hand_over(name, successor, is_named);
            return;
        }
        if !is_same_service || self.departures.has_left(successor, now) {
            return;
        }
        if let Some(old) = self.rows.remove(name) {
            self.departures
                .record(&old.record, DepartureCause::Replaced, now);
            self.departures.forget(successor);
            let row = self.adopt(old, successor.clone(), now);
            self.rows.insert(successor.clone(), row);
            self.adopted
                .push(DirectoryChange::Adopted(successor.clone()));
            self.rebuild();
        }
    }

    /// Returns the endpoints that have replaced their predecessors, before the registry lists them, since the last call.
    pub fn take_adopted(&mut self) -> Vec<DirectoryChange> {
        std::mem::take(&mut self.adopted)
    }

    /// Makes a listed endpoint the successor of another one at the same address. The status update received under the
    /// previous name is moved if it is about the successor.
    fn hand_over(&mut self, name: &EndpointName, successor: &EndpointName, moves_status: bool) {
        let previous = self.rows.get_mut(name).filter(|_| moves_status);
        let status = previous.and_then(|row| row.status.take());
        if let Some(row) = self.rows.get_mut(successor) {
            row.is_gone = false;
            row.status = status.or(row.status.take());
        }
        self.rebuild();
    }

    fn adopt(&mut self, old: EndpointRow, name: EndpointName, now: ClockTime) -> EndpointRow {
        let index = self.indices.allocate();
        // The start time of the predecessor does not apply. If it were kept, the sidecar's next update
        // would look like one more restart, and the engine would be dropped because the registry does not
        // list it yet.
        let record = EndpointRecord {
            name,
            start: None,
            version: None,
            draining: false,
            ..old.record
        };
        EndpointRow {
            status: old.status,
            adopted_at: Some(now),
            ..EndpointRow::new(record, index)
        }
    }

    /// Returns an endpoint by name.
    #[must_use]
    pub fn row(&self, name: &EndpointName) -> Option<&EndpointRow> {
        self.rows.get(name)
    }

    /// Returns the endpoints of a service in a fixed order.
    pub fn service(&self, service: &PoolName) -> impl Iterator<Item = &EndpointRow> {
        let names = self.by_service.get(service);
        names.into_iter().flatten().map(|name| &self.rows[name])
    }

    /// Returns the versions of the endpoints of each service, if one has changed since the last call.
    pub fn take_new_versions(&mut self) -> Vec<ServiceVersion> {
        if !std::mem::take(&mut self.has_new_versions) {
            return Vec::new();
        }
        let services = self.by_service.iter().filter_map(|(service, names)| {
            let rows = names.iter().filter_map(|name| self.rows.get(name));
            let versions = rows.map(|row| row.record.version.as_ref());
            Some(ServiceVersion {
                service: service.clone(),
                versions: ObservedVersions::of(versions)?,
            })
        });
        services.collect()
    }

    /// Returns the number of endpoints of a service.
    #[must_use]
    pub fn service_size(&self, service: &PoolName) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// Returns the position of an endpoint among those of its service.
    #[must_use]
    pub fn place(&self, service: &PoolName, name: &EndpointName) -> Option<usize> {
        self.by_service.get(service)?.binary_search(name).ok()
    }

    /// Sets how long status updates count.
    pub fn set_status_lifetime(&mut self, lifetime: StatusLifetime) {
        self.status_lifetime = lifetime;
    }

    /// Returns the number of engines with a recent status update.
    #[must_use]
    pub fn reporting_engines(&self, now: ClockTime) -> u32 {
        let reporting = self.rows.values().filter(|row| row.status(now).is_some());
        u32::try_from(reporting.count()).unwrap_or(u32::MAX)
    }

    /// Returns all endpoints.
    pub fn all(&self) -> impl Iterator<Item = &EndpointRow> {
        self.rows.values()
    }

    /// Returns the index of which endpoints cache which leading parts of prompts.
    #[must_use]
    pub fn prefixes(&self) -> &PrefixIndex {
        &self.prefixes
    }

    /// Returns the number of this gateway's requests by engine and model.
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

    /// Returns the adapters that this gateway uses at an endpoint or has used since the previous call.
    pub fn take_used_adapters(&mut self, name: &EndpointName) -> Vec<AdapterUse> {
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
