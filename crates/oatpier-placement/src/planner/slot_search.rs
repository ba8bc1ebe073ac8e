//! Finds a slot for an additional replica, and evicts or relocates other weights to make room.

use std::cmp::Ordering;

use super::layout::FleetLayout;

/// Quantization steps per unit of load. Loads within one step compare as equal.
const LOAD_STEPS: f64 = 20.0;
/// Number of availability zones beyond which additional zones are not preferred.
const TARGET_ZONES: usize = 3;
/// Maximum number of slots that are tried when weights have to be relocated.
const MAX_RELOCATION_SLOTS: usize = 16;

/// Conditions on the slot of a new replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlotCriteria {
    /// Load above which a slot is used only if there is no other.
    pub(super) limit: f64,
    /// Whether a slot above the limit may be used at all.
    pub(super) allows_over_limit: bool,
    /// Whether a slot without weights may be used.
    pub(super) allows_empty: bool,
    /// Whether the availability zone must differ from those of the existing replicas.
    pub(super) requires_new_zone: bool,
    /// Memory that must stay free beside the item, in MiB.
    pub(super) reserved_mib: u64,
    /// A slot that must not be used.
    pub(super) excluded_slot: Option<usize>,
}

/// Score of a slot; lower is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SlotScore {
    is_over_limit: bool,
    /// Whether the base model is missing, the slot is empty, and the zone already has a replica, in
    /// this order. An additional accelerator lowers attainment per accelerator all the time; a
    /// missing zone matters only when a zone fails.
    penalties: [bool; 3],
    load: u32,
    tie_breaker: usize,
}

impl FleetLayout {
    /// Returns the best slot for an additional replica.
    pub(super) fn find_slot(&self, item: usize, criteria: SlotCriteria) -> Option<usize> {
        let share = self.load_share(item, 1);
        let mut zones: Vec<usize> = self
            .usable_holders(item)
            .map(|holder| self.slots[holder].zone)
            .collect();
        if Self::covers_target_zones(&zones) {
            zones.clear();
        }
        // The cheap conditions come first, because this runs for every slot of the pool.
        self.by_pool[self.items[item].pool]
            .iter()
            .copied()
            .filter(|slot| self.is_candidate(*slot, share, criteria))
            .filter(|slot| {
                self.fits(item, *slot) && self.has_reserve(item, *slot, criteria.reserved_mib)
            })
            .filter(|slot| !criteria.requires_new_zone || !zones.contains(&self.slots[*slot].zone))
            .map(|slot| (self.score(item, slot, share, &zones, criteria), slot))
            .min()
            .map(|(_, slot)| slot)
    }

    fn is_candidate(&self, slot: usize, share: f64, criteria: SlotCriteria) -> bool {
        let candidate = &self.slots[slot];
        let is_load_allowed =
            criteria.allows_over_limit || candidate.load + share <= criteria.limit;
        let is_emptiness_allowed = criteria.allows_empty || !candidate.items.is_empty();
        candidate.usable
            && is_load_allowed
            && is_emptiness_allowed
            && Some(slot) != criteria.excluded_slot
    }

    /// Returns whether replicas cover enough availability zones that another zone does not justify
    /// using an empty endpoint.
    fn covers_target_zones(zones: &[usize]) -> bool {
        let is_repeated = |index: usize| zones[..index].contains(&zones[index]);
        let distinct = (0..zones.len())
            .filter(|index| !is_repeated(*index))
            .count();
        distinct >= TARGET_ZONES
    }

    fn has_reserve(&self, item: usize, slot: usize, reserved_mib: u64) -> bool {
        let candidate = &self.slots[slot];
        candidate.used_mib + self.needed_mib(item, slot) + reserved_mib <= candidate.memory_mib
    }

    /// Returns the slot that has the most free memory after the item is placed.
    pub(super) fn find_emptiest_slot(&self, item: usize, criteria: SlotCriteria) -> Option<usize> {
        self.by_pool[self.items[item].pool]
            .iter()
            .copied()
            .filter(|slot| self.slots[*slot].usable && Some(*slot) != criteria.excluded_slot)
            .filter(|slot| self.fits(item, *slot))
            .min_by_key(|slot| {
                let candidate = &self.slots[*slot];
                let rest = candidate.memory_mib - candidate.used_mib - self.needed_mib(item, *slot);
                (std::cmp::Reverse(rest), *slot)
            })
    }

    fn score(
        &self,
        item: usize,
        slot: usize,
        share: f64,
        zones: &[usize],
        criteria: SlotCriteria,
    ) -> SlotScore {
        let candidate = &self.slots[slot];
        let load = candidate.load + share;
        let is_zone_used = zones.contains(&candidate.zone);
        let is_base_missing = self.items[item]
            .base
            .is_some_and(|base| !candidate.items.contains(&base));
        SlotScore {
            is_over_limit: load > criteria.limit,
            penalties: [is_base_missing, candidate.items.is_empty(), is_zone_used],
            load: load_step(load),
            tie_breaker: (slot + item * 7_919) % self.slots.len(),
        }
    }

    /// Evicts redundant replicas from the slot that needs the fewest evictions, and returns the slot.
    ///
    /// `may_evict` returns whether a replica may be evicted. `limit` is the maximum load of the slot
    /// including the item.
    pub(super) fn evict_for(
        &mut self,
        item: usize,
        limit: f64,
        may_evict: &dyn Fn(&Self, usize, usize) -> bool,
    ) -> Option<usize> {
        let share = self.load_share(item, 1);
        let slots = self.by_pool[self.items[item].pool].clone();
        let (_, slot, victims) = slots
            .into_iter()
            .filter(|slot| self.slots[*slot].usable)
            .filter(|slot| !self.slots[*slot].items.contains(&item))
            .filter(|slot| self.slots[*slot].load + share <= limit)
            .filter_map(|slot| {
                let victims = self.find_victims(item, slot, may_evict)?;
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
    fn find_victims(
        &self,
        item: usize,
        slot: usize,
        may_evict: &dyn Fn(&Self, usize, usize) -> bool,
    ) -> Option<Vec<usize>> {
        let candidate = &self.slots[slot];
        let needed = self.needed_mib(item, slot);
        let mut free = candidate.memory_mib.saturating_sub(candidate.used_mib);
        if free >= needed {
            return Some(Vec::new());
        }
        // Removing a base model also removes its adapters.
        let mut redundant: Vec<usize> = candidate
            .items
            .iter()
            .copied()
            .filter(|held| Some(*held) != self.items[item].base)
            .filter(|held| self.is_redundant(*held, slot) && may_evict(self, *held, slot))
            .collect();
        redundant.sort_by(|left, right| {
            let adapters = (
                self.has_adapter_at(*left, slot),
                self.has_adapter_at(*right, slot),
            );
            let order = adapters.0.cmp(&adapters.1);
            order.then(self.by_size(*right, *left))
        });
        let mut victims = Vec::new();
        for held in redundant {
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
    pub(super) fn relocate_for(&mut self, item: usize, criteria: SlotCriteria) -> bool {
        let mut slots = self.by_pool[self.items[item].pool].clone();
        slots.retain(|slot| self.slots[*slot].usable);
        slots.sort_by_key(|slot| (self.slots[*slot].used_mib, *slot));
        for slot in slots.into_iter().take(MAX_RELOCATION_SLOTS) {
            if let Some((held, target)) = self.find_relocation(item, slot, criteria) {
                self.place(held, target);
                return true;
            }
        }
        false
    }

    fn find_relocation(
        &self,
        item: usize,
        slot: usize,
        criteria: SlotCriteria,
    ) -> Option<(usize, usize)> {
        let candidate = &self.slots[slot];
        let free = candidate.memory_mib.saturating_sub(candidate.used_mib);
        let missing = self.needed_mib(item, slot).saturating_sub(free);
        let criteria = SlotCriteria {
            excluded_slot: Some(slot),
            ..criteria
        };
        candidate
            .items
            .iter()
            .copied()
            .filter(|held| Some(*held) != self.items[item].base)
            .filter(|held| self.items[*held].size_mib >= missing)
            .filter(|held| !self.has_adapter_at(*held, slot))
            .filter(|held| self.usable_holders(*held).count() == 1)
            .find_map(|held| self.find_slot(held, criteria).map(|target| (held, target)))
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
