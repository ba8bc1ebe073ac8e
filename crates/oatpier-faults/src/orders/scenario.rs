//! The fleet configuration and the plans.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::config::{
    ClassSpec, ClassTarget, FleetConfig, ModelSpec, PoolKind, PoolSpec, RegionSpec, WeightStoreSpec,
};
use oatpier_types::engine::{EngineRole, WeightsKey};
use oatpier_types::names::{EndpointName, ModelName};
use oatpier_types::plan::EndpointPlan;

use crate::request::name;

/// Number of engines.
pub const ENGINES: usize = 3;
/// Memory of an engine.
pub const MEMORY_MIB: u64 = 400;
/// Memory of a model: four models fit in an engine.
const MODEL_MIB: u64 = 100;
/// Names of the models.
pub const MODELS: [&str; 4] = ["aisle", "bench", "chair", "dais"];

pub fn endpoint(index: usize) -> EndpointName {
    name(&format!("engine-{index}"))
}

fn weights(model: &str, version: &str) -> WeightsKey {
    WeightsKey {
        model: name(model),
        adapter: None,
        version: name(version),
    }
}

/// Returns the configuration, with the model `chair` in the version of that name.
pub fn config(chair: &str, checks_order_numbers: bool) -> FleetConfig {
    let mut config = FleetConfig::default();
    let zones = vec![name("ikeja")];
    config.regions.insert(name("lagos"), RegionSpec { zones });
    let answer = Duration::from_secs(2);
    let spec = ClassSpec {
        target: ClassTarget::Whole { answer },
        attain: 0.95,
    };
    config.classes.insert(name("draft"), spec);
    let kind = PoolKind::Engine {
        accelerators: 1,
        memory_mib: MEMORY_MIB,
        slots: 16,
        checks_order_numbers,
    };
    let endpoints = (0..ENGINES).map(|index| (endpoint(index), name("ikeja")));
    let endpoints = endpoints.collect::<IndexMap<_, _>>();
    config
        .pools
        .insert(name("llm"), PoolSpec { kind, endpoints });
    for model in MODELS {
        let version = if model == "chair" { chair } else { "v1" };
        let spec = ModelSpec {
            version: name(version),
            pool: name("llm"),
            memory_mib: MODEL_MIB,
            class: name("draft"),
        };
        config.models.insert(name::<ModelName>(model), spec);
    }
    config.weight_store = WeightStoreSpec {
        loads_per_second: 3.0,
        full_speed_loads: 4,
    };
    config
}

/// Returns the first plan.
pub fn first_plan() -> Vec<EndpointPlan> {
    let rows = [
        vec![
            weights("aisle", "v1"),
            weights("bench", "v1"),
            weights("dais", "v1"),
        ],
        vec![
            weights("bench", "v1"),
            weights("chair", "v1"),
            weights("dais", "v1"),
        ],
        vec![weights("chair", "v1")],
    ];
    plan(rows)
}

/// Returns the second plan: `aisle` and `dais` move to the last engine, `bench` loses a replica,
/// `chair` gets another version.
pub fn second_plan() -> Vec<EndpointPlan> {
    let rows = [
        vec![weights("bench", "v1")],
        vec![weights("chair", "v2")],
        vec![
            weights("chair", "v2"),
            weights("aisle", "v1"),
            weights("dais", "v1"),
        ],
    ];
    plan(rows)
}

/// Returns the third plan, which reverts the moves and keeps the new version.
pub fn third_plan() -> Vec<EndpointPlan> {
    let rows = [
        vec![
            weights("aisle", "v1"),
            weights("bench", "v1"),
            weights("dais", "v1"),
        ],
        vec![
            weights("bench", "v1"),
            weights("chair", "v2"),
            weights("dais", "v1"),
        ],
        vec![weights("chair", "v2")],
    ];
    plan(rows)
}

fn plan(rows: [Vec<WeightsKey>; ENGINES]) -> Vec<EndpointPlan> {
    let rows = rows.into_iter().enumerate();
    rows.map(|(index, weights)| EndpointPlan {
        endpoint: endpoint(index),
        weights: weights.into_iter().collect(),
        role: EngineRole::Both,
    })
    .collect()
}
