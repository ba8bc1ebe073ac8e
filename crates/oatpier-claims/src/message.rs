//! What entries and claimers say to each other.

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
    /// The hash of a caller's key. The same key of two callers gives two hashes.
    #[must_use]
    pub fn of(caller: &CallerName, key: &str) -> Self {
        let mut bytes = Vec::with_capacity(caller.as_str().len() + 1 + key.len());
        bytes.extend_from_slice(caller.as_str().as_bytes());
        // No caller's name holds a zero byte, so two pairs never give the same bytes.
        bytes.push(0);
        bytes.extend_from_slice(key.as_bytes());
        Self(xxh3_128(&bytes))
    }
}

/// A hash of what a request asks for: a key may not be used again for something else.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestFingerprint(pub u32);

impl RequestFingerprint {
    /// The hash of a method, a path with its query, and a body.
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

/// An entry asks for a key before it runs a request. May be sent again: the answer is the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimAsk {
    /// The key.
    pub key: KeyHash,
    /// What the request asks for.
    pub fingerprint: RequestFingerprint,
    /// The request that wants to run.
    pub request: RequestId,
}

/// A claimer's answer to a [`ClaimAsk`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimAnswer {
    /// The key is the request's: it may run.
    Granted,
    /// The request may not run.
    Denied(ClaimDenial),
    /// The claim can't be recorded now, and is not: the request has not run.
    Unavailable {
        /// When to come back.
        retry_after: Duration,
    },
    /// Another entry is the claimer now. Ask it, with the same request id.
    Moved {
        /// The claimer, as far as known.
        owner: Option<DaemonName>,
    },
}

/// Why a request may not run under its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimDenial {
    /// Another request holds the key and is not known to be over.
    Held {
        /// The request that holds it.
        holder: RequestId,
    },
    /// Another request ran, or may have run, under the key, and is over.
    Finished {
        /// The request that held it.
        holder: RequestId,
        /// Whether it ran.
        verdict: RunVerdict,
    },
    /// The key was used for a request that asked for something else.
    Mismatch {
        /// The request that holds it.
        holder: RequestId,
    },
    /// This very request gave its claim up before.
    GivenUp,
}

impl ClaimDenial {
    /// What the caller is told of the request that used the key first.
    #[must_use]
    pub fn verdict(self) -> RunVerdict {
        match self {
            Self::Held { .. } => RunVerdict::MayHaveRun,
            Self::Finished { verdict, .. } => verdict,
            Self::Mismatch { .. } | Self::GivenUp => RunVerdict::NotRun,
        }
    }

    /// The refusal of the request that asked.
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

/// An entry gives a claim back: the request has not run and never will. May come after the
/// request's own "may have run", whose answer came late; it frees no other request's claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRelease {
    /// The key.
    pub key: KeyHash,
    /// The request that held or asked for it.
    pub request: RequestId,
}

/// An entry says how the request that holds a key ended.
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
