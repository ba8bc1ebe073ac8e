//! Limits on the use of workspaces, enforced over all gateways and also during network partitions.
//!
//! Each limit is divided into a few parts, and each part is held by one gateway. Only that gateway grants units of the
//! part, to itself and to others. A gateway that is about to send a request queries a holder for units, one after the
//! other until a part has enough left. Granted units expire after a moment. The sum therefore stays within the limit in
//! any network partition, and all callers of a workspace may connect to the same gateway.
//!
//! - [`bounds`]: how far use may exceed a limit.
//! - [`lease`]: leases that assign the parts to gateways, kept in the store.
//! - [`holder`]: grants from the parts that this gateway holds.
//! - [`holders`]: which holders respond.
//! - [`grants`]: units that this gateway was granted, and which holder it queries next.
//! - [`turns`]: the same for limits that endpoints set on the requests of all gateways.
//!
//! While the holder of a part is down, its part grants nothing until the holder is back or its lease has expired. The
//! other parts remain available, which is why a limit has several parts. With many parts, each one would grant too
//! little for a single request.

pub mod bounds;
pub mod grants;
pub mod holder;
pub mod holders;
pub mod lease;
pub mod turns;

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of parts of each limit. With three, a workspace that uses half of its limit is not affected by the loss of
/// one holder.
pub const PARTS: u8 = 3;

/// Index of a part, from 0. All limits are divided into the same parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct PartIndex(pub u8);

impl PartIndex {
    /// Iterates over all parts.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTS).map(Self)
    }

    /// Returns the index into an array of all parts.
    #[must_use]
    pub fn place(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for PartIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
