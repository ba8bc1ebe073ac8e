//! Converts raw tables to validated items.

use std::hash::Hash;

use indexmap::IndexMap;

use super::ConfigDocument;
use super::fields::{CheckedName, ItemBuilder, placeholder};
use super::reader::{RawDocument, RawItem};
use crate::config::error::ConfigError;
use crate::config::raw::{RawAdapter, RawClass, RawModel, RawRegion, RawWeightStore};
use crate::config::{
    AdapterSpec, ClassSpec, ClassTarget, FleetConfig, ModelSpec, RegionSpec, WeightStoreSpec,
};
use crate::ids::Generation;

/// Replaces a share that is missing or invalid.
const PLACEHOLDER_SHARE: f64 = 0.5;

impl TryFrom<RawDocument> for ConfigDocument {
    type Error = Vec<ConfigError>;

    fn try_from(mut raw: RawDocument) -> Result<Self, Vec<ConfigError>> {
        let errors = std::mem::take(&mut raw.errors);
        let spans = std::mem::take(&mut raw.spans);
        let mut builder = ItemBuilder::new(errors, spans);
        let config = builder.build_fleet(&raw);
        builder.verify(&config);
        builder.finish()?;
        Ok(Self {
            based_on: raw.based_on.map(Generation),
            config,
        })
    }
}

impl ItemBuilder {
    fn build_fleet(&mut self, raw: &RawDocument) -> FleetConfig {
        FleetConfig {
            regions: self.build_items(&raw.regions, Self::build_region),
            classes: self.build_items(&raw.classes, Self::build_class),
            pools: self.build_pools(&raw.pools),
            models: self.build_items(&raw.models, Self::build_model),
            adapters: self.build_items(&raw.adapters, Self::build_adapter),
            weight_store: self.build_weight_store(raw.weight_store.as_ref()),
        }
    }

    fn build_items<N, T, S, M>(&mut self, raw: &[RawItem<T>], make: M) -> IndexMap<N, S>
    where
        N: CheckedName + Hash + Eq,
        M: Fn(&mut Self, &RawItem<T>) -> S,
    {
        raw.iter()
            .filter_map(|raw| {
                let name = self.parse_item_name(raw);
                let spec = make(self, raw);
                name.map(|name| (name, spec))
            })
            .collect()
    }

    fn build_region(&mut self, raw: &RawItem<RawRegion>) -> RegionSpec {
        let Some(zones) = self.require(raw, "zones", raw.values.zones.as_ref()) else {
            let zones = vec![placeholder()];
            return RegionSpec { zones };
        };
        let zones = zones.get_ref().iter();
        RegionSpec {
            zones: zones.map(|zone| self.parse_name(&raw.item, zone)).collect(),
        }
    }

    fn build_class(&mut self, raw: &RawItem<RawClass>) -> ClassSpec {
        let attain = raw.values.attain.as_ref();
        ClassSpec {
            attain: self.require_number(raw, "attain", attain, PLACEHOLDER_SHARE),
            target: if raw.values.answer.is_some() {
                self.build_whole_target(raw)
            } else {
                self.build_stream_target(raw)
            },
        }
    }

    fn build_whole_target(&mut self, raw: &RawItem<RawClass>) -> ClassTarget {
        let first_token = raw.values.first_token.as_ref();
        self.reject_with(raw, "first_token", first_token, "answer");
        let between_tokens = raw.values.between_tokens.as_ref();
        self.reject_with(raw, "between_tokens", between_tokens, "answer");
        ClassTarget::Whole {
            answer: self.require_duration(raw, "answer", &raw.values.answer),
        }
    }

    fn build_stream_target(&mut self, raw: &RawItem<RawClass>) -> ClassTarget {
        ClassTarget::Stream {
            first_token: self.require_duration(raw, "first_token", &raw.values.first_token),
            between_tokens: self.require_duration(
                raw,
                "between_tokens",
                &raw.values.between_tokens,
            ),
        }
    }

    fn build_model(&mut self, raw: &RawItem<RawModel>) -> ModelSpec {
        ModelSpec {
            pool: self.require_name(raw, "pool", &raw.values.pool),
            version: self.require_name(raw, "version", &raw.values.version),
            memory_mib: self.require_number(raw, "memory_mib", raw.values.memory_mib.as_ref(), 1),
            class: self.require_name(raw, "class", &raw.values.class),
        }
    }

    fn build_adapter(&mut self, raw: &RawItem<RawAdapter>) -> AdapterSpec {
        AdapterSpec {
            model: self.require_name(raw, "model", &raw.values.model),
            version: self.require_name(raw, "version", &raw.values.version),
            memory_mib: self.require_number(raw, "memory_mib", raw.values.memory_mib.as_ref(), 1),
        }
    }

    fn build_weight_store(&mut self, raw: Option<&RawItem<RawWeightStore>>) -> WeightStoreSpec {
        let Some(raw) = raw else {
            return WeightStoreSpec::default();
        };
        let rate = raw.values.loads_per_second.as_ref();
        let loads = raw.values.full_speed_loads.as_ref();
        WeightStoreSpec {
            loads_per_second: self.require_number(raw, "loads_per_second", rate, 1.0),
            full_speed_loads: self.require_number(raw, "full_speed_loads", loads, 1),
        }
    }
}
