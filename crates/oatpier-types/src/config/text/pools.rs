//! Converts raw tables to validated pools and endpoints.

use indexmap::IndexMap;
use toml::Spanned;

use super::fields::{ItemBuilder, substitute};
use super::reader::{RawItem, RawPoolItem};
use crate::config::fault::{FaultCause, ItemKind, ItemRef};
use crate::config::raw::{RawGroup, RawPool};
use crate::config::{CallPattern, PoolKind, PoolSpec};
use crate::names::{EndpointName, PoolName, ZoneName};

/// Maximum number of endpoints in one group. Prevents a typing error in `count` from exhausting the memory.
const MAX_GROUP_COUNT: u64 = 20_000;

impl ItemBuilder {
    pub(super) fn pools(&mut self, raw: &[RawPoolItem]) -> IndexMap<PoolName, PoolSpec> {
        raw.iter()
            .filter_map(|raw| {
                let name = self.item_name(&raw.pool);
                let spec = PoolSpec {
                    kind: self.pool_kind(&raw.pool),
                    endpoints: self.endpoints(raw),
                };
                name.map(|name| (name, spec))
            })
            .collect()
    }

    fn pool_kind(&mut self, raw: &RawItem<RawPool>) -> PoolKind {
        let kind = self.required(raw, "kind", raw.raw.kind.as_ref());
        match kind.map(|kind| (kind.get_ref().as_str(), kind.span())) {
            Some(("engine", _)) => return self.engine_kind(raw),
            Some(("service", _)) => return self.service_kind(raw),
            Some((other, place)) => {
                let value = other.to_owned();
                self.note(&raw.item, FaultCause::BadKind { value }, place.into());
            }
            None => {}
        }
        PoolKind::Engine {
            accelerators: 1,
            memory_mib: 1,
            slots: 1,
            checks_order_numbers: false,
        }
    }

    fn engine_kind(&mut self, raw: &RawItem<RawPool>) -> PoolKind {
        const KIND: &str = "kind = \"engine\"";
        let table = &raw.raw;
        self.refuse_with(raw, "class", table.class.as_ref(), KIND);
        self.refuse_with(raw, "once", table.once.as_ref(), KIND);
        let accelerators = table.accelerators.as_ref();
        let checks = table.checks_order_numbers.as_ref();
        PoolKind::Engine {
            accelerators: self.number(raw, "accelerators", accelerators, 1),
            memory_mib: self.number(raw, "memory_mib", table.memory_mib.as_ref(), 1),
            slots: self.number(raw, "slots", table.slots.as_ref(), 1),
            checks_order_numbers: self.number(raw, "checks_order_numbers", checks, false),
        }
    }

    fn service_kind(&mut self, raw: &RawItem<RawPool>) -> PoolKind {
        const KIND: &str = "kind = \"service\"";
        let table = &raw.raw;
        self.refuse_with(raw, "accelerators", table.accelerators.as_ref(), KIND);
        self.refuse_with(raw, "memory_mib", table.memory_mib.as_ref(), KIND);
        let checks = table.checks_order_numbers.as_ref();
        self.refuse_with(raw, "checks_order_numbers", checks, KIND);
        PoolKind::Service {
            class: self.name(raw, "class", &table.class),
            slots: self.number(raw, "slots", table.slots.as_ref(), 1),
            once: self.calls(raw),
        }
    }

    /// Returns the patterns of the calls that must run at most once.
    ///
    /// The key is required, even if the list is empty: a call that is left out by mistake would be
    /// retried after a failure.
    fn calls(&mut self, raw: &RawItem<RawPool>) -> Vec<CallPattern> {
        let list = self.required(raw, "once", raw.raw.once.as_ref());
        let mut calls = Vec::new();
        for call in list.into_iter().flat_map(Spanned::get_ref) {
            match CallPattern::try_from(call.get_ref().as_str()) {
                Ok(pattern) => calls.push(pattern),
                Err(cause) => self.note(&raw.item, cause, call.span().into()),
            }
        }
        calls
    }

    fn endpoints(&mut self, raw: &RawPoolItem) -> IndexMap<EndpointName, ZoneName> {
        let mut endpoints = IndexMap::new();
        for group in &raw.groups {
            let zone: ZoneName = self.name(group, "zone", &group.raw.zone);
            for name in self.group_names(group) {
                self.place_endpoint(group, &name);
                if endpoints.insert(name.clone(), zone.clone()).is_some() {
                    let item = ItemRef::new(ItemKind::Endpoint, name.as_str());
                    let other = group.item.clone();
                    self.note(&item, FaultCause::NameTaken { other }, group.place);
                    break;
                }
            }
        }
        endpoints
    }

    fn group_names(&mut self, group: &RawItem<RawGroup>) -> Vec<EndpointName> {
        let Some(names) = &group.raw.names else {
            return self.numbered_names(group);
        };
        self.refuse_with(group, "prefix", group.raw.prefix.as_ref(), "names");
        self.refuse_with(group, "count", group.raw.count.as_ref(), "names");
        self.refuse_with(group, "first", group.raw.first.as_ref(), "names");
        let names = names.get_ref().iter();
        names.map(|name| self.parse(&group.item, name)).collect()
    }

    fn numbered_names(&mut self, group: &RawItem<RawGroup>) -> Vec<EndpointName> {
        let prefix = self.required(group, "prefix", group.raw.prefix.as_ref());
        let count = self.required(group, "count", group.raw.count.as_ref());
        let Some((prefix, count)) = prefix.zip(count) else {
            return vec![substitute()];
        };
        if *count.get_ref() > MAX_GROUP_COUNT {
            let cause = FaultCause::TooMany {
                key: "count",
                value: *count.get_ref(),
                most: MAX_GROUP_COUNT,
            };
            self.note(&group.item, cause, count.span().into());
            return vec![substitute()];
        }
        let first = group.raw.first.as_ref().map_or(1, |first| *first.get_ref());
        let last = first.saturating_add(*count.get_ref());
        let mut names = Vec::new();
        for number in first..last {
            let name = format!("{}{number}", prefix.get_ref());
            match EndpointName::try_from(name) {
                Ok(name) => names.push(name),
                Err(error) => {
                    let cause = FaultCause::BadName(error);
                    self.note(&group.item, cause, prefix.span().into());
                    return vec![substitute()];
                }
            }
        }
        names
    }

    fn place_endpoint(&mut self, group: &RawItem<RawGroup>, name: &EndpointName) {
        let item = ItemRef::new(ItemKind::Endpoint, name.as_str());
        self.note_place(&item, "", group.place);
        if let Some(zone) = &group.raw.zone {
            self.note_place(&item, "zone", zone.span().into());
        }
    }
}
