//! Versions of the software of endpoints.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a version, in bytes.
pub const MAX_VERSION_BYTES: usize = 128;

/// The reason why a string is not a valid version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum VersionError {
    /// The string is empty.
    #[error("a software version is empty; give it at least one character")]
    Empty,
    /// The string is longer than [`MAX_VERSION_BYTES`].
    #[error("software version `{value}` is {length} bytes long; use at most {MAX_VERSION_BYTES}")]
    TooLong {
        /// The start of the invalid value.
        value: String,
        /// The length of the value, in bytes.
        length: usize,
    },
}

/// The version of an endpoint's software, as opposed to that of its weights. Versions are compared for equality only:
/// they have no order.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the version as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for SoftwareVersion {
    type Error = VersionError;

    fn try_from(raw: &str) -> Result<Self, VersionError> {
        if raw.is_empty() {
            return Err(VersionError::Empty);
        }
        if raw.len() > MAX_VERSION_BYTES {
            return Err(VersionError::TooLong {
                value: raw.chars().take(32).collect(),
                length: raw.len(),
            });
        }
        Ok(Self(Arc::from(raw)))
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = VersionError;

    fn try_from(raw: String) -> Result<Self, VersionError> {
        Self::try_from(raw.as_str())
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        version.as_str().to_owned()
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Debug for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", &*self.0)
    }
}
