//! The platform's key-value service.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use oatpier_types::ids::Revision;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The id of a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// A value with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// The key.
    pub key: String,
    /// The content, at most one megabyte.
    pub value: Bytes,
    /// The revision of the last write.
    pub revision: Revision,
}

/// The precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedValue {
    /// No value exists under the key.
    Absent,
    /// The value has this revision.
    At(Revision),
    /// No precondition.
    Any,
}

/// A change reported by a watch: a value was written or a key was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// The new value; none if the key was removed.
    pub value: Option<Bytes>,
    /// The revision of the change.
    pub revision: Revision,
}

/// Reasons why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum StoreError {
    /// The precondition failed. Nothing was written.
    #[error("another write came first (the key is at revision {current})")]
    Conflict {
        /// The key's revision; 0 if there is no value.
        current: Revision,
    },
    /// The lease has expired or never existed. Nothing was written.
    #[error("the lease has expired or does not exist")]
    LeaseLapsed,
    /// The store refused the call or could not be reached. Nothing was written.
    #[error("the key-value service refused the call or could not be reached: {cause}")]
    Unavailable {
        /// The cause.
        cause: String,
    },
    /// The call was sent and no answer arrived: a write may have taken effect.
    #[error("the key-value service gave no answer: {cause}")]
    AnswerLost {
        /// The cause.
        cause: String,
    },
    /// The value exceeds the store's size limit.
    #[error("a value of {bytes} bytes is too large for the key-value service")]
    TooLarge {
        /// The size of the value.
        bytes: usize,
    },
}

/// The platform's key-value service. Every call counts against its rate limits; a watch counts as
/// one call.
pub trait KeyStore: Send + Sync {
    /// Reads a value.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>>;

    /// Reads all values whose keys start with `prefix`, sorted by key.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<StoredValue>, StoreError>>;

    /// Writes a value if the precondition holds. A value that is bound to a lease is removed with
    /// it.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expected: ExpectedValue,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>>;

    /// Removes a key if the precondition holds.
    fn delete<'a>(
        &'a self,
        key: &'a str,
        expected: ExpectedValue,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Grants a lease that expires `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Revokes a lease and removes the values bound to it.
    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Waits for changes under `prefix` later than `after`. Returns an empty list if there is none
    /// within `wait`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Vec<KeyChange>, StoreError>>;
}
