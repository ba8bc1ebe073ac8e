//! The planner's working copy of the fleet, with weights and endpoints as indices.

use std::collections::HashMap;

use oatpier_types::config::{FleetConfig, ModelSpec};
use oatpier_types::engine::{WeightsKey, WeightsState};
use oatpier_types::names::{EndpointName, ModelName, PoolName, ZoneName};
use oatpier_types::plan::EndpointPlan;
use smallvec::SmallVec;

use super::pool_profile::{PoolProfile, compute_load, pool_profiles, rate_of};
use super::{EndpointView, PlannerInput, PlannerSettings};
use crate::demand::DemandRate;

/// Configured weights in their current version.
#[derive(Debug, Clone)]
pub(super) struct LayoutItem {
    pub(super) weights: WeightsKey,
    pub(super) pool: usize,
    pub(super) base: Option<usize>,
    pub(super) adapters: Vec<usize>,
    pub(super) size_mib: u64,
    /// Total load over all replicas, as a fraction of one endpoint's capacity.
    pub(super) load: f64,
    pub(super) requests: f64,
    pub(super) holders: SmallVec<[usize; 4]>,
}

/// An endpoint with the weights that the plan assigns to it.
#[derive(Debug, Clone)]
pub(super) struct LayoutSlot {
    pub(super) endpoint: EndpointName,
    pub(super) pool: usize,
    pub(super) zone: usize,
    pub(super) memory_mib: u64,
    pub(super) request_slots: u32,
    pub(super) used_mib: u64,
    pub(super) load: f64,
    pub(super) items: SmallVec<[usize; 8]>,
    /// Items that are ready on the endpoint, in any version.
    pub(super) ready: SmallVec<[usize; 8]>,
    pub(super) alive: bool,
    pub(super) usable: bool,
}

/// State of the fleet during a planning step.
#[derive(Debug, Clone)]
pub(super) struct FleetLayout {
    pub(super) items: Vec<LayoutItem>,
    pub(super) slots: Vec<LayoutSlot>,
    pub(super) by_pool: Vec<Vec<usize>>,
    /// Item index of each model, in the order of the configuration.
    models: Vec<Option<usize>>,
    /// Item index of each adapter, in the order of the configuration.
    adapters: Vec<Option<usize>>,
    zones: Vec<ZoneName>,
}

impl FleetLayout {
    /// Creates a layout where nothing is placed.
    pub(super) fn new(input: &PlannerInput<'_>, settings: &PlannerSettings) -> Self {
        let pools: HashMap<&PoolName, usize> = input
            .config
            .pools
            .keys()
            .enumerate()
            .map(|(index, name)| (name, index))
            .collect();
        let profiles = pool_profiles(input);
        let mut layout = Self {
            items: Vec::new(),
            slots: Vec::with_capacity(input.endpoints.len()),
            by_pool: vec![Vec::new(); pools.len()],
            models: Vec::new(),
            adapters: Vec::new(),
            zones: Vec::new(),
        };
        layout.add_models(input, &pools, &profiles, settings);
        layout.add_adapters(input, &profiles);
        for view in input.endpoints {
            layout.add_slot(input, view, &pools, &profiles);
        }
        layout
    }

    /// Places the weights of the current plan, or those that are held where there is no plan.
    pub(super) fn place_current(&mut self, input: &PlannerInput<'_>) {
        for (index, view) in input.endpoints.iter().enumerate() {
            if !self.slots[index].alive {
                continue;
            }
            let row = input
                .previous
                .and_then(|plan| find_row(&plan.endpoints, &view.endpoint, index));
            let mut wanted: SmallVec<[usize; 8]> = match row {
                Some(row) => self.find_items(input.config, row.weights.iter()),
                None => self.find_items(input.config, view.held.iter().map(|held| &held.weights)),
            };
            wanted.sort_by_key(|item| self.items[*item].base.is_some());
            for item in wanted {
                if self.fits(item, index) {
                    self.place(item, index);
                }
            }
        }
    }

    /// Returns the item of weights, whatever their version.
    pub(super) fn find_item(&self, config: &FleetConfig, weights: &WeightsKey) -> Option<usize> {
        match &weights.adapter {
            None => self.models[config.models.get_index_of(&weights.model)?],
            Some(adapter) => {
                let item = *self.adapters.get(config.adapters.get_index_of(adapter)?)?;
                item.filter(|item| self.items[*item].weights.model == weights.model)
            }
        }
    }

    /// Returns the memory needed to place an item on a slot, including its base model if the slot
    /// lacks it, in MiB.
    pub(super) fn needed_mib(&self, item: usize, slot: usize) -> u64 {
        let base = self.items[item]
            .base
            .filter(|base| !self.slots[slot].items.contains(base))
            .map_or(0, |base| self.items[base].size_mib);
        self.items[item].size_mib + base
    }

    /// Returns whether a slot has memory for an item that it does not hold yet.
    pub(super) fn fits(&self, item: usize, slot: usize) -> bool {
        let target = &self.slots[slot];
        target.used_mib + self.items[item].size_mib <= target.memory_mib
            && target.pool == self.items[item].pool
            && !target.items.contains(&item)
            && target.used_mib + self.needed_mib(item, slot) <= target.memory_mib
    }

    /// Places an item on a slot, with its base model.
    pub(super) fn place(&mut self, item: usize, slot: usize) {
        if let Some(base) = self.items[item].base
            && !self.slots[slot].items.contains(&base)
        {
            self.place(base, slot);
        }
        self.shift_load(item, -1.0);
        self.items[item].holders.push(slot);
        self.shift_load(item, 1.0);
        self.slots[slot].items.push(item);
        self.slots[slot].used_mib += self.items[item].size_mib;
    }

    /// Removes an item from a slot, with its adapters there.
    pub(super) fn remove(&mut self, item: usize, slot: usize) {
        for adapter in self.items[item].adapters.clone() {
            if self.slots[slot].items.contains(&adapter) {
                self.remove(adapter, slot);
            }
        }
        self.shift_load(item, -1.0);
        self.items[item].holders.retain(|holder| *holder != slot);
        self.shift_load(item, 1.0);
        self.slots[slot].items.retain(|held| *held != item);
        self.slots[slot].used_mib -= self.items[item].size_mib;
    }

    /// Returns the cost of moving an item relative to moving a model.
    ///
    /// The cost of a load is proportional to the size: an adapter costs its fraction of its base model.
    pub(super) fn relative_move_cost(&self, item: usize) -> f64 {
        let base = self.items[item].base.map(|base| self.items[base].size_mib);
        base.map_or(1.0, |base| {
            mib_to_f64(self.items[item].size_mib) / mib_to_f64(base.max(1))
        })
    }

    /// Returns whether an endpoint holds an item, in any version and state.
    pub(super) fn is_held(&self, item: usize, view: &EndpointView) -> bool {
        let wanted = &self.items[item].weights;
        view.held.iter().any(|held| {
            held.weights.model == wanted.model && held.weights.adapter == wanted.adapter
        })
    }

    /// Returns the holders of an item that accept new requests.
    pub(super) fn usable_holders(&self, item: usize) -> impl Iterator<Item = usize> + '_ {
        self.items[item]
            .holders
            .iter()
            .copied()
            .filter(|slot| self.slots[*slot].usable)
    }

    /// Returns whether an item and its adapters on a slot are also ready on other usable slots.
    pub(super) fn is_redundant(&self, item: usize, slot: usize) -> bool {
        let elsewhere = self
            .usable_holders(item)
            .any(|other| other != slot && self.slots[other].ready.contains(&item));
        elsewhere
            && self.items[item]
                .adapters
                .iter()
                .filter(|adapter| self.slots[slot].items.contains(adapter))
                .all(|adapter| self.is_redundant(*adapter, slot))
    }

    /// Shifts load from a slot to the other holders of its items, up to their `limit`. Returns whether
    /// the slot is then at or below `limit`.
    ///
    /// Requests go to the holder that is available first, so the load need not be even.
    pub(super) fn rebalance(&mut self, slot: usize, limit: f64) -> bool {
        for item in self.slots[slot].items.clone() {
            let mut movable = self.load_share(item, 0);
            let others: SmallVec<[usize; 8]> = self
                .usable_holders(item)
                .filter(|other| *other != slot)
                .collect();
            for other in others {
                let excess = self.slots[slot].load - limit;
                let slack = limit - self.slots[other].load;
                let amount = excess.min(slack).min(movable).max(0.0);
                movable -= amount;
                self.slots[slot].load -= amount;
                self.slots[other].load += amount;
            }
        }
        self.slots[slot].load <= limit + f64::EPSILON
    }

    /// Returns whether the other holders of an item can absorb a slot's load for it within `limit`.
    ///
    /// They need not absorb equal shares: requests go to the holder that is available first.
    pub(super) fn can_absorb_load(&self, item: usize, slot: usize, limit: f64) -> bool {
        let slack: f64 = self
            .usable_holders(item)
            .filter(|other| *other != slot)
            .map(|other| (limit - self.slots[other].load).max(0.0))
            .sum();
        self.load_share(item, 0).min(self.slots[slot].load) <= slack
    }

    /// Returns the load of an item on each of its holders if `more` replicas are added.
    pub(super) fn load_share(&self, item: usize, more: usize) -> f64 {
        let holders = self.usable_holders(item).count() + more;
        self.items[item].load / f64::from(u32::try_from(holders.max(1)).unwrap_or(u32::MAX))
    }

    fn shift_load(&mut self, item: usize, sign: f64) {
        let share = self.load_share(item, 0) * sign;
        for holder in self.items[item].holders.clone() {
            if self.slots[holder].usable {
                self.slots[holder].load += share;
            }
        }
    }

    fn find_items<'a>(
        &self,
        config: &FleetConfig,
        weights: impl Iterator<Item = &'a WeightsKey>,
    ) -> SmallVec<[usize; 8]> {
        let mut found = SmallVec::new();
        for item in weights.filter_map(|weights| self.find_item(config, weights)) {
            if !found.contains(&item) {
                found.push(item);
            }
        }
        found
    }

    fn add_models(
        &mut self,
        input: &PlannerInput<'_>,
        pools: &HashMap<&PoolName, usize>,
        profiles: &[PoolProfile],
        settings: &PlannerSettings,
    ) {
        for (name, spec) in &input.config.models {
            let Some(pool) = pools.get(&spec.pool).copied() else {
                self.models.push(None);
                continue;
            };
            self.models.push(Some(self.items.len()));
            let weights = model_weights(name, spec);
            let rate = rate_of(input, &weights);
            let load = compute_load(rate, profiles[pool]).max(settings.assumed_load);
            self.add_item(weights, pool, None, spec.memory_mib, load, rate);
        }
    }

    fn add_adapters(&mut self, input: &PlannerInput<'_>, profiles: &[PoolProfile]) {
        for (name, spec) in &input.config.adapters {
            let weights = WeightsKey {
                model: spec.model.clone(),
                adapter: Some(name.clone()),
                version: spec.version.clone(),
            };
            let base = input.config.models.get_index_of(&spec.model);
            let Some(base) = base.and_then(|base| self.models[base]) else {
                self.adapters.push(None);
                continue;
            };
            self.adapters.push(Some(self.items.len()));
            let pool = self.items[base].pool;
            let rate = rate_of(input, &weights);
            let load = compute_load(rate, profiles[pool]);
            self.add_item(weights, pool, Some(base), spec.memory_mib, load, rate);
        }
    }

    fn add_item(
        &mut self,
        weights: WeightsKey,
        pool: usize,
        base: Option<usize>,
        size_mib: u64,
        load: f64,
        rate: DemandRate,
    ) {
        let index = self.items.len();
        if let Some(base) = base {
            self.items[base].adapters.push(index);
        }
        self.items.push(LayoutItem {
            weights,
            pool,
            base,
            adapters: Vec::new(),
            size_mib,
            load,
            requests: rate.requests,
            holders: SmallVec::new(),
        });
    }

    fn zone_index(&mut self, zone: &ZoneName) -> usize {
        let known = self.zones.iter().position(|other| other == zone);
        known.unwrap_or_else(|| {
            self.zones.push(zone.clone());
            self.zones.len() - 1
        })
    }

    /// Adds the slot of a view. Slots keep the order of the views; a slot of an unknown pool is never
    /// usable.
    fn add_slot(
        &mut self,
        input: &PlannerInput<'_>,
        view: &EndpointView,
        pools: &HashMap<&PoolName, usize>,
        profiles: &[PoolProfile],
    ) {
        let index = self.slots.len();
        let zone = self.zone_index(&view.zone);
        let pool = pools.get(&view.pool).copied();
        if let Some(pool) = pool {
            self.by_pool[pool].push(index);
        }
        let profile = pool.map(|pool| profiles[pool]);
        let ready = view
            .held
            .iter()
            .filter(|held| held.state == WeightsState::Ready)
            .map(|held| &held.weights);
        let ready = self.find_items(input.config, ready);
        self.slots.push(LayoutSlot {
            endpoint: view.endpoint.clone(),
            pool: pool.unwrap_or(usize::MAX),
            zone,
            memory_mib: profile.map_or(0, |profile| profile.memory_mib),
            request_slots: profile.map_or(1, |profile| profile.request_slots),
            used_mib: 0,
            load: 0.0,
            items: SmallVec::new(),
            ready,
            alive: view.alive && pool.is_some(),
            usable: view.alive && !view.leaving && pool.is_some(),
        });
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sizes in MiB are far below 2^52"
)]
fn mib_to_f64(mib: u64) -> f64 {
    mib as f64
}

/// Returns the row of an endpoint in a sorted plan. `view_index` is the index of the endpoint's
/// view, which is usually also the index of its row.
pub(super) fn find_row<'a>(
    rows: &'a [EndpointPlan],
    endpoint: &EndpointName,
    view_index: usize,
) -> Option<&'a EndpointPlan> {
    if let Some(row) = rows.get(view_index).filter(|row| row.endpoint == *endpoint) {
        return Some(row);
    }
    rows.binary_search_by(|row| row.endpoint.cmp(endpoint))
        .ok()
        .map(|index| &rows[index])
}

fn model_weights(name: &ModelName, spec: &ModelSpec) -> WeightsKey {
    WeightsKey {
        model: name.clone(),
        adapter: None,
        version: spec.version.clone(),
    }
}
