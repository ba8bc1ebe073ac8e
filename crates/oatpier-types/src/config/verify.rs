//! Consistency checks between the items of a configuration.
//!
//! They run on the text from an operator, and again on the result of merging changes from two
//! operators. Each change may be valid on its own and the combination invalid, for example when
//! one removes a pool and the other adds a model to it.

use std::collections::HashMap;
use std::time::Duration;

use super::error::{ConfigError, ErrorCause, ItemKind, ItemRef, nearest_name};
use super::{CallPattern, ClassTarget, FleetConfig, PoolKind, WeightStoreSpec};
use crate::names::{ClassName, EndpointName, PoolName, ZoneName};

/// Maximum memory of weights or of an endpoint, in MiB.
pub const MAX_MEMORY_MIB: u64 = 1 << 30;

const HTTP_METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

impl TryFrom<&str> for CallPattern {
    type Error = ErrorCause;

    fn try_from(raw: &str) -> Result<Self, ErrorCause> {
        let invalid_call = || ErrorCause::InvalidCall {
            value: raw.to_owned(),
        };
        let (method, path) = raw.split_once(' ').ok_or_else(invalid_call)?;
        let is_printable = path.bytes().all(|byte| byte.is_ascii_graphic());
        if HTTP_METHODS.contains(&method) && path.starts_with('/') && is_printable {
            Ok(Self {
                method: method.into(),
                path: path.into(),
            })
        } else {
            Err(invalid_call())
        }
    }
}

/// Returns all inconsistencies between the items of `config`, without locations in a text.
#[must_use]
pub fn verify(config: &FleetConfig) -> Vec<ConfigError> {
    let mut checker = ItemChecker {
        config,
        errors: Vec::new(),
    };
    checker.check_regions();
    checker.check_classes();
    checker.check_pools();
    checker.check_endpoints();
    checker.check_models();
    checker.check_adapters();
    checker.check_weight_store();
    checker.errors
}

struct ItemChecker<'a> {
    config: &'a FleetConfig,
    errors: Vec<ConfigError>,
}

impl ItemChecker<'_> {
    fn check_regions(&mut self) {
        let mut owners = HashMap::<&ZoneName, ItemRef>::new();
        for (name, region) in &self.config.regions {
            let item = ItemRef::new(ItemKind::Region, name.as_str());
            if region.zones.is_empty() {
                self.report(&item, "zones", ErrorCause::EmptyList { key: "zones" });
            }
            for zone in &region.zones {
                if let Some(other) = owners.insert(zone, item.clone()) {
                    let zone = ItemRef::new(ItemKind::Zone, zone.as_str());
                    let cause = ErrorCause::NameTaken { other };
                    self.errors.push(ConfigError {
                        item: zone,
                        key: "",
                        cause,
                        span: None,
                    });
                }
            }
        }
    }

    fn check_classes(&mut self) {
        for (name, class) in &self.config.classes {
            let item = ItemRef::new(ItemKind::Class, name.as_str());
            if !(class.attain > 0.0 && class.attain < 1.0) {
                let value = class.attain;
                self.report(&item, "attain", ErrorCause::ShareOutOfRange { value });
            }
            match class.target {
                ClassTarget::Stream {
                    first_token,
                    between_tokens,
                } => {
                    self.check_positive_time(&item, "first_token", first_token);
                    self.check_positive_time(&item, "between_tokens", between_tokens);
                }
                ClassTarget::Whole { answer } => self.check_positive_time(&item, "answer", answer),
            }
        }
    }

    fn check_pools(&mut self) {
        for (name, pool) in &self.config.pools {
            let item = ItemRef::new(ItemKind::Pool, name.as_str());
            if pool.endpoints.is_empty() {
                self.report(&item, "group", ErrorCause::EmptyList { key: "group" });
            }
            match &pool.kind {
                PoolKind::Engine {
                    accelerators,
                    memory_mib,
                    slots,
                    ..
                } => {
                    self.check_positive(&item, "accelerators", u64::from(*accelerators));
                    self.check_memory(&item, *memory_mib);
                    self.check_positive(&item, "slots", u64::from(*slots));
                }
                PoolKind::Service { class, slots, .. } => {
                    self.check_positive(&item, "slots", u64::from(*slots));
                    self.check_service_class(&item, class);
                }
            }
        }
    }

    fn check_service_class(&mut self, item: &ItemRef, class: &ClassName) {
        self.check_class_exists(item, class);
        let target = self.config.classes.get(class).map(|spec| spec.target);
        if matches!(target, Some(ClassTarget::Stream { .. })) {
            let class = ItemRef::new(ItemKind::Class, class.as_str());
            self.report(item, "class", ErrorCause::StreamingClass { class });
        }
    }

    /// Reports one error per pair of pools that share endpoints, and one per pool and unknown zone,
    /// instead of one per endpoint.
    fn check_endpoints(&mut self) {
        let mut owners = HashMap::<&EndpointName, &PoolName>::new();
        for (pool, spec) in &self.config.pools {
            let mut shared = Vec::new();
            let mut unknown = Vec::new();
            for (endpoint, zone) in &spec.endpoints {
                let item = ItemRef::new(ItemKind::Endpoint, endpoint.as_str());
                if let Some(other) = owners.insert(endpoint, pool)
                    && !shared.contains(&other)
                {
                    shared.push(other);
                    let other = ItemRef::new(ItemKind::Pool, other.as_str());
                    self.report(&item, "", ErrorCause::NameTaken { other });
                }
                if self.config.region_of(zone).is_none() && !unknown.contains(&zone) {
                    unknown.push(zone);
                    self.report_unknown_zone(&item, zone);
                }
            }
        }
    }

    fn report_unknown_zone(&mut self, item: &ItemRef, zone: &ZoneName) {
        let config = self.config;
        let zones = config.regions.values().flat_map(|region| &region.zones);
        let nearest = nearest_name(zone.as_str(), zones.map(ZoneName::as_str));
        let target = ItemRef::new(ItemKind::Zone, zone.as_str());
        self.report(
            item,
            "zone",
            ErrorCause::UnknownReference { target, nearest },
        );
    }

    fn check_models(&mut self) {
        for (name, model) in &self.config.models {
            let item = ItemRef::new(ItemKind::Model, name.as_str());
            self.check_memory(&item, model.memory_mib);
            self.check_class_exists(&item, &model.class);
            self.check_engine_pool(&item, &model.pool);
        }
    }

    fn check_engine_pool(&mut self, item: &ItemRef, pool: &PoolName) {
        let pools = &self.config.pools;
        let target = ItemRef::new(ItemKind::Pool, pool.as_str());
        match pools.get(pool).map(|spec| &spec.kind) {
            Some(PoolKind::Engine { .. }) => {}
            Some(PoolKind::Service { .. }) => {
                self.report(item, "pool", ErrorCause::NotEnginePool { pool: target });
            }
            None => {
                let nearest = nearest_name(pool.as_str(), pools.keys().map(PoolName::as_str));
                self.report(
                    item,
                    "pool",
                    ErrorCause::UnknownReference { target, nearest },
                );
            }
        }
    }

    fn check_adapters(&mut self) {
        let models = &self.config.models;
        for (name, adapter) in &self.config.adapters {
            let item = ItemRef::new(ItemKind::Adapter, name.as_str());
            self.check_memory(&item, adapter.memory_mib);
            if models.keys().any(|model| model.as_str() == name.as_str()) {
                let other = ItemRef::new(ItemKind::Model, name.as_str());
                self.report(&item, "", ErrorCause::NameTaken { other });
            }
            if !models.contains_key(&adapter.model) {
                let known = models.keys().map(crate::names::ModelName::as_str);
                let nearest = nearest_name(adapter.model.as_str(), known);
                let target = ItemRef::new(ItemKind::Model, adapter.model.as_str());
                self.report(
                    &item,
                    "model",
                    ErrorCause::UnknownReference { target, nearest },
                );
            }
        }
    }

    fn check_weight_store(&mut self) {
        let store = self.config.weight_store;
        let item = ItemRef::new(ItemKind::WeightStore, "");
        if self.config.models.is_empty() && store == WeightStoreSpec::default() {
            return;
        }
        if !(store.loads_per_second > 0.0 && store.loads_per_second.is_finite()) {
            let value = store.loads_per_second.to_string();
            let key = "loads_per_second";
            self.report(&item, key, ErrorCause::NotPositive { key, value });
        }
        self.check_positive(&item, "full_speed_loads", u64::from(store.full_speed_loads));
    }

    fn check_class_exists(&mut self, item: &ItemRef, class: &ClassName) {
        let classes = &self.config.classes;
        if classes.contains_key(class) {
            return;
        }
        let nearest = nearest_name(class.as_str(), classes.keys().map(ClassName::as_str));
        let target = ItemRef::new(ItemKind::Class, class.as_str());
        self.report(
            item,
            "class",
            ErrorCause::UnknownReference { target, nearest },
        );
    }

    fn check_positive(&mut self, item: &ItemRef, key: &'static str, value: u64) {
        if value == 0 {
            let value = value.to_string();
            self.report(item, key, ErrorCause::NotPositive { key, value });
        }
    }

    /// Checks a memory size in MiB. The upper bound prevents overflow in sums of sizes.
    fn check_memory(&mut self, item: &ItemRef, value: u64) {
        const KEY: &str = "memory_mib";
        self.check_positive(item, KEY, value);
        if value > MAX_MEMORY_MIB {
            let cause = ErrorCause::AboveMaximum {
                key: KEY,
                value,
                maximum: MAX_MEMORY_MIB,
            };
            self.report(item, KEY, cause);
        }
    }

    fn check_positive_time(&mut self, item: &ItemRef, key: &'static str, value: Duration) {
        if value.is_zero() {
            let value = format!("{value:?}");
            self.report(item, key, ErrorCause::NotPositive { key, value });
        }
    }

    fn report(&mut self, item: &ItemRef, key: &'static str, cause: ErrorCause) {
        self.errors.push(ConfigError {
            item: item.clone(),
            key,
            cause,
            span: None,
        });
    }
}
