//! Keeps models reachable without the planner and the store.
//!
//! Every agent ranks the endpoints for a model that has no live replica by rendezvous hashing, and
//! loads the model after a delay that grows with its own rank. Agents that see it ready elsewhere
//! do not load it. If two agents load it at the same time, this costs an unnecessary move but
//! violates no guarantee.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{EngineRole, WeightsKey};
use oatpier_types::names::{EndpointName, PoolName};
use oatpier_types::plan::EndpointPlan;
use smallvec::SmallVec;

use crate::orders::OrderKeeper;
use crate::rank::rank_of;
use crate::steps::ReplicaView;

/// Delays before repair starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepairSettings {
    /// How long a model has no live replica before the first endpoint loads it. Longer than a flap of
    /// membership; shorter than a planner failover.
    pub initial_delay: Duration,
    /// Additional delay per rank: about the time of a load.
    pub delay_per_rank: Duration,
}

impl Default for RepairSettings {
    fn default() -> Self {
        Self {
            initial_delay: Duration::from_secs(3),
            delay_per_rank: Duration::from_secs(4),
        }
    }
}

/// Membership's view of the pool.
pub struct RepairInput<'a> {
    /// The current configuration.
    pub config: &'a FleetConfig,
    /// Live endpoints of this endpoint's pool, including this one.
    pub live: &'a [EndpointName],
    /// Other ready replicas.
    pub replicas: &'a dyn ReplicaView,
    /// The plan's row for this endpoint, if there is a plan.
    pub plan: Option<&'a EndpointPlan>,
}

/// Repair state of one endpoint: the weights that it loads to keep them reachable.
#[derive(Debug, Clone)]
pub struct RepairKeeper {
    settings: RepairSettings,
    endpoint: EndpointName,
    pool: PoolName,
    lost_since: IndexMap<WeightsKey, ClockTime>,
    repaired: IndexMap<WeightsKey, ClockTime>,
}

impl RepairKeeper {
    /// Creates a keeper for one endpoint.
    #[must_use]
    pub fn new(settings: RepairSettings, endpoint: EndpointName, pool: PoolName) -> Self {
        Self {
            settings,
            endpoint,
            pool,
            lost_since: IndexMap::new(),
            repaired: IndexMap::new(),
        }
    }

    /// Returns the weights that this endpoint holds for repair.
    pub fn repaired_weights(&self) -> impl Iterator<Item = &WeightsKey> {
        self.repaired.keys()
    }

    /// Returns the row to apply: the plan's row with the weights that repair adds, without the
    /// replicas that are removed to make room.
    ///
    /// Without a plan, weights that are ready stay. The row is input for
    /// [`crate::steps::MoveStepper`], which still requests a release before it unloads any weights.
    pub fn repaired_row(
        &mut self,
        input: &RepairInput<'_>,
        keeper: &OrderKeeper,
        now: ClockTime,
    ) -> EndpointPlan {
        let mut row = self.base_row(input, keeper);
        self.update_lost(input, keeper, now);
        self.remove_obsolete(input, &row);
        self.add_due(input, now);
        for weights in self.repaired.keys() {
            if !row.weights.contains(weights) {
                row.weights.push(weights.clone());
            }
        }
        row.weights.sort_by_key(|weights| weights.adapter.is_some());
        make_room(&mut row, input, keeper, &self.repaired);
        row
    }

    fn base_row(&self, input: &RepairInput<'_>, keeper: &OrderKeeper) -> EndpointPlan {
        input.plan.cloned().unwrap_or_else(|| EndpointPlan {
            endpoint: self.endpoint.clone(),
            weights: keeper.ledger().ready().cloned().collect(),
            role: keeper.role().unwrap_or(EngineRole::Both),
        })
    }

    fn update_lost(&mut self, input: &RepairInput<'_>, keeper: &OrderKeeper, now: ClockTime) {
        let lost: Vec<WeightsKey> = configured_weights(input.config, &self.pool)
            .filter(|weights| !is_served(weights, input, keeper))
            .collect();
        self.lost_since.retain(|weights, _| lost.contains(weights));
        for weights in lost {
            self.lost_since.entry(weights).or_insert(now);
        }
    }

    /// Ends the repair of weights that the plan includes or another endpoint serves.
    fn remove_obsolete(&mut self, input: &RepairInput<'_>, row: &EndpointPlan) {
        self.repaired.retain(|weights, _| {
            let is_planned = input.plan.is_some() && row.weights.contains(weights);
            let is_served_elsewhere = !input.replicas.ready_elsewhere(weights).is_empty();
            !is_planned && !is_served_elsewhere
        });
    }

    fn add_due(&mut self, input: &RepairInput<'_>, now: ClockTime) {
        for (weights, since) in &self.lost_since {
            let rank = rank_of(rank_subject(weights), &self.endpoint, input.live.iter());
            let rank_factor = u32::try_from(rank).unwrap_or(u32::MAX);
            let delay = self.settings.initial_delay
                + self.settings.delay_per_rank.saturating_mul(rank_factor);
            if now.since(*since) >= delay {
                self.repaired.entry(weights.clone()).or_insert(now);
                self.repaired
                    .entry(base_weights(weights, input.config))
                    .or_insert(now);
            }
        }
    }
}

/// Returns the rendezvous hashing subject of weights. An adapter is repaired on the same endpoint
/// as its base model, so both are ranked by the base model's name.
fn rank_subject(weights: &WeightsKey) -> &str {
    weights.model.as_str()
}

fn base_weights(weights: &WeightsKey, config: &FleetConfig) -> WeightsKey {
    config
        .model_weights(&weights.model)
        .unwrap_or_else(|| weights.clone())
}

fn configured_weights<'a>(
    config: &'a FleetConfig,
    pool: &'a PoolName,
) -> impl Iterator<Item = WeightsKey> + 'a {
    let in_pool = move |model| {
        config
            .models
            .get(model)
            .is_some_and(|spec| spec.pool == *pool)
    };
    let models = config
        .models
        .keys()
        .filter(move |model| in_pool(*model))
        .filter_map(|model| config.model_weights(model));
    let adapters = config
        .adapters
        .iter()
        .filter(move |(_, spec)| in_pool(&spec.model))
        .filter_map(|(adapter, _)| config.adapter_weights(adapter));
    models.chain(adapters)
}

/// Returns whether any version of the weights is ready. Any version serves callers, so a version
/// change needs no repair.
fn is_served(weights: &WeightsKey, input: &RepairInput<'_>, keeper: &OrderKeeper) -> bool {
    let is_ready_here = keeper
        .ledger()
        .ready()
        .any(|held| held.model == weights.model && held.adapter == weights.adapter);
    is_ready_here
        || !input.replicas.ready_elsewhere(weights).is_empty()
        || !input.replicas.other_versions(weights).is_empty()
}

/// Removes redundant replicas from the row, largest first, until the rest fits.
fn make_room(
    row: &mut EndpointPlan,
    input: &RepairInput<'_>,
    keeper: &OrderKeeper,
    repaired: &IndexMap<WeightsKey, ClockTime>,
) {
    let capacity = keeper.ledger().capacity_mib();
    while row_mib(row, input.config) > capacity {
        let droppable = row
            .weights
            .iter()
            .enumerate()
            .filter(|(_, weights)| !repaired.contains_key(*weights))
            .filter(|(_, weights)| !has_adapter(row, weights))
            .filter(|(_, weights)| !input.replicas.ready_elsewhere(weights).is_empty())
            .max_by_key(|(_, weights)| input.config.memory_of(weights))
            .map(|(index, _)| index);
        match droppable {
            Some(index) => row.weights.remove(index),
            None => return drop_repaired(row, input, repaired, capacity),
        };
    }
}

/// Removes repair weights that do not fit when no other weights may be removed. The endpoint of the
/// next rank loads them.
fn drop_repaired(
    row: &mut EndpointPlan,
    input: &RepairInput<'_>,
    repaired: &IndexMap<WeightsKey, ClockTime>,
    capacity: u64,
) {
    while row_mib(row, input.config) > capacity {
        let last = row
            .weights
            .iter()
            .rposition(|weights| repaired.contains_key(weights));
        match last {
            Some(index) => row.weights.remove(index),
            None => return,
        };
    }
}

fn has_adapter(row: &EndpointPlan, weights: &WeightsKey) -> bool {
    weights.adapter.is_none()
        && row
            .weights
            .iter()
            .any(|other| other.adapter.is_some() && other.model == weights.model)
}

fn row_mib(row: &EndpointPlan, config: &FleetConfig) -> u64 {
    let sizes: SmallVec<[u64; 8]> = row
        .weights
        .iter()
        .filter_map(|weights| config.memory_of(weights))
        .collect();
    sizes.iter().sum()
}
