//! Keys, revisions and leases.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use oatpier_ports::store::{ExpectedValue, KeyChange, LeaseId, StoreError, StoredValue};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Revision;

use super::MAX_VALUE_BYTES;

/// Last change of a key. The entry of a removed key is kept, so that a later watch still returns
/// the removal.
#[derive(Debug)]
struct KeyEntry {
    revision: Revision,
    value: Option<Bytes>,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct LeaseEntry {
    ttl: Duration,
    lapses: ClockTime,
}

/// Keys and leases of one store. Each call first removes the leases that have lapsed.
///
/// A watch returns only the last change of each key: two writes to one key between two calls are
/// returned as one change.
#[derive(Debug, Default)]
pub struct StoreCore {
    revision: Revision,
    keys: BTreeMap<String, KeyEntry>,
    leases: BTreeMap<u64, LeaseEntry>,
    last_lease: u64,
}

impl StoreCore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the last change of any key.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns when the next lease lapses if it isn't renewed.
    #[must_use]
    pub fn next_lapse(&self) -> ClockTime {
        let lapses = self.leases.values().map(|lease| lease.lapses);
        lapses.min().unwrap_or(ClockTime::NEVER)
    }

    /// Removes the leases that have lapsed, and the values bound to them.
    pub fn expire(&mut self, now: ClockTime) {
        while let Some(lease) = self.lapsed_lease(now) {
            self.drop_lease(lease);
        }
    }

    fn lapsed_lease(&self, now: ClockTime) -> Option<LeaseId> {
        self.leases
            .iter()
            .find(|(_, lease)| lease.lapses <= now)
            .map(|(id, _)| LeaseId(*id))
    }

    fn drop_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease.0);
        let bound: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in bound {
            self.change(key, None, None);
        }
    }

    fn change(&mut self, key: String, value: Option<Bytes>, lease: Option<LeaseId>) -> Revision {
        self.revision = self.revision.next();
        let entry = KeyEntry {
            revision: self.revision,
            value,
            lease,
        };
        self.keys.insert(key, entry);
        self.revision
    }

    /// Reads a value.
    pub fn get(&mut self, now: ClockTime, key: &str) -> Option<StoredValue> {
        self.expire(now);
        let entry = self.keys.get(key)?;
        stored(key, entry)
    }

    /// Reads all values under a prefix, sorted by key.
    pub fn list(&mut self, now: ClockTime, prefix: &str) -> Vec<StoredValue> {
        self.expire(now);
        self.entries_under(prefix)
            .filter_map(|(key, entry)| stored(key, entry))
            .collect()
    }

    fn entries_under<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a KeyEntry)> {
        self.keys
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Writes a value if the current state of the key is as expected.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::TooLarge`], [`StoreError::LeaseLapsed`] or [`StoreError::Conflict`].
    /// Nothing is written then.
    pub fn put(
        &mut self,
        now: ClockTime,
        key: &str,
        value: Bytes,
        expected: ExpectedValue,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        self.expire(now);
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { bytes: value.len() });
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease.0)) {
            return Err(StoreError::LeaseLapsed);
        }
        self.check(key, expected)?;
        Ok(self.change(key.to_owned(), Some(value), lease))
    }

    /// Removes a key if its current state is as expected.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`]. Nothing is removed then.
    pub fn delete(
        &mut self,
        now: ClockTime,
        key: &str,
        expected: ExpectedValue,
    ) -> Result<(), StoreError> {
        self.expire(now);
        self.check(key, expected)?;
        if self.current(key) != Revision(0) {
            self.change(key.to_owned(), None, None);
        }
        Ok(())
    }

    fn current(&self, key: &str) -> Revision {
        self.keys
            .get(key)
            .filter(|entry| entry.value.is_some())
            .map_or(Revision(0), |entry| entry.revision)
    }

    fn check(&self, key: &str, expected: ExpectedValue) -> Result<(), StoreError> {
        let current = self.current(key);
        let is_expected = match expected {
            ExpectedValue::Any => true,
            ExpectedValue::Absent => current == Revision(0),
            ExpectedValue::At(revision) => current == revision,
        };
        if is_expected {
            Ok(())
        } else {
            Err(StoreError::Conflict { current })
        }
    }

    /// Grants a lease.
    pub fn grant_lease(&mut self, now: ClockTime, ttl: Duration) -> LeaseId {
        self.last_lease += 1;
        let lapses = now + ttl;
        self.leases
            .insert(self.last_lease, LeaseEntry { ttl, lapses });
        LeaseId(self.last_lease)
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::LeaseLapsed`] if the lease has lapsed.
    pub fn renew_lease(&mut self, now: ClockTime, lease: LeaseId) -> Result<(), StoreError> {
        self.expire(now);
        let entry = self
            .leases
            .get_mut(&lease.0)
            .ok_or(StoreError::LeaseLapsed)?;
        entry.lapses = now + entry.ttl;
        Ok(())
    }

    /// Removes a lease, and the values bound to it.
    pub fn revoke_lease(&mut self, now: ClockTime, lease: LeaseId) {
        self.expire(now);
        self.drop_lease(lease);
    }

    /// Returns the last changes of keys under `prefix` that are later than `after`, oldest first.
    pub fn changes(&mut self, now: ClockTime, prefix: &str, after: Revision) -> Vec<KeyChange> {
        self.expire(now);
        let mut changes: Vec<KeyChange> = self
            .entries_under(prefix)
            .filter(|(_, entry)| entry.revision > after)
            .map(|(key, entry)| KeyChange {
                key: key.clone(),
                value: entry.value.clone(),
                revision: entry.revision,
            })
            .collect();
        changes.sort_by_key(|change| change.revision);
        changes
    }
}

fn stored(key: &str, entry: &KeyEntry) -> Option<StoredValue> {
    Some(StoredValue {
        key: key.to_owned(),
        value: entry.value.clone()?,
        revision: entry.revision,
    })
}
