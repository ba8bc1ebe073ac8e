//! Whether a request may have run: the sole criterion for retries.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request, or one attempt at it, may have run at its endpoint.
///
/// "Run" means that the endpoint may have received a byte of the request and acted on it,
/// regardless of whether the answer was delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// It did not run and never will: it was refused, or will be refused if it arrives late.
    NotRun,
    /// It may have run, or may still run. Retried only if it is idempotent.
    MayHaveRun,
    /// It ran to completion.
    Ran,
}

impl RunVerdict {
    /// Combines the verdicts on two attempts at one request.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }

    /// Returns whether the request may be retried at another endpoint.
    #[must_use]
    pub fn may_repeat(self, repeat: Repeat) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => repeat == Repeat::Idempotent,
            Self::Ran => false,
        }
    }

    /// Returns the name of the verdict in responses, logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It can safely run more than once.
    Idempotent,
    /// It must run at most once.
    AtMostOnce,
}
