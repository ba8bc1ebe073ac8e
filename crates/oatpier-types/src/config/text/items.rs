//! Converts raw tables to validated items.

use std::hash::Hash;

use indexmap::IndexMap;

use super::ConfigDocument;
use super::fields::{CheckedName, ItemBuilder, substitute};
use super::reader::{RawDocument, RawItem};
use crate::config::fault::ConfigFault;
use crate::config::raw::{RawAdapter, RawClass, RawModel, RawRegion, RawStore};
use crate::config::{
    AdapterSpec, ClassSpec, ClassTarget, FleetConfig, ModelSpec, RegionSpec, WeightStoreSpec,
};
use crate::ids::Generation;

/// Replaces a share that is missing or invalid.
const SUBSTITUTE_SHARE: f64 = 0.5;

impl TryFrom<RawDocument> for ConfigDocument {
    type Error = Vec<ConfigFault>;

    fn try_from(mut raw: RawDocument) -> Result<Self, Vec<ConfigFault>> {
        let faults = std::mem::take(&mut raw.faults);
        let places = std::mem::take(&mut raw.places);
        let mut builder = ItemBuilder::new(faults, places);
        let config = builder.fleet(&raw);
        builder.verify(&config);
        builder.finish()?;
        Ok(Self {
            based_on: raw.based_on.map(Generation),
            config,
        })
    }
}

impl ItemBuilder {
    fn fleet(&mut self, raw: &RawDocument) -> FleetConfig {
        FleetConfig {
            regions: self.items(&raw.regions, Self::region),
            classes: self.items(&raw.classes, Self::class),
            pools: self.pools(&raw.pools),
            models: self.items(&raw.models, Self::model),
            adapters: self.items(&raw.adapters, Self::adapter),
            weight_store: self.store(raw.store.as_ref()),
        }
    }

    fn items<N, T, S, M>(&mut self, raw: &[RawItem<T>], make: M) -> IndexMap<N, S>
    where
        N: CheckedName + Hash + Eq,
        M: Fn(&mut Self, &RawItem<T>) -> S,
    {
        raw.iter()
            .filter_map(|raw| {
                let name = self.item_name(raw);
                let spec = make(self, raw);
                name.map(|name| (name, spec))
            })
            .collect()
    }

    fn region(&mut self, raw: &RawItem<RawRegion>) -> RegionSpec {
        let Some(zones) = self.required(raw, "zones", raw.raw.zones.as_ref()) else {
            let zones = vec![substitute()];
            return RegionSpec { zones };
        };
        let zones = zones.get_ref().iter();
        RegionSpec {
            zones: zones.map(|zone| self.parse(&raw.item, zone)).collect(),
        }
    }

    fn class(&mut self, raw: &RawItem<RawClass>) -> ClassSpec {
        let attain = raw.raw.attain.as_ref();
        ClassSpec {
            attain: self.number(raw, "attain", attain, SUBSTITUTE_SHARE),
            target: if raw.raw.answer.is_some() {
                self.whole_target(raw)
            } else {
                self.stream_target(raw)
            },
        }
    }

    fn whole_target(&mut self, raw: &RawItem<RawClass>) -> ClassTarget {
        let first_token = raw.raw.first_token.as_ref();
        self.refuse_with(raw, "first_token", first_token, "answer");
        let between_tokens = raw.raw.between_tokens.as_ref();
        self.refuse_with(raw, "between_tokens", between_tokens, "answer");
        ClassTarget::Whole {
            answer: self.duration(raw, "answer", &raw.raw.answer),
        }
    }

    fn stream_target(&mut self, raw: &RawItem<RawClass>) -> ClassTarget {
        ClassTarget::Stream {
            first_token: self.duration(raw, "first_token", &raw.raw.first_token),
            between_tokens: self.duration(raw, "between_tokens", &raw.raw.between_tokens),
        }
    }

    fn model(&mut self, raw: &RawItem<RawModel>) -> ModelSpec {
        ModelSpec {
            pool: self.name(raw, "pool", &raw.raw.pool),
            version: self.name(raw, "version", &raw.raw.version),
            memory_mib: self.number(raw, "memory_mib", raw.raw.memory_mib.as_ref(), 1),
            class: self.name(raw, "class", &raw.raw.class),
        }
    }

    fn adapter(&mut self, raw: &RawItem<RawAdapter>) -> AdapterSpec {
        AdapterSpec {
            model: self.name(raw, "model", &raw.raw.model),
            version: self.name(raw, "version", &raw.raw.version),
            memory_mib: self.number(raw, "memory_mib", raw.raw.memory_mib.as_ref(), 1),
        }
    }

    fn store(&mut self, raw: Option<&RawItem<RawStore>>) -> WeightStoreSpec {
        let Some(raw) = raw else {
            return WeightStoreSpec::default();
        };
        let rate = raw.raw.loads_per_second.as_ref();
        let loads = raw.raw.full_speed_loads.as_ref();
        WeightStoreSpec {
            loads_per_second: self.number(raw, "loads_per_second", rate, 1.0),
            full_speed_loads: self.number(raw, "full_speed_loads", loads, 1),
        }
    }
}
