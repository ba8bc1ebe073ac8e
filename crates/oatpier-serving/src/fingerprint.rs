//! Which requests are the same.
//!
//! A caller who comes back gives the request another id, and its deadline and other headers change. What stays
//! is what an endpoint works on: method, host, path with its query, and body.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Bytes of a fingerprint. A caller who wants another's request to be taken for his own would have to find a
/// second request for a given fingerprint, at 2^128 tries.
const FINGERPRINT_BYTES: usize = 16;

/// Hexadecimal digits of a fingerprint that a log line gives.
const SHORT_DIGITS: usize = 12;

/// Why a text is not a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("`{text}` is no fingerprint; use {} hexadecimal digits", FINGERPRINT_BYTES * 2)]
pub struct FingerprintError {
    /// What was given.
    pub text: String,
}

/// What makes a request the same as another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that the caller names.
    pub host: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// A digest of a request's content. It names the request to other processes and to operators without giving
/// its content away.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// The fingerprint of a request.
    #[must_use]
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = Sha256::new();
        for part in [content.method, content.host, content.path] {
            // Without lengths, a path could be moved into the host and give the same bytes.
            hasher.update(part.len().to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(content.body);
        let digest = hasher.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// The first digits, for a log line.
    #[must_use]
    pub fn short(&self) -> String {
        self.to_string().chars().take(SHORT_DIGITS).collect()
    }
}

impl TryFrom<&str> for RequestFingerprint {
    type Error = FingerprintError;

    fn try_from(text: &str) -> Result<Self, FingerprintError> {
        let error = || FingerprintError {
            text: text.to_owned(),
        };
        let is_hex = text.len() == FINGERPRINT_BYTES * 2 && text.is_ascii();
        if !is_hex {
            return Err(error());
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (place, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[place * 2..place * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestFingerprint({self})")
    }
}
