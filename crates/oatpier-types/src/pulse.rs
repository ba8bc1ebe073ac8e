//! What an agent says of its endpoint: on every answer, and in its heartbeat.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::engine::WeightsKey;
use crate::ids::{BootId, Generation};
use crate::names::{EndpointName, PoolName, ZoneName};

/// An agent's fresh word on its queue. Small: it rides on every answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AgentPulse {
    /// The agent's start; a pulse of a former start is ignored.
    pub boot: BootId,
    /// Counts up by one with each pulse; an older one that comes late is ignored.
    pub sequence: u64,
    /// Attempts that wait at the agent.
    pub queued: u32,
    /// Attempts that run at the endpoint.
    pub running: u32,
    /// Attempts that the endpoint runs at once.
    pub slots: u32,
    /// The agent's own prediction of how long a new attempt would wait before it runs.
    pub wait: Duration,
    /// Time that the endpoint takes to read one prompt token, in nanoseconds; 0: not yet known.
    pub prompt_token_ns: u32,
    /// Time of one generation step, in microseconds; 0: not yet known.
    pub step_us: u32,
    /// Whether it takes new work.
    pub accepting: bool,
}

/// An agent's whole word on its endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its pool.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The weights that are ready, all that callers may get.
    pub ready: SmallVec<[WeightsKey; 8]>,
    /// Counts up by one with each change of `ready`.
    pub ready_sequence: u64,
    /// The configuration in force at the agent.
    pub generation: Generation,
    /// Its queue.
    pub pulse: AgentPulse,
}

/// The newest pulse of the agent that an entry had seen when it made an attempt.
///
/// It travels with the attempt and with its cancel, and places the attempt in the agent's own
/// order of things, which no clock does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AdmissionTicket {
    /// The agent's start that the attempt is meant for.
    pub boot: BootId,
    /// The pulse's sequence number.
    pub sequence: u64,
}

impl AdmissionTicket {
    /// The ticket that a pulse gives.
    #[must_use]
    pub fn of(pulse: &AgentPulse) -> Self {
        Self {
            boot: pulse.boot,
            sequence: pulse.sequence,
        }
    }
}
