//! Reads values from a settings text and collects all errors.
//!
//! A deserializer stops at its first error, but an operator who corrects a file needs all of them at once. The reader
//! therefore traverses the parsed table, tracks which keys were read and keeps each error with its position.

use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::time::Duration;

use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;
use toml::de::{DeTable, DeValue};

/// An error in a settings text.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Diagnostic, Error)]
#[error("{message}")]
pub struct SettingsError {
    /// The error message, including the offending value.
    pub message: String,
    /// The position of the error.
    #[label("here")]
    pub span: SourceSpan,
    /// How to correct the error.
    #[help]
    pub help: String,
}

/// All errors in a settings text.
#[derive(Debug)]
#[derive(Diagnostic, Error)]
#[error("the settings have {} error(s)", errors.len())]
pub struct SettingsErrors {
    /// The settings text.
    #[source_code]
    pub text: NamedSource<String>,
    /// The errors, in the order of the text.
    #[related]
    pub errors: Vec<SettingsError>,
}

/// A value that can be read from a TOML string.
pub(crate) trait TextValue: Sized {
    /// A description of the type, for error messages.
    const KIND: &'static str;
    /// An example value, for error messages.
    const EXAMPLE: &'static str;

    /// Parses a value; the error is the reason why it is invalid.
    fn read(raw: &str) -> Result<Self, String>;
}

impl TextValue for SocketAddr {
    const KIND: &'static str = "an IP address with a port";
    const EXAMPLE: &'static str = "10.0.0.7:7000";

    fn read(raw: &str) -> Result<Self, String> {
        raw.parse()
            .map_err(|_| "names are not resolved; use an IP number and a port".to_owned())
    }
}

impl TextValue for IpAddr {
    const KIND: &'static str = "an IP address";
    const EXAMPLE: &'static str = "10.0.0.7";

    fn read(raw: &str) -> Result<Self, String> {
        raw.parse().map_err(|_| "use an IP number".to_owned())
    }
}

impl TextValue for Duration {
    const KIND: &'static str = "a duration";
    const EXAMPLE: &'static str = "500ms";

    fn read(raw: &str) -> Result<Self, String> {
        humantime_serde::re::humantime::parse_duration(raw).map_err(|error| error.to_string())
    }
}

macro_rules! name_values {
    ($($name:ident, $example:literal;)*) => {$(
        impl TextValue for oatpier_types::names::$name {
            const KIND: &'static str = "a name";
            const EXAMPLE: &'static str = $example;

            fn read(raw: &str) -> Result<Self, String> {
                Self::try_from(raw).map_err(|error| error.to_string())
            }
        }
    )*};
}

name_values! {
    DaemonName, "entry-ikeja-1";
    VmName, "vm-ikeja-1";
    ZoneName, "ikeja";
    RegionName, "lagos";
    EndpointName, "seat-llm-1";
    PoolName, "seat-llm";
}

/// A reader of one table of a settings text, which tracks the keys that were read.
pub(crate) struct TableReader<'t> {
    name: &'static str,
    table: Option<&'t DeTable<'t>>,
    span: Range<usize>,
    known_keys: Vec<&'static str>,
    errors: Vec<SettingsError>,
}

impl<'t> TableReader<'t> {
    /// Creates a reader of a table; `name` is empty for the root table.
    pub(crate) fn new(
        name: &'static str,
        table: Option<&'t DeTable<'t>>,
        span: Range<usize>,
    ) -> Self {
        Self {
            name,
            table,
            span,
            known_keys: Vec::new(),
            errors: Vec::new(),
        }
    }

    /// Reads a required value.
    pub(crate) fn required<T: TextValue>(&mut self, key: &'static str) -> Option<T> {
        let found = self.find(key);
        if found.is_none() {
            let message = format!("`{key}` is missing{}", self.in_table());
            let help = format!("add a line such as `{key} = \"{}\"`", T::EXAMPLE);
            self.fail(self.span.clone(), message, help);
        }
        found.and_then(|(span, value)| self.text(key, span, value))
    }

    /// Reads an optional value; a missing or invalid one becomes `default`.
    pub(crate) fn optional<T: TextValue>(&mut self, key: &'static str, default: T) -> T {
        self.find(key)
            .and_then(|(span, value)| self.text(key, span, value))
            .unwrap_or(default)
    }

    /// Reads an optional integer within bounds; a missing or invalid one becomes `default`.
    pub(crate) fn number(
        &mut self,
        key: &'static str,
        default: usize,
        bounds: std::ops::RangeInclusive<usize>,
    ) -> usize {
        let Some((span, value)) = self.find(key) else {
            return default;
        };
        let number = value
            .as_integer()
            .and_then(|raw| usize::from_str_radix(raw.as_str(), raw.radix()).ok());
        match number {
            Some(number) if bounds.contains(&number) => number,
            _ => {
                let message = format!("`{key}` is {}, which it can't be", display_value(value));
                let help = format!(
                    "use a whole number from {} to {}",
                    bounds.start(),
                    bounds.end()
                );
                self.fail(span, message, help);
                default
            }
        }
    }

    /// Returns a reader of a nested table; a missing one reads as empty.
    pub(crate) fn table(&mut self, key: &'static str) -> TableReader<'t> {
        let Some((span, value)) = self.find(key) else {
            return TableReader::new(key, None, self.span.clone());
        };
        if !value.is_table() {
            let message = format!("`{key}` is {}, not a table", display_value(value));
            let help = format!("begin the table with a line `[{key}]`");
            self.fail(span.clone(), message, help);
        }
        TableReader::new(key, value.as_table(), span)
    }

    /// Adds the errors of a nested table.
    pub(crate) fn absorb(&mut self, inner: TableReader<'t>) {
        self.errors.extend(inner.finish());
    }

    /// Returns all errors, including those for unknown keys.
    pub(crate) fn finish(mut self) -> Vec<SettingsError> {
        let unknown: Vec<_> = self
            .table
            .into_iter()
            .flat_map(|table| table.keys())
            .filter(|key| !self.known_keys.contains(&key.get_ref().as_ref()))
            .map(|key| (key.span(), key.get_ref().to_string()))
            .collect();
        for (span, key) in unknown {
            let message = format!("`{key}` is not a setting{}", self.in_table());
            let help = format!("remove it, or use one of: {}", self.known_keys.join(", "));
            self.fail(span, message, help);
        }
        self.errors
    }

    fn find(&mut self, key: &'static str) -> Option<(Range<usize>, &'t DeValue<'t>)> {
        self.known_keys.push(key);
        self.table?
            .iter()
            .find(|(found, _)| found.get_ref() == key)
            .map(|(_, value)| (value.span(), value.get_ref()))
    }

    fn text<T: TextValue>(
        &mut self,
        key: &'static str,
        span: Range<usize>,
        value: &DeValue<'t>,
    ) -> Option<T> {
        let read = match value.as_str() {
            Some(raw) => T::read(raw),
            None => Err("it has to be a string".to_owned()),
        };
        match read {
            Ok(read) => Some(read),
            Err(cause) => {
                let message = format!("`{key}` is {}, not {}", display_value(value), T::KIND);
                let help = format!("{cause}; for example \"{}\"", T::EXAMPLE);
                self.fail(span, message, help);
                None
            }
        }
    }

    fn in_table(&self) -> String {
        if self.name.is_empty() {
            String::new()
        } else {
            format!(" in `[{}]`", self.name)
        }
    }

    fn fail(&mut self, span: Range<usize>, message: String, help: String) {
        self.errors.push(SettingsError {
            message,
            span: span.into(),
            help,
        });
    }
}

/// Formats a value for error messages.
fn display_value(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("\"{text}\""),
        DeValue::Integer(number) => number.as_str().to_owned(),
        DeValue::Float(number) => number.as_str().to_owned(),
        DeValue::Boolean(flag) => flag.to_string(),
        DeValue::Datetime(time) => time.to_string(),
        DeValue::Array(_) => "an array".to_owned(),
        DeValue::Table(_) => "a table".to_owned(),
    }
}
