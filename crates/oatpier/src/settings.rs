//! An operator's settings: the addresses of the store and the entries.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use miette::{Diagnostic, NamedSource, SourceSpan};
use oatpier_types::config::error::nearest_name;
use serde::Deserialize;
use thiserror::Error;
use toml::Spanned;
use toml::de::DeTable;

/// Default path of the settings file.
pub const DEFAULT_SETTINGS: &str = "oatpier.toml";
/// Default timeout of a call to the store or an entry.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
const KEYS: &[&str] = &["operator", "store", "entries", "timeout"];

/// Validated settings of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// The operator's name, recorded in the history.
    pub operator: String,
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Peer addresses of entries, tried in this order until one answers.
    pub entries: Vec<SocketAddr>,
    /// Timeout of one call.
    pub timeout: Duration,
}

/// The text of a settings file, not yet validated.
#[derive(Debug, Clone, Copy)]
pub struct SettingsText<'a> {
    /// The file name, for error messages.
    pub file: &'a str,
    /// Its content.
    pub text: &'a str,
    /// The operator's name if the text has none.
    pub user: &'a str,
}

/// One error in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Diagnostic, Error)]
#[error("{message}")]
pub struct SettingsError {
    message: String,
    #[label("here")]
    span: Option<SourceSpan>,
    #[help]
    help: String,
}

/// All errors in the settings.
#[derive(Debug, Clone)]
#[derive(Diagnostic, Error)]
pub struct SettingsErrors {
    /// The file name and text.
    #[source_code]
    source_text: NamedSource<Arc<str>>,
    /// The errors, in order of detection.
    #[related]
    pub errors: Vec<SettingsError>,
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.errors.len();
        let noun = if count == 1 { "error" } else { "errors" };
        write!(formatter, "{}: {count} {noun}", self.source_text.name())
    }
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RawSettings {
    operator: Option<Spanned<String>>,
    store: Option<Spanned<String>>,
    entries: Option<Vec<Spanned<String>>>,
    timeout: Option<Spanned<String>>,
}

impl TryFrom<SettingsText<'_>> for OperatorSettings {
    type Error = SettingsErrors;

    fn try_from(raw: SettingsText<'_>) -> Result<Self, SettingsErrors> {
        let mut reader = SettingsReader { errors: Vec::new() };
        let settings = reader.read(raw);
        match settings {
            Some(settings) if reader.errors.is_empty() => Ok(settings),
            _ => Err(SettingsErrors {
                source_text: NamedSource::new(raw.file, Arc::from(raw.text)).with_language("TOML"),
                errors: reader.errors,
            }),
        }
    }
}

struct SettingsReader {
    errors: Vec<SettingsError>,
}

impl SettingsReader {
    fn read(&mut self, raw: SettingsText<'_>) -> Option<OperatorSettings> {
        let table = self.parse(raw.text)?;
        let store = self.address("store", table.store.as_ref());
        let entries = table.entries.unwrap_or_default();
        let entries = entries
            .iter()
            .map(|entry| self.address("entries", Some(entry)))
            .collect::<Vec<_>>();
        let timeout = self.timeout(table.timeout.as_ref());
        let operator = table.operator.map(Spanned::into_inner);
        Some(OperatorSettings {
            operator: operator.unwrap_or_else(|| raw.user.to_owned()),
            store: store?,
            entries: entries.into_iter().collect::<Option<_>>()?,
            timeout: timeout?,
        })
    }

    fn parse(&mut self, text: &str) -> Option<RawSettings> {
        match DeTable::parse(text) {
            Ok(table) => self.reject_unknown_keys(table.get_ref()),
            Err(error) => {
                self.add_error(error.message(), error.span(), "correct the TOML syntax");
                return None;
            }
        }
        if !self.errors.is_empty() {
            return None;
        }
        toml::from_str::<RawSettings>(text)
            .map_err(|error| self.add_error(error.message(), error.span(), "use another value"))
            .ok()
    }

    fn reject_unknown_keys(&mut self, table: &DeTable<'_>) {
        let unknown = table.keys();
        let unknown = unknown.filter(|key| !KEYS.contains(&key.get_ref().as_ref()));
        for key in unknown {
            let nearest = nearest_name(key.get_ref(), KEYS.iter().copied());
            let help = nearest.map_or_else(
                || format!("the valid keys are {}", KEYS.join(", ")),
                |near| format!("did you mean `{near}`?"),
            );
            let message = format!("unknown key `{}`", key.get_ref());
            self.add_error(&message, Some(key.span()), &help);
        }
    }

    fn address(&mut self, key: &str, value: Option<&Spanned<String>>) -> Option<SocketAddr> {
        let Some(value) = value else {
            let help = format!("add `{key} = \"10.0.0.9:2379\"`");
            self.add_error(&format!("`{key}` is missing"), None, &help);
            return None;
        };
        let parsed = value.get_ref().parse();
        parsed
            .map_err(|_| {
                let message = format!("`{}` is not an IP address with a port", value.get_ref());
                let help = "use a form such as \"10.0.0.9:2379\"; host names are not resolved";
                self.add_error(&message, Some(value.span()), help);
            })
            .ok()
    }

    fn timeout(&mut self, value: Option<&Spanned<String>>) -> Option<Duration> {
        let Some(value) = value else {
            return Some(DEFAULT_TIMEOUT);
        };
        let parsed = humantime_serde::re::humantime::parse_duration(value.get_ref());
        let parsed = parsed.ok().filter(|timeout| !timeout.is_zero());
        if parsed.is_none() {
            let message = format!("`{}` is not a positive duration", value.get_ref());
            let help = "use a number and a unit, such as \"2s\"";
            self.add_error(&message, Some(value.span()), help);
        }
        parsed
    }

    fn add_error(&mut self, message: &str, span: Option<std::ops::Range<usize>>, help: &str) {
        self.errors.push(SettingsError {
            message: message.to_owned(),
            span: span.map(SourceSpan::from),
            help: help.to_owned(),
        });
    }
}

/// Returns the settings file to read: the given path, or the default one.
#[must_use]
pub fn settings_path(named: Option<&Path>) -> &Path {
    named.unwrap_or(Path::new(DEFAULT_SETTINGS))
}
