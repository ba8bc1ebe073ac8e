//! Validated names with cheap clones.
//!
//! Names are keys and values of most tables, so each is an `Arc<str>`: a clone increments a
//! reference count and copies no text. Names are created only with `TryFrom`, which checks the
//! length and the allowed characters.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The reason why a string is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum NameError {
    /// The string is empty.
    #[error("a {kind} name is empty; give it at least one character")]
    Empty {
        /// The kind of object that the name identifies.
        kind: &'static str,
    },
    /// The string is longer than [`MAX_NAME_BYTES`].
    #[error("{kind} name `{value}` is {length} bytes long; use at most {MAX_NAME_BYTES}")]
    TooLong {
        /// The kind of object that the name identifies.
        kind: &'static str,
        /// The start of the invalid value.
        value: String,
        /// The length of the value, in bytes.
        length: usize,
    },
    /// The string contains a character outside `a-z A-Z 0-9 . _ : / -`.
    #[error(
        "{kind} name `{value}` holds `{found}`; use letters, digits, `.`, `_`, `:`, `/` and `-`"
    )]
    InvalidCharacter {
        /// The kind of object that the name identifies.
        kind: &'static str,
        /// The invalid value.
        value: String,
        /// The first invalid character.
        found: char,
    },
}

fn check_name(kind: &'static str, raw: &str) -> Result<Arc<str>, NameError> {
    if raw.is_empty() {
        return Err(NameError::Empty { kind });
    }
    if raw.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong {
            kind,
            value: raw.chars().take(32).collect(),
            length: raw.len(),
        });
    }
    match raw.chars().find(|character| !is_name_character(*character)) {
        Some(found) => Err(NameError::InvalidCharacter {
            kind,
            value: raw.to_owned(),
            found,
        }),
        None => Ok(Arc::from(raw)),
    }
}

fn is_name_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '.' | '_' | ':' | '/' | '-')
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident, $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(raw: &str) -> Result<Self, NameError> {
                check_name($kind, raw).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(raw: String) -> Result<Self, NameError> {
                Self::try_from(raw.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.as_str().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:?}", &*self.0)
            }
        }
    )*};
}

names! {
    /// A base model, as callers name it.
    ModelName, "model";
    /// An adapter of a base model, as callers name it.
    AdapterName, "adapter";
    /// A version of a model's or an adapter's weights.
    VersionName, "version";
    /// A class of requests with a latency target.
    ClassName, "class";
    /// A backend: an engine or a plain service process.
    EndpointName, "endpoint";
    /// A group of endpoints of one kind, such as `seat-llm` or `plan-api`.
    PoolName, "pool";
    /// An availability zone.
    ZoneName, "availability zone";
    /// A region: a group of availability zones that are close to each other.
    RegionName, "region";
    /// A VM.
    VmName, "VM";
    /// An oatpier process (entry or agent).
    DaemonName, "daemon";
    /// The sender of a request, as identified by the entry.
    CallerName, "caller";
    /// A group of callers that share API keys, a priority and a quota.
    WorkspaceName, "workspace";
}
