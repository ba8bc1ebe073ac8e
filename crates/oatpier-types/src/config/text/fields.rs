//! Reads single keys of raw tables, and notes what is wrong with them.
//!
//! A key that can't be read gets a substitute, so that the rest of its item is still looked at.
//! What only follows from a substitute is not reported.

use std::collections::HashSet;
use std::time::Duration;

use miette::SourceSpan;
use toml::Spanned;

use super::reader::{PlaceIndex, RawItem};
use crate::config::fault::{ConfigFault, FaultCause, ItemKind, ItemRef};
use crate::config::raw::RawText;
use crate::config::{FleetConfig, verify};
use crate::names::NameError;

/// Stands for a name that can't be read.
const UNREADABLE: &str = ":unreadable:";
/// Stands for a time that can't be read.
const SUBSTITUTE_TIME: Duration = Duration::from_secs(1);

/// A name of some kind.
pub(super) trait CheckedName: for<'a> TryFrom<&'a str, Error = NameError> {}

impl<N: for<'a> TryFrom<&'a str, Error = NameError>> CheckedName for N {}

/// Makes checked items, and collects the faults on the way.
pub(super) struct ItemBuilder {
    faults: Vec<ConfigFault>,
    places: PlaceIndex,
    /// Items whose names are none, and which are therefore not there to be referred to.
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

    /// The name of an item; none if it is none.
    pub(super) fn item_name<N: CheckedName, T>(&mut self, raw: &RawItem<T>) -> Option<N> {
        N::try_from(raw.item.name.as_str())
            .map_err(|error| {
                self.nameless.insert(raw.item.clone());
                self.note(&raw.item, FaultCause::BadName(error), raw.place);
            })
            .ok()
    }

    /// A key that must be there.
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

    /// A number or flag that must be there.
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

    /// A name that must be there.
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

    /// A name among others.
    pub(super) fn parse<N: CheckedName>(&mut self, item: &ItemRef, value: &Spanned<String>) -> N {
        let parsed = N::try_from(value.get_ref().as_str());
        parsed.unwrap_or_else(|error| {
            self.note(item, FaultCause::BadName(error), value.span().into());
            substitute()
        })
    }

    /// A length of time that must be there.
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

    /// Refuses a key that does not go with another.
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

    /// Checks what must hold between the items, unless the text could not be read at all.
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

    /// Whether a fault only follows from one that is reported already.
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
    N::try_from(UNREADABLE).unwrap_or_else(|_| unreachable!("the substitute is a name"))
}
