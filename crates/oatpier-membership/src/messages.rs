//! Messages between processes.
//!
//! Each message is a call with an answer. Every message carries the generation of its sender's
//! configuration, so that any exchange shows which side is behind.

use std::net::SocketAddr;
use std::sync::Arc;

use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::{DaemonName, ZoneName};
use oatpier_types::status::{EndpointStatus, QueueReport};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::generation::{ConfigContent, ConfigPayload};
use crate::members::{MemberPhase, MemberRow};
use crate::stops::StopRequest;
use crate::summary::{TableDigest, ZoneSummary};

/// The identity and address of an entry, as used by peers and agents.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct EntryContact {
    /// The process.
    pub daemon: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address on which it listens for other processes of the system.
    pub address: SocketAddr,
}

/// A heartbeat from an agent to one of its registrars.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// The agent.
    pub daemon: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address on which it listens for entries.
    pub address: SocketAddr,
    /// The agent's boot.
    pub boot: BootId,
    /// Orders the boots of one agent; see [`HeartbeatAnswer::former`].
    pub incarnation: u64,
    /// Whether the agent serves or leaves.
    pub phase: MemberPhase,
    /// The generation in force at the agent.
    pub generation: Generation,
    /// A hash of the entries that the agent knows. If it differs from the registrar's, the answer
    /// contains the list.
    pub entries_digest: u64,
    /// The full status, or only the queue, which changes with every request.
    pub body: HeartbeatBody,
}

/// The amount of detail in a heartbeat.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum HeartbeatBody {
    /// The full status. Sent after a change, and when the registrar asks for it.
    Full(Box<EndpointStatus>),
    /// Only the queue; everything else is unchanged since the last full status.
    #[serde(rename = "Pulse")]
    QueueReport {
        /// The sequence number of the last full status.
        ready_sequence: u64,
        /// The state of the queue.
        #[serde(rename = "pulse")]
        report: QueueReport,
    },
}

/// A registrar's answer to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// The generation in force at the registrar.
    pub generation: Generation,
    /// Whether the next heartbeat must contain the full status.
    pub need_full: bool,
    /// Another boot of the agent that the registrar still takes for the current one.
    pub former: Option<FormerBoot>,
    /// All live entries of the group, if the agent's list differs.
    pub entries: Option<Vec<EntryContact>>,
    /// The planned stop of the agent known to the registrar, if any.
    pub stop: Option<StopRequest>,
}

/// What is known of an earlier boot of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FormerBoot {
    /// The incarnation of that boot; the current boot must use a higher one.
    pub incarnation: u64,
    /// The generation that was in force at that boot; the current boot must not go below it.
    pub generation: Generation,
}

/// A gossip message from one entry to another of its group.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EntryGossip {
    /// The sender.
    pub from: EntryContact,
    /// The sender's boot.
    pub boot: BootId,
    /// The generation in force at the sender.
    pub generation: Generation,
    /// Rows that changed recently, including the sender's own.
    pub rows: Vec<MemberRow>,
    /// Summaries of other availability zones that arrived recently.
    pub summaries: Vec<ZoneSummary>,
    /// Planned stops that changed recently.
    pub stops: Vec<NamedStop>,
    /// Hashes of the sender's whole table, sent periodically to find rows that gossip missed.
    pub digest: Option<TableDigest>,
}

/// A planned stop together with the process that it concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NamedStop {
    /// The process.
    pub daemon: DaemonName,
    /// The stop request.
    #[serde(rename = "word")]
    pub request: StopRequest,
}

/// The answer to a gossip message.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct GossipAnswer {
    /// The generation in force at the answering entry.
    pub generation: Generation,
    /// An earlier boot of the sender that the answering entry still takes for the current one.
    pub former: Option<FormerBoot>,
    /// The answering entry's rows in the parts whose hashes differ.
    pub rows: Vec<MemberRow>,
    /// All summaries of the answering entry, if the sender's table is empty.
    pub summaries: Vec<ZoneSummary>,
    /// All planned stops of the answering entry, if the message contained hashes.
    pub stops: Vec<NamedStop>,
}

/// A summary of one availability zone, sent to an entry of another.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SummaryCall {
    /// The sender.
    pub from: EntryContact,
    /// The generation in force at the sender.
    pub generation: Generation,
    /// The rows that changed.
    pub summary: ZoneSummary,
    /// A few entries of the sender's availability zone, to which summaries can be sent.
    pub contacts: SmallVec<[EntryContact; 4]>,
}

/// The answer to a summary.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SummaryAnswer {
    /// The generation in force at the answering entry.
    pub generation: Generation,
    /// A few entries of its availability zone.
    pub contacts: SmallVec<[EntryContact; 4]>,
}

/// A request for a configuration later than the one that the sender has.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigPull {
    /// The process that asks.
    pub daemon: DaemonName,
    /// The sender's boot.
    pub boot: BootId,
    /// The generation that the sender has.
    pub have: Generation,
}

/// The answer to a pull.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
pub struct ConfigAnswer<P: ConfigPayload> {
    /// The generation in force at the answering process.
    pub generation: Generation,
    /// What is known of an earlier boot of the asking process.
    pub former: Option<FormerBoot>,
    /// The content that brings the asking process up to that generation, if it is behind.
    pub content: Option<ConfigContent<P>>,
}

/// An unsolicited delivery of a later configuration.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
pub struct ConfigPush<P: ConfigPayload> {
    /// The sending process.
    pub daemon: DaemonName,
    /// The generation in force at the sender.
    pub generation: Generation,
    /// The content.
    pub content: ConfigContent<P>,
}

/// The answer to a push.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigAck {
    /// The latest generation held by the answering process, in force or waiting.
    pub generation: Generation,
}

/// A call between processes that this package handles.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
pub enum PeerCall<P: ConfigPayload> {
    /// From an agent to a registrar.
    Heartbeat(Box<AgentHeartbeat>),
    /// From an entry to another entry of its group.
    Gossip(Box<EntryGossip>),
    /// From an entry to an entry of another availability zone.
    Summary(Box<SummaryCall>),
    /// From any process to an entry.
    Pull(ConfigPull),
    /// From an entry to another entry, or to an agent that is registered with it.
    Push(Arc<ConfigPush<P>>),
}

/// The answer to a [`PeerCall`] of the same kind.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
pub enum PeerAnswer<P: ConfigPayload> {
    /// Answers a heartbeat.
    Heartbeat(Box<HeartbeatAnswer>),
    /// Answers gossip.
    Gossip(Box<GossipAnswer>),
    /// Answers a summary.
    Summary(Box<SummaryAnswer>),
    /// Answers a pull.
    Pull(Box<ConfigAnswer<P>>),
    /// Answers a push.
    Push(ConfigAck),
    /// The process does not handle this kind of call.
    Unexpected,
}
