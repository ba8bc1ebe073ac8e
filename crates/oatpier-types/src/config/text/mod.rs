//! Parses configuration text into a [`FleetConfig`].
//!
//! Parsing has three stages: `reader` parses the TOML into raw tables, `items` converts them to
//! validated items, and [`verify`](super::verify) checks the consistency between the items. Each
//! stage collects its errors and continues, so that an operator sees all errors of a text at once.

mod fields;
mod items;
mod pools;
mod reader;

use std::sync::Arc;

use miette::NamedSource;

use super::FleetConfig;
use super::error::ConfigErrors;
use crate::ids::Generation;
use reader::RawDocument;

/// The source name in error reports for text that was not read from a file.
const DEFAULT_SOURCE_NAME: &str = "configuration";

/// A parsed configuration text.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigDocument {
    /// The generation that the text was derived from (`based_on`), if specified.
    ///
    /// Without it, an edited copy of an old generation would silently revert the changes that
    /// other operators made since.
    pub based_on: Option<Generation>,
    /// The configuration.
    pub config: FleetConfig,
}

impl ConfigDocument {
    /// Parses a text that was read from `file`.
    ///
    /// # Errors
    ///
    /// Returns all errors in the text, with their locations.
    pub fn read(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let raw = RawDocument::read(text);
        Self::try_from(raw).map_err(|errors| ConfigErrors {
            source: NamedSource::new(file, Arc::from(text)).with_language("TOML"),
            errors,
        })
    }
}

impl TryFrom<&str> for FleetConfig {
    type Error = ConfigErrors;

    fn try_from(text: &str) -> Result<Self, ConfigErrors> {
        ConfigDocument::read(DEFAULT_SOURCE_NAME, text).map(|document| document.config)
    }
}
