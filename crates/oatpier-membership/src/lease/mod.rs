//! The planner's lease: at most one process plans for an availability zone.
//!
//! The lease is one value in the store, which its holder renews by compare-and-swap. Another
//! process takes it after it saw no renewal for the whole time to live on its own clock, under a
//! term that is higher by one. No clock is compared with another.
//!
//! A holder that was paused finds on its own clock that the lease is over, before it acts. Were
//! it paused between that check and its write, the plan's compare-and-swap refuses the write:
//! the next holder's first act is to write the plan under its own term, see [`may_write`].

use std::time::Duration;

use oatpier_types::ids::{BootId, Revision, Term};
use oatpier_types::names::{DaemonName, ZoneName};
use serde::{Deserialize, Serialize};

mod keeper;

pub use keeper::LeaseKeeper;

/// How long a lease lasts after its last renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// How often a holder renews.
pub const RENEW_EVERY: Duration = Duration::from_secs(2);

/// How long a holder acts on it: it stops a while before, for clocks that don't run alike.
pub const LEASE_VALID: Duration = Duration::from_secs(5);

/// How many entries of an availability zone wait for the lease: more would only read.
pub const LEASE_CANDIDATES: usize = 3;

/// How long a failed call to the store is not made again.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(800);

/// The key of an availability zone's planner lease.
#[must_use]
pub fn lease_key(zone: &ZoneName) -> String {
    format!("lease/planner/{zone}")
}

/// Whether a planner of `own` term may write over a plan that was made under `found`. The write
/// itself must be a compare-and-swap on the revision that was read with `found`.
#[must_use]
pub fn may_write(own: Term, found: Term) -> bool {
    found <= own
}

/// The value in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlannerLease {
    /// The holder.
    pub holder: DaemonName,
    /// The holder's start: a restarted process does not hold its former lease.
    pub boot: BootId,
    /// Rises by one with each new holder.
    pub term: Term,
    /// Counts renewals, so that a holder knows its own write again.
    pub renewals: u64,
    /// Whether the holder gave it up: the next may take it at once.
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

/// How a write of the lease ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseWrite {
    /// It is there, at this revision.
    Written(Revision),
    /// Another value is there.
    Conflict,
    /// It had no effect.
    Failed,
    /// It may have had an effect.
    AnswerLost,
}

/// What a keeper hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick,
    /// A read ended; `Err`: the store did not answer.
    Read(Result<Option<StoredLease>, ()>),
    /// A write ended.
    Wrote(LeaseWrite),
    /// Whether this process is among the few of its availability zone that wait for the lease
    /// (rendezvous hashing picks [`LEASE_CANDIDATES`]). All are until told otherwise. A holder
    /// stays one.
    Candidate(bool),
    /// The process leaves, or should no longer plan.
    Release,
}

/// What a keeper wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease.
    Read,
    /// Write the lease, if the key is at `expected` (none: if it is absent).
    Write {
        /// The value.
        lease: PlannerLease,
        /// What must be there.
        expected: Option<Revision>,
    },
    /// This process plans now, under the term. Its first act is to write the plan anew.
    Gained(Term),
    /// This process plans no longer.
    Lost(Term),
}
