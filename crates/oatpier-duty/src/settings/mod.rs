//! A process's settings: its name, its addresses, where it finds the platform, and its limits.
//!
//! Settings differ from the operators' configuration: each process has its own, they are read
//! once at its start, and they hold addresses. A text becomes checked settings through
//! `TryFrom`, which reports every error of the text at once.

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
pub use limits::IntakeLimits;
use reader::TableReader;
pub use reader::{SettingsError, SettingsErrors};

/// The text of a settings file, unchecked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsText {
    /// The file's name, for errors.
    pub name: String,
    /// Its content.
    pub text: String,
}

/// Why settings could not be had.
#[derive(Debug)]
#[derive(miette::Diagnostic, Error)]
pub enum SettingsFailure {
    /// The file can't be read.
    #[error("the settings file `{path}` can't be read: {cause}")]
    #[diagnostic(help("check the path after --settings, and that this user may read the file"))]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The text has errors.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Wrong(#[from] SettingsErrors),
}

impl SettingsText {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsFailure::Unreadable`] if the file can't be read.
    pub fn read(path: &Path) -> Result<Self, SettingsFailure> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|cause| SettingsFailure::Unreadable {
            path: name.clone(),
            cause,
        })?;
        Ok(Self { name, text })
    }

    /// Runs `read` over the outermost table and gathers all errors.
    fn parse<T>(
        &self,
        read: impl FnOnce(&mut TableReader<'_>) -> Option<T>,
    ) -> Result<T, SettingsErrors> {
        let table = DeTable::parse(&self.text).map_err(|error| self.syntax_error(&error))?;
        let mut reader = TableReader::new("", Some(table.get_ref()), 0..0);
        let checked = read(&mut reader);
        let mut errors = reader.finish();
        errors.sort_by_key(|error| error.place.offset());
        match checked {
            Some(checked) if errors.is_empty() => Ok(checked),
            _ => Err(self.wrong(errors)),
        }
    }

    fn syntax_error(&self, error: &toml::de::Error) -> SettingsErrors {
        let place = error.span().unwrap_or(0..0);
        self.wrong(vec![SettingsError {
            message: format!("this is not TOML: {}", error.message()),
            place: place.into(),
            mend: "see the commented examples of settings".to_owned(),
        }])
    }

    fn wrong(&self, errors: Vec<SettingsError>) -> SettingsErrors {
        SettingsErrors {
            text: NamedSource::new(&self.name, self.text.clone()).with_language("TOML"),
            errors,
        }
    }
}
