//! What entries tell each other: changed rows within a group, summaries between groups.
//!
//! The entries of an availability zone are a group; a small fleet is one group as a whole, as an
//! availability zone with one entry would have nobody to tell. A changed row is told to a few
//! random others by each entry that learns it, a fixed number of times; now and then two entries
//! compare hashes of their tables, which finds what that missed.
//!
//! A peer that leaves several calls in a row unanswered is complained of. One complaint removes
//! nobody (see [`crate::members`]); an entry that learns of a complaint about itself answers it
//! with a higher incarnation, more and more slowly, so that a link cut in one direction does not
//! make it come and go. An entry that hears the minor part of the others complains of nobody for
//! a while.

mod group;
mod own;
mod probe;
mod reach;
mod rumors;
mod summaries;

use std::time::Duration;

use oatpier_types::names::DaemonName;
use serde::{Deserialize, Serialize};

use crate::messages::{EntryContact, EntryGossip, SummaryCall};

pub use group::EntryExchange;
pub use probe::LOST_IN_ROW;
pub(crate) use reach::HEARD_WITHIN;
pub use reach::HeardShare;
pub use summaries::{SUMMARY_BURST, SUMMARY_EVERY, SUMMARY_ROWS_PER_SECOND, SummaryExchange};

/// Time between two rounds of gossip.
pub const GOSSIP_EVERY: Duration = Duration::from_secs(1);

/// Peers that get gossip in one round.
pub const GOSSIP_FANOUT: usize = 2;

/// How often one entry tells a changed row.
pub const ROW_SENDS: u8 = 4;

/// How often one entry passes on a row of another availability zone's summary. It will be made
/// anew before long.
pub const SUMMARY_SENDS: u8 = 2;

/// Rounds between two comparisons of whole tables.
pub const DIGEST_ROUNDS: u64 = 10;

/// Which entries are a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub enum ExchangeScope {
    /// Those of one availability zone.
    #[default]
    Zone,
    /// All.
    Fleet,
}

/// A fleet of at most this many endpoints is one group.
pub const SMALL_FLEET: usize = 128;

impl ExchangeScope {
    /// The scope for a fleet with so many endpoints.
    #[must_use]
    pub fn for_fleet(endpoints: usize) -> Self {
        if endpoints <= SMALL_FLEET {
            Self::Fleet
        } else {
            Self::Zone
        }
    }
}

/// A message to send.
#[derive(Debug, Clone, PartialEq)]
pub enum ExchangeAction {
    /// Gossip to an entry of the group.
    Gossip {
        /// To whom.
        to: EntryContact,
        /// What.
        gossip: Box<EntryGossip>,
    },
    /// A summary to an entry of another availability zone.
    Summary {
        /// To whom.
        to: EntryContact,
        /// What.
        call: Box<SummaryCall>,
    },
    /// This entry's incarnation rose: its words must be said anew.
    Renewed,
    /// A former start of this entry had this configuration in force.
    Former {
        /// The former start's word.
        former: crate::messages::FormerBoot,
    },
    /// An entry was lost or found again by this entry's own calls.
    Complaint {
        /// About whom.
        daemon: DaemonName,
        /// Whether it answers.
        answers: bool,
    },
}
