//! The shared state of a run: the shell, the settings and the runtime.

use std::cell::OnceCell;
use std::future::Future;
use std::path::PathBuf;
use std::sync::Arc;

use oatpier_ports::http::HttpStore;
use oatpier_ports::store::KeyStore;
use serde::Serialize;
use tokio::runtime::{Builder, Runtime};

use crate::error::CommandError;
use crate::ops::entries::EntryClient;
use crate::ops::files::read_file;
use crate::settings::{OperatorSettings, SettingsText, settings_path};
use crate::shell::{Shell, print_json, print_text};

/// Operator name for the history if neither the settings nor the environment give one.
const UNKNOWN_USER: &str = "unknown";

/// The shell, the settings and the runtime of one run.
pub struct CliContext {
    /// Prints status lines and errors.
    pub shell: Shell,
    /// Whether the answer is printed as one JSON document.
    pub json: bool,
    path: Option<PathBuf>,
    settings: OnceCell<OperatorSettings>,
    runtime: Runtime,
}

impl CliContext {
    /// Creates a context that reads the settings when a command first needs them.
    ///
    /// # Errors
    ///
    /// Returns an error if the async runtime can't be built.
    pub fn new(shell: Shell, json: bool, path: Option<PathBuf>) -> Result<Self, CommandError> {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|source| CommandError::System { source })?;
        Ok(Self {
            shell,
            json,
            path,
            settings: OnceCell::new(),
            runtime,
        })
    }

    /// Returns the operator's settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or is invalid.
    pub fn settings(&self) -> Result<&OperatorSettings, CommandError> {
        if let Some(settings) = self.settings.get() {
            return Ok(settings);
        }
        let settings = self.read_settings()?;
        Ok(self.settings.get_or_init(|| settings))
    }

    fn read_settings(&self) -> Result<OperatorSettings, CommandError> {
        let path = settings_path(self.path.as_deref());
        let text = read_file(path).map_err(|source| CommandError::ReadSettings {
            path: path.to_owned(),
            source,
        })?;
        let user = std::env::var("USER").unwrap_or_else(|_| UNKNOWN_USER.to_owned());
        let file = path.display().to_string();
        let text = SettingsText {
            file: &file,
            text: &text,
            user: &user,
        };
        OperatorSettings::try_from(text).map_err(|errors| CommandError::Settings(Box::new(errors)))
    }

    /// Returns a client of the key-value store.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't be read or are invalid.
    pub fn store(&self) -> Result<Arc<dyn KeyStore>, CommandError> {
        let settings = self.settings()?;
        Ok(Arc::new(HttpStore::new(settings.store, settings.timeout)))
    }

    /// Returns a client of the entries.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't be read or are invalid.
    pub fn entries(&self) -> Result<EntryClient, CommandError> {
        let settings = self.settings()?;
        Ok(EntryClient::new(settings.entries.clone(), settings.timeout))
    }

    /// Runs a future to completion.
    pub fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.runtime.block_on(future)
    }

    /// Prints the answer of a command: the JSON document with `--json`, otherwise the text.
    ///
    /// # Errors
    ///
    /// Returns an error if writing to stdout fails.
    pub fn answer<T: Serialize>(
        &self,
        document: &T,
        text: impl FnOnce() -> String,
    ) -> Result<(), CommandError> {
        let printed = if self.json {
            print_json(document)
        } else {
            print_text(&text())
        };
        printed.map_err(|source| CommandError::System { source })
    }
}
