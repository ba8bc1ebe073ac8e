//! Reads the operators' text into a [`FleetConfig`].
//!
//! Three filters in a row: `reader` takes the TOML apart into raw tables, `items` makes
//! checked items of them, and [`verify`](super::verify) checks what must hold between the items.
//! Each notes its faults and goes on, so that an operator sees all faults of a text at once.

mod fields;
mod items;
mod pools;
mod reader;

use std::sync::Arc;

use miette::NamedSource;

use super::FleetConfig;
use super::fault::ConfigErrors;
use crate::ids::Generation;
use reader::RawDocument;

/// The name under which a text without a file is reported.
const NO_FILE: &str = "configuration";

/// What a text says.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigDocument {
    /// The generation that the text was made from (`based_on`); none if it does not say.
    ///
    /// Without it an edited copy of an old generation would undo, unseen, what other operators
    /// changed since.
    pub based_on: Option<Generation>,
    /// The configuration.
    pub config: FleetConfig,
}

impl ConfigDocument {
    /// Reads a text that came from `file`.
    ///
    /// # Errors
    ///
    /// All faults of the text, with their places.
    pub fn read(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let raw = RawDocument::read(text);
        Self::try_from(raw).map_err(|faults| ConfigErrors {
            source: NamedSource::new(file, Arc::from(text)).with_language("TOML"),
            faults,
        })
    }
}

impl TryFrom<&str> for FleetConfig {
    type Error = ConfigErrors;

    fn try_from(text: &str) -> Result<Self, ConfigErrors> {
        ConfigDocument::read(NO_FILE, text).map(|document| document.config)
    }
}
