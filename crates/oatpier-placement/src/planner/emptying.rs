//! Empties endpoints with low load, so that fewer accelerators are used.
//!
//! A few endpoints are emptied at a time. Weights that only one of them holds are first loaded on
//! other endpoints in use; weights that are ready elsewhere are then removed from its row. No
//! endpoint is emptied in a pool that lacks memory or is overloaded.

use std::collections::HashSet;

use super::placement::PlanStep;
use super::slot_search::SlotCriteria;

/// Number of endpoints in use for each endpoint that is emptied in one round.
const USED_PER_EMPTIED: usize = 16;
/// Maximum number of endpoints that are emptied in one round.
const MAX_EMPTIED_PER_ROUND: usize = 32;
/// Number of candidates that are tried for each endpoint to be emptied.
const CANDIDATES_PER_EMPTIED: usize = 16;
/// Maximum number of slot searches in one round. Bounds the run time of a step.
const MAX_SEARCHES_PER_ROUND: usize = 128;
/// Gain of emptying an endpoint, as a fraction of its capacity.
const EMPTYING_GAIN: f64 = 0.25;

impl PlanStep<'_> {
    pub(super) fn empty_underloaded(&mut self) {
        let mut emptying = std::mem::take(&mut self.planner.emptying);
        emptying.retain(|endpoint| {
            let slots = &self.layout.slots;
            let slot = slots.iter().position(|slot| slot.endpoint == *endpoint);
            slot.is_some_and(|slot| self.continue_emptying(slot))
        });
        self.planner.emptying = emptying;
        let is_round_due =
            self.now.since(self.planner.emptied_at) >= self.settings().emptying_interval;
        if is_round_due && self.planner.emptying.is_empty() {
            self.start_round();
        }
    }

    /// Removes weights that are ready elsewhere from an endpoint that is being emptied. Returns
    /// whether to continue in the next step.
    fn continue_emptying(&mut self, slot: usize) -> bool {
        let source = &self.layout.slots[slot];
        if !source.usable || source.load > self.settings().high_load {
            return false;
        }
        let mut items = source.items.clone();
        items.sort_by_key(|item| self.layout.items[*item].base.is_none());
        for item in items {
            if self.can_remove(item, slot) {
                self.layout.remove(item, slot);
            }
        }
        let left = self.layout.slots[slot].items.clone();
        let is_covered = left
            .iter()
            .all(|item| self.layout.usable_holders(*item).any(|other| other != slot));
        // If demand for the remaining weights has increased in the meantime, they cannot leave. After
        // the timeout another endpoint is tried.
        let is_within_timeout =
            self.now.since(self.planner.emptied_at) < self.settings().emptying_interval * 4;
        !left.is_empty() && is_covered && is_within_timeout
    }

    fn can_remove(&self, item: usize, slot: usize) -> bool {
        let has_enough_holders = self.layout.usable_holders(item).count() > self.min_holders(item);
        has_enough_holders
            && self.layout.is_redundant(item, slot)
            && self.others_can_absorb(item, slot)
    }

    /// Returns how many replicas of an item have to stay: a model in use keeps two.
    fn min_holders(&self, item: usize) -> usize {
        let needs_two = self.layout.items[item].requests >= self.settings().keep_second_rate;
        if needs_two { 2 } else { 1 }
    }

    fn others_can_absorb(&self, item: usize, slot: usize) -> bool {
        // Midway between the low and the high load, so that noise in the demand does not refill an
        // endpoint that was just emptied.
        let settings = self.settings();
        let limit = f64::midpoint(settings.low_load, settings.high_load);
        self.layout.can_absorb_load(item, slot, limit)
    }

    fn start_round(&mut self) {
        let low = self.settings().low_load;
        let constrained = self.constrained_pools();
        let used: Vec<usize> = (0..self.layout.slots.len())
            .filter(|slot| self.layout.slots[*slot].usable)
            .filter(|slot| !self.layout.slots[*slot].items.is_empty())
            .collect();
        let wanted = (used.len() / USED_PER_EMPTIED).clamp(1, MAX_EMPTIED_PER_ROUND);
        let mut candidates: Vec<usize> = used
            .into_iter()
            .filter(|slot| self.load(*slot) < low && self.is_settled(*slot))
            .filter(|slot| !constrained.contains(&self.layout.slots[*slot].pool))
            .collect();
        candidates.sort_by_cached_key(|slot| {
            let held = self.layout.slots[*slot].items.len();
            (self.items_to_replicate(*slot).len(), held, *slot)
        });
        let mut searches = 0;
        for slot in candidates.into_iter().take(wanted * CANDIDATES_PER_EMPTIED) {
            searches += self.items_to_replicate(slot).len();
            if searches > MAX_SEARCHES_PER_ROUND || self.planner.emptying.len() >= wanted {
                return;
            }
            if self.start_emptying(slot) {
                let endpoint = self.layout.slots[slot].endpoint.clone();
                self.planner.emptying.push(endpoint);
                self.planner.emptied_at = self.now;
            }
        }
    }

    /// Returns the pools where weights have no replica, or where an endpoint is overloaded and none
    /// is empty.
    fn constrained_pools(&self) -> HashSet<usize> {
        let layout = &self.layout;
        let high = self.settings().high_load;
        let unplaced = (0..layout.items.len())
            .filter(|item| layout.usable_holders(*item).next().is_none())
            .map(|item| layout.items[item].pool);
        let full = layout.by_pool.iter().enumerate().filter(|(_, slots)| {
            let usable = || {
                slots
                    .iter()
                    .map(|slot| &layout.slots[*slot])
                    .filter(|slot| slot.usable)
            };
            let empty = usable().any(|slot| slot.items.is_empty());
            !empty && usable().any(|slot| slot.load > high)
        });
        unplaced.chain(full.map(|(pool, _)| pool)).collect()
    }

    /// Returns whether all weights of a slot are ready there and have passed the dwell time.
    fn is_settled(&self, slot: usize) -> bool {
        let source = &self.layout.slots[slot];
        source
            .items
            .iter()
            .all(|item| source.ready.contains(item) && !self.is_dwelling(*item, slot))
    }

    /// Returns the items of a slot that need another replica before the slot can be emptied.
    fn items_to_replicate(&self, slot: usize) -> Vec<usize> {
        self.layout.slots[slot]
            .items
            .iter()
            .copied()
            .filter(|item| self.layout.usable_holders(*item).count() <= self.min_holders(*item))
            .collect()
    }

    /// Places another replica of each item that needs one on other slots in use, and returns whether
    /// all were placed. If one of them fits nowhere, none is placed.
    fn start_emptying(&mut self, slot: usize) -> bool {
        let to_replicate = self.items_to_replicate(slot);
        let loads = u32::try_from(to_replicate.len()).unwrap_or(u32::MAX);
        let held = &self.layout.slots[slot].items;
        let moves = held.iter().chain(&to_replicate);
        let moves = moves
            .map(|item| self.layout.relative_move_cost(*item))
            .sum();
        if self.allowance == 0 || !self.is_worthwhile(EMPTYING_GAIN, slot, moves) {
            return false;
        }
        let held = self.layout.slots[slot].items.clone();
        let mut redundant = held.iter().filter(|item| !to_replicate.contains(item));
        if !redundant.all(|item| self.others_can_absorb(*item, slot)) {
            return false;
        }
        let criteria = SlotCriteria {
            limit: self.settings().low_load,
            allows_over_limit: false,
            allows_empty: false,
            requires_new_zone: false,
            reserved_mib: 0,
            excluded_slot: Some(slot),
        };
        let mut placed = Vec::new();
        for item in to_replicate {
            let Some(target) = self.layout.find_slot(item, criteria) else {
                self.undo_placements(placed);
                return false;
            };
            let base = self.layout.items[item].base;
            let missing = base.filter(|base| !self.layout.slots[target].items.contains(base));
            placed.extend(missing.map(|base| (base, target)));
            placed.push((item, target));
            self.layout.place(item, target);
        }
        let allowed = loads.min(self.allowance);
        self.allowance -= allowed;
        self.overdraft += loads - allowed;
        true
    }

    fn undo_placements(&mut self, placed: Vec<(usize, usize)>) {
        for (item, slot) in placed.into_iter().rev() {
            self.layout.remove(item, slot);
        }
    }
}
