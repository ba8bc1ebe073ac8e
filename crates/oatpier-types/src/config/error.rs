//! Errors in a configuration, with their locations in its text.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::names::NameError;

/// The kind of an item of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ItemKind {
    /// The whole text.
    Document,
    /// The weight store.
    WeightStore,
    /// A region.
    Region,
    /// An availability zone of a region.
    Zone,
    /// A class of requests.
    Class,
    /// A pool of endpoints.
    Pool,
    /// An endpoint of a pool.
    Endpoint,
    /// A base model.
    Model,
    /// An adapter.
    Adapter,
}

impl ItemKind {
    /// Returns the name of the kind in error messages.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Document => "configuration",
            Self::WeightStore => "weight_store",
            Self::Region => "region",
            Self::Zone => "availability zone",
            Self::Class => "class",
            Self::Pool => "pool",
            Self::Endpoint => "endpoint",
            Self::Model => "model",
            Self::Adapter => "adapter",
        }
    }
}

impl fmt::Display for ItemKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A reference to an item of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ItemRef {
    /// The kind of the item.
    pub kind: ItemKind,
    /// The name of the item; empty for the weight store and the whole text.
    pub name: String,
}

impl ItemRef {
    /// Creates a reference to the item with this kind and name.
    #[must_use]
    pub fn new(kind: ItemKind, name: impl Into<String>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for ItemRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.name.is_empty() {
            write!(formatter, "{}", self.kind)
        } else {
            write!(formatter, "{} `{}`", self.kind, self.name)
        }
    }
}

/// The reason why a part of a configuration is invalid.
#[derive(Debug, Clone, PartialEq)]
#[derive(Error)]
pub enum ErrorCause {
    /// The text is not valid TOML.
    #[error("the text is not valid TOML: {message}")]
    Syntax {
        /// The message of the parser.
        message: String,
    },
    /// A key that its table does not accept.
    #[error("unknown key `{key}`")]
    UnknownKey {
        /// The key.
        key: String,
        /// The keys that the table accepts.
        known: &'static [&'static str],
        /// The most similar accepted key.
        nearest: Option<String>,
    },
    /// A value of the wrong type or outside the range of its type.
    #[error("`{key}` has an invalid value: {message}")]
    WrongType {
        /// The key.
        key: String,
        /// The message of the deserializer.
        message: String,
    },
    /// A required key is missing.
    #[error("`{key}` is missing")]
    MissingKey {
        /// The key.
        key: &'static str,
    },
    /// A name with invalid characters or an invalid length.
    #[error(transparent)]
    InvalidName(#[from] NameError),
    /// A string that is not a duration.
    #[error("`{value}` is not a duration")]
    InvalidDuration {
        /// The invalid value.
        value: String,
    },
    /// A string that is not a call pattern of a plain service.
    #[error("`{value}` is not a method and a path")]
    InvalidCall {
        /// The invalid value.
        value: String,
    },
    /// An unknown kind of pool.
    #[error("`{value}` is not a kind of pool")]
    InvalidKind {
        /// The invalid value.
        value: String,
    },
    /// Keys that cannot be combined.
    #[error("`{key}` cannot be combined with `{other}`")]
    ConflictingKeys {
        /// The key.
        key: &'static str,
        /// The key or setting that excludes it.
        other: &'static str,
    },
    /// A reference to an item that is not configured.
    #[error("there is no {target}")]
    UnknownReference {
        /// The referenced item.
        target: ItemRef,
        /// The most similar configured name.
        nearest: Option<String>,
    },
    /// A name that is already used by another item.
    #[error("the name is already used by {other}")]
    NameTaken {
        /// The item that already has the name.
        other: ItemRef,
    },
    /// A share that is not between 0 and 1.
    #[error("a share of {value} cannot be attained")]
    ShareOutOfRange {
        /// The invalid value.
        value: f64,
    },
    /// A number or duration that must be greater than zero.
    #[error("`{key}` is {value}")]
    NotPositive {
        /// The key.
        key: &'static str,
        /// The invalid value.
        value: String,
    },
    /// A number above its maximum.
    #[error("`{key}` is {value}, more than {maximum}")]
    AboveMaximum {
        /// The key.
        key: &'static str,
        /// The invalid value.
        value: u64,
        /// The maximum.
        maximum: u64,
    },
    /// An empty list where at least one entry is required.
    #[error("`{key}` is empty")]
    EmptyList {
        /// The key.
        key: &'static str,
    },
    /// A model assigned to a pool of plain services.
    #[error("{pool} contains plain services, which cannot load models")]
    NotEnginePool {
        /// The pool.
        pool: ItemRef,
    },
    /// A class with streaming targets that is assigned to plain services.
    #[error("{class} has streaming targets, but a plain service does not stream tokens")]
    StreamingClass {
        /// The class.
        class: ItemRef,
    },
}

impl ErrorCause {
    /// Returns a suggestion for correcting the error.
    #[must_use]
    pub fn help(&self) -> String {
        match self {
            Self::Syntax { .. } => "correct the syntax; see https://toml.io".to_owned(),
            Self::UnknownKey { known, nearest, .. } => nearest.as_ref().map_or_else(
                || format!("the accepted keys are {}", known.join(", ")),
                |near| format!("did you mean `{near}`?"),
            ),
            Self::WrongType { .. } => "use a value of the expected type".to_owned(),
            Self::MissingKey { key } => format!("add `{key} = ...`"),
            Self::InvalidName(_) => "choose another name".to_owned(),
            Self::InvalidDuration { .. } => {
                "write a number and a unit, such as \"320ms\"".to_owned()
            }
            Self::InvalidCall { .. } => {
                "write a method in uppercase and a path, such as \"POST /plans/*/apply\"".to_owned()
            }
            Self::InvalidKind { .. } => "use \"engine\" or \"service\"".to_owned(),
            Self::ConflictingKeys { key, other } => format!("remove `{key}` or `{other}`"),
            Self::UnknownReference { target, nearest } => nearest.as_ref().map_or_else(
                || format!("configure it under [{}.{}]", target.kind, target.name),
                |near| format!("did you mean `{near}`?"),
            ),
            Self::NameTaken { .. } => "rename one of the two".to_owned(),
            Self::ShareOutOfRange { .. } => "give a share above 0 and below 1, as 0.95".to_owned(),
            Self::NotPositive { key, .. } => format!("use a value greater than zero for `{key}`"),
            Self::AboveMaximum { maximum, .. } => format!("use at most {maximum}"),
            Self::EmptyList { key } => format!("add at least one entry to `{key}`"),
            Self::NotEnginePool { .. } => "use a pool with kind = \"engine\"".to_owned(),
            Self::StreamingClass { .. } => "use a class with `answer = ...`".to_owned(),
        }
    }
}

/// An error in a configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigError {
    /// The item with the error.
    pub item: ItemRef,
    /// The key with the error; empty if the error concerns the whole item or is located by its span.
    pub key: &'static str,
    /// The reason for the error.
    pub cause: ErrorCause,
    /// The location in the text; `None` if the configuration was not read from a text.
    pub span: Option<SourceSpan>,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.item.kind == ItemKind::Document {
            write!(formatter, "{}", self.cause)
        } else {
            write!(formatter, "{}: {}", self.item, self.cause)
        }
    }
}

impl Error for ConfigError {}

impl Diagnostic for ConfigError {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.cause.help()))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let span = self.span?;
        let label = LabeledSpan::new_with_span(Some("here".to_owned()), span);
        Some(Box::new(std::iter::once(label)))
    }
}

/// All errors in one text.
#[derive(Debug, Clone)]
pub struct ConfigErrors {
    /// The text, with the name of its file.
    pub source: NamedSource<Arc<str>>,
    /// The errors, in the order of the text.
    pub errors: Vec<ConfigError>,
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.errors.len();
        let noun = if count == 1 { "error" } else { "errors" };
        write!(formatter, "{}: {count} {noun}", self.source.name())
    }
}

impl Error for ConfigErrors {}

impl Diagnostic for ConfigErrors {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        let errors = self.errors.iter().map(|error| error as &dyn Diagnostic);
        Some(Box::new(errors))
    }
}

/// Returns the name in `known` that is most similar to `found`, if it is similar enough to suggest a typing error.
#[must_use]
pub fn nearest_name<'a>(found: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    const MIN_SIMILARITY: f64 = 0.75;
    known
        .map(|name| (strsim::jaro_winkler(found, name), name))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, name)| name.to_owned())
}
