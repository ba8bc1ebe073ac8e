//! Finds a slot for an additional replica, and evicts or relocates other weights to make room.

use std::cmp::Ordering;

use super::board::FleetBoard;

/// Quantization steps per unit of load. Loads within one step compare as equal.
const LOAD_STEPS: f64 = 20.0;
/// Number of availability zones beyond which additional zones are not preferred.
const ENOUGH_ZONES: usize = 3;
/// Maximum number of slots that are tried when weights have to be relocated.
const ASIDE_SLOTS: usize = 16;

/// Conditions on the slot of a new replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlotWish {
    /// Load above which a slot is used only if there is no other.
    pub(super) limit: f64,
    /// Whether a slot above the limit may be used at all.
    pub(super) over_limit: bool,
    /// Whether a slot without weights may be used.
    pub(super) empty: bool,
    /// Whether the availability zone must differ from those of the existing replicas.
    pub(super) new_zone: bool,
    /// Memory that must stay free beside the item, in MiB.
    pub(super) spare_mib: u64,
    /// A slot that must not be used.
    pub(super) except: Option<usize>,
}

/// Score of a slot; lower is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SlotScore {
    over: bool,
    /// Whether the base model is missing, the slot is empty, and the zone already has a replica, in
    /// this order. An additional accelerator lowers attainment per accelerator all the time; a
    /// missing zone matters only when a zone fails.
    faults: [bool; 3],
    load: u32,
    tie: usize,
}

impl FleetBoard {
    /// Returns the best slot for an additional replica.
    pub(super) fn seek_slot(&self, item: usize, wish: SlotWish) -> Option<usize> {
        let share = self.share_with(item, 1);
        let mut zones: Vec<usize> = self
            .usable_holders(item)
            .map(|holder| self.slots[holder].zone)
            .collect();
        if Self::is_spread(&zones) {
            zones.clear();
        }
        // The cheap conditions come first, because this runs for every slot of the pool.
        self.by_pool[self.items[item].pool]
            .iter()
            .copied()
            .filter(|slot| self.may_take(*slot, share, wish))
            .filter(|slot| self.fits(item, *slot) && self.has_spare(item, *slot, wish.spare_mib))
            .filter(|slot| !wish.new_zone || !zones.contains(&self.slots[*slot].zone))
            .map(|slot| (self.score(item, slot, share, &zones, wish), slot))
            .min()
            .map(|(_, slot)| slot)
    }

    fn may_take(&self, slot: usize, share: f64, wish: SlotWish) -> bool {
        let place = &self.slots[slot];
        let calm = wish.over_limit || place.load + share <= wish.limit;
        let used = wish.empty || !place.items.is_empty();
        place.usable && calm && used && Some(slot) != wish.except
    }

    /// Returns whether replicas cover enough availability zones that another zone does not justify
    /// using an empty endpoint.
    fn is_spread(zones: &[usize]) -> bool {
        let others = |index: usize| zones[..index].contains(&zones[index]);
        let distinct = (0..zones.len()).filter(|index| !others(*index)).count();
        distinct >= ENOUGH_ZONES
    }

    fn has_spare(&self, item: usize, slot: usize, spare_mib: u64) -> bool {
        let place = &self.slots[slot];
        place.used_mib + self.needed_mib(item, slot) + spare_mib <= place.memory_mib
    }

    /// Returns the slot that has the most free memory after the item is placed.
    pub(super) fn seek_even(&self, item: usize, wish: SlotWish) -> Option<usize> {
        self.by_pool[self.items[item].pool]
            .iter()
            .copied()
            .filter(|slot| self.slots[*slot].usable && Some(*slot) != wish.except)
            .filter(|slot| self.fits(item, *slot))
            .min_by_key(|slot| {
                let place = &self.slots[*slot];
                let rest = place.memory_mib - place.used_mib - self.needed_mib(item, *slot);
                (std::cmp::Reverse(rest), *slot)
            })
    }

    fn score(
        &self,
        item: usize,
        slot: usize,
        share: f64,
        zones: &[usize],
        wish: SlotWish,
    ) -> SlotScore {
        let place = &self.slots[slot];
        let load = place.load + share;
        let zone_taken = zones.contains(&place.zone);
        let base_missing = self.items[item]
            .base
            .is_some_and(|base| !place.items.contains(&base));
        SlotScore {
            over: load > wish.limit,
            faults: [base_missing, place.items.is_empty(), zone_taken],
            load: load_step(load),
            tie: (slot + item * 7_919) % self.slots.len(),
        }
    }

    /// Evicts redundant replicas from the slot that needs the fewest evictions, and returns the slot.
    ///
    /// `may_go` returns whether a replica may be evicted. `limit` is the maximum load of the slot
    /// including the item.
    pub(super) fn evict_for(
        &mut self,
        item: usize,
        limit: f64,
        may_go: &dyn Fn(&Self, usize, usize) -> bool,
    ) -> Option<usize> {
        let share = self.share_with(item, 1);
        let slots = self.by_pool[self.items[item].pool].clone();
        let (_, slot, victims) = slots
            .into_iter()
            .filter(|slot| self.slots[*slot].usable)
            .filter(|slot| !self.slots[*slot].items.contains(&item))
            .filter(|slot| self.slots[*slot].load + share <= limit)
            .filter_map(|slot| {
                let victims = self.victims(item, slot, may_go)?;
                let key = (victims.len(), load_step(self.slots[slot].load));
                Some((key, slot, victims))
            })
            .min_by(|left, right| (left.0, left.1).cmp(&(right.0, right.1)))?;
        for victim in victims {
            if self.slots[slot].items.contains(&victim) {
                self.remove(victim, slot);
            }
        }
        Some(slot)
    }

    /// Returns the redundant replicas whose eviction makes room for an item, largest first; `None` if
    /// they do not free enough memory.
    fn victims(
        &self,
        item: usize,
        slot: usize,
        may_go: &dyn Fn(&Self, usize, usize) -> bool,
    ) -> Option<Vec<usize>> {
        let place = &self.slots[slot];
        let needed = self.needed_mib(item, slot);
        let mut free = place.memory_mib.saturating_sub(place.used_mib);
        if free >= needed {
            return Some(Vec::new());
        }
        // Removing a base model also removes its adapters.
        let mut spare: Vec<usize> = place
            .items
            .iter()
            .copied()
            .filter(|held| Some(*held) != self.items[item].base)
            .filter(|held| self.is_spare(*held, slot) && may_go(self, *held, slot))
            .collect();
        spare.sort_by(|left, right| {
            let adapters = (
                self.has_adapter_at(*left, slot),
                self.has_adapter_at(*right, slot),
            );
            let order = adapters.0.cmp(&adapters.1);
            order.then(self.by_size(*right, *left))
        });
        let mut victims = Vec::new();
        for held in spare {
            free += self.items[held].size_mib;
            victims.push(held);
            if free >= needed {
                return Some(victims);
            }
        }
        None
    }

    /// Places a second replica of weights that occupy the memory an item needs. Returns whether it
    /// found any.
    ///
    /// Once the second replica is ready, the first one is redundant and can be evicted.
    pub(super) fn move_aside_for(&mut self, item: usize, wish: SlotWish) -> bool {
        let mut slots = self.by_pool[self.items[item].pool].clone();
        slots.retain(|slot| self.slots[*slot].usable);
        slots.sort_by_key(|slot| (self.slots[*slot].used_mib, *slot));
        for slot in slots.into_iter().take(ASIDE_SLOTS) {
            if let Some((held, target)) = self.aside_move(item, slot, wish) {
                self.place(held, target);
                return true;
            }
        }
        false
    }

    fn aside_move(&self, item: usize, slot: usize, wish: SlotWish) -> Option<(usize, usize)> {
        let place = &self.slots[slot];
        let free = place.memory_mib.saturating_sub(place.used_mib);
        let missing = self.needed_mib(item, slot).saturating_sub(free);
        let wish = SlotWish {
            except: Some(slot),
            ..wish
        };
        place
            .items
            .iter()
            .copied()
            .filter(|held| Some(*held) != self.items[item].base)
            .filter(|held| self.items[*held].size_mib >= missing)
            .filter(|held| !self.has_adapter_at(*held, slot))
            .filter(|held| self.usable_holders(*held).count() == 1)
            .find_map(|held| self.seek_slot(held, wish).map(|target| (held, target)))
    }

    pub(super) fn has_adapter_at(&self, item: usize, slot: usize) -> bool {
        self.items[item]
            .adapters
            .iter()
            .any(|adapter| self.slots[slot].items.contains(adapter))
    }

    pub(super) fn by_size(&self, left: usize, right: usize) -> Ordering {
        let size = self.items[left].size_mib.cmp(&self.items[right].size_mib);
        size.then(right.cmp(&left))
    }
}

/// Quantizes a load, so that nearly equal loads are ordered by the next criterion.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "loads are small and not negative"
)]
fn load_step(load: f64) -> u32 {
    (load.clamp(0.0, 1e6) * LOAD_STEPS) as u32
}
