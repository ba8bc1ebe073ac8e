//! The status that an agent reports for its endpoint, with every answer and in its heartbeat.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::engine::WeightsKey;
use crate::ids::{BootId, Generation};
use crate::names::{EndpointName, PoolName, ZoneName};

/// The current state of an agent's queue. Kept small because it is sent with every answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QueueReport {
    /// Identifies the start of the agent process; a report from a previous start is ignored.
    pub boot: BootId,
    /// Increases by one with each queue report; an older report that arrives late is ignored.
    pub sequence: u64,
    /// Attempts queued at the agent.
    pub queued: u32,
    /// Attempts running at the endpoint.
    pub running: u32,
    /// Maximum number of concurrent attempts at the endpoint.
    pub slots: u32,
    /// Queueing time that the agent predicts for a new attempt.
    pub wait: Duration,
    /// Prefill time per prompt token, in nanoseconds; 0: not yet known.
    pub prompt_token_ns: u32,
    /// Time per generation step, in microseconds; 0: not yet known.
    pub step_us: u32,
    /// Whether the agent accepts new attempts.
    pub accepting: bool,
}

/// The full status that an agent reports for its endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The pool of the endpoint.
    pub pool: PoolName,
    /// The availability zone of the endpoint.
    pub zone: ZoneName,
    /// All weights that are ready to serve callers.
    pub ready: SmallVec<[WeightsKey; 8]>,
    /// Increases by one with each change of `ready`.
    pub ready_sequence: u64,
    /// The generation of the configuration that the agent applies.
    pub generation: Generation,
    /// The state of the agent's queue.
    #[serde(rename = "pulse")]
    pub queue: QueueReport,
}

/// Identifies the latest queue report of the agent that an entry had received when it created an attempt.
///
/// Sent with the attempt and with its cancellation. It orders the attempt relative to the agent's
/// own queue reports, which clocks of different processes cannot do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AdmissionTicket {
    /// The start of the agent process that the attempt is intended for.
    pub boot: BootId,
    /// The sequence number of the queue report.
    pub sequence: u64,
}

impl AdmissionTicket {
    /// Creates the ticket for a queue report.
    #[must_use]
    pub fn of(report: &QueueReport) -> Self {
        Self {
            boot: report.boot,
            sequence: report.sequence,
        }
    }
}
