//! The production planner: reachability first, then attainment per accelerator, with few moves.
//!
//! Each step starts from the current plan and changes as little as possible:
//!
//! 1. Weights without a live replica are placed; redundant replicas are evicted where needed.
//! 2. Endpoints above the high load get relief: another replica of the weights that load them
//!    most is added, if its gain over the horizon exceeds its cost.
//! 3. Models in use get a second replica where endpoints in use have free memory, preferably in
//!    another availability zone.
//! 4. Endpoints with low load are emptied, a few per round. Weights that only such an endpoint
//!    holds are loaded elsewhere first.
//!
//! A replica leaves the plan only while another is ready. An endpoint is emptied only if the
//! others can absorb its load and stay well below the high load: the gap between the low and the
//! high load keeps weights from moving back and forth.

use std::collections::HashSet;
use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::WeightStoreSpec;
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::EndpointName;

use super::layout::FleetLayout;
use super::slot_search::SlotCriteria;
use super::versions::{add_upgrade_replicas, finish_plan};
use super::{FleetPlanner, PlanNote, PlanOutcome, PlannerInput, PlannerSettings};

/// Maximum number of loads that one step adds beyond reachability. Bounds the run time of a step.
const MAX_LOADS_PER_STEP: u32 = 64;

/// The production planner: reachability first, then attainment per accelerator, with few changes to
/// the current plan.
#[derive(Debug, Clone)]
pub struct PlacementPlanner {
    settings: PlannerSettings,
    added_at: IndexMap<(EndpointName, WeightsKey), ClockTime>,
    pub(super) emptying: Vec<EndpointName>,
    pub(super) emptied_at: ClockTime,
    /// Endpoints that were not alive in the last step.
    offline: HashSet<EndpointName>,
    load_credit: f64,
    last_step_at: Option<ClockTime>,
}

impl PlacementPlanner {
    /// Creates a planner without state from earlier steps.
    #[must_use]
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            added_at: IndexMap::new(),
            emptying: Vec::new(),
            emptied_at: ClockTime::ZERO,
            offline: HashSet::new(),
            load_credit: 0.0,
            last_step_at: None,
        }
    }

    pub(super) fn settings(&self) -> &PlannerSettings {
        &self.settings
    }

    /// Removes weights that an endpoint lost in a crash and that are ready elsewhere.
    ///
    /// A crashed endpoint returns empty, and its weights were placed elsewhere in the meantime:
    /// loading them again would be an unnecessary move. An endpoint that was only unreachable still
    /// holds its weights, and its row stays.
    fn drop_lost_weights(&mut self, layout: &mut FleetLayout, input: &PlannerInput<'_>) {
        let has_returned = |slot: usize| {
            layout.slots[slot].alive && self.offline.contains(&input.endpoints[slot].endpoint)
        };
        let returned: Vec<usize> = (0..layout.slots.len())
            .filter(|slot| has_returned(*slot))
            .collect();
        for slot in returned {
            for item in layout.slots[slot].items.clone() {
                let is_lost = !layout.is_held(item, &input.endpoints[slot]);
                if is_lost
                    && layout.slots[slot].items.contains(&item)
                    && layout.is_redundant(item, slot)
                {
                    layout.remove(item, slot);
                }
            }
        }
        let offline = input.endpoints.iter().filter(|view| !view.alive);
        self.offline = offline.map(|view| view.endpoint.clone()).collect();
    }

    /// Returns how many loads this step may add beyond those that reachability needs.
    fn refill_allowance(&mut self, store: WeightStoreSpec, pending: u32, now: ClockTime) -> u32 {
        let max_pending = store.full_speed_loads.max(1) * self.settings.pending_load_factor.max(1);
        let rate = if store.loads_per_second > 0.0 {
            store.loads_per_second
        } else {
            1.0
        };
        let elapsed = self
            .last_step_at
            .map_or(Duration::from_secs(1), |last| now.since(last));
        self.last_step_at = Some(now);
        let credit = self.load_credit + rate * elapsed.as_secs_f64();
        self.load_credit = credit.min(f64::from(max_pending));
        floor_to_u32(self.load_credit)
            .min(max_pending.saturating_sub(pending))
            .min(MAX_LOADS_PER_STEP)
    }
}

impl FleetPlanner for PlacementPlanner {
    fn name(&self) -> &'static str {
        "oatpier"
    }

    fn plan(&mut self, input: &PlannerInput<'_>, now: ClockTime) -> PlanOutcome {
        let mut layout = FleetLayout::new(input, &self.settings);
        layout.place_current(input);
        self.drop_lost_weights(&mut layout, input);
        let pending = count_pending_loads(&layout);
        let allowance = self.refill_allowance(input.config.weight_store, pending, now);
        let dwell = self.settings.dwell;
        self.added_at.retain(|_, added| now.since(*added) < dwell);
        let mut step = PlanStep {
            planner: self,
            layout,
            allowance,
            overdraft: 0,
            notes: Vec::new(),
            now,
        };
        step.place_unreachable();
        step.relieve_overloaded();
        step.add_second_replicas();
        step.empty_underloaded();
        let PlanStep {
            mut layout,
            mut notes,
            allowance: left,
            overdraft,
            ..
        } = step;
        self.load_credit -= f64::from(allowance - left + overdraft);
        add_upgrade_replicas(&mut layout, input, &mut notes);
        finish_plan(&layout, input, notes)
    }
}

/// Returns the number of replicas that are planned on usable endpoints and not ready.
fn count_pending_loads(layout: &FleetLayout) -> u32 {
    let pending: usize = layout
        .slots
        .iter()
        .filter(|slot| slot.usable)
        .map(|slot| {
            slot.items
                .iter()
                .filter(|item| !slot.ready.contains(item))
                .count()
        })
        .sum();
    u32::try_from(pending).unwrap_or(u32::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded by the maximum number of pending loads"
)]
fn floor_to_u32(credit: f64) -> u32 {
    credit.max(0.0) as u32
}

pub(super) struct PlanStep<'a> {
    pub(super) planner: &'a mut PlacementPlanner,
    pub(super) layout: FleetLayout,
    pub(super) allowance: u32,
    /// Loads beyond the allowance that emptying an endpoint needs. Deducted from later allowances.
    pub(super) overdraft: u32,
    pub(super) notes: Vec<PlanNote>,
    pub(super) now: ClockTime,
}

impl PlanStep<'_> {
    pub(super) fn settings(&self) -> PlannerSettings {
        self.planner.settings
    }

    fn add(&mut self, item: usize, slot: usize) {
        self.layout.place(item, slot);
        let weights = self.layout.items[item].weights.clone();
        let endpoint = self.layout.slots[slot].endpoint.clone();
        self.planner.added_at.insert((endpoint, weights), self.now);
    }

    /// Returns whether a replica was added less than the dwell time ago, and so has to stay.
    pub(super) fn is_dwelling(&self, item: usize, slot: usize) -> bool {
        let key = (
            self.layout.slots[slot].endpoint.clone(),
            self.layout.items[item].weights.clone(),
        );
        self.planner.added_at.contains_key(&key)
    }

    /// Places weights without a usable replica: models before adapters, and the largest first, because
    /// small ones fit into the remaining memory.
    fn place_unreachable(&mut self) {
        let mut unreachable: Vec<usize> = (0..self.layout.items.len())
            .filter(|item| self.layout.usable_holders(*item).next().is_none())
            .collect();
        unreachable.sort_by(|left, right| {
            let adapters = self.layout.items[*left].base.is_some();
            let order = adapters.cmp(&self.layout.items[*right].base.is_some());
            order.then(self.layout.by_size(*right, *left))
        });
        for item in unreachable {
            // Placing an adapter may have placed this base model too.
            if self.layout.usable_holders(item).next().is_none() {
                self.place_item(item);
            }
        }
    }

    fn place_item(&mut self, item: usize) {
        let criteria = SlotCriteria {
            limit: self.settings().high_load,
            allows_over_limit: true,
            allows_empty: true,
            requires_new_zone: false,
            reserved_mib: 0,
            excluded_slot: None,
        };
        // Space for its adapters is required too. Otherwise each adapter would need another replica
        // of the base model elsewhere.
        let with_adapters = SlotCriteria {
            reserved_mib: self.unplaced_adapters_mib(item),
            ..criteria
        };
        let found = self.layout.find_slot(item, with_adapters);
        if let Some(slot) = found.or_else(|| self.layout.find_slot(item, criteria)) {
            return self.add(item, slot);
        }
        let may_evict = |_: &FleetLayout, _: usize, _: usize| true;
        if let Some(slot) = self.layout.evict_for(item, f64::INFINITY, &may_evict) {
            return self.add(item, slot);
        }
        self.layout.relocate_for(item, criteria);
        self.note_unplaced(item);
    }

    fn unplaced_adapters_mib(&self, item: usize) -> u64 {
        let adapters = self.layout.items[item].adapters.iter();
        adapters
            .filter(|adapter| self.layout.usable_holders(**adapter).next().is_none())
            .map(|adapter| self.layout.items[*adapter].size_mib)
            .sum()
    }

    fn note_unplaced(&mut self, item: usize) {
        let layout = &self.layout;
        let wanted = &layout.items[item];
        let base = wanted.base.map_or(0, |base| layout.items[base].size_mib);
        let largest = layout.by_pool[wanted.pool]
            .iter()
            .map(|slot| &layout.slots[*slot])
            .filter(|slot| slot.usable)
            .map(|slot| slot.memory_mib.saturating_sub(slot.used_mib))
            .max();
        self.notes.push(PlanNote::Unplaced {
            weights: wanted.weights.clone(),
            needed_mib: wanted.size_mib + base,
            largest_free_mib: largest.unwrap_or(0),
        });
    }

    fn relieve_overloaded(&mut self) {
        let high = self.settings().high_load;
        let mut overloaded: Vec<usize> = (0..self.layout.slots.len())
            .filter(|slot| self.layout.slots[*slot].usable && self.layout.slots[*slot].load > high)
            .collect();
        overloaded.sort_by(|left, right| {
            let (left_load, right_load) = (self.load(*left), self.load(*right));
            right_load.total_cmp(&left_load).then(left.cmp(right))
        });
        // An item without a suitable slot cannot get one later in the same step: loads only grow.
        let mut unplaceable = HashSet::new();
        for slot in overloaded {
            while !self.layout.rebalance(slot, high) && self.allowance > 0 {
                if !self.add_relief_replica(slot, &mut unplaceable) {
                    let endpoint = self.layout.slots[slot].endpoint.clone();
                    self.notes.push(PlanNote::Overloaded(endpoint));
                    break;
                }
            }
        }
    }

    pub(super) fn load(&self, slot: usize) -> f64 {
        self.layout.slots[slot].load
    }

    /// Adds a replica of the item that causes the most load on a slot, if its gain exceeds its cost.
    fn add_relief_replica(&mut self, slot: usize, unplaceable: &mut HashSet<usize>) -> bool {
        let settings = self.settings();
        let heaviest = self.layout.slots[slot]
            .items
            .iter()
            .copied()
            .max_by(|left, right| {
                let shares = (
                    self.layout.load_share(*left, 0),
                    self.layout.load_share(*right, 0),
                );
                shares.0.total_cmp(&shares.1).then(right.cmp(left))
            });
        let Some(item) = heaviest else {
            return false;
        };
        let moved = self.layout.load_share(item, 0) - self.layout.load_share(item, 1);
        let excess = (self.load(slot) - settings.high_load).min(moved);
        if unplaceable.contains(&item) || !self.is_worthwhile(excess, slot, 1.0) {
            return false;
        }
        // An item that needs more than one endpoint needs several replicas before any of them is
        // below the high load. Until then, each new one still reduces the load of the others.
        let limit = settings
            .high_load
            .max(self.layout.load_share(item, 1) * 1.1);
        let criteria = SlotCriteria {
            limit,
            allows_over_limit: false,
            allows_empty: false,
            requires_new_zone: false,
            reserved_mib: 0,
            excluded_slot: None,
        };
        let Some(target) = self.find_relief_slot(item, criteria) else {
            unplaceable.insert(item);
            return false;
        };
        self.allowance -= 1;
        self.add(item, target);
        true
    }

    /// Returns whether freeing a share of an endpoint's capacity over the horizon is worth the cost of
    /// the moves.
    pub(super) fn is_worthwhile(&self, share: f64, slot: usize, moves: f64) -> bool {
        let settings = self.settings();
        let request_slots = f64::from(self.layout.slots[slot].request_slots);
        share * request_slots * settings.horizon.as_secs_f64() > settings.move_cost * moves
    }

    /// Finds a slot for a relief replica: in free memory of endpoints in use, then in memory of
    /// replicas that are no longer needed, and only then on an empty endpoint.
    fn find_relief_slot(&mut self, item: usize, criteria: SlotCriteria) -> Option<usize> {
        let used = self.layout.find_slot(item, criteria);
        let used = used.or_else(|| self.evict_redundant(item, criteria.limit));
        let empty = SlotCriteria {
            allows_empty: true,
            ..criteria
        };
        used.or_else(|| self.layout.find_slot(item, empty))
    }

    /// Evicts redundant replicas whose load the other replicas can absorb.
    fn evict_redundant(&mut self, item: usize, limit: f64) -> Option<usize> {
        let high = self.settings().high_load;
        let added_at = &self.planner.added_at;
        let may_evict = |layout: &FleetLayout, held: usize, slot: usize| {
            let key = (
                layout.slots[slot].endpoint.clone(),
                layout.items[held].weights.clone(),
            );
            let adapters = layout.items[held].adapters.iter();
            let mut leaving = adapters
                .filter(|adapter| layout.slots[slot].items.contains(adapter))
                .chain([&held]);
            !added_at.contains_key(&key)
                && leaving.all(|item| layout.can_absorb_load(*item, slot, high))
        };
        self.layout.evict_for(item, limit, &may_evict)
    }

    fn add_second_replicas(&mut self) {
        let settings = self.settings();
        let mut single: Vec<usize> = (0..self.layout.items.len())
            .filter(|item| self.layout.items[*item].requests >= settings.add_second_rate)
            .filter(|item| self.layout.usable_holders(*item).count() == 1)
            .collect();
        single.sort_by(|left, right| {
            let loads = (
                self.layout.items[*left].load,
                self.layout.items[*right].load,
            );
            loads.1.total_cmp(&loads.0).then(left.cmp(right))
        });
        let criteria = SlotCriteria {
            limit: settings.high_load,
            allows_over_limit: false,
            allows_empty: false,
            requires_new_zone: false,
            reserved_mib: 0,
            excluded_slot: None,
        };
        for item in single {
            if self.allowance == 0 {
                return;
            }
            let other_zone = SlotCriteria {
                requires_new_zone: true,
                ..criteria
            };
            let slot = self.layout.find_slot(item, other_zone);
            if let Some(slot) = slot.or_else(|| self.layout.find_slot(item, criteria)) {
                self.allowance -= 1;
                self.add(item, slot);
            }
        }
    }
}
