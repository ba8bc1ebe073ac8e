//! What a rule found.

use std::fmt;

use oatpier_types::clock::ClockTime;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One thing that must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PromiseName {
    /// No accelerator's memory is overcommitted.
    Memory,
    /// Every configured model stays reachable.
    Reachability,
    /// A caller gets the whole answer to its own request and no other, once.
    OwnAnswer,
    /// A refusal that says "not run" is true.
    TrueRefusal,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work after a few seconds.
    Leaving,
    /// A planned stop cuts off no request.
    GracefulStop,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    Configuration,
}

impl PromiseName {
    /// All promises, in the order that pages and reports give them.
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

    /// The word that reports use.
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

/// A promise that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error, Serialize, Deserialize)]
#[error("{promise} at {at:?}: {finding}")]
pub struct RuleBreach {
    /// Which promise.
    pub promise: PromiseName,
    /// When it was broken, on the log's clock.
    pub at: ClockTime,
    /// What was seen.
    pub finding: String,
}
