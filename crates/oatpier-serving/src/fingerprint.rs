//! Fingerprints that identify repeated requests.
//!
//! A caller that retries a request gives it another id, and its deadline and other headers change. The fingerprint
//! covers what an endpoint processes: method, host, path with query, and body.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Length of a fingerprint in bytes. A caller that wants to imitate another caller's request would have to find a
/// second preimage, which takes 2^128 attempts.
const FINGERPRINT_BYTES: usize = 16;

/// Number of hexadecimal digits of a fingerprint in log lines.
const SHORT_DIGITS: usize = 12;

/// Reason why a text is not a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("`{text}` is no fingerprint; use {} hexadecimal digits", FINGERPRINT_BYTES * 2)]
pub struct FingerprintError {
    /// Invalid text.
    pub text: String,
}

/// Content that identifies a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the caller addressed.
    pub host: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Truncated SHA-256 digest of a request's content. It identifies the request to other processes and to operators
/// without revealing the content.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = Sha256::new();
        for part in [content.method, content.host, content.path] {
            // Without the lengths, moving a part of the path into the host would give the same bytes.
            hasher.update(part.len().to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(content.body);
        let digest = hasher.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Returns the first digits, for log lines.
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
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
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
