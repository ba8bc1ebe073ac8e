//! Orders to an engine and what it reports.

use futures::future::BoxFuture;
use oatpier_types::engine::{CacheEvent, EngineOrder, EngineState, LoadReport};
use oatpier_types::ids::OrderNumber;
use thiserror::Error;

/// Why an order was not taken, or whether it may have been.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum OrderError {
    /// The engine has taken a higher number and refuses this one for good.
    #[error("the engine has already taken order {highest}")]
    Stale {
        /// The highest number that it has taken.
        highest: OrderNumber,
    },
    /// The engine refused the order; nothing changed.
    #[error("the engine refused the order: {cause}")]
    Refused {
        /// What it said.
        cause: String,
    },
    /// The engine could not be reached; it never saw the order.
    #[error("the engine could not be reached: {cause}")]
    NotSent {
        /// What happened.
        cause: String,
    },
    /// No answer came: the order may be carried out, now or later.
    #[error("the engine gave no answer: {cause}")]
    Unknown {
        /// What happened.
        cause: String,
    },
}

/// The engine could not be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("the engine could not be asked: {cause}")]
pub struct ReportError {
    /// What happened.
    pub cause: String,
}

/// The control side of one engine. Only the agent beside the engine uses it.
pub trait EngineControl: Send + Sync {
    /// Gives an order. `Ok` says that the engine took it, not that it is done: see
    /// [`EngineControl::state`].
    fn order<'a>(&'a self, order: &'a EngineOrder) -> BoxFuture<'a, Result<(), OrderError>>;

    /// Asks what the engine holds now.
    fn state(&self) -> BoxFuture<'_, Result<EngineState, ReportError>>;

    /// Reads the published load, which lags.
    fn load(&self) -> BoxFuture<'_, Result<LoadReport, ReportError>>;

    /// Reads the cache events after a sequence number; late, and with gaps.
    fn cache_events(&self, after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, ReportError>>;
}
