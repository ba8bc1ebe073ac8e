//! The platform's key-value service.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use oatpier_types::ids::Revision;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The number of a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// A value with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// Where it is kept.
    pub key: String,
    /// Its bytes, at most a megabyte.
    pub value: Bytes,
    /// The revision that its last write made.
    pub revision: Revision,
}

/// What a write expects to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedValue {
    /// No value under the key.
    Absent,
    /// The value that this write made.
    At(Revision),
    /// Anything.
    Any,
}

/// A change that a watch saw: a value written or a key removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// The new value; none if the key was removed.
    pub value: Option<Bytes>,
    /// The revision of the change.
    pub revision: Revision,
}

/// Why the store did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum StoreError {
    /// The value was not the expected one. Nothing was written.
    #[error("another write came first (the key is at revision {current})")]
    Conflict {
        /// The key's revision; 0 if there is no value.
        current: Revision,
    },
    /// The lease has lapsed or never was. Nothing was written.
    #[error("the lease has lapsed")]
    LeaseLapsed,
    /// The store refused or could not be reached. Nothing was written.
    #[error("the key-value service did not take the call: {cause}")]
    Unavailable {
        /// What happened.
        cause: String,
    },
    /// The call was sent and no answer came: a write may have taken effect.
    #[error("the key-value service gave no answer: {cause}")]
    AnswerLost {
        /// What happened.
        cause: String,
    },
    /// The value is larger than the store takes.
    #[error("a value of {bytes} bytes is too large for the key-value service")]
    TooLarge {
        /// The value's size.
        bytes: usize,
    },
}

/// The platform's key-value service. Every call counts against its rates, a waiting watch as one.
pub trait KeyStore: Send + Sync {
    /// Reads a value.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>>;

    /// Reads all values whose keys start with `prefix`, sorted by key.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<StoredValue>, StoreError>>;

    /// Writes a value if what is there is as expected; bound to a lease, it goes with it.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expected: ExpectedValue,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>>;

    /// Removes a key if what is there is as expected.
    fn delete<'a>(
        &'a self,
        key: &'a str,
        expected: ExpectedValue,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Makes a lease that lapses `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Ends a lease, and the values bound to it.
    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Waits for changes under `prefix` later than `after`; empty if none came for `wait`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Vec<KeyChange>, StoreError>>;
}
