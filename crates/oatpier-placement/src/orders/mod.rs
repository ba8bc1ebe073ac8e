//! Numbers orders to one engine and brings each to a known end.
//!
//! At most one order waits for its answer. An order whose outcome is unknown is given again: all
//! orders are idempotent, and finishing one is the only way to know that it is finished.
//!
//! - Engines that check numbers: each try has a new number. Once a try was taken, the engine
//!   refuses all earlier copies, so nothing old can act. The first order of an epoch repeats the
//!   present role; once it is taken, no order of a former agent can act.
//! - Engines that ignore numbers: the intent is written to the store before the first try, and a
//!   copy counts as able to act until [`OrderSettings::late_order_hold`] after it was sent. Its
//!   memory is charged until then, even when the weights were unloaded, and weights whose
//!   unload could still act are not loaded again. A successor charges and finishes every intent
//!   that it finds.

mod keeper;
mod late;
mod track;

use std::time::Duration;

use oatpier_types::engine::{EngineOrder, EngineState};
use oatpier_types::ids::OrderNumber;
use thiserror::Error;

use crate::record::{RecordAnswer, RecordCall};

pub use keeper::OrderKeeper;

/// How an agent gives orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    /// Whether the engine refuses an order with an old number.
    pub checks_numbers: bool,
    /// Memory of the endpoint, as configured, in MiB.
    pub capacity_mib: u64,
    /// How long after it was sent a copy of an order may still be carried out, where the engine
    /// ignores numbers.
    pub late_order_hold: Duration,
    /// The wait before an order is given again.
    pub retry_delay: Duration,
    /// The time between two state polls while nothing moves.
    pub poll_every: Duration,
    /// The time between two state polls while something moves.
    pub poll_moving: Duration,
}

impl OrderSettings {
    /// The usual waits, for an engine of this memory.
    #[must_use]
    pub fn new(checks_numbers: bool, capacity_mib: u64) -> Self {
        Self {
            checks_numbers,
            capacity_mib,
            late_order_hold: Duration::from_mins(2),
            retry_delay: Duration::from_millis(500),
            poll_every: Duration::from_secs(5),
            poll_moving: Duration::from_millis(200),
        }
    }
}

/// How giving an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it.
    Taken,
    /// The engine has taken a higher number.
    Stale {
        /// That number.
        highest: OrderNumber,
    },
    /// The engine refused it; nothing changed.
    Refused,
    /// The engine never saw it.
    NotSent,
    /// No answer came: it may be carried out, now or later.
    Unknown,
}

/// The number of a state poll. A poll says nothing of what happened after it was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct PollTicket(pub u64);

/// A point in an agent's talk with its engine and the store, to ask for proof from there on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofMark {
    pub(super) polls: PollTicket,
    pub(super) calls: u64,
}

/// What the agent is to do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderCommand {
    /// Call the store; answer with [`OrderEvent::Record`].
    CallStore(RecordCall),
    /// Give an order at once, without a wait; answer with [`OrderEvent::Answered`].
    Send(EngineOrder),
    /// Ask the engine's state; answer with [`OrderEvent::Polled`] or [`OrderEvent::PollFailed`].
    Poll(PollTicket),
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// The store's call ended.
    Record(RecordAnswer),
    /// An order ended.
    Answered {
        /// Its number.
        number: OrderNumber,
        /// How.
        outcome: OrderOutcome,
    },
    /// The engine said its state.
    Polled {
        /// The poll.
        ticket: PollTicket,
        /// The state.
        state: Box<EngineState>,
    },
    /// The engine could not be asked.
    PollFailed {
        /// The poll.
        ticket: PollTicket,
    },
}

/// Why an order can't be begun.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum BeginError {
    /// The epoch is not taken, or the engine's state is not known yet.
    #[error("the agent may not give orders yet")]
    NotReady,
    /// A later agent has the endpoint.
    #[error("a later agent has the endpoint")]
    Superseded,
    /// Another order for the same weights has no known end.
    #[error("an order for the same weights has no known end")]
    InFlight,
    /// The weights don't fit beside all that could be in memory.
    #[error("the weights need {needed_mib} MiB and {free_mib} MiB are surely free")]
    NoMemory {
        /// What they need.
        needed_mib: u64,
        /// What is free.
        free_mib: u64,
    },
    /// No configuration tells the size of the weights.
    #[error("the size of the weights is not configured")]
    UnknownWeights,
    /// An unload of the weights that was given earlier could still be carried out.
    #[error("an earlier unload of the weights may still be carried out")]
    UnloadMayAct,
    /// The engine refused an order for the same weights a moment ago.
    #[error("the engine refused an order for the same weights a moment ago")]
    JustRefused,
    /// The engine ignores numbers and the store can't be written.
    #[error("the store is not reachable and the engine does not check order numbers")]
    StoreDown,
}
