//! Empties endpoints with low load, so that fewer accelerators are used.
//!
//! A few endpoints are emptied at a time. Weights that only one of them holds are first loaded on
//! other endpoints in use; weights that are ready elsewhere are then removed from its row. No
//! endpoint is emptied in a pool that lacks memory or is overloaded.

use std::collections::HashSet;

use super::placement::PlanStep;
use super::seek::SlotWish;

/// Number of endpoints in use for each endpoint that is emptied in one round.
const EMPTY_PART: usize = 16;
/// Maximum number of endpoints that are emptied in one round.
const EMPTY_AT_ONCE: usize = 32;
/// Number of candidates that are tried for each endpoint to be emptied.
const EMPTY_TRIES: usize = 16;
/// Maximum number of slot searches in one round. Bounds the run time of a step.
const EMPTY_SEEKS: usize = 128;
/// Gain of emptying an endpoint, as a fraction of its capacity.
const EMPTY_WORTH: f64 = 0.25;

impl PlanStep<'_> {
    pub(super) fn empty_quiet(&mut self) {
        let mut emptying = std::mem::take(&mut self.planner.emptying);
        emptying.retain(|endpoint| {
            let slots = &self.board.slots;
            let slot = slots.iter().position(|slot| slot.endpoint == *endpoint);
            slot.is_some_and(|slot| self.go_on_emptying(slot))
        });
        self.planner.emptying = emptying;
        let waited = self.now.since(self.planner.emptied_at) >= self.settings().empty_every;
        if waited && self.planner.emptying.is_empty() {
            self.choose_quiet();
        }
    }

    /// Removes weights that are ready elsewhere from an endpoint that is being emptied. Returns
    /// whether to continue in the next step.
    fn go_on_emptying(&mut self, slot: usize) -> bool {
        let place = &self.board.slots[slot];
        if !place.usable || place.load > self.settings().high_load {
            return false;
        }
        let mut items = place.items.clone();
        items.sort_by_key(|item| self.board.items[*item].base.is_none());
        for item in items {
            if self.may_leave(item, slot) {
                self.board.remove(item, slot);
            }
        }
        let left = self.board.slots[slot].items.clone();
        let coming = left
            .iter()
            .all(|item| self.board.usable_holders(*item).any(|other| other != slot));
        // If demand for the remaining weights has increased in the meantime, they cannot leave. After
        // the timeout another endpoint is tried.
        let patient = self.now.since(self.planner.emptied_at) < self.settings().empty_every * 4;
        !left.is_empty() && coming && patient
    }

    fn may_leave(&self, item: usize, slot: usize) -> bool {
        let enough = self.board.usable_holders(item).count() > self.least_holders(item);
        enough && self.board.is_spare(item, slot) && self.leaves_calm(item, slot)
    }

    /// Returns how many replicas of an item have to stay: a model in use keeps two.
    fn least_holders(&self, item: usize) -> usize {
        let paired = self.board.items[item].requests >= self.settings().pair_rate;
        if paired { 2 } else { 1 }
    }

    fn leaves_calm(&self, item: usize, slot: usize) -> bool {
        // Midway between the low and the high load, so that noise in the demand does not refill an
        // endpoint that was just emptied.
        let settings = self.settings();
        let limit = f64::midpoint(settings.low_load, settings.high_load);
        self.board.is_calm_without(item, slot, limit)
    }

    fn choose_quiet(&mut self) {
        let low = self.settings().low_load;
        let strained = self.strained_pools();
        let used: Vec<usize> = (0..self.board.slots.len())
            .filter(|slot| self.board.slots[*slot].usable)
            .filter(|slot| !self.board.slots[*slot].items.is_empty())
            .collect();
        let wanted = (used.len() / EMPTY_PART).clamp(1, EMPTY_AT_ONCE);
        let mut quiet: Vec<usize> = used
            .into_iter()
            .filter(|slot| self.load(*slot) < low && self.is_settled(*slot))
            .filter(|slot| !strained.contains(&self.board.slots[*slot].pool))
            .collect();
        quiet.sort_by_cached_key(|slot| {
            let held = self.board.slots[*slot].items.len();
            (self.singles(*slot).len(), held, *slot)
        });
        let mut sought = 0;
        for slot in quiet.into_iter().take(wanted * EMPTY_TRIES) {
            sought += self.singles(slot).len();
            if sought > EMPTY_SEEKS || self.planner.emptying.len() >= wanted {
                return;
            }
            if self.start_emptying(slot) {
                let endpoint = self.board.slots[slot].endpoint.clone();
                self.planner.emptying.push(endpoint);
                self.planner.emptied_at = self.now;
            }
        }
    }

    /// Returns the pools where weights have no replica, or where an endpoint is overloaded and none
    /// is empty.
    fn strained_pools(&self) -> HashSet<usize> {
        let board = &self.board;
        let high = self.settings().high_load;
        let lost = (0..board.items.len())
            .filter(|item| board.usable_holders(*item).next().is_none())
            .map(|item| board.items[item].pool);
        let full = board.by_pool.iter().enumerate().filter(|(_, slots)| {
            let usable = || {
                slots
                    .iter()
                    .map(|slot| &board.slots[*slot])
                    .filter(|slot| slot.usable)
            };
            let empty = usable().any(|slot| slot.items.is_empty());
            !empty && usable().any(|slot| slot.load > high)
        });
        lost.chain(full.map(|(pool, _)| pool)).collect()
    }

    /// Returns whether all weights of a slot are ready there and have passed the dwell time.
    fn is_settled(&self, slot: usize) -> bool {
        let place = &self.board.slots[slot];
        place
            .items
            .iter()
            .all(|item| place.ready.contains(item) && !self.dwells(*item, slot))
    }

    /// Returns the items of a slot that need another replica before the slot can be emptied.
    fn singles(&self, slot: usize) -> Vec<usize> {
        self.board.slots[slot]
            .items
            .iter()
            .copied()
            .filter(|item| self.board.usable_holders(*item).count() <= self.least_holders(*item))
            .collect()
    }

    /// Places a replica of each item that only this slot holds on other slots in use. If one of them
    /// fits nowhere, none is placed.
    fn start_emptying(&mut self, slot: usize) -> bool {
        let singles = self.singles(slot);
        let loads = u32::try_from(singles.len()).unwrap_or(u32::MAX);
        let held = &self.board.slots[slot].items;
        let moves = held.iter().chain(&singles);
        let moves = moves.map(|item| self.board.move_part(*item)).sum();
        if self.allowance == 0 || !self.pays(EMPTY_WORTH, slot, moves) {
            return false;
        }
        let held = self.board.slots[slot].items.clone();
        let mut spare = held.iter().filter(|item| !singles.contains(item));
        if !spare.all(|item| self.leaves_calm(*item, slot)) {
            return false;
        }
        let wish = SlotWish {
            limit: self.settings().low_load,
            over_limit: false,
            empty: false,
            new_zone: false,
            spare_mib: 0,
            except: Some(slot),
        };
        let mut placed = Vec::new();
        for item in singles {
            let Some(target) = self.board.seek_slot(item, wish) else {
                self.take_back(placed);
                return false;
            };
            let base = self.board.items[item].base;
            let missing = base.filter(|base| !self.board.slots[target].items.contains(base));
            placed.extend(missing.map(|base| (base, target)));
            placed.push((item, target));
            self.board.place(item, target);
        }
        let within = loads.min(self.allowance);
        self.allowance -= within;
        self.debt += loads - within;
        true
    }

    fn take_back(&mut self, placed: Vec<(usize, usize)>) {
        for (item, slot) in placed.into_iter().rev() {
            self.board.remove(item, slot);
        }
    }
}
