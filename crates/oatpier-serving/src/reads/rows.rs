//! The rows of a registry, each with the position at which its last change was seen.

use std::collections::{HashMap, HashSet, VecDeque};

use oatpier_types::names::EndpointName;

use super::delta::{RemovedEndpoint, StorePosition};
use super::digest::endpoint_digest;
use crate::directory::EndpointRecord;

/// Maximum number of removed endpoints that are remembered.
const MAX_REMOVED: usize = 512;

#[derive(Debug, Clone)]
struct ListedRow {
    record: EndpointRecord,
    /// Digest of the record.
    digest: u64,
    /// Whether the store listed it when it was last read. A row that is not listed is kept for a while.
    is_listed: bool,
    /// The position at which its last change was seen.
    changed_at: StorePosition,
}

#[derive(Debug, Clone)]
struct RemovedRow {
    endpoint: RemovedEndpoint,
    /// The position at which its removal was seen.
    removed_at: StorePosition,
}

/// The rows of a registry and the history of their changes.
#[derive(Debug, Clone)]
pub(super) struct RegistryRows {
    rows: HashMap<EndpointName, ListedRow>,
    /// Removed endpoints, in order of their removal.
    removed: VecDeque<RemovedRow>,
    /// The position after which each change is known.
    history_start: StorePosition,
    /// The digests of all listed rows combined.
    digest: u64,
    /// Number of changes so far.
    changes: u64,
}

impl RegistryRows {
    pub(super) fn new(history_start: StorePosition) -> Self {
        Self {
            rows: HashMap::new(),
            removed: VecDeque::new(),
            history_start,
            digest: 0,
            changes: 0,
        }
    }

    pub(super) fn history_start(&self) -> StorePosition {
        self.history_start
    }

    /// Returns the combined digest of the listed rows.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of changes so far, of rows that differ in what their digest covers.
    pub(super) fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the listed endpoints.
    pub(super) fn listed(&self) -> impl Iterator<Item = &EndpointRecord> {
        let rows = self.rows.values().filter(|row| row.is_listed);
        rows.map(|row| &row.record)
    }

    /// Returns the endpoints that are kept although they are not listed.
    pub(super) fn kept(&self) -> impl Iterator<Item = &EndpointName> {
        let rows = self.rows.values().filter(|row| !row.is_listed);
        rows.map(|row| &row.record.name)
    }

    /// Returns the incarnations that are kept although they are not listed.
    pub(super) fn kept_incarnations(&self) -> Vec<RemovedEndpoint> {
        let rows = self.rows.values().filter(|row| !row.is_listed);
        rows.map(|row| RemovedEndpoint::of(&row.record)).collect()
    }

    /// Returns the endpoints that are not among `listed`.
    pub(super) fn names_without(&self, listed: &[EndpointRecord]) -> Vec<EndpointName> {
        let listed: HashSet<&EndpointName> = listed.iter().map(|record| &record.name).collect();
        let names = self.rows.keys();
        let missing = names.filter(|name| !listed.contains(name));
        missing.cloned().collect()
    }

    /// Returns whether the row under this name belongs to the removed incarnation.
    pub(super) fn holds(&self, removed: &RemovedEndpoint) -> bool {
        let row = self.rows.get(&removed.name);
        row.is_some_and(|row| row.record.start == removed.start)
    }

    /// Returns whether an endpoint is kept although it is not listed.
    pub(super) fn keeps(&self, name: &EndpointName) -> bool {
        self.rows.get(name).is_some_and(|row| !row.is_listed)
    }

    /// Adds or replaces an endpoint. Only changes that other gateways need to know are recorded as such.
    pub(super) fn insert(&mut self, record: EndpointRecord, changed_at: StorePosition) {
        let digest = endpoint_digest(&record);
        let listed = self.rows.get(&record.name).filter(|row| row.is_listed);
        let unchanged = listed.filter(|row| row.digest == digest);
        self.changes += u64::from(unchanged.is_none());
        let changed_at = unchanged.map_or(changed_at, |row| row.changed_at);
        self.digest ^= listed.map_or(0, |row| row.digest) ^ digest;
        if listed.is_none() {
            self.removed.retain(|row| row.endpoint.name != record.name);
        }
        let row = ListedRow {
            record,
            digest,
            is_listed: true,
            changed_at,
        };
        self.rows.insert(row.record.name.clone(), row);
    }

    /// Keeps an endpoint that is no longer listed, unless it was leaving.
    pub(super) fn keep(&mut self, name: &EndpointName, removed_at: StorePosition) {
        let Some(row) = self.rows.get_mut(name) else {
            return;
        };
        if row.record.draining {
            self.remove(name, removed_at);
        } else if std::mem::replace(&mut row.is_listed, false) {
            self.digest ^= row.digest;
            self.changes += 1;
        }
    }

    pub(super) fn remove(&mut self, name: &EndpointName, removed_at: StorePosition) {
        let Some(row) = self.rows.remove(name) else {
            return;
        };
        self.changes += 1;
        if row.is_listed {
            self.digest ^= row.digest;
        }
        self.removed.push_back(RemovedRow {
            endpoint: RemovedEndpoint::of(&row.record),
            removed_at,
        });
        if self.removed.len() > MAX_REMOVED
            && let Some(forgotten) = self.removed.pop_front()
        {
            self.history_start = self.history_start.max(forgotten.removed_at);
        }
    }

    /// Forgets when rows changed, because earlier positions can't be compared with later ones.
    pub(super) fn forget_history(&mut self, start: StorePosition) {
        self.history_start = start;
        self.removed.clear();
        for row in self.rows.values_mut() {
            row.changed_at = start;
        }
    }

    /// Returns the positions of all known changes, in no order.
    pub(super) fn change_positions(&self) -> impl Iterator<Item = StorePosition> {
        let changed = self.rows.values().map(|row| row.changed_at);
        changed.chain(self.removed.iter().map(|row| row.removed_at))
    }

    /// Returns the endpoints that were added or changed after a position.
    pub(super) fn changed_since(&self, since: StorePosition) -> Vec<EndpointRecord> {
        let listed = self.rows.values().filter(|row| row.is_listed);
        let changed = listed.filter(|row| row.changed_at > since);
        changed.map(|row| row.record.clone()).collect()
    }

    /// Returns the endpoints that were removed after a position.
    pub(super) fn removed_since(&self, since: StorePosition) -> Vec<RemovedEndpoint> {
        let rows = self.removed.iter().filter(|row| row.removed_at > since);
        rows.map(|row| row.endpoint.clone()).collect()
    }
}
