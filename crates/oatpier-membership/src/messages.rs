//! What processes say to each other.
//!
//! Each message is a call with an answer. Every one carries the generation of its sender's
//! configuration, so that any exchange at all shows who is behind.

use std::net::SocketAddr;
use std::sync::Arc;

use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::{DaemonName, ZoneName};
use oatpier_types::status::{EndpointStatus, QueueReport};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::generation::{ConfigContent, ConfigPayload};
use crate::members::{MemberPhase, MemberRow};
use crate::stops::StopWord;
use crate::summary::{TableDigest, ZoneSummary};

/// An entry, as peers and agents reach it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct EntryContact {
    /// The process.
    pub daemon: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for other processes of the system.
    pub address: SocketAddr,
}

/// What an agent says to one of its registrars.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// The agent.
    pub daemon: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for entries.
    pub address: SocketAddr,
    /// Its start.
    pub boot: BootId,
    /// Orders the starts of one agent; see [`HeartbeatAnswer::former`].
    pub incarnation: u64,
    /// Whether it serves or leaves.
    pub phase: MemberPhase,
    /// The configuration in force at it.
    pub generation: Generation,
    /// A hash of the entries that it knows; the registrar sends its list if another.
    pub entries_digest: u64,
    /// The rest: all, or only what changes with every request.
    pub body: HeartbeatBody,
}

/// How much a heartbeat says.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum HeartbeatBody {
    /// All. Sent after a change, and when the registrar asks for it.
    Full(Box<EndpointStatus>),
    /// The queue alone: the rest is as in the last full one.
    #[serde(rename = "Pulse")]
    QueueReport {
        /// The number of the last full status.
        ready_sequence: u64,
        /// The queue.
        #[serde(rename = "pulse")]
        report: QueueReport,
    },
}

/// A registrar's answer to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// The configuration in force at the registrar.
    pub generation: Generation,
    /// Whether the next heartbeat must be a full one.
    pub need_full: bool,
    /// Another start of the agent which the registrar holds for the present one.
    pub former: Option<FormerBoot>,
    /// All live entries of the group, if the agent's list is another.
    pub entries: Option<Vec<EntryContact>>,
    /// The registrar's word on a planned stop of the agent, if there is one.
    pub stop: Option<StopWord>,
}

/// What is known of a former start of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FormerBoot {
    /// Its incarnation: the present one must take a higher one.
    pub incarnation: u64,
    /// The configuration that was in force at it: the present one must not go below.
    pub generation: Generation,
}

/// One entry's gossip to another of its group.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EntryGossip {
    /// The sender.
    pub from: EntryContact,
    /// The sender's start.
    pub boot: BootId,
    /// The configuration in force at the sender.
    pub generation: Generation,
    /// Rows that changed of late, the sender's own among them.
    pub rows: Vec<MemberRow>,
    /// Summaries of other availability zones that came of late.
    pub summaries: Vec<ZoneSummary>,
    /// Planned stops that changed of late.
    pub stops: Vec<NamedStop>,
    /// Hashes of the sender's whole table, now and then, to find what gossip missed.
    pub digest: Option<TableDigest>,
}

/// A planned stop of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NamedStop {
    /// The process.
    pub daemon: DaemonName,
    /// What is asked of it.
    pub word: StopWord,
}

/// The answer to gossip.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct GossipAnswer {
    /// The configuration in force at the answering entry.
    pub generation: Generation,
    /// A former start of the sender that the answering entry knows.
    pub former: Option<FormerBoot>,
    /// The answering entry's rows where the hashes differ.
    pub rows: Vec<MemberRow>,
    /// All its summaries and stops, for a sender whose table is empty.
    pub summaries: Vec<ZoneSummary>,
    /// Planned stops, where the hashes differ.
    pub stops: Vec<NamedStop>,
}

/// One availability zone's summary to an entry of another.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SummaryCall {
    /// The sender.
    pub from: EntryContact,
    /// The configuration in force at the sender.
    pub generation: Generation,
    /// What changed.
    pub summary: ZoneSummary,
    /// A few entries of the sender's availability zone, to answer to.
    pub contacts: SmallVec<[EntryContact; 4]>,
}

/// The answer to a summary.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SummaryAnswer {
    /// The configuration in force at the answering entry.
    pub generation: Generation,
    /// A few entries of its availability zone.
    pub contacts: SmallVec<[EntryContact; 4]>,
}

/// Asks for a configuration later than the one that the sender has.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigPull {
    /// Who asks.
    pub daemon: DaemonName,
    /// The sender's start.
    pub boot: BootId,
    /// What the sender has.
    pub have: Generation,
}

/// The answer to a pull.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
pub struct ConfigAnswer<P: ConfigPayload> {
    /// What the answering process has in force.
    pub generation: Generation,
    /// What is known of a former start of the asking process.
    pub former: Option<FormerBoot>,
    /// What brings the sender up to it, if it is behind.
    pub content: Option<ConfigContent<P>>,
}

/// Brings a later configuration to a process unasked.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
pub struct ConfigPush<P: ConfigPayload> {
    /// Who brings it.
    pub daemon: DaemonName,
    /// What the sender has in force.
    pub generation: Generation,
    /// The content.
    pub content: ConfigContent<P>,
}

/// The answer to a push.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigAck {
    /// What the answering process has, in force or about to be.
    pub generation: Generation,
}

/// Any call between processes that this package decides about.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
pub enum PeerCall<P: ConfigPayload> {
    /// Agent to registrar.
    Heartbeat(Box<AgentHeartbeat>),
    /// Entry to entry of its group.
    Gossip(Box<EntryGossip>),
    /// Entry to entry of another availability zone.
    Summary(Box<SummaryCall>),
    /// Anyone to an entry.
    Pull(ConfigPull),
    /// An entry to an entry or to an agent that is registered with it.
    Push(Arc<ConfigPush<P>>),
}

/// The answer to a [`PeerCall`], of the same kind.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
pub enum PeerAnswer<P: ConfigPayload> {
    /// To a heartbeat.
    Heartbeat(Box<HeartbeatAnswer>),
    /// To gossip.
    Gossip(Box<GossipAnswer>),
    /// To a summary.
    Summary(Box<SummaryAnswer>),
    /// To a pull.
    Pull(Box<ConfigAnswer<P>>),
    /// To a push.
    Push(ConfigAck),
    /// The process does not take such a call.
    Unexpected,
}
