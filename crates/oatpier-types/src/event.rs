//! The typed event log that the invariant checker reads.
//!
//! Stand-ins, benches and daemons under test write these events; the checker judges them. An
//! event says what was seen from outside, never what the code believed.

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::engine::OrderAction;
use crate::ids::{AttemptId, Generation, OrderNumber, RequestId};
use crate::names::{DaemonName, EndpointName, ModelName};
use crate::verdict::{Repeat, RunVerdict};

/// One thing that happened, and when.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoggedEvent {
    /// When, on the one clock of the log.
    pub at: ClockTime,
    /// What.
    pub event: FleetEvent,
}

/// How an answer ended, as the caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerEnd {
    /// It came to its terminator.
    Whole,
    /// It ended in an explicit error.
    Error,
    /// It just stopped. Never allowed while the caller's entry lives.
    Cut,
    /// The caller went away.
    CallerGone,
}

/// Something that can be seen from outside.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FleetEvent {
    /// A caller sent a request. The same `key` on two requests marks a resubmission.
    RequestSent {
        /// The request.
        request: RequestId,
        /// Whether it may run more than once.
        repeat: Repeat,
        /// The caller's idempotency key, hashed.
        key: Option<u64>,
    },
    /// An endpoint began to act on a request.
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
    /// A caller has got the end of an answer.
    AnswerEnded {
        /// The request that the caller sent.
        request: RequestId,
        /// The request that the answer's content belongs to, if any content came.
        content_of: Option<RequestId>,
        /// How it ended.
        end: AnswerEnd,
        /// The verdict that the answer carried.
        verdict: RunVerdict,
        /// Whether it was within the class's target.
        in_time: bool,
    },
    /// An engine took an order.
    OrderTaken {
        /// The engine.
        endpoint: EndpointName,
        /// The order's number.
        number: OrderNumber,
        /// The order.
        action: OrderAction,
    },
    /// The memory that an engine's weights take changed.
    MemoryUsed {
        /// The engine.
        endpoint: EndpointName,
        /// In use, in MiB.
        used_mib: u64,
        /// There is, in MiB.
        total_mib: u64,
    },
    /// A model's ready replicas changed.
    ReplicasReady {
        /// The model.
        model: ModelName,
        /// Endpoints that are alive and have it ready.
        count: u32,
    },
    /// An operator was told that a configuration is accepted.
    ConfigAccepted {
        /// Its generation.
        generation: Generation,
    },
    /// A process began to act on a configuration.
    ConfigInForce {
        /// The process.
        daemon: DaemonName,
        /// The generation.
        generation: Generation,
        /// A hash of its content.
        content: u64,
    },
    /// An endpoint was told to leave.
    LeaveStarted {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// A planned stop of a process was asked for.
    StopStarted {
        /// The process.
        daemon: DaemonName,
    },
    /// A process or endpoint ended, by itself or killed.
    Ended {
        /// The process, or the endpoint's name.
        name: DaemonName,
        /// Whether it was killed (a fault of the test), not stopped by plan.
        killed: bool,
        /// Requests that it cut off.
        cut_off: u32,
    },
    /// The whole fleet has been without faults since this point.
    FaultsOver,
}
