//! A process's settings: its name, its addresses, the addresses of the platform, and its limits.
//!
//! Settings differ from the operators' configuration: each process has separate settings, they are read once at
//! startup, and they contain addresses. `TryFrom` converts a text to validated settings and reports all errors of the
//! text at once.

mod agent;
mod entry;
mod limits;
mod platform;
mod reader;

use std::path::Path;

use miette::NamedSource;
use thiserror::Error;
use toml::de::DeTable;

pub use agent::AgentSettings;
pub use entry::EntrySettings;
pub use limits::RequestLimits;
use reader::TableReader;
pub use reader::{SettingsError, SettingsErrors};

/// The text of a settings file, not yet validated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsText {
    /// The file's name, for errors.
    pub name: String,
    /// The content of the file.
    pub text: String,
}

/// An error while reading settings.
#[derive(Debug)]
#[derive(miette::Diagnostic, Error)]
pub enum SettingsFailure {
    /// The file can't be read.
    #[error("the settings file `{path}` can't be read: {cause}")]
    #[diagnostic(help("check the path after --settings, and that this user may read the file"))]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// The text has errors.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Invalid(#[from] SettingsErrors),
}

impl SettingsText {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsFailure::Unreadable`] if the file can't be read.
    pub fn read(path: &Path) -> Result<Self, SettingsFailure> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|cause| SettingsFailure::Unreadable {
            path: name.clone(),
            cause,
        })?;
        Ok(Self { name, text })
    }

    /// Runs `read` on the root table and collects all errors.
    fn parse<T>(
        &self,
        read: impl FnOnce(&mut TableReader<'_>) -> Option<T>,
    ) -> Result<T, SettingsErrors> {
        let table = DeTable::parse(&self.text).map_err(|error| self.syntax_error(&error))?;
        let mut reader = TableReader::new("", Some(table.get_ref()), 0..0);
        let settings = read(&mut reader);
        let mut errors = reader.finish();
        errors.sort_by_key(|error| error.span.offset());
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(self.source_errors(errors)),
        }
    }

    fn syntax_error(&self, error: &toml::de::Error) -> SettingsErrors {
        let span = error.span().unwrap_or(0..0);
        self.source_errors(vec![SettingsError {
            message: format!("this is not TOML: {}", error.message()),
            span: span.into(),
            help: "see the commented examples of settings".to_owned(),
        }])
    }

    fn source_errors(&self, errors: Vec<SettingsError>) -> SettingsErrors {
        SettingsErrors {
            text: NamedSource::new(&self.name, self.text.clone()).with_language("TOML"),
            errors,
        }
    }
}
