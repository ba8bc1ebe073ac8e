//! An operator's settings: where the store and the entries are.

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

/// The settings file where none is named.
pub const DEFAULT_SETTINGS: &str = "oatpier.toml";
/// How long a call to the store or an entry may take.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
const KEYS: &[&str] = &["operator", "store", "entries", "timeout"];

/// An operator's settings, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Who makes the changes, for the history.
    pub operator: String,
    /// Where the key-value service is.
    pub store: SocketAddr,
    /// Where entries listen for peers; the first that answers is asked.
    pub entries: Vec<SocketAddr>,
    /// How long one call may take.
    pub timeout: Duration,
}

/// A text of settings, unchecked.
#[derive(Debug, Clone, Copy)]
pub struct SettingsText<'a> {
    /// The file's name.
    pub file: &'a str,
    /// Its content.
    pub text: &'a str,
    /// Who the operator is if the text does not say.
    pub user: &'a str,
}

/// One fault of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Diagnostic, Error)]
#[error("{message}")]
pub struct SettingsFault {
    message: String,
    #[label("here")]
    place: Option<SourceSpan>,
    #[help]
    mend: String,
}

/// All faults of the settings.
#[derive(Debug, Clone)]
#[derive(Diagnostic, Error)]
pub struct SettingsErrors {
    /// The file.
    #[source_code]
    source_text: NamedSource<Arc<str>>,
    /// The faults.
    #[related]
    pub faults: Vec<SettingsFault>,
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.faults.len();
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
        let mut reader = SettingsReader { faults: Vec::new() };
        let settings = reader.read(raw);
        match settings {
            Some(settings) if reader.faults.is_empty() => Ok(settings),
            _ => Err(SettingsErrors {
                source_text: NamedSource::new(raw.file, Arc::from(raw.text)).with_language("TOML"),
                faults: reader.faults,
            }),
        }
    }
}

struct SettingsReader {
    faults: Vec<SettingsFault>,
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
            Ok(table) => self.refuse_unknown(table.get_ref()),
            Err(error) => {
                self.note(error.message(), error.span(), "mend the text");
                return None;
            }
        }
        if !self.faults.is_empty() {
            return None;
        }
        toml::from_str::<RawSettings>(text)
            .map_err(|error| self.note(error.message(), error.span(), "give another value"))
            .ok()
    }

    fn refuse_unknown(&mut self, table: &DeTable<'_>) {
        let unknown = table.keys();
        let unknown = unknown.filter(|key| !KEYS.contains(&key.get_ref().as_ref()));
        for key in unknown {
            let nearest = nearest_name(key.get_ref(), KEYS.iter().copied());
            let mend = nearest.map_or_else(
                || format!("the keys here are {}", KEYS.join(", ")),
                |near| format!("did you mean `{near}`?"),
            );
            let message = format!("unknown key `{}`", key.get_ref());
            self.note(&message, Some(key.span()), &mend);
        }
    }

    fn address(&mut self, key: &str, value: Option<&Spanned<String>>) -> Option<SocketAddr> {
        let Some(value) = value else {
            let mend = format!("add `{key} = \"10.0.0.9:2379\"`");
            self.note(&format!("`{key}` is missing"), None, &mend);
            return None;
        };
        let parsed = value.get_ref().parse();
        parsed
            .map_err(|_| {
                let message = format!("`{}` is not an IP address with a port", value.get_ref());
                let mend = "write it as \"10.0.0.9:2379\"; names are not resolved";
                self.note(&message, Some(value.span()), mend);
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
            let message = format!("`{}` is not a length of time above zero", value.get_ref());
            let mend = "write a number and a unit, such as \"2s\"";
            self.note(&message, Some(value.span()), mend);
        }
        parsed
    }

    fn note(&mut self, message: &str, place: Option<std::ops::Range<usize>>, mend: &str) {
        self.faults.push(SettingsFault {
            message: message.to_owned(),
            place: place.map(SourceSpan::from),
            mend: mend.to_owned(),
        });
    }
}

/// The file to read: the one that was named, or the default one.
#[must_use]
pub fn settings_path(named: Option<&Path>) -> &Path {
    named.unwrap_or(Path::new(DEFAULT_SETTINGS))
}
