//! Messages between entries and claimers.

use std::time::Duration;

use oatpier_types::ids::RequestId;
use oatpier_types::names::{CallerName, DaemonName};
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::verdict::RunVerdict;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_128};

/// A caller's idempotency key, hashed together with the caller's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct KeyHash(pub u128);

impl KeyHash {
    /// Hashes a caller's key. The same key of two callers gives two hashes.
    #[must_use]
    pub fn of(caller: &CallerName, key: &str) -> Self {
        let mut bytes = Vec::with_capacity(caller.as_str().len() + 1 + key.len());
        bytes.extend_from_slice(caller.as_str().as_bytes());
        // Caller names contain no zero byte, so two different pairs never give the same bytes.
        bytes.push(0);
        bytes.extend_from_slice(key.as_bytes());
        Self(xxh3_128(&bytes))
    }
}

/// A hash of the content of a request. A key must not be reused for different content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestFingerprint(pub u32);

impl RequestFingerprint {
    /// Hashes a method, a path with its query, and a body.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(method.as_bytes());
        hasher.update(&[0]);
        hasher.update(path.as_bytes());
        hasher.update(&[0]);
        hasher.update(body);
        let [first, second, third, fourth, ..] = hasher.digest().to_le_bytes();
        Self(u32::from_le_bytes([first, second, third, fourth]))
    }
}

/// A query of an entry that asks for a key before running a request. May be sent again: the answer
/// is the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimQuery {
    /// The key.
    pub key: KeyHash,
    /// The fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// The request that is to run.
    pub request: RequestId,
}

/// A claimer's answer to a [`ClaimQuery`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimAnswer {
    /// The request has the key and may run.
    Granted,
    /// The request may not run.
    Denied(ClaimDenial),
    /// The claim can't be recorded now, and is not: the request has not run.
    Unavailable {
        /// The delay before a retry.
        retry_after: Duration,
    },
    /// Another entry is now the claimer. Send the query to it, with the same request id.
    Moved {
        /// The new claimer, if known.
        owner: Option<DaemonName>,
    },
}

/// Reasons why a request may not run under its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimDenial {
    /// Another request holds the key and is not known to have finished.
    Held {
        /// The request that holds it.
        holder: RequestId,
    },
    /// Another request ran, or may have run, under the key and has finished.
    Finished {
        /// The request that held it.
        holder: RequestId,
        /// Whether it ran.
        verdict: RunVerdict,
    },
    /// The key was used for a request with different content.
    Mismatch {
        /// The request that holds it.
        holder: RequestId,
    },
    /// The same request released its claim before.
    GivenUp,
}

impl ClaimDenial {
    /// Returns the verdict, reported to the caller, on the request that used the key first.
    #[must_use]
    pub fn verdict(self) -> RunVerdict {
        match self {
            Self::Held { .. } => RunVerdict::MayHaveRun,
            Self::Finished { verdict, .. } => verdict,
            Self::Mismatch { .. } | Self::GivenUp => RunVerdict::NotRun,
        }
    }

    /// Returns the refusal of the request that asked for the key.
    #[must_use]
    pub fn refusal(self) -> Refusal {
        let cause = match self {
            Self::Held { .. } | Self::Finished { .. } => RefusalCause::KeyUsed,
            Self::Mismatch { .. } => RefusalCause::Invalid,
            Self::GivenUp => RefusalCause::GivenUp,
        };
        Refusal {
            cause,
            retry_after: None,
        }
    }
}

/// The release of a claim by an entry: the request has not run and never will. May follow a "may
/// have run" of the same request if the agent's answer was late. It does not free the claim of
/// another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRelease {
    /// The key.
    pub key: KeyHash,
    /// The request that held the key or asked for it.
    pub request: RequestId,
}

/// The outcome, reported by an entry, of the request that holds a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimFinish {
    /// The key.
    pub key: KeyHash,
    /// The request that holds it.
    pub request: RequestId,
    /// [`RunVerdict::Ran`] or [`RunVerdict::MayHaveRun`]; for "not run" send a [`ClaimRelease`].
    pub verdict: RunVerdict,
}
