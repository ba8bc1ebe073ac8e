//! A fleet of a given size, as each decision sees it.

use indexmap::IndexMap;
use oatpier_types::config::{FleetConfig, PoolKind, PoolSpec, RegionSpec, WeightStoreSpec};
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::{EndpointName, PoolName, ZoneName};
use oatpier_types::status::{EndpointStatus, QueueReport};

use crate::load::deployment::{
    ENGINE_MEMORY_MIB, ENGINE_SLOTS, classes, model_name, model_spec, name,
};

/// Base models that each endpoint holds: as many as its memory has room for.
const MODELS_PER_ENDPOINT: usize = 5;
/// Availability zones of one region.
const ZONES_PER_REGION: usize = 2;

/// How large a fleet is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Engine endpoints.
    pub endpoints: usize,
    /// Models.
    pub models: usize,
    /// Availability zones.
    pub zones: usize,
}

/// A fleet with its models spread evenly.
#[derive(Debug, Clone)]
pub struct CostFleet {
    /// Its size.
    pub size: FleetSize,
    /// Its configuration.
    pub config: FleetConfig,
    /// What each agent says.
    pub statuses: Vec<EndpointStatus>,
}

impl CostFleet {
    /// A fleet of a given size.
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

/// The pool of all engines.
pub(super) fn pool() -> PoolName {
    name("llm")
}

/// The availability zone at a place.
pub(super) fn zone(place: usize) -> ZoneName {
    name(&format!("zone-{place}"))
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
    let ready = (0..MODELS_PER_ENDPOINT).map(|place| WeightsKey {
        model: model_name((index * MODELS_PER_ENDPOINT + place) % size.models),
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

/// An agent's word on its queue.
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
