//! The promises and their breaches.

use std::fmt;

use oatpier_types::clock::ClockTime;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A guarantee that must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PromiseName {
    /// No accelerator's memory is overcommitted.
    Memory,
    /// Every configured model stays reachable.
    Reachability,
    /// A caller gets the complete response to its own request, no other response, and only once.
    OwnAnswer,
    /// A refusal that says "not run" is true.
    TrueRefusal,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// An endpoint that shuts down gets no new work after a few seconds.
    Leaving,
    /// A planned stop cuts off no request.
    GracefulStop,
    /// An accepted configuration is active everywhere within seconds and is never reverted.
    Configuration,
}

impl PromiseName {
    /// All promises, in the order of documentation and reports.
    pub const ALL: [Self; 8] = [
        Self::Memory,
        Self::Reachability,
        Self::OwnAnswer,
        Self::TrueRefusal,
        Self::AtMostOnce,
        Self::Leaving,
        Self::GracefulStop,
        Self::Configuration,
    ];

    /// Returns the name that reports use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Reachability => "reachability",
            Self::OwnAnswer => "own-answer",
            Self::TrueRefusal => "true-refusal",
            Self::AtMostOnce => "at-most-once",
            Self::Leaving => "leaving",
            Self::GracefulStop => "graceful-stop",
            Self::Configuration => "configuration",
        }
    }
}

impl fmt::Display for PromiseName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error, Serialize, Deserialize)]
#[error("{promise} at {at:?}: {finding}")]
pub struct RuleBreach {
    /// The promise that was broken.
    pub promise: PromiseName,
    /// When it was broken, on the log's clock.
    pub at: ClockTime,
    /// The observation that breaks it.
    pub finding: String,
}
