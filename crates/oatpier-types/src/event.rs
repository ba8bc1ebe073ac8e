//! The typed event log that the invariant checker reads.
//!
//! Stand-ins, benchmarks and daemons under test write these events, and the checker validates
//! them. An event records externally observable behaviour, never internal state.

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::engine::OrderAction;
use crate::ids::{AttemptId, Generation, OrderNumber, RequestId};
use crate::names::{DaemonName, EndpointName, ModelName};
use crate::verdict::{Repeat, RunVerdict};

/// An event with its timestamp.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoggedEvent {
    /// The time of the event, on the clock shared by the whole log.
    pub at: ClockTime,
    /// The event.
    pub event: FleetEvent,
}

/// How an answer ended from the caller's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerEnd {
    /// The answer was complete, including its terminator.
    Whole,
    /// The answer ended with an explicit error.
    Error,
    /// The answer broke off without an error. Never allowed while the caller's entry is running.
    Cut,
    /// The caller disconnected.
    CallerGone,
}

/// An externally observable event.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FleetEvent {
    /// A caller sent a request. The same `key` on two requests marks a resubmission.
    RequestSent {
        /// The request.
        request: RequestId,
        /// Whether the request may run more than once.
        repeat: Repeat,
        /// The caller's idempotency key, hashed.
        key: Option<u64>,
    },
    /// An endpoint started to run a request.
    RunStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// The endpoint.
        endpoint: EndpointName,
        /// The caller's idempotency key, hashed.
        key: Option<u64>,
    },
    /// A caller received the end of an answer.
    AnswerEnded {
        /// The request that the caller sent.
        request: RequestId,
        /// The request that the content of the answer belongs to, if there was any content.
        content_of: Option<RequestId>,
        /// How the answer ended.
        end: AnswerEnd,
        /// The verdict sent with the answer.
        verdict: RunVerdict,
        /// Whether the answer met the latency target of its class.
        in_time: bool,
    },
    /// An engine accepted an order.
    OrderTaken {
        /// The engine.
        endpoint: EndpointName,
        /// The number of the order.
        number: OrderNumber,
        /// The requested action.
        action: OrderAction,
    },
    /// The memory used by the weights of an engine changed.
    MemoryUsed {
        /// The engine.
        endpoint: EndpointName,
        /// Used memory, in MiB.
        used_mib: u64,
        /// Total memory, in MiB.
        total_mib: u64,
    },
    /// The number of ready replicas of a model changed.
    ReplicasReady {
        /// The model.
        model: ModelName,
        /// Live endpoints that have the model ready.
        count: u32,
    },
    /// An operator received confirmation that a configuration was accepted.
    ConfigAccepted {
        /// The generation of the configuration.
        generation: Generation,
    },
    /// A process started to apply a configuration.
    ConfigInForce {
        /// The process.
        daemon: DaemonName,
        /// The generation.
        generation: Generation,
        /// A hash of the configuration.
        content: u64,
    },
    /// An endpoint was asked to drain and leave.
    LeaveStarted {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// A graceful shutdown of a process was requested.
    StopStarted {
        /// The process.
        daemon: DaemonName,
    },
    /// A process or endpoint exited or was killed.
    Ended {
        /// The name of the process or endpoint.
        name: DaemonName,
        /// Whether the process was killed by fault injection rather than shut down gracefully.
        killed: bool,
        /// Requests that were interrupted by the exit.
        cut_off: u32,
    },
    /// Fault injection has ended: no faults affect the fleet from this event on.
    FaultsOver,
}
