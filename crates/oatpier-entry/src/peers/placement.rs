//! Answers agents' queries for their plan row and for other holders of their weights.

use std::collections::HashSet;

use indexmap::IndexMap;
use oatpier_duty::placement::{HolderContact, PlacementQuery, PlacementView, WeightsHolders};
use oatpier_membership::members::{MemberTable, MemberView};
use oatpier_membership::rendezvous;
use oatpier_membership::summary::SummaryKey;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::{EndpointName, PoolName};
use smallvec::SmallVec;

use super::driver::{DriverState, MemberDriver};
use crate::planner::PlanCache;

/// Maximum number of holders returned per version of weights.
const MAX_HOLDERS: usize = 4;

/// Returns the placement data for one endpoint.
pub(super) fn view(
    driver: &MemberDriver,
    cache: &PlanCache,
    query: &PlacementQuery,
) -> PlacementView {
    let settled = driver.is_settled();
    let state = driver.lock();
    let table = state.member.table();
    let config = state.member.in_force();
    let unserved = match config {
        // Weights unknown to an entry that has just started may well be loaded. If agents
        // considered them lost, all of them would load the weights again.
        Some(held) if settled => unserved_weights(&state, &held.value, &query.pool),
        _ => Vec::new(),
    };
    let live = if unserved.is_empty() {
        Vec::new()
    } else {
        live_endpoints(table, &query.pool)
    };
    PlacementView {
        plan: cache.row(&query.endpoint),
        holders: holders(table, query),
        unserved,
        live,
    }
}

fn same_weights(left: &WeightsKey, right: &WeightsKey) -> bool {
    left.model == right.model && left.adapter == right.adapter
}

fn ready_of<'a>(view: &MemberView<'a>) -> impl Iterator<Item = &'a WeightsKey> {
    view.facts
        .status()
        .into_iter()
        .flat_map(|status| &status.ready)
}

fn holders(table: &MemberTable, query: &PlacementQuery) -> Vec<WeightsHolders> {
    let mut found: IndexMap<WeightsKey, Vec<HolderContact>> = IndexMap::new();
    for view in table.usable_agents() {
        let Some(status) = view.facts.status() else {
            continue;
        };
        if status.endpoint == query.endpoint {
            continue;
        }
        let is_queried =
            |ready: &&WeightsKey| query.weights.iter().any(|key| same_weights(key, ready));
        for ready in ready_of(&view).filter(is_queried) {
            found.entry(ready.clone()).or_default().push(HolderContact {
                endpoint: status.endpoint.clone(),
                address: view.facts.address,
            });
        }
    }
    found
        .into_iter()
        .map(|(weights, holders)| WeightsHolders {
            holders: choose_holders(&weights, holders),
            weights,
        })
        .collect()
}

/// Returns a few holders by rendezvous hashing. All agents get the same few, so that their requests
/// for the same weights reach the same holders.
fn choose_holders(
    weights: &WeightsKey,
    holders: Vec<HolderContact>,
) -> SmallVec<[HolderContact; 4]> {
    let adapter = weights
        .adapter
        .as_ref()
        .map_or("", |adapter| adapter.as_str());
    let key = format!("holder/{}/{adapter}", weights.model);
    let weight = |holder: &HolderContact| rendezvous::weight(&key, holder.endpoint.as_str());
    let mut ranked: Vec<(u64, HolderContact)> = holders
        .into_iter()
        .map(|holder| (weight(&holder), holder))
        .collect();
    ranked.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    let named = ranked.into_iter().take(MAX_HOLDERS);
    named.map(|(_, holder)| holder).collect()
}

/// Returns the configured weights of the pool without a ready version on any endpoint.
fn unserved_weights(state: &DriverState, config: &FleetConfig, pool: &PoolName) -> Vec<WeightsKey> {
    let is_of_pool = |model| {
        config
            .models
            .get(model)
            .is_some_and(|spec| spec.pool == *pool)
    };
    let models = config.models.keys().filter(|model| is_of_pool(*model));
    let models = models.filter_map(|model| config.model_weights(model));
    let adapters = config
        .adapters
        .iter()
        .filter(|(_, spec)| is_of_pool(&spec.model));
    let adapters = adapters.filter_map(|(name, _)| config.adapter_weights(name));
    let table = state.member.table();
    let mut ready = HashSet::new();
    for view in table.usable_agents() {
        ready.extend(ready_of(&view).map(|key| (&key.model, &key.adapter)));
    }
    models
        .chain(adapters)
        .filter(|weights| !ready.contains(&(&weights.model, &weights.adapter)))
        .filter(|weights| !is_in_another_zone(state, weights))
        .collect()
}

fn is_in_another_zone(state: &DriverState, weights: &WeightsKey) -> bool {
    let key = summary_key(weights);
    state
        .member
        .zone_summaries()
        .zones_with(&key)
        .next()
        .is_some()
}

fn summary_key(weights: &WeightsKey) -> SummaryKey {
    SummaryKey {
        model: weights.model.clone(),
        adapter: weights.adapter.clone(),
    }
}

fn live_endpoints(table: &MemberTable, pool: &PoolName) -> Vec<EndpointName> {
    let statuses = table.usable_agents().filter_map(|view| view.facts.status());
    let of_pool = statuses.filter(|status| status.pool == *pool);
    let mut live: Vec<EndpointName> = of_pool.map(|status| status.endpoint.clone()).collect();
    live.sort();
    live
}
