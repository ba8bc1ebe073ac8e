//! The two reference deployments of the benches and their configurations.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::config::{
    AdapterSpec, CallPattern, ClassSpec, ClassTarget, FleetConfig, ModelSpec, PoolKind, PoolSpec,
    RegionSpec, WeightStoreSpec,
};
use oatpier_types::names::{
    AdapterName, ClassName, EndpointName, ModelName, PoolName, RegionName, VersionName, ZoneName,
};

/// Memory for weights on one engine of the benches, in MiB.
pub const ENGINE_MEMORY_MIB: u64 = 80_000;
/// Memory that a base model takes, in MiB.
pub const MODEL_MEMORY_MIB: u64 = 14_000;
/// Memory that an adapter takes, in MiB.
pub const ADAPTER_MEMORY_MIB: u64 = 200;
/// Number of requests that one engine serves concurrently.
pub const ENGINE_SLOTS: u32 = 16;

/// Deployment that the benches simulate.
#[derive(Debug, Clone)]
pub struct BenchDeployment {
    /// Name in reports.
    pub name: &'static str,
    /// Configuration of the fleet.
    pub config: FleetConfig,
    /// Time of an engine's step with no requests in it.
    pub step: Duration,
    /// One-way latency between availability zones.
    pub between_zones: Duration,
    /// One-way latency to callers.
    pub to_callers: Duration,
    /// Requests to models per second under steady demand.
    pub rate: f64,
    /// Capacity of all endpoints together, as a multiple of `rate`. At this demand, 95% of the requests are within
    /// target with the static placement.
    pub capacity_factor: f64,
}

struct DeploymentShape {
    region: &'static str,
    zones: [&'static str; 3],
    engines: &'static str,
    service: &'static str,
    models: usize,
    adapters: usize,
    full_speed_loads: u32,
}

/// Returns the deployment of Ijoko Seatworks, with three availability zones in Lagos.
///
/// # Panics
///
/// Never: the built-in names are valid.
#[must_use]
pub fn ijoko() -> BenchDeployment {
    let shape = DeploymentShape {
        region: "lagos",
        zones: ["ikeja", "lekki", "yaba"],
        engines: "seat-llm",
        service: "plan-api",
        models: 40,
        adapters: 100,
        full_speed_loads: 4,
    };
    BenchDeployment {
        name: "ijoko",
        config: build(&shape),
        step: Duration::from_micros(4_500),
        between_zones: Duration::from_micros(1_500),
        to_callers: Duration::from_millis(1),
        rate: 110.0,
        capacity_factor: 4.0,
    }
}

/// Returns the deployment of the Tussock Saleyard Pricing Consortium, with three availability zones in Waikato.
///
/// # Panics
///
/// Never: the built-in names are valid.
#[must_use]
pub fn tussock() -> BenchDeployment {
    let shape = DeploymentShape {
        region: "waikato",
        zones: ["hamilton-a", "hamilton-b", "te-awamutu"],
        engines: "wool-scribe",
        service: "rail-board",
        models: 20,
        adapters: 120,
        full_speed_loads: 12,
    };
    BenchDeployment {
        name: "tussock",
        config: build(&shape),
        step: Duration::from_millis(5),
        between_zones: Duration::from_micros(1_500),
        to_callers: Duration::from_millis(1),
        rate: 110.0,
        capacity_factor: 5.3,
    }
}

/// Returns both deployments.
#[must_use]
pub fn all() -> [BenchDeployment; 2] {
    [ijoko(), tussock()]
}

fn build(shape: &DeploymentShape) -> FleetConfig {
    let pool: PoolName = name(shape.engines);
    let mut config = FleetConfig {
        weight_store: WeightStoreSpec {
            loads_per_second: 3.0,
            full_speed_loads: shape.full_speed_loads,
        },
        ..FleetConfig::default()
    };
    let zones: Vec<ZoneName> = shape.zones.iter().map(|zone| name(zone)).collect();
    config.classes = classes();
    config.pools = pools(shape, &zones);
    config.models = (0..shape.models)
        .map(|index| (model_name(index), model_spec(&pool, index)))
        .collect();
    config.adapters = (0..shape.adapters)
        .map(|index| (adapter_name(index), adapter(index % shape.models)))
        .collect();
    let region = RegionSpec { zones };
    config
        .regions
        .insert(name::<RegionName>(shape.region), region);
    config
}

/// Returns the request classes of both deployments.
pub(crate) fn classes() -> IndexMap<ClassName, ClassSpec> {
    let stream = |first_ms, between_ms| ClassSpec {
        target: ClassTarget::Stream {
            first_token: Duration::from_millis(first_ms),
            between_tokens: Duration::from_millis(between_ms),
        },
        attain: 0.95,
    };
    let whole = ClassSpec {
        target: ClassTarget::Whole {
            answer: Duration::from_millis(250),
        },
        attain: 0.95,
    };
    IndexMap::from([
        (name("drafting"), stream(600, 33)),
        (name("explaining"), stream(320, 33)),
        (name("lookup"), whole),
    ])
}

fn pools(shape: &DeploymentShape, zones: &[ZoneName]) -> IndexMap<PoolName, PoolSpec> {
    let endpoints = |prefix: &str, count: usize| -> IndexMap<EndpointName, ZoneName> {
        (0..count)
            .map(|index| {
                (
                    name(&format!("{prefix}-{index:02}")),
                    zones[index % zones.len()].clone(),
                )
            })
            .collect()
    };
    let engines = PoolSpec {
        kind: PoolKind::Engine {
            accelerators: 4,
            memory_mib: ENGINE_MEMORY_MIB,
            slots: ENGINE_SLOTS,
            checks_order_numbers: true,
        },
        endpoints: endpoints(shape.engines, 18),
    };
    let service = PoolSpec {
        kind: PoolKind::Service {
            class: name("lookup"),
            slots: 8,
            once: vec![CallPattern {
                method: "POST".into(),
                path: "/apply".into(),
            }],
        },
        endpoints: endpoints(shape.service, 3),
    };
    IndexMap::from([
        (name(shape.engines), engines),
        (name(shape.service), service),
    ])
}

/// Returns the configuration of the model at `index`.
pub(crate) fn model_spec(pool: &PoolName, index: usize) -> ModelSpec {
    let class = if index.is_multiple_of(3) {
        "explaining"
    } else {
        "drafting"
    };
    ModelSpec {
        version: name("v1"),
        pool: pool.clone(),
        memory_mib: MODEL_MEMORY_MIB,
        class: name(class),
    }
}

fn adapter(model: usize) -> AdapterSpec {
    AdapterSpec {
        model: model_name(model),
        version: name::<VersionName>("v1"),
        memory_mib: ADAPTER_MEMORY_MIB,
    }
}

/// Returns the name of the model at `index`.
///
/// # Panics
///
/// Never: the name is valid.
#[must_use]
pub fn model_name(index: usize) -> ModelName {
    name(&format!("model-{index:03}"))
}

/// Returns the name of the adapter at `index`.
///
/// # Panics
///
/// Never: the name is valid.
#[must_use]
pub fn adapter_name(index: usize) -> AdapterName {
    name(&format!("adapter-{index:03}"))
}

/// Converts a built-in name.
pub(crate) fn name<N>(raw: &str) -> N
where
    N: for<'a> TryFrom<&'a str>,
    for<'a> <N as TryFrom<&'a str>>::Error: std::fmt::Debug,
{
    N::try_from(raw).expect("built-in names are valid")
}
