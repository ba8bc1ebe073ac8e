//! Checks whether all models and adapters fit into the available memory at the same time.
//!
//! Every model must stay reachable, that is, be loaded on some endpoint at all times. So every
//! base model needs memory on an endpoint of its pool, and every adapter needs memory on an
//! endpoint with a replica of its base model. The check packs them with the first-fit-decreasing
//! heuristic. It is sound: the packing that it finds is a valid placement. It is not complete: a
//! configuration that needs all but a few percent of the memory can be rejected although a better
//! packing exists.
//!
//! During a version change, the new weights are loaded before the old ones are unloaded. The
//! packing therefore includes the largest model of each pool, with its adapters, twice.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{FleetConfig, PoolKind, PoolSpec};
use crate::names::{ModelName, PoolName, ZoneName};

/// The result of the capacity check, per pool.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct CapacityReport {
    /// One entry per engine pool with models.
    pub pools: Vec<PoolCapacity>,
}

/// The result of the capacity check for one pool. All sizes are in MiB.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PoolCapacity {
    /// The pool.
    pub pool: PoolName,
    /// Number of endpoints in the pool.
    pub endpoints: usize,
    /// Memory for weights per endpoint.
    pub endpoint_mib: u64,
    /// Total memory for weights of all endpoints.
    pub total_mib: u64,
    /// Total size of all models and adapters, each counted once.
    pub weights_mib: u64,
    /// Additional memory for a version change of the largest model and its adapters.
    pub change_mib: u64,
    /// The model with the largest total size, including its adapters.
    pub largest: ModelName,
    /// The packing of all models and adapters.
    pub steady: PackResult,
    /// The packing with a second copy of the largest model and its adapters.
    pub changing: PackResult,
    /// The packing of all models and adapters without one availability zone, for each zone.
    pub zone_away: Vec<ZoneOutage>,
}

/// The result of a packing.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct PackResult {
    /// Total size of the models and adapters that do not fit, in MiB; 0: everything fits.
    pub short_mib: u64,
    /// Names of the models and adapters that do not fit.
    pub unplaced: Vec<String>,
    /// Number of endpoints that hold at least one model.
    pub used: usize,
}

/// The memory shortage during an outage of one availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneOutage {
    /// The availability zone.
    pub zone: ZoneName,
    /// Total size of the models and adapters that do not fit into the other zones, in MiB; 0: everything fits.
    pub short_mib: u64,
}

impl CapacityReport {
    /// Returns whether everything fits, including the version change of one model.
    #[must_use]
    pub fn fits(&self) -> bool {
        self.pools.iter().all(PoolCapacity::fits)
    }
}

impl PoolCapacity {
    /// Returns whether everything fits, including the version change of one model.
    #[must_use]
    pub fn fits(&self) -> bool {
        self.changing.short_mib == 0
    }
}

/// A base model with its adapters.
#[derive(Debug, Clone)]
struct ModelGroup<'a> {
    name: &'a str,
    base_mib: u64,
    /// Largest first.
    adapters: Vec<(&'a str, u64)>,
}

impl ModelGroup<'_> {
    fn total_mib(&self) -> u64 {
        self.adapters
            .iter()
            .fold(self.base_mib, |sum, (_, size)| sum.saturating_add(*size))
    }
}

/// Checks the capacity of all pools of a configuration.
#[must_use]
pub fn check_capacity(config: &FleetConfig) -> CapacityReport {
    let pools = config.pools.iter();
    let pools = pools.filter_map(|(name, pool)| check_pool(config, name, pool));
    CapacityReport {
        pools: pools.collect(),
    }
}

fn check_pool(config: &FleetConfig, name: &PoolName, pool: &PoolSpec) -> Option<PoolCapacity> {
    let PoolKind::Engine { memory_mib, .. } = pool.kind else {
        return None;
    };
    let groups = model_groups(config, name);
    let largest = groups.first()?.clone();
    let mut with_duplicate = groups.clone();
    with_duplicate.insert(0, largest.clone());
    let count = pool.endpoints.len();
    Some(PoolCapacity {
        pool: name.clone(),
        endpoints: count,
        endpoint_mib: memory_mib,
        total_mib: memory_mib.saturating_mul(count as u64),
        weights_mib: groups.iter().map(ModelGroup::total_mib).sum(),
        change_mib: largest.total_mib(),
        largest: ModelName::try_from(largest.name).ok()?,
        steady: pack(&groups, count, memory_mib),
        changing: pack(&with_duplicate, count, memory_mib),
        zone_away: check_zone_outages(pool, &groups, memory_mib),
    })
}

/// Returns the models of a pool with their adapters, largest first.
fn model_groups<'a>(config: &'a FleetConfig, pool: &PoolName) -> Vec<ModelGroup<'a>> {
    let mut adapters = HashMap::<&ModelName, Vec<(&str, u64)>>::new();
    for (name, adapter) in &config.adapters {
        let model_adapters = adapters.entry(&adapter.model).or_default();
        model_adapters.push((name.as_str(), adapter.memory_mib));
    }
    let models = config.models.iter();
    let models = models.filter(|(_, model)| model.pool == *pool);
    let mut groups = models
        .map(|(name, model)| {
            let mut adapters = adapters.remove(name).unwrap_or_default();
            adapters.sort_by(|left, right| right.1.cmp(&left.1).then(left.0.cmp(right.0)));
            ModelGroup {
                name: name.as_str(),
                base_mib: model.memory_mib,
                adapters,
            }
        })
        .collect::<Vec<_>>();
    groups.sort_by(|left, right| {
        let by_size = right.total_mib().cmp(&left.total_mib());
        by_size.then(left.name.cmp(right.name))
    });
    groups
}

fn check_zone_outages(
    pool: &PoolSpec,
    groups: &[ModelGroup<'_>],
    memory_mib: u64,
) -> Vec<ZoneOutage> {
    let mut zones = pool.endpoints.values().collect::<Vec<_>>();
    zones.sort_unstable();
    let count = zones.len();
    zones
        .chunk_by(|left, right| left == right)
        .map(|zone| ZoneOutage {
            zone: zone[0].clone(),
            short_mib: pack(groups, count - zone.len(), memory_mib).short_mib,
        })
        .collect()
}

/// Packs the groups, in the given order, into `count` endpoints with `memory_mib` each.
fn pack(groups: &[ModelGroup<'_>], count: usize, memory_mib: u64) -> PackResult {
    let mut free = vec![memory_mib; count];
    let mut result = PackResult::default();
    for group in groups {
        let total = group.total_mib();
        match free.iter_mut().find(|free| **free >= total) {
            Some(free) => *free -= total,
            None => pack_split(group, &mut free, &mut result),
        }
    }
    result.used = free.iter().filter(|free| **free < memory_mib).count();
    result
}

/// Packs a group that doesn't fit into any single endpoint.
///
/// Places as many replicas of the base model as needed, each on the endpoint with the most free
/// memory, together with as many of the remaining adapters as fit.
fn pack_split(group: &ModelGroup<'_>, free: &mut [u64], result: &mut PackResult) {
    let mut remaining = group.adapters.clone();
    let mut placed_base = false;
    while !placed_base || !remaining.is_empty() {
        let emptiest = (0..free.len()).rev().max_by_key(|index| free[*index]);
        let emptiest = emptiest.filter(|index| free[*index] >= group.base_mib);
        let Some(free_mib) = emptiest.map(|index| &mut free[index]) else {
            break;
        };
        let mut left_mib = *free_mib - group.base_mib;
        let before = remaining.len();
        remaining.retain(|(_, size)| {
            let fits = *size <= left_mib;
            left_mib -= if fits { *size } else { 0 };
            !fits
        });
        if placed_base && remaining.len() == before {
            break;
        }
        *free_mib = left_mib;
        placed_base = true;
    }
    if !placed_base {
        result.short_mib += group.base_mib;
        result.unplaced.push(group.name.to_owned());
    }
    for (name, size) in remaining {
        result.short_mib += size;
        result.unplaced.push(name.to_owned());
    }
}
