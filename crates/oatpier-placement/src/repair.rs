//! Keeps models reachable without a planner and without the store.
//!
//! Every agent ranks the endpoints for a model that has no live replica by rendezvous hashing,
//! and takes its turn after a delay by rank. Whoever could load it does; the others see it ready
//! and leave it. Two that load it at once cost a move, no promise.

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
use crate::steps::ReplicaCount;

/// When repair starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepairSettings {
    /// How long a model is without a live replica before the first endpoint takes it. Longer than
    /// a flap of membership; shorter than a planner's change of hands.
    pub patience: Duration,
    /// The time that each rank waits longer: about a load.
    pub turn: Duration,
}

impl Default for RepairSettings {
    fn default() -> Self {
        Self {
            patience: Duration::from_secs(3),
            turn: Duration::from_secs(4),
        }
    }
}

/// What membership knows of the pool.
pub struct RepairInput<'a> {
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// Live endpoints of this endpoint's pool, this one included.
    pub live: &'a [EndpointName],
    /// Other ready replicas.
    pub replicas: &'a dyn ReplicaCount,
    /// The plan's row for this endpoint, if there is a plan.
    pub plan: Option<&'a EndpointPlan>,
}

/// Decides which weights this endpoint takes on to keep them reachable.
#[derive(Debug, Clone)]
pub struct RepairKeeper {
    settings: RepairSettings,
    endpoint: EndpointName,
    pool: PoolName,
    lost_since: IndexMap<WeightsKey, ClockTime>,
    taken: IndexMap<WeightsKey, ClockTime>,
}

impl RepairKeeper {
    /// A keeper for one endpoint.
    #[must_use]
    pub fn new(settings: RepairSettings, endpoint: EndpointName, pool: PoolName) -> Self {
        Self {
            settings,
            endpoint,
            pool,
            lost_since: IndexMap::new(),
            taken: IndexMap::new(),
        }
    }

    /// Weights that this endpoint has taken on.
    pub fn taken(&self) -> impl Iterator<Item = &WeightsKey> {
        self.taken.keys()
    }

    /// The row to carry out: the plan's, with what repair adds and without what makes room.
    ///
    /// Without a plan, what is held stays. Hand it to [`crate::steps::MoveStepper`], which still
    /// asks for a release before anything goes.
    pub fn repaired_row(
        &mut self,
        input: &RepairInput<'_>,
        keeper: &OrderKeeper,
        now: ClockTime,
    ) -> EndpointPlan {
        let mut row = self.base_row(input, keeper);
        self.watch_lost(input, keeper, now);
        self.end_taken(input, &row);
        self.take_due(input, now);
        for weights in self.taken.keys() {
            if !row.weights.contains(weights) {
                row.weights.push(weights.clone());
            }
        }
        row.weights.sort_by_key(|weights| weights.adapter.is_some());
        make_room(&mut row, input, keeper, &self.taken);
        row
    }

    fn base_row(&self, input: &RepairInput<'_>, keeper: &OrderKeeper) -> EndpointPlan {
        input.plan.cloned().unwrap_or_else(|| EndpointPlan {
            endpoint: self.endpoint.clone(),
            weights: keeper.ledger().ready().cloned().collect(),
            role: keeper.role().unwrap_or(EngineRole::Both),
        })
    }

    fn watch_lost(&mut self, input: &RepairInput<'_>, keeper: &OrderKeeper, now: ClockTime) {
        let lost: Vec<WeightsKey> = configured(input.config, &self.pool)
            .filter(|weights| !is_served(weights, input, keeper))
            .collect();
        self.lost_since.retain(|weights, _| lost.contains(weights));
        for weights in lost {
            self.lost_since.entry(weights).or_insert(now);
        }
    }

    /// What the plan has taken over, or another endpoint serves, need not be kept by repair.
    fn end_taken(&mut self, input: &RepairInput<'_>, row: &EndpointPlan) {
        self.taken.retain(|weights, _| {
            let planned = input.plan.is_some() && row.weights.contains(weights);
            let elsewhere = !input.replicas.ready_elsewhere(weights).is_empty();
            !planned && !elsewhere
        });
    }

    fn take_due(&mut self, input: &RepairInput<'_>, now: ClockTime) {
        for (weights, since) in &self.lost_since {
            let rank = rank_of(subject_of(weights), &self.endpoint, input.live.iter());
            let turns = u32::try_from(rank).unwrap_or(u32::MAX);
            let delay = self.settings.patience + self.settings.turn.saturating_mul(turns);
            if now.since(*since) >= delay {
                self.taken.entry(weights.clone()).or_insert(now);
                self.taken
                    .entry(base_of(weights, input.config))
                    .or_insert(now);
            }
        }
    }
}

/// An adapter is repaired where its base model is: both are ranked by the base model's name.
fn subject_of(weights: &WeightsKey) -> &str {
    weights.model.as_str()
}

fn base_of(weights: &WeightsKey, config: &FleetConfig) -> WeightsKey {
    config
        .model_weights(&weights.model)
        .unwrap_or_else(|| weights.clone())
}

fn configured<'a>(
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

/// Any version that is ready serves callers: a change of version is no loss.
fn is_served(weights: &WeightsKey, input: &RepairInput<'_>, keeper: &OrderKeeper) -> bool {
    let here = keeper
        .ledger()
        .ready()
        .any(|held| held.model == weights.model && held.adapter == weights.adapter);
    here || !input.replicas.ready_elsewhere(weights).is_empty()
        || !input.replicas.other_versions(weights).is_empty()
}

/// Drops extra replicas from the row, those of the largest first, until the rest fits.
fn make_room(
    row: &mut EndpointPlan,
    input: &RepairInput<'_>,
    keeper: &OrderKeeper,
    taken: &IndexMap<WeightsKey, ClockTime>,
) {
    let capacity = keeper.ledger().capacity_mib();
    while row_mib(row, input.config) > capacity {
        let droppable = row
            .weights
            .iter()
            .enumerate()
            .filter(|(_, weights)| !taken.contains_key(*weights))
            .filter(|(_, weights)| !has_adapter(row, weights))
            .filter(|(_, weights)| !input.replicas.ready_elsewhere(weights).is_empty())
            .max_by_key(|(_, weights)| input.config.memory_of(weights))
            .map(|(index, _)| index);
        match droppable {
            Some(index) => row.weights.remove(index),
            None => return drop_taken(row, input, taken, capacity),
        };
    }
}

/// Nothing may go: what repair would add and does not fit is left to the next rank.
fn drop_taken(
    row: &mut EndpointPlan,
    input: &RepairInput<'_>,
    taken: &IndexMap<WeightsKey, ClockTime>,
    capacity: u64,
) {
    while row_mib(row, input.config) > capacity {
        let last = row
            .weights
            .iter()
            .rposition(|weights| taken.contains_key(weights));
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
