//! Assignment of keys to claimers.

use oatpier_types::names::DaemonName;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::message::KeyHash;

/// Number of partitions. Part of the layout in the store: claims made with another count are not
/// found.
pub const PARTITION_COUNT: u16 = 8;

/// A partition of the keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct PartitionId(pub u16);

impl PartitionId {
    /// Returns the partition of a key.
    #[must_use]
    pub fn of(key: KeyHash) -> Self {
        let partition = key.0 % u128::from(PARTITION_COUNT);
        Self(u16::try_from(partition).unwrap_or_default())
    }

    /// Returns all partitions.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITION_COUNT).map(Self)
    }
}

impl fmt::Display for PartitionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:03}", self.0)
    }
}

/// The claimer of each partition, selected among the known entries by rendezvous hashing.
///
/// Entries with different membership views temporarily select different claimers. That causes
/// takeovers, but never a second grant.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PartitionMap {
    owners: Vec<DaemonName>,
}

impl PartitionMap {
    /// Creates the map for these entries, in any order.
    #[must_use]
    pub fn new(entries: &[DaemonName]) -> Self {
        let owners = PartitionId::all()
            .filter_map(|partition| claimer_among(entries, partition))
            .collect();
        Self { owners }
    }

    /// Returns the claimer of a partition, or none if no entry is known.
    #[must_use]
    pub fn owner(&self, partition: PartitionId) -> Option<&DaemonName> {
        self.owners.get(usize::from(partition.0))
    }

    /// Returns the claimer of a key.
    #[must_use]
    pub fn claimer_of(&self, key: KeyHash) -> Option<&DaemonName> {
        self.owner(PartitionId::of(key))
    }
}

fn claimer_among(entries: &[DaemonName], partition: PartitionId) -> Option<DaemonName> {
    entries
        .iter()
        .max_by_key(|entry| {
            let weight = xxh3_64_with_seed(entry.as_str().as_bytes(), u64::from(partition.0));
            (weight, *entry)
        })
        .cloned()
}
