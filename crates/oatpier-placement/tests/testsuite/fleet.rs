//! Small fleet configurations for tests.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_placement::planner::EndpointView;
use oatpier_types::config::{
    AdapterSpec, ClassSpec, ClassTarget, FleetConfig, ModelSpec, PoolKind, PoolSpec, RegionSpec,
    WeightStoreSpec,
};
use oatpier_types::engine::{EngineRole, HeldWeights, WeightsKey, WeightsState};
use oatpier_types::names::{
    AdapterName, ClassName, EndpointName, ModelName, PoolName, RegionName, VersionName, ZoneName,
};
use smallvec::SmallVec;

pub fn endpoint(name: &str) -> EndpointName {
    EndpointName::try_from(name).unwrap()
}

pub fn model(name: &str) -> ModelName {
    ModelName::try_from(name).unwrap()
}

/// Returns the weights of a base model.
pub fn base(name: &str, version: &str) -> WeightsKey {
    WeightsKey {
        model: model(name),
        adapter: None,
        version: VersionName::try_from(version).unwrap(),
    }
}

/// Returns the weights of an adapter.
pub fn adapter(name: &str, on: &str, version: &str) -> WeightsKey {
    WeightsKey {
        adapter: Some(AdapterName::try_from(name).unwrap()),
        ..base(on, version)
    }
}

/// Returns a configuration with one pool of engines `e0000`, `e0001`, ... in zones `z0` to `z2`.
pub fn fleet(engines: usize, memory_mib: u64, models: &[(&str, u64)]) -> FleetConfig {
    let pool = PoolName::try_from("llm").unwrap();
    let class = ClassName::try_from("draft").unwrap();
    let mut config = FleetConfig::default();
    let zones: Vec<ZoneName> = (0..3)
        .map(|zone| ZoneName::try_from(format!("z{zone}").as_str()).unwrap())
        .collect();
    let endpoints = (0..engines)
        .map(|index| (endpoint(&format!("e{index:04}")), zones[index % 3].clone()))
        .collect();
    let region = RegionName::try_from("r").unwrap();
    config.regions.insert(region, RegionSpec { zones });
    let target = ClassTarget::Whole {
        answer: Duration::from_secs(2),
    };
    let spec = ClassSpec {
        target,
        attain: 0.95,
    };
    config.classes.insert(class.clone(), spec);
    let kind = PoolKind::Engine {
        accelerators: 1,
        memory_mib,
        slots: 16,
        checks_order_numbers: true,
    };
    config
        .pools
        .insert(pool.clone(), PoolSpec { kind, endpoints });
    config.models = models
        .iter()
        .map(|(name, size)| {
            let spec = ModelSpec {
                version: VersionName::try_from("v1").unwrap(),
                pool: pool.clone(),
                memory_mib: *size,
                class: class.clone(),
            };
            (model(name), spec)
        })
        .collect::<IndexMap<_, _>>();
    config.weight_store = WeightStoreSpec {
        loads_per_second: 3.0,
        full_speed_loads: 4,
    };
    config
}

pub fn add_adapter(config: &mut FleetConfig, name: &str, on: &str, memory_mib: u64) {
    let spec = AdapterSpec {
        model: model(on),
        version: VersionName::try_from("v1").unwrap(),
        memory_mib,
    };
    config
        .adapters
        .insert(AdapterName::try_from(name).unwrap(), spec);
}

/// Returns views of all engines, alive and without weights.
pub fn views(config: &FleetConfig) -> Vec<EndpointView> {
    config
        .pools
        .iter()
        .flat_map(|(pool, spec)| {
            spec.endpoints.iter().map(|(name, zone)| EndpointView {
                endpoint: name.clone(),
                pool: pool.clone(),
                zone: zone.clone(),
                alive: true,
                leaving: false,
                held: SmallVec::new(),
                role: EngineRole::Both,
                prompt_token_ns: 0,
                step_us: 5_000,
            })
        })
        .collect()
}

pub fn ready(weights: &WeightsKey) -> HeldWeights {
    HeldWeights {
        weights: weights.clone(),
        state: WeightsState::Ready,
    }
}
