//! Changes of the registry that gateways send to each other.

use std::time::Duration;

use oatpier_types::names::EndpointName;
use serde::{Deserialize, Serialize};

use super::digest::ContentsDigest;
use crate::directory::EndpointRecord;
use crate::engine::StartTime;
use crate::quota::lease::StoreEra;

/// A position in the history of the store. Contents at a later position are newer.
///
/// A store that was restored from an older copy assigns revisions again, in a later era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
pub struct StorePosition {
    /// The copy of the store.
    pub era: StoreEra,
    /// The number of changes, as the store counts them.
    pub revision: u64,
}

/// An endpoint that the registry does not list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RemovedEndpoint {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Start time of the incarnation that was listed, if known.
    pub start: Option<StartTime>,
}

impl RemovedEndpoint {
    pub(super) fn of(record: &EndpointRecord) -> Self {
        Self {
            name: record.name.clone(),
            start: record.start,
        }
    }
}

/// The changes of the registry between two positions, and digests of the contents after them.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoreDelta {
    /// The position after which all changes are included.
    pub since: StorePosition,
    /// The position after the changes.
    pub position: StorePosition,
    /// Time since the read that showed these contents began, in milliseconds.
    pub age_ms: u32,
    /// Time for which the sender has known the store without a gap in which entries could expire, in
    /// milliseconds.
    pub continuous_ms: u32,
    /// Digest of the contents after the changes.
    pub digest: ContentsDigest,
    /// Endpoints that were added or changed.
    pub changed: Vec<EndpointRecord>,
    /// Endpoints that are no longer listed.
    pub removed: Vec<RemovedEndpoint>,
    /// Endpoints that are not listed and that the sender keeps, because they may be about to register again.
    pub kept: Vec<RemovedEndpoint>,
}

impl StoreDelta {
    /// Returns the time since the read that showed these contents began.
    #[must_use]
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ms))
    }

    /// Returns the time for which the sender has known the store without a gap.
    #[must_use]
    pub fn continuous(&self) -> Duration {
        Duration::from_millis(u64::from(self.continuous_ms))
    }
}
