//! Numbers the orders to one engine and resends each until its outcome is known.
//!
//! At most one order waits for its response. An order whose outcome is unknown is sent again: all
//! orders are idempotent, and completing an order is the only way to learn its outcome.
//!
//! - Engines that check numbers: each send has a new number. Once the engine has accepted one, it
//!   rejects all earlier copies, so no old copy can be executed. The first order of an epoch sets
//!   the current role again; once it is accepted, no order of an earlier agent can be executed.
//! - Engines that ignore numbers: the intent is written to the store before the order is first
//!   sent. A copy is assumed to be executable until [`OrderSettings::late_order_hold`] after it
//!   was sent. Its memory is charged until then, even if the weights have been unloaded. Weights
//!   whose unload could still be executed are not loaded again. A successor charges and completes
//!   every intent that it finds.

mod keeper;
mod late;
mod track;

use std::time::Duration;

use oatpier_types::engine::{EngineOrder, EngineState};
use oatpier_types::ids::OrderNumber;
use thiserror::Error;

use crate::record::{RecordAnswer, RecordCall};

pub use keeper::OrderKeeper;

/// Settings of how an agent issues orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    /// Whether the engine rejects an order whose number is lower than one it has accepted.
    pub checks_numbers: bool,
    /// Configured memory of the endpoint, in MiB.
    pub capacity_mib: u64,
    /// How long after it was sent a copy of an order may still be executed, where the engine ignores
    /// numbers.
    pub late_order_hold: Duration,
    /// Delay before an order is sent again.
    pub retry_delay: Duration,
    /// Interval between state polls while no order is pending.
    pub idle_poll_interval: Duration,
    /// Interval between state polls while an order is pending.
    pub pending_poll_interval: Duration,
}

impl OrderSettings {
    /// Creates settings with the default delays for an engine with the given memory.
    #[must_use]
    pub fn new(checks_numbers: bool, capacity_mib: u64) -> Self {
        Self {
            checks_numbers,
            capacity_mib,
            late_order_hold: Duration::from_mins(2),
            retry_delay: Duration::from_millis(500),
            idle_poll_interval: Duration::from_secs(5),
            pending_poll_interval: Duration::from_millis(200),
        }
    }
}

/// Result of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine has already accepted a higher number.
    Stale {
        /// The highest number that the engine has accepted.
        highest: OrderNumber,
    },
    /// The engine rejected the order; nothing changed.
    Rejected,
    /// The order never reached the engine.
    NotSent,
    /// No response arrived: the order may be executed, now or later.
    Unknown,
}

/// Number of a state poll. A poll gives no evidence of events after it was issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct PollTicket(pub u64);

/// Position in an agent's sequence of engine polls and store calls. A proof of the epoch counts
/// only if it comes from a later poll or call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofMark {
    pub(super) polls: PollTicket,
    pub(super) calls: u64,
}

/// An action that the agent executes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderCommand {
    /// Call the store; report the result with [`OrderEvent::Record`].
    CallStore(RecordCall),
    /// Send an order immediately; report the result with [`OrderEvent::Answered`].
    Send(EngineOrder),
    /// Poll the engine's state; report the result with [`OrderEvent::Polled`] or
    /// [`OrderEvent::PollFailed`].
    Poll(PollTicket),
}

/// An event that the agent reports to the keeper.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// A store call ended.
    Record(RecordAnswer),
    /// Sending an order ended.
    Answered {
        /// The number of the order.
        number: OrderNumber,
        /// The result.
        outcome: OrderOutcome,
    },
    /// The engine reported its state.
    Polled {
        /// The poll.
        ticket: PollTicket,
        /// The state.
        state: Box<EngineState>,
    },
    /// The engine could not be polled.
    PollFailed {
        /// The poll.
        ticket: PollTicket,
    },
}

/// Reason why an order cannot be started.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum BeginError {
    /// The epoch is not acquired, or the engine's state is not known yet.
    #[error("the agent may not send orders yet")]
    NotReady,
    /// A later agent controls the endpoint.
    #[error("a later agent controls the endpoint")]
    Superseded,
    /// Another order for the same weights has an unknown outcome.
    #[error("another order for the same weights is still pending")]
    InFlight,
    /// The weights do not fit beside everything that could be in memory.
    #[error("the weights need {needed_mib} MiB, but only {free_mib} MiB are certainly free")]
    NoMemory {
        /// Memory that the weights need, in MiB.
        needed_mib: u64,
        /// Memory that is certainly free, in MiB.
        free_mib: u64,
    },
    /// No configuration specifies the size of the weights.
    #[error("the size of the weights is not configured")]
    UnknownWeights,
    /// An earlier unload order for the weights could still be executed.
    #[error("an earlier unload order for the weights may still be executed")]
    LateUnloadPending,
    /// The engine recently rejected an order for the same weights.
    #[error("the engine recently rejected an order for the same weights")]
    RecentlyRejected,
    /// The engine ignores numbers and the store cannot be written.
    #[error("the store is not reachable and the engine does not check order numbers")]
    StoreDown,
}
