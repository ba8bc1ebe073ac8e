//! Consistency checks between the items of a configuration.
//!
//! They run on the text from an operator, and again on the result of merging changes from two
//! operators. Each change may be valid on its own and the combination invalid, for example when
//! one removes a pool and the other adds a model to it.

use std::collections::HashMap;
use std::time::Duration;

use super::fault::{ConfigFault, FaultCause, ItemKind, ItemRef, nearest_name};
use super::{CallPattern, ClassTarget, FleetConfig, PoolKind, WeightStoreSpec};
use crate::names::{ClassName, EndpointName, PoolName, ZoneName};

/// Maximum memory of weights or of an endpoint, in MiB.
pub const MAX_MEMORY_MIB: u64 = 1 << 30;

const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

impl TryFrom<&str> for CallPattern {
    type Error = FaultCause;

    fn try_from(raw: &str) -> Result<Self, FaultCause> {
        let bad = || FaultCause::BadCall {
            value: raw.to_owned(),
        };
        let (method, path) = raw.split_once(' ').ok_or_else(bad)?;
        let plain = path.bytes().all(|byte| byte.is_ascii_graphic());
        if METHODS.contains(&method) && path.starts_with('/') && plain {
            Ok(Self {
                method: method.into(),
                path: path.into(),
            })
        } else {
            Err(bad())
        }
    }
}

/// Returns all inconsistencies between the items of `config`, without locations in a text.
#[must_use]
pub fn verify(config: &FleetConfig) -> Vec<ConfigFault> {
    let mut check = ItemCheck {
        config,
        faults: Vec::new(),
    };
    check.regions();
    check.classes();
    check.pools();
    check.endpoints();
    check.models();
    check.adapters();
    check.weight_store();
    check.faults
}

struct ItemCheck<'a> {
    config: &'a FleetConfig,
    faults: Vec<ConfigFault>,
}

impl ItemCheck<'_> {
    fn regions(&mut self) {
        let mut homes = HashMap::<&ZoneName, ItemRef>::new();
        for (name, region) in &self.config.regions {
            let item = ItemRef::new(ItemKind::Region, name.as_str());
            if region.zones.is_empty() {
                self.note(&item, "zones", FaultCause::EmptyList { key: "zones" });
            }
            for zone in &region.zones {
                if let Some(other) = homes.insert(zone, item.clone()) {
                    let zone = ItemRef::new(ItemKind::Zone, zone.as_str());
                    let cause = FaultCause::NameTaken { other };
                    self.faults.push(ConfigFault {
                        item: zone,
                        key: "",
                        cause,
                        place: None,
                    });
                }
            }
        }
    }

    fn classes(&mut self) {
        for (name, class) in &self.config.classes {
            let item = ItemRef::new(ItemKind::Class, name.as_str());
            if !(class.attain > 0.0 && class.attain < 1.0) {
                let value = class.attain;
                self.note(&item, "attain", FaultCause::ShareOutside { value });
            }
            match class.target {
                ClassTarget::Stream {
                    first_token,
                    between_tokens,
                } => {
                    self.positive_time(&item, "first_token", first_token);
                    self.positive_time(&item, "between_tokens", between_tokens);
                }
                ClassTarget::Whole { answer } => self.positive_time(&item, "answer", answer),
            }
        }
    }

    fn pools(&mut self) {
        for (name, pool) in &self.config.pools {
            let item = ItemRef::new(ItemKind::Pool, name.as_str());
            if pool.endpoints.is_empty() {
                self.note(&item, "group", FaultCause::EmptyList { key: "group" });
            }
            match &pool.kind {
                PoolKind::Engine {
                    accelerators,
                    memory_mib,
                    slots,
                    ..
                } => {
                    self.positive(&item, "accelerators", u64::from(*accelerators));
                    self.memory(&item, *memory_mib);
                    self.positive(&item, "slots", u64::from(*slots));
                }
                PoolKind::Service { class, slots, .. } => {
                    self.positive(&item, "slots", u64::from(*slots));
                    self.service_class(&item, class);
                }
            }
        }
    }

    fn service_class(&mut self, item: &ItemRef, class: &ClassName) {
        self.known_class(item, class);
        let target = self.config.classes.get(class).map(|spec| spec.target);
        if matches!(target, Some(ClassTarget::Stream { .. })) {
            let class = ItemRef::new(ItemKind::Class, class.as_str());
            self.note(item, "class", FaultCause::NotWhole { class });
        }
    }

    /// Reports one error per pair of pools that share endpoints, and one per pool and unknown zone,
    /// instead of one per endpoint.
    fn endpoints(&mut self) {
        let mut homes = HashMap::<&EndpointName, &PoolName>::new();
        for (pool, spec) in &self.config.pools {
            let mut shared = Vec::new();
            let mut unknown = Vec::new();
            for (endpoint, zone) in &spec.endpoints {
                let item = ItemRef::new(ItemKind::Endpoint, endpoint.as_str());
                if let Some(other) = homes.insert(endpoint, pool)
                    && !shared.contains(&other)
                {
                    shared.push(other);
                    let other = ItemRef::new(ItemKind::Pool, other.as_str());
                    self.note(&item, "", FaultCause::NameTaken { other });
                }
                if self.config.region_of(zone).is_none() && !unknown.contains(&zone) {
                    unknown.push(zone);
                    self.unknown_zone(&item, zone);
                }
            }
        }
    }

    fn unknown_zone(&mut self, item: &ItemRef, zone: &ZoneName) {
        let config = self.config;
        let zones = config.regions.values().flat_map(|region| &region.zones);
        let nearest = nearest_name(zone.as_str(), zones.map(ZoneName::as_str));
        let target = ItemRef::new(ItemKind::Zone, zone.as_str());
        self.note(
            item,
            "zone",
            FaultCause::UnknownReference { target, nearest },
        );
    }

    fn models(&mut self) {
        for (name, model) in &self.config.models {
            let item = ItemRef::new(ItemKind::Model, name.as_str());
            self.memory(&item, model.memory_mib);
            self.known_class(&item, &model.class);
            self.engine_pool(&item, &model.pool);
        }
    }

    fn engine_pool(&mut self, item: &ItemRef, pool: &PoolName) {
        let pools = &self.config.pools;
        let target = ItemRef::new(ItemKind::Pool, pool.as_str());
        match pools.get(pool).map(|spec| &spec.kind) {
            Some(PoolKind::Engine { .. }) => {}
            Some(PoolKind::Service { .. }) => {
                self.note(item, "pool", FaultCause::NotEngines { pool: target });
            }
            None => {
                let nearest = nearest_name(pool.as_str(), pools.keys().map(PoolName::as_str));
                self.note(
                    item,
                    "pool",
                    FaultCause::UnknownReference { target, nearest },
                );
            }
        }
    }

    fn adapters(&mut self) {
        let models = &self.config.models;
        for (name, adapter) in &self.config.adapters {
            let item = ItemRef::new(ItemKind::Adapter, name.as_str());
            self.memory(&item, adapter.memory_mib);
            if models.keys().any(|model| model.as_str() == name.as_str()) {
                let other = ItemRef::new(ItemKind::Model, name.as_str());
                self.note(&item, "", FaultCause::NameTaken { other });
            }
            if !models.contains_key(&adapter.model) {
                let known = models.keys().map(crate::names::ModelName::as_str);
                let nearest = nearest_name(adapter.model.as_str(), known);
                let target = ItemRef::new(ItemKind::Model, adapter.model.as_str());
                self.note(
                    &item,
                    "model",
                    FaultCause::UnknownReference { target, nearest },
                );
            }
        }
    }

    fn weight_store(&mut self) {
        let store = self.config.weight_store;
        let item = ItemRef::new(ItemKind::WeightStore, "");
        if self.config.models.is_empty() && store == WeightStoreSpec::default() {
            return;
        }
        if !(store.loads_per_second > 0.0 && store.loads_per_second.is_finite()) {
            let value = store.loads_per_second.to_string();
            let key = "loads_per_second";
            self.note(&item, key, FaultCause::NotPositive { key, value });
        }
        self.positive(&item, "full_speed_loads", u64::from(store.full_speed_loads));
    }

    fn known_class(&mut self, item: &ItemRef, class: &ClassName) {
        let classes = &self.config.classes;
        if classes.contains_key(class) {
            return;
        }
        let nearest = nearest_name(class.as_str(), classes.keys().map(ClassName::as_str));
        let target = ItemRef::new(ItemKind::Class, class.as_str());
        self.note(
            item,
            "class",
            FaultCause::UnknownReference { target, nearest },
        );
    }

    fn positive(&mut self, item: &ItemRef, key: &'static str, value: u64) {
        if value == 0 {
            let value = value.to_string();
            self.note(item, key, FaultCause::NotPositive { key, value });
        }
    }

    /// Checks a memory size in MiB. The upper bound prevents overflow in sums of sizes.
    fn memory(&mut self, item: &ItemRef, value: u64) {
        const KEY: &str = "memory_mib";
        self.positive(item, KEY, value);
        if value > MAX_MEMORY_MIB {
            let cause = FaultCause::TooMany {
                key: KEY,
                value,
                most: MAX_MEMORY_MIB,
            };
            self.note(item, KEY, cause);
        }
    }

    fn positive_time(&mut self, item: &ItemRef, key: &'static str, value: Duration) {
        if value.is_zero() {
            let value = format!("{value:?}");
            self.note(item, key, FaultCause::NotPositive { key, value });
        }
    }

    fn note(&mut self, item: &ItemRef, key: &'static str, cause: FaultCause) {
        self.faults.push(ConfigFault {
            item: item.clone(),
            key,
            cause,
            place: None,
        });
    }
}
