//! Everything that an entry decides about configuration and membership, put together.
//!
//! The owner sends the calls, brings back their ends (none after
//! [`crate::spread::CALL_WITHIN`]), hands in the calls of others, and wakes the machine at
//! [`EntryMember::next_wake`].

mod calls;
mod member;

use std::time::Duration;

use oatpier_types::ids::Revision;
use oatpier_types::names::DaemonName;
use oatpier_types::status::QueueReport;

use crate::exchange::ExchangeScope;
use crate::generation::{ConfigPayload, HeldConfig};
use crate::members::{MemberChange, MemberPhase, PathEvidence, VmHint};
use crate::messages::{EntryContact, NamedStop, PeerAnswer, PeerCall};
use crate::spread::StoreReply;
use crate::stops::StopWord;

pub use member::EntryMember;

/// The number of a call that this process makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallNumber(pub u64);

/// What an entry hears.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryEvent<P: ConfigPayload> {
    /// Time has passed.
    Tick,
    /// A call of this process ended; none: lost.
    CallEnded {
        /// Which.
        call: CallNumber,
        /// The answer.
        answer: Option<Box<PeerAnswer<P>>>,
    },
    /// The read or the watch of the configuration ended.
    StoreEnded(StoreReply<P>),
    /// The whole list of planned stops was read from the store.
    StopsListed(Vec<NamedStop>),
    /// A planned stop was asked for or withdrawn, as the store's watch saw it.
    StopChanged(NamedStop),
    /// The list of VMs was read.
    Hints(Vec<VmHint>),
    /// An attempt on the data path told whether an agent is there.
    Path {
        /// The agent.
        daemon: DaemonName,
        /// What it told.
        evidence: PathEvidence,
    },
    /// An answer on the data path brought an agent's queue.
    QueueReport {
        /// The agent.
        daemon: DaemonName,
        /// Its queue.
        report: QueueReport,
    },
    /// This entry's own phase.
    Phase(MemberPhase),
    /// Which entries are a group.
    Scope(ExchangeScope),
}

/// What an entry does.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryAction<P: ConfigPayload> {
    /// Call another process.
    Call {
        /// The number to report its end by.
        call: CallNumber,
        /// Whom.
        to: EntryContact,
        /// The call.
        body: PeerCall<P>,
    },
    /// Read the configuration from the store. This and the next take the place of a call that is
    /// still open, whose end must not be reported any more.
    ReadConfig,
    /// Wait for a change of it.
    WatchConfig {
        /// The revision that is known.
        after: Revision,
        /// How long to wait.
        wait: Duration,
    },
    /// This configuration is in force from now on.
    InForce(HeldConfig<P>),
    /// A member's state changed.
    Changed(MemberChange),
    /// A planned stop of this entry was asked for or withdrawn.
    Stop(StopWord),
}
