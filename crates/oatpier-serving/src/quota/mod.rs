//! What workspaces use, held within their limits over all gateways, in touch or not.
//!
//! A limit is divided into a few parts, and each part is held by one gateway: it alone hands out what the part
//! gives, to itself and to others. A gateway that has to send a request asks a holder for its units, the nearest
//! one first, and another one where that has none left; what it was given counts for a moment only. So the sum
//! stays within the limit however the fleet is cut, and callers of a workspace may all come to one gateway.
//!
//! - [`bounds`]: what the platform allows beside the limit itself.
//! - [`tenure`]: which gateway holds which part, by leases in the store.
//! - [`holder`]: handing out what a part gives.
//! - [`holders`]: which holders answer.
//! - [`grants`]: what a gateway was given, and whom it asks next.
//! - [`turns`]: the same for the limits that endpoints put on the requests of all gateways.
//!
//! A holder that is gone takes its part along until it is back, or until its lease has run out: the other parts
//! go on. That is why there are a few and not one. Many would each give too little for one request.

pub mod bounds;
pub mod grants;
pub mod holder;
pub mod holders;
pub mod tenure;
pub mod turns;

use std::fmt;

use serde::{Deserialize, Serialize};

/// Parts of each limit. With three, a workspace that uses half of its limit does not notice that a holder is gone.
pub const PARTS: u8 = 3;

/// One of the parts of all limits, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct PartIndex(pub u8);

impl PartIndex {
    /// All parts.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTS).map(Self)
    }

    /// Its place in a table of all parts.
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
