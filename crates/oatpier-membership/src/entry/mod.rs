//! The combined state machine of an entry for configuration and membership.
//!
//! The caller sends the calls and reports their ends (without an answer after
//! [`crate::spread::CALL_TIMEOUT`]). It also passes in the calls of other processes, and sends a
//! tick at [`EntryMember::next_wake`].

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
use crate::stops::StopRequest;

pub use member::EntryMember;

/// The number of a call made by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallNumber(pub u64);

/// An input of an [`EntryMember`].
#[derive(Debug, Clone, PartialEq)]
pub enum EntryEvent<P: ConfigPayload> {
    /// Time has passed.
    Tick,
    /// A call of this process ended.
    CallEnded {
        /// The number of the call.
        call: CallNumber,
        /// The answer; `None`: the call was lost.
        answer: Option<Box<PeerAnswer<P>>>,
    },
    /// A read or a watch of the configuration ended.
    StoreEnded(StoreReply<P>),
    /// The complete list of planned stops was read from the store.
    StopsListed(Vec<NamedStop>),
    /// The watch in the store reported that a planned stop was requested or withdrawn.
    StopChanged(NamedStop),
    /// The platform's list of VMs was read.
    Hints(Vec<VmHint>),
    /// An attempt on the data path showed whether an agent is reachable.
    Path {
        /// The agent.
        daemon: DaemonName,
        /// What the attempt showed.
        evidence: PathEvidence,
    },
    /// An answer on the data path contained an agent's queue report.
    QueueReport {
        /// The agent.
        daemon: DaemonName,
        /// The queue report.
        report: QueueReport,
    },
    /// The phase of this entry.
    Phase(MemberPhase),
    /// Which entries form a group.
    Scope(ExchangeScope),
}

/// An action that an [`EntryMember`] requests.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryAction<P: ConfigPayload> {
    /// Call another process.
    Call {
        /// The number under which to report the end of the call.
        call: CallNumber,
        /// The process to call.
        to: EntryContact,
        /// The message to send.
        body: PeerCall<P>,
    },
    /// Read the configuration from the store. This action and [`Self::WatchConfig`] replace a store
    /// call that is still open, whose end must no longer be reported.
    ReadConfig,
    /// Wait for a change of the configuration in the store.
    WatchConfig {
        /// The last known revision.
        after: Revision,
        /// How long to wait.
        wait: Duration,
    },
    /// This configuration is now in force.
    InForce(HeldConfig<P>),
    /// A member's state changed.
    Changed(MemberChange),
    /// A planned stop of this entry was requested or withdrawn.
    Stop(StopRequest),
}
