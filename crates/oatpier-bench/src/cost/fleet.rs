//! Fleets of fixed sizes that serve as input for the measured decisions.

use indexmap::IndexMap;
use oatpier_types::config::{FleetConfig, PoolKind, PoolSpec, RegionSpec, WeightStoreSpec};
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::{EndpointName, PoolName, ZoneName};
use oatpier_types::status::{EndpointStatus, QueueReport};

use crate::load::deployment::{
    ENGINE_MEMORY_MIB, ENGINE_SLOTS, classes, model_name, model_spec, name,
};

/// Number of base models on each endpoint, which is as many as fit into its memory.
const MODELS_PER_ENDPOINT: usize = 5;
/// Number of availability zones in one region.
const ZONES_PER_REGION: usize = 2;

/// Size of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of engine endpoints.
    pub endpoints: usize,
    /// Number of models.
    pub models: usize,
    /// Number of availability zones.
    pub zones: usize,
}

/// Fleet whose models are spread evenly over its endpoints.
#[derive(Debug, Clone)]
pub struct CostFleet {
    /// Size of the fleet.
    pub size: FleetSize,
    /// Configuration of the fleet.
    pub config: FleetConfig,
    /// Status that each agent reports.
    pub statuses: Vec<EndpointStatus>,
}

impl CostFleet {
    /// Creates a fleet of the given size.
    #[must_use]
    pub fn new(size: FleetSize) -> Self {
        let config = config(size);
        let statuses = (0..size.endpoints)
            .map(|index| status(size, index))
            .collect();
        Self {
            size,
            config,
            statuses,
        }
    }
}

/// Returns the name of the pool that holds all engines.
pub(super) fn pool() -> PoolName {
    name("llm")
}

/// Returns the name of the availability zone with this index.
pub(super) fn zone(index: usize) -> ZoneName {
    name(&format!("zone-{index}"))
}

fn endpoint(index: usize) -> EndpointName {
    name(&format!("engine-{index:04}"))
}

fn config(size: FleetSize) -> FleetConfig {
    let zones: Vec<ZoneName> = (0..size.zones).map(zone).collect();
    let regions = zones.chunks(ZONES_PER_REGION).enumerate();
    let kind = PoolKind::Engine {
        accelerators: 4,
        memory_mib: ENGINE_MEMORY_MIB,
        slots: ENGINE_SLOTS,
        checks_order_numbers: true,
    };
    let endpoints =
        (0..size.endpoints).map(|index| (endpoint(index), zones[index % zones.len()].clone()));
    let pool_spec = PoolSpec {
        kind,
        endpoints: endpoints.collect(),
    };
    let models = (0..size.models).map(|index| (model_name(index), model_spec(&pool(), index)));
    FleetConfig {
        weight_store: WeightStoreSpec {
            loads_per_second: 60.0,
            full_speed_loads: 240,
        },
        classes: classes(),
        regions: regions
            .map(|(index, zones)| {
                let zones = zones.to_vec();
                (name(&format!("region-{index}")), RegionSpec { zones })
            })
            .collect(),
        pools: IndexMap::from([(pool(), pool_spec)]),
        models: models.collect(),
        ..FleetConfig::default()
    }
}

fn status(size: FleetSize, index: usize) -> EndpointStatus {
    let ready = (0..MODELS_PER_ENDPOINT).map(|offset| WeightsKey {
        model: model_name((index * MODELS_PER_ENDPOINT + offset) % size.models),
        adapter: None,
        version: name("v1"),
    });
    EndpointStatus {
        endpoint: endpoint(index),
        pool: pool(),
        zone: zone(index % size.zones),
        ready: ready.collect(),
        ready_sequence: 1,
        generation: Generation(1),
        queue: queue_report(index, 1),
    }
}

/// Returns the queue report of the agent with this index.
pub(super) fn queue_report(index: usize, sequence: u64) -> QueueReport {
    QueueReport {
        boot: BootId(index as u128 + 1),
        sequence,
        queued: 0,
        running: 3,
        slots: ENGINE_SLOTS,
        wait: std::time::Duration::ZERO,
        prompt_token_ns: 20_000,
        step_us: 5_000,
        accepting: true,
    }
}
