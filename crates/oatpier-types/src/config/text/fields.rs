//! Validates single keys of raw tables and collects their errors.
//!
//! An invalid value is replaced by a placeholder, so that the rest of its item is still checked.
//! Errors that are only caused by a placeholder are not reported.

use std::collections::HashSet;
use std::time::Duration;

use miette::SourceSpan;
use toml::Spanned;

use super::reader::{PlaceIndex, RawItem};
use crate::config::fault::{ConfigFault, FaultCause, ItemKind, ItemRef};
use crate::config::raw::RawText;
use crate::config::{FleetConfig, verify};
use crate::names::NameError;

/// Replaces a name that is missing or invalid.
const UNREADABLE: &str = ":unreadable:";
/// Replaces a duration that is missing or invalid.
const SUBSTITUTE_TIME: Duration = Duration::from_secs(1);

/// A validated name of any kind.
pub(super) trait CheckedName: for<'a> TryFrom<&'a str, Error = NameError> {}

impl<N: for<'a> TryFrom<&'a str, Error = NameError>> CheckedName for N {}

/// Builds validated items from raw tables and collects the errors.
pub(super) struct ItemBuilder {
    faults: Vec<ConfigFault>,
    places: PlaceIndex,
    /// Items with invalid names. They are left out of the configuration, so references to them fail.
    nameless: HashSet<ItemRef>,
}

impl ItemBuilder {
    pub(super) fn new(faults: Vec<ConfigFault>, places: PlaceIndex) -> Self {
        Self {
            faults,
            places,
            nameless: HashSet::new(),
        }
    }

    /// Returns the name of an item, or reports an error and returns `None` if it is invalid.
    pub(super) fn item_name<N: CheckedName, T>(&mut self, raw: &RawItem<T>) -> Option<N> {
        N::try_from(raw.item.name.as_str())
            .map_err(|error| {
                self.nameless.insert(raw.item.clone());
                self.note(&raw.item, FaultCause::BadName(error), raw.place);
            })
            .ok()
    }

    /// Reports an error if a required key is missing.
    pub(super) fn required<'a, T, V>(
        &mut self,
        raw: &RawItem<T>,
        key: &'static str,
        value: Option<&'a V>,
    ) -> Option<&'a V> {
        if value.is_none() && !raw.dropped.iter().any(|dropped| dropped == key) {
            self.note(&raw.item, FaultCause::MissingKey { key }, raw.place);
        }
        value
    }

    /// Returns a required number or flag, or the placeholder.
    pub(super) fn number<T, V: Copy>(
        &mut self,
        raw: &RawItem<T>,
        key: &'static str,
        value: Option<&Spanned<V>>,
        substitute: V,
    ) -> V {
        let value = self.required(raw, key, value);
        value.map_or(substitute, |value| *value.get_ref())
    }

    /// Returns a required name, or a placeholder.
    pub(super) fn name<N: CheckedName, T>(
        &mut self,
        raw: &RawItem<T>,
        key: &'static str,
        value: &RawText,
    ) -> N {
        match self.required(raw, key, value.as_ref()) {
            Some(value) => self.parse(&raw.item, value),
            None => substitute(),
        }
    }

    /// Parses a name, or reports an error and returns a placeholder.
    pub(super) fn parse<N: CheckedName>(&mut self, item: &ItemRef, value: &Spanned<String>) -> N {
        let parsed = N::try_from(value.get_ref().as_str());
        parsed.unwrap_or_else(|error| {
            self.note(item, FaultCause::BadName(error), value.span().into());
            substitute()
        })
    }

    /// Returns a required duration, or a placeholder.
    pub(super) fn duration<T>(
        &mut self,
        raw: &RawItem<T>,
        key: &'static str,
        value: &RawText,
    ) -> Duration {
        let Some(value) = self.required(raw, key, value.as_ref()) else {
            return SUBSTITUTE_TIME;
        };
        let parsed = humantime_serde::re::humantime::parse_duration(value.get_ref());
        parsed.unwrap_or_else(|_| {
            let place = value.span().into();
            let value = value.get_ref().clone();
            self.note(&raw.item, FaultCause::BadDuration { value }, place);
            SUBSTITUTE_TIME
        })
    }

    /// Reports an error if a key is present that cannot be combined with `other`.
    pub(super) fn refuse_with<T, V>(
        &mut self,
        raw: &RawItem<T>,
        key: &'static str,
        value: Option<&Spanned<V>>,
        other: &'static str,
    ) {
        if let Some(value) = value {
            let cause = FaultCause::KeysExclude { key, other };
            self.note(&raw.item, cause, value.span().into());
        }
    }

    pub(super) fn note(&mut self, item: &ItemRef, cause: FaultCause, place: SourceSpan) {
        self.faults.push(ConfigFault {
            item: item.clone(),
            key: "",
            cause,
            place: Some(place),
        });
    }

    pub(super) fn note_place(&mut self, item: &ItemRef, key: &str, place: SourceSpan) {
        self.places.note(item, key, place);
    }

    /// Checks the consistency between the items, unless the text has syntax errors.
    pub(super) fn verify(&mut self, config: &FleetConfig) {
        if self.has_syntax_faults() {
            return;
        }
        let faults = verify::verify(config);
        let with_substitutes = !self.faults.is_empty();
        for mut fault in faults {
            if with_substitutes && self.follows(&fault, config) {
                continue;
            }
            fault.place = self.places.find(&fault.item, fault.key);
            self.faults.push(fault);
        }
    }

    pub(super) fn finish(mut self) -> Result<(), Vec<ConfigFault>> {
        self.faults
            .sort_by_key(|fault| fault.place.map(|place| place.offset()));
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(self.faults)
        }
    }

    fn has_syntax_faults(&self) -> bool {
        let mut causes = self.faults.iter().map(|fault| &fault.cause);
        causes.any(|cause| matches!(cause, FaultCause::Syntax { .. }))
    }

    /// Returns whether an error is only a consequence of one that is already reported.
    fn follows(&self, fault: &ConfigFault, config: &FleetConfig) -> bool {
        let FaultCause::UnknownReference { target, .. } = &fault.cause else {
            return fault.item.name == UNREADABLE;
        };
        let mut zones = config.regions.values().flat_map(|region| &region.zones);
        let zone_unreadable = zones.any(|zone| zone.as_str() == UNREADABLE);
        target.name == UNREADABLE
            || self.nameless.contains(target)
            || target.kind == ItemKind::Zone && zone_unreadable
    }
}

pub(super) fn substitute<N: CheckedName>() -> N {
    N::try_from(UNREADABLE).unwrap_or_else(|_| unreachable!("the placeholder is a valid name"))
}
