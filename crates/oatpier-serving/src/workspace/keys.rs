//! From a caller's key to its workspace.
//!
//! A key is turned into a digest where it is decoded, and only the digest is kept, compared and looked up: no
//! comparison takes longer the more of a key was guessed right, and no log line, metric or panic can hold a key.

use std::collections::HashMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a digest that are kept. Whoever wants to pass without a key would have to find a text for one of
/// the digests in force, at 2^128 tries for each.
const DIGEST_BYTES: usize = 16;

/// The longest key, in bytes. The platform's have 20; a longer one is not worth a digest of kilobytes.
pub const MAX_KEY_BYTES: usize = 512;

/// The digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
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

/// What a request brings to prove whose it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKey {
    /// Nothing.
    Absent,
    /// Something that no key can be: another scheme, two keys, or an overlong one.
    Unusable,
    /// A key.
    Given(KeyDigest),
}

/// Which workspace holds a key, by its place in the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct KeyIndex {
    places: HashMap<KeyDigest, u32>,
}

impl KeyIndex {
    /// Adds a key; gives back the place that held it before.
    pub fn insert(&mut self, key: KeyDigest, place: usize) -> Option<usize> {
        let place = u32::try_from(place).unwrap_or(u32::MAX);
        let known = self.places.insert(key, place);
        known.and_then(|known| usize::try_from(known).ok())
    }

    /// The place of the workspace that holds a key.
    #[must_use]
    pub fn place(&self, key: &KeyDigest) -> Option<usize> {
        let place = self.places.get(key)?;
        usize::try_from(*place).ok()
    }
}
