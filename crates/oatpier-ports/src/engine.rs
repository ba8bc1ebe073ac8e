//! Control interface of an engine: orders and reports.

use futures::future::BoxFuture;
use oatpier_types::engine::{CacheEvent, EngineOrder, EngineState, LoadReport};
use oatpier_types::ids::OrderNumber;
use thiserror::Error;

/// Reasons why an order failed, or why its result is unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum OrderError {
    /// The engine has accepted a higher number and refuses this order permanently.
    #[error("the engine has already accepted order {highest}")]
    Stale {
        /// The highest number that it has accepted.
        highest: OrderNumber,
    },
    /// The engine refused the order. Nothing changed.
    #[error("the engine refused the order: {cause}")]
    Refused {
        /// The engine's response.
        cause: String,
    },
    /// The engine could not be reached and never received the order.
    #[error("the engine could not be reached: {cause}")]
    NotSent {
        /// The cause.
        cause: String,
    },
    /// No answer arrived, or one that states nothing: the order may be executed, now or later.
    #[error("the engine's answer is missing or states nothing: {cause}")]
    Unknown {
        /// The cause.
        cause: String,
    },
}

/// A report could not be read from the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("could not read a report from the engine: {cause}")]
pub struct ReportError {
    /// The cause.
    pub cause: String,
}

/// Control interface of one engine. Used only by the agent next to the engine.
pub trait EngineControl: Send + Sync {
    /// Sends an order. `Ok` means that the engine accepted it, not that it is complete: see
    /// [`EngineControl::state`].
    fn order<'a>(&'a self, order: &'a EngineOrder) -> BoxFuture<'a, Result<(), OrderError>>;

    /// Reads the current state of the engine.
    fn state(&self) -> BoxFuture<'_, Result<EngineState, ReportError>>;

    /// Reads the published load, which lags behind the actual load.
    fn load(&self) -> BoxFuture<'_, Result<LoadReport, ReportError>>;

    /// Reads the cache events after a sequence number. Events are delayed and may have gaps.
    fn cache_events(&self, after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, ReportError>>;
}
