//! The planner's lease, which ensures that at most one process plans for an availability zone.
//!
//! The lease is one value in the store, which its holder renews by compare-and-swap. Another
//! process takes it over after it has seen no renewal for the whole time to live on its own clock,
//! with a term that is higher by one. Clocks of different processes are never compared.
//!
//! A holder that was paused finds on its own clock that the lease has expired, before it acts. If
//! it is paused between that check and its write, the compare-and-swap on the plan rejects the
//! write: the first act of the next holder is to write the plan under its own term, see
//! [`may_write`].

use std::time::Duration;

use oatpier_types::ids::{BootId, Revision, Term};
use oatpier_types::names::{DaemonName, ZoneName};
use serde::{Deserialize, Serialize};

mod keeper;

pub use keeper::LeaseKeeper;

/// How long a lease lasts after its last renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// How often the holder renews the lease.
pub const RENEW_EVERY: Duration = Duration::from_secs(2);

/// How long a holder acts on its lease. Shorter than [`LEASE_TTL`] to allow for clocks that run at
/// different rates.
pub const LEASE_VALID: Duration = Duration::from_secs(5);

/// How many entries of an availability zone wait for the lease. More would only add reads.
pub const LEASE_CANDIDATES: usize = 3;

/// Delay before a failed call to the store is repeated.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(800);

/// Returns the key of an availability zone's planner lease.
#[must_use]
pub fn lease_key(zone: &ZoneName) -> String {
    format!("lease/planner/{zone}")
}

/// Whether a planner with the term `own` may overwrite a plan that was written under the term
/// `found`. The write must be a compare-and-swap on the revision that was read together with
/// `found`.
#[must_use]
pub fn may_write(own: Term, found: Term) -> bool {
    found <= own
}

/// The lease as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlannerLease {
    /// The holder.
    pub holder: DaemonName,
    /// The holder's boot: a restarted process does not hold the lease of its earlier boot.
    pub boot: BootId,
    /// The term, which rises by one with each new holder.
    pub term: Term,
    /// The number of renewals, by which a holder recognizes its own write.
    pub renewals: u64,
    /// Whether the holder released the lease, so that another process may take it at once.
    pub released: bool,
}

/// A lease as read, with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredLease {
    /// The revision.
    pub revision: Revision,
    /// The value.
    pub lease: PlannerLease,
}

/// The result of a write of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseWrite {
    /// It was written at this revision.
    Written(Revision),
    /// The key has another value.
    Conflict,
    /// It failed and had no effect.
    Failed,
    /// The answer was lost; the write may have taken effect.
    AnswerLost,
}

/// An input of a [`LeaseKeeper`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick,
    /// A read ended; `Err`: the store did not answer.
    Read(Result<Option<StoredLease>, ()>),
    /// A write ended.
    Wrote(LeaseWrite),
    /// Whether this process is among the few of its availability zone that wait for the lease
    /// (rendezvous hashing picks [`LEASE_CANDIDATES`]). Every process is a candidate until this
    /// event says otherwise. A holder keeps its lease either way.
    Candidate(bool),
    /// The process leaves, or should no longer plan.
    Release,
}

/// An action that a [`LeaseKeeper`] requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease.
    Read,
    /// Write the lease if the key is at `expected` (`None`: if the key is absent).
    Write {
        /// The value.
        lease: PlannerLease,
        /// The expected revision.
        expected: Option<Revision>,
    },
    /// This process now plans under this term. Its first act is to write the plan again.
    Gained(Term),
    /// This process no longer plans.
    Lost(Term),
}
