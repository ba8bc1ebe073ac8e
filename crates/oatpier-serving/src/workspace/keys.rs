//! Lookup of the workspace that owns an API key.
//!
//! A key is hashed where it is decoded, and only the digest is kept, compared and looked up. The time of a comparison
//! therefore does not depend on how much of a guessed key is right, and no log line, metric or panic can contain a key.

use std::collections::HashMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of digest bytes that are kept. A caller without a key would have to find a preimage of one of the configured
/// digests, which takes 2^128 attempts for each of them.
const DIGEST_BYTES: usize = 16;

/// Maximum length of a key in bytes. The platform's keys have 20. The limit avoids hashing kilobytes for a key that
/// cannot be valid.
pub const MAX_KEY_BYTES: usize = 512;

/// Truncated SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let digest = Sha256::digest(key);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(bytes)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Credentials of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKey {
    /// The request has no credentials.
    Absent,
    /// The credentials cannot be a key: another scheme, two keys, or too long a key.
    Unusable,
    /// The request has a key.
    Given(KeyDigest),
}

/// Map from key digests to the index of their workspace in the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct KeyIndex {
    places: HashMap<KeyDigest, u32>,
}

impl KeyIndex {
    /// Adds a key, and returns the index that it was mapped to before.
    pub fn insert(&mut self, key: KeyDigest, index: usize) -> Option<usize> {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        let previous = self.places.insert(key, index);
        previous.and_then(|previous| usize::try_from(previous).ok())
    }

    /// Returns the index of the workspace that owns a key.
    #[must_use]
    pub fn index(&self, key: &KeyDigest) -> Option<usize> {
        let index = self.places.get(key)?;
        usize::try_from(*index).ok()
    }
}
