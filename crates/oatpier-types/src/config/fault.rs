//! What is wrong with a configuration, with the place in its text.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::names::NameError;

/// What an item of a configuration is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ItemKind {
    /// The text as a whole.
    Document,
    /// The weight store.
    WeightStore,
    /// A region.
    Region,
    /// An availability zone of a region.
    Zone,
    /// A class of work.
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
    /// The word for it, as in the text.
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

/// One item of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ItemRef {
    /// What it is.
    pub kind: ItemKind,
    /// Its name; empty for the weight store and the text as a whole.
    pub name: String,
}

impl ItemRef {
    /// The item of this kind and name.
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

/// Why a part of a configuration is refused.
#[derive(Debug, Clone, PartialEq)]
#[derive(Error)]
pub enum FaultCause {
    /// The text is not TOML.
    #[error("the text is not TOML: {message}")]
    Syntax {
        /// What the parser says.
        message: String,
    },
    /// A key that means nothing here.
    #[error("unknown key `{key}`")]
    UnknownKey {
        /// The key.
        key: String,
        /// The keys that are known here.
        known: &'static [&'static str],
        /// The known key that is nearest to it.
        nearest: Option<String>,
    },
    /// A value of the wrong type or outside its type's range.
    #[error("`{key}` has a wrong value: {message}")]
    WrongType {
        /// The key.
        key: String,
        /// What the reader says.
        message: String,
    },
    /// A key that must be there is not.
    #[error("`{key}` is missing")]
    MissingKey {
        /// The key.
        key: &'static str,
    },
    /// A name outside the alphabet or the length of names.
    #[error(transparent)]
    BadName(#[from] NameError),
    /// A text that is not a length of time.
    #[error("`{value}` is not a length of time")]
    BadDuration {
        /// The offending value.
        value: String,
    },
    /// A text that is not a call of a plain service.
    #[error("`{value}` is not a method and a path")]
    BadCall {
        /// The offending value.
        value: String,
    },
    /// A pool kind that there is not.
    #[error("`{value}` is not a kind of pool")]
    BadKind {
        /// The offending value.
        value: String,
    },
    /// Keys that may not stand together.
    #[error("`{key}` does not go with `{other}`")]
    KeysExclude {
        /// The key.
        key: &'static str,
        /// What is there already.
        other: &'static str,
    },
    /// A name that refers to nothing.
    #[error("there is no {target}")]
    UnknownReference {
        /// What it should refer to.
        target: ItemRef,
        /// The configured name that is nearest to it.
        nearest: Option<String>,
    },
    /// A name that is used twice.
    #[error("the name is in use already, by {other}")]
    NameTaken {
        /// What has it already.
        other: ItemRef,
    },
    /// A share outside its range.
    #[error("a share of {value} cannot be attained")]
    ShareOutside {
        /// The offending value.
        value: f64,
    },
    /// A size that must be above zero.
    #[error("`{key}` is {value}")]
    NotPositive {
        /// The key.
        key: &'static str,
        /// The offending value.
        value: String,
    },
    /// A count that is too high.
    #[error("`{key}` is {value}, more than {most}")]
    TooMany {
        /// The key.
        key: &'static str,
        /// The offending value.
        value: u64,
        /// The most that is allowed.
        most: u64,
    },
    /// A list that must not be empty.
    #[error("`{key}` is empty")]
    EmptyList {
        /// The key.
        key: &'static str,
    },
    /// A model in a pool of plain services.
    #[error("{pool} holds plain services, which cannot load a model")]
    NotEngines {
        /// The pool.
        pool: ItemRef,
    },
    /// A class with token targets for plain services.
    #[error("{class} has targets for tokens, which a plain service does not stream")]
    NotWhole {
        /// The class.
        class: ItemRef,
    },
}

impl FaultCause {
    /// How to mend it.
    #[must_use]
    pub fn mend(&self) -> String {
        match self {
            Self::Syntax { .. } => "mend the text; see https://toml.io for its rules".to_owned(),
            Self::UnknownKey { known, nearest, .. } => nearest.as_ref().map_or_else(
                || format!("the keys here are {}", known.join(", ")),
                |near| format!("did you mean `{near}`?"),
            ),
            Self::WrongType { .. } => "give a value of the expected type".to_owned(),
            Self::MissingKey { key } => format!("add `{key} = ...`"),
            Self::BadName(_) => "choose another name".to_owned(),
            Self::BadDuration { .. } => "write a number and a unit, such as \"320ms\"".to_owned(),
            Self::BadCall { .. } => {
                "write a method in capitals and a path, such as \"POST /plans/*/apply\"".to_owned()
            }
            Self::BadKind { .. } => "use \"engine\" or \"service\"".to_owned(),
            Self::KeysExclude { key, other } => format!("remove `{key}` or `{other}`"),
            Self::UnknownReference { target, nearest } => nearest.as_ref().map_or_else(
                || format!("configure it under [{}.{}]", target.kind, target.name),
                |near| format!("did you mean `{near}`?"),
            ),
            Self::NameTaken { .. } => "rename one of the two".to_owned(),
            Self::ShareOutside { .. } => "give a share above 0 and below 1, as 0.95".to_owned(),
            Self::NotPositive { key, .. } => format!("give `{key}` a value above zero"),
            Self::TooMany { most, .. } => format!("use at most {most}"),
            Self::EmptyList { key } => format!("give `{key}` at least one entry"),
            Self::NotEngines { .. } => "name a pool with kind = \"engine\"".to_owned(),
            Self::NotWhole { .. } => "name a class with `answer = ...`".to_owned(),
        }
    }
}

/// One fault of a configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigFault {
    /// The item that has it.
    pub item: ItemRef,
    /// The key of the item that has it; empty for the item as a whole.
    pub key: &'static str,
    /// What is wrong.
    pub cause: FaultCause,
    /// Where in the text; none if the configuration was not read from a text.
    pub place: Option<SourceSpan>,
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.item.kind == ItemKind::Document {
            write!(formatter, "{}", self.cause)
        } else {
            write!(formatter, "{}: {}", self.item, self.cause)
        }
    }
}

impl Error for ConfigFault {}

impl Diagnostic for ConfigFault {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.cause.mend()))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let place = self.place?;
        let label = LabeledSpan::new_with_span(Some("here".to_owned()), place);
        Some(Box::new(std::iter::once(label)))
    }
}

/// All faults of one text.
#[derive(Debug, Clone)]
pub struct ConfigErrors {
    /// The text, under its file's name.
    pub source: NamedSource<Arc<str>>,
    /// The faults, in the order of the text.
    pub faults: Vec<ConfigFault>,
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.faults.len();
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
        let faults = self.faults.iter().map(|fault| fault as &dyn Diagnostic);
        Some(Box::new(faults))
    }
}

/// The name among `known` that is nearest to `found`, if it is near enough to be a slip.
#[must_use]
pub fn nearest_name<'a>(found: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    const LEAST_LIKENESS: f64 = 0.75;
    known
        .map(|name| (strsim::jaro_winkler(found, name), name))
        .filter(|(likeness, _)| *likeness >= LEAST_LIKENESS)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, name)| name.to_owned())
}
