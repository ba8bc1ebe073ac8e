//! Validates single keys of raw tables and collects their errors.
//!
//! An invalid value is replaced by a placeholder, so that the rest of its item is still checked.
//! Errors that are only caused by a placeholder are not reported.

use std::collections::HashSet;
use std::time::Duration;

use miette::SourceSpan;
use toml::Spanned;

use super::reader::{RawItem, SpanIndex};
use crate::config::error::{ConfigError, ErrorCause, ItemKind, ItemRef};
use crate::config::raw::RawString;
use crate::config::{FleetConfig, verify};
use crate::names::NameError;

/// Replaces a name that is missing or invalid.
const PLACEHOLDER_NAME: &str = ":unreadable:";
/// Replaces a duration that is missing or invalid.
const PLACEHOLDER_TIME: Duration = Duration::from_secs(1);

/// A validated name of any kind.
pub(super) trait CheckedName: for<'a> TryFrom<&'a str, Error = NameError> {}

impl<N: for<'a> TryFrom<&'a str, Error = NameError>> CheckedName for N {}

/// Builds validated items from raw tables and collects the errors.
pub(super) struct ItemBuilder {
    errors: Vec<ConfigError>,
    spans: SpanIndex,
    /// Items with invalid names. They are left out of the configuration, so references to them fail.
    invalid_names: HashSet<ItemRef>,
}

impl ItemBuilder {
    pub(super) fn new(errors: Vec<ConfigError>, spans: SpanIndex) -> Self {
        Self {
            errors,
            spans,
            invalid_names: HashSet::new(),
        }
    }

    /// Returns the name of an item, or reports an error and returns `None` if it is invalid.
    pub(super) fn parse_item_name<N: CheckedName, T>(&mut self, raw: &RawItem<T>) -> Option<N> {
        N::try_from(raw.item.name.as_str())
            .map_err(|error| {
                self.invalid_names.insert(raw.item.clone());
                self.report(&raw.item, ErrorCause::InvalidName(error), raw.span);
            })
            .ok()
    }

    /// Reports an error if a required key is missing.
    pub(super) fn require<'a, T, V>(
        &mut self,
        raw: &RawItem<T>,
        key: &'static str,
        value: Option<&'a V>,
    ) -> Option<&'a V> {
        if value.is_none() && !raw.invalid_keys.iter().any(|invalid| invalid == key) {
            self.report(&raw.item, ErrorCause::MissingKey { key }, raw.span);
        }
        value
    }

    /// Returns a required number or flag, or the placeholder.
    pub(super) fn require_number<T, V: Copy>(
        &mut self,
        raw: &RawItem<T>,
        key: &'static str,
        value: Option<&Spanned<V>>,
        placeholder: V,
    ) -> V {
        let value = self.require(raw, key, value);
        value.map_or(placeholder, |value| *value.get_ref())
    }

    /// Returns a required name, or a placeholder.
    pub(super) fn require_name<N: CheckedName, T>(
        &mut self,
        raw: &RawItem<T>,
        key: &'static str,
        value: &RawString,
    ) -> N {
        match self.require(raw, key, value.as_ref()) {
            Some(value) => self.parse_name(&raw.item, value),
            None => placeholder(),
        }
    }

    /// Parses a name, or reports an error and returns a placeholder.
    pub(super) fn parse_name<N: CheckedName>(
        &mut self,
        item: &ItemRef,
        value: &Spanned<String>,
    ) -> N {
        let parsed = N::try_from(value.get_ref().as_str());
        parsed.unwrap_or_else(|error| {
            self.report(item, ErrorCause::InvalidName(error), value.span().into());
            placeholder()
        })
    }

    /// Returns a required duration, or a placeholder.
    pub(super) fn require_duration<T>(
        &mut self,
        raw: &RawItem<T>,
        key: &'static str,
        value: &RawString,
    ) -> Duration {
        let Some(value) = self.require(raw, key, value.as_ref()) else {
            return PLACEHOLDER_TIME;
        };
        let parsed = humantime_serde::re::humantime::parse_duration(value.get_ref());
        parsed.unwrap_or_else(|_| {
            let span = value.span().into();
            let value = value.get_ref().clone();
            self.report(&raw.item, ErrorCause::InvalidDuration { value }, span);
            PLACEHOLDER_TIME
        })
    }

    /// Reports an error if a key is present that cannot be combined with `other`.
    pub(super) fn reject_with<T, V>(
        &mut self,
        raw: &RawItem<T>,
        key: &'static str,
        value: Option<&Spanned<V>>,
        other: &'static str,
    ) {
        if let Some(value) = value {
            let cause = ErrorCause::ConflictingKeys { key, other };
            self.report(&raw.item, cause, value.span().into());
        }
    }

    pub(super) fn report(&mut self, item: &ItemRef, cause: ErrorCause, span: SourceSpan) {
        self.errors.push(ConfigError {
            item: item.clone(),
            key: "",
            cause,
            span: Some(span),
        });
    }

    pub(super) fn record_span(&mut self, item: &ItemRef, key: &str, span: SourceSpan) {
        self.spans.record(item, key, span);
    }

    /// Checks the consistency between the items, unless the text has syntax errors.
    pub(super) fn verify(&mut self, config: &FleetConfig) {
        if self.has_syntax_errors() {
            return;
        }
        let errors = verify::verify(config);
        let has_placeholders = !self.errors.is_empty();
        for mut error in errors {
            if has_placeholders && self.is_consequence(&error, config) {
                continue;
            }
            error.span = self.spans.find(&error.item, error.key);
            self.errors.push(error);
        }
    }

    pub(super) fn finish(mut self) -> Result<(), Vec<ConfigError>> {
        self.errors
            .sort_by_key(|error| error.span.map(|span| span.offset()));
        if self.errors.is_empty() {
            Ok(())
        } else {
            Err(self.errors)
        }
    }

    fn has_syntax_errors(&self) -> bool {
        let mut causes = self.errors.iter().map(|error| &error.cause);
        causes.any(|cause| matches!(cause, ErrorCause::Syntax { .. }))
    }

    /// Returns whether an error is only a consequence of one that is already reported.
    fn is_consequence(&self, error: &ConfigError, config: &FleetConfig) -> bool {
        let ErrorCause::UnknownReference { target, .. } = &error.cause else {
            return error.item.name == PLACEHOLDER_NAME;
        };
        let mut zones = config.regions.values().flat_map(|region| &region.zones);
        let has_invalid_zone = zones.any(|zone| zone.as_str() == PLACEHOLDER_NAME);
        target.name == PLACEHOLDER_NAME
            || self.invalid_names.contains(target)
            || target.kind == ItemKind::Zone && has_invalid_zone
    }
}

pub(super) fn placeholder<N: CheckedName>() -> N {
    N::try_from(PLACEHOLDER_NAME)
        .unwrap_or_else(|_| unreachable!("the placeholder is a valid name"))
}
