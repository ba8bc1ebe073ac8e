//! Gossip and summaries between entries: changed rows within a group, summaries between groups.
//!
//! The entries of an availability zone form a group. A small fleet is a single group, as an
//! availability zone with one entry would have no peer to gossip with. Each entry that learns of a
//! changed row sends it to a few random peers, a fixed number of times. Periodically, two entries
//! compare hashes of their tables, which finds rows that gossip missed.
//!
//! An entry votes a peer silent when the peer leaves several calls in a row unanswered. One such
//! vote removes no member (see [`crate::members`]). An entry that learns of silent votes about
//! itself refutes them with a higher incarnation, with increasing delay, so that a link cut in one
//! direction does not make it flap. An entry that receives answers from only a minority of the
//! others suspends its silent votes for a while.

mod group;
mod isolation;
mod own;
mod probe;
mod rumors;
mod summaries;

use std::time::Duration;

use oatpier_types::names::DaemonName;
use serde::{Deserialize, Serialize};

use crate::messages::{EntryContact, EntryGossip, SummaryCall};

pub use group::EntryExchange;
pub(crate) use isolation::RECENT_WINDOW;
pub use isolation::ReachableShare;
pub use probe::LOST_IN_ROW;
pub use summaries::{SUMMARY_BURST, SUMMARY_EVERY, SUMMARY_ROWS_PER_SECOND, SummaryExchange};

/// The interval between two rounds of gossip.
pub const GOSSIP_EVERY: Duration = Duration::from_secs(1);

/// The number of peers contacted in one round.
pub const GOSSIP_FANOUT: usize = 2;

/// How many times one entry sends a changed row.
pub const ROW_SENDS: u8 = 4;

/// How many times one entry forwards a row of another availability zone's summary. Fewer than for
/// members' rows, as the row is renewed periodically.
pub const SUMMARY_SENDS: u8 = 2;

/// The number of rounds between two comparisons of whole tables.
pub const DIGEST_ROUNDS: u64 = 10;

/// Which entries form a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub enum ExchangeScope {
    /// The entries of one availability zone.
    #[default]
    Zone,
    /// All entries.
    Fleet,
}

/// The number of endpoints up to which a fleet is a single group.
pub const SMALL_FLEET: usize = 128;

impl ExchangeScope {
    /// Returns the scope for a fleet with this many endpoints.
    #[must_use]
    pub fn for_fleet(endpoints: usize) -> Self {
        if endpoints <= SMALL_FLEET {
            Self::Fleet
        } else {
            Self::Zone
        }
    }
}

/// A message to send, or a change to handle.
#[derive(Debug, Clone, PartialEq)]
pub enum ExchangeAction {
    /// Send gossip to an entry of the group.
    Gossip {
        /// The entry.
        to: EntryContact,
        /// The message.
        gossip: Box<EntryGossip>,
    },
    /// Send a summary to an entry of another availability zone.
    Summary {
        /// The entry.
        to: EntryContact,
        /// The message.
        call: Box<SummaryCall>,
    },
    /// This entry's incarnation rose: its votes must be sent again.
    IncarnationRaised,
    /// Another entry knows an earlier boot of this entry.
    Former {
        /// What is known of that boot.
        former: crate::messages::FormerBoot,
    },
    /// This entry's own calls showed that a peer became unreachable, or reachable again.
    PeerChanged {
        /// The peer.
        daemon: DaemonName,
        /// Whether the peer answers.
        is_answering: bool,
    },
}
