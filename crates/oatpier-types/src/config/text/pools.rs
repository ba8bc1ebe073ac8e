//! Converts raw tables to validated pools and endpoints.

use indexmap::IndexMap;
use toml::Spanned;

use super::fields::{ItemBuilder, placeholder};
use super::reader::{RawItem, RawPoolItem};
use crate::config::error::{ErrorCause, ItemKind, ItemRef};
use crate::config::raw::{RawGroup, RawPool};
use crate::config::{CallPattern, PoolKind, PoolSpec};
use crate::names::{EndpointName, PoolName, ZoneName};

/// Maximum number of endpoints in one group. Prevents a typing error in `count` from exhausting the memory.
const MAX_GROUP_COUNT: u64 = 20_000;

impl ItemBuilder {
    pub(super) fn build_pools(&mut self, raw: &[RawPoolItem]) -> IndexMap<PoolName, PoolSpec> {
        raw.iter()
            .filter_map(|raw| {
                let name = self.parse_item_name(&raw.pool);
                let spec = PoolSpec {
                    kind: self.build_pool_kind(&raw.pool),
                    endpoints: self.build_endpoints(raw),
                };
                name.map(|name| (name, spec))
            })
            .collect()
    }

    fn build_pool_kind(&mut self, raw: &RawItem<RawPool>) -> PoolKind {
        let kind = self.require(raw, "kind", raw.values.kind.as_ref());
        match kind.map(|kind| (kind.get_ref().as_str(), kind.span())) {
            Some(("engine", _)) => return self.build_engine_kind(raw),
            Some(("service", _)) => return self.build_service_kind(raw),
            Some((other, span)) => {
                let value = other.to_owned();
                self.report(&raw.item, ErrorCause::InvalidKind { value }, span.into());
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

    fn build_engine_kind(&mut self, raw: &RawItem<RawPool>) -> PoolKind {
        const KIND: &str = "kind = \"engine\"";
        let table = &raw.values;
        self.reject_with(raw, "class", table.class.as_ref(), KIND);
        self.reject_with(raw, "once", table.once.as_ref(), KIND);
        let accelerators = table.accelerators.as_ref();
        let checks = table.checks_order_numbers.as_ref();
        PoolKind::Engine {
            accelerators: self.require_number(raw, "accelerators", accelerators, 1),
            memory_mib: self.require_number(raw, "memory_mib", table.memory_mib.as_ref(), 1),
            slots: self.require_number(raw, "slots", table.slots.as_ref(), 1),
            checks_order_numbers: self.require_number(raw, "checks_order_numbers", checks, false),
        }
    }

    fn build_service_kind(&mut self, raw: &RawItem<RawPool>) -> PoolKind {
        const KIND: &str = "kind = \"service\"";
        let table = &raw.values;
        self.reject_with(raw, "accelerators", table.accelerators.as_ref(), KIND);
        self.reject_with(raw, "memory_mib", table.memory_mib.as_ref(), KIND);
        let checks = table.checks_order_numbers.as_ref();
        self.reject_with(raw, "checks_order_numbers", checks, KIND);
        PoolKind::Service {
            class: self.require_name(raw, "class", &table.class),
            slots: self.require_number(raw, "slots", table.slots.as_ref(), 1),
            once: self.build_once_calls(raw),
        }
    }

    /// Returns the patterns of the calls that must run at most once.
    ///
    /// The key is required, even if the list is empty: a call that is left out by mistake would be
    /// retried after a failure.
    fn build_once_calls(&mut self, raw: &RawItem<RawPool>) -> Vec<CallPattern> {
        let list = self.require(raw, "once", raw.values.once.as_ref());
        let mut calls = Vec::new();
        for call in list.into_iter().flat_map(Spanned::get_ref) {
            match CallPattern::try_from(call.get_ref().as_str()) {
                Ok(pattern) => calls.push(pattern),
                Err(cause) => self.report(&raw.item, cause, call.span().into()),
            }
        }
        calls
    }

    fn build_endpoints(&mut self, raw: &RawPoolItem) -> IndexMap<EndpointName, ZoneName> {
        let mut endpoints = IndexMap::new();
        for group in &raw.groups {
            let zone: ZoneName = self.require_name(group, "zone", &group.values.zone);
            for name in self.expand_group(group) {
                self.record_endpoint_spans(group, &name);
                if endpoints.insert(name.clone(), zone.clone()).is_some() {
                    let item = ItemRef::new(ItemKind::Endpoint, name.as_str());
                    let other = group.item.clone();
                    self.report(&item, ErrorCause::NameTaken { other }, group.span);
                    break;
                }
            }
        }
        endpoints
    }

    fn expand_group(&mut self, group: &RawItem<RawGroup>) -> Vec<EndpointName> {
        let Some(names) = &group.values.names else {
            return self.number_endpoints(group);
        };
        self.reject_with(group, "prefix", group.values.prefix.as_ref(), "names");
        self.reject_with(group, "count", group.values.count.as_ref(), "names");
        self.reject_with(group, "first", group.values.first.as_ref(), "names");
        let names = names.get_ref().iter();
        names
            .map(|name| self.parse_name(&group.item, name))
            .collect()
    }

    fn number_endpoints(&mut self, group: &RawItem<RawGroup>) -> Vec<EndpointName> {
        let prefix = self.require(group, "prefix", group.values.prefix.as_ref());
        let count = self.require(group, "count", group.values.count.as_ref());
        let Some((prefix, count)) = prefix.zip(count) else {
            return vec![placeholder()];
        };
        if *count.get_ref() > MAX_GROUP_COUNT {
            let cause = ErrorCause::AboveMaximum {
                key: "count",
                value: *count.get_ref(),
                maximum: MAX_GROUP_COUNT,
            };
            self.report(&group.item, cause, count.span().into());
            return vec![placeholder()];
        }
        let first = group
            .values
            .first
            .as_ref()
            .map_or(1, |first| *first.get_ref());
        let last = first.saturating_add(*count.get_ref());
        let mut names = Vec::new();
        for number in first..last {
            let name = format!("{}{number}", prefix.get_ref());
            match EndpointName::try_from(name) {
                Ok(name) => names.push(name),
                Err(error) => {
                    let cause = ErrorCause::InvalidName(error);
                    self.report(&group.item, cause, prefix.span().into());
                    return vec![placeholder()];
                }
            }
        }
        names
    }

    fn record_endpoint_spans(&mut self, group: &RawItem<RawGroup>, name: &EndpointName) {
        let item = ItemRef::new(ItemKind::Endpoint, name.as_str());
        self.record_span(&item, "", group.span);
        if let Some(zone) = &group.values.zone {
            self.record_span(&item, "zone", zone.span().into());
        }
    }
}
