//! Whether a request may have run: the only thing that a retry looks at.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request, or one attempt at it, may have run at its endpoint.
///
/// "Run" means that the endpoint may have seen a byte of it and acted on it. It says nothing of
/// whether the answer was delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// It did not run and never will: its place was refused or its late arrival is.
    NotRun,
    /// It may have run, or may still run. Never repeated unless it is idempotent.
    MayHaveRun,
    /// It ran to its end.
    Ran,
}

impl RunVerdict {
    /// The verdict on two attempts at one request together.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }

    /// Whether the request may be tried again elsewhere.
    #[must_use]
    pub fn may_repeat(self, repeat: Repeat) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => repeat == Repeat::Idempotent,
            Self::Ran => false,
        }
    }

    /// The word that answers, logs and metrics use.
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
    /// Running it twice does no harm.
    Idempotent,
    /// It must run at most once.
    AtMostOnce,
}
