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

use super::board::FleetBoard;
use super::seek::SlotWish;
use super::versions::{finish_plan, help_versions};
use super::{FleetPlanner, PlanNote, PlanOutcome, PlannerInput, PlannerSettings};

/// Maximum number of loads that one step adds beyond reachability. Bounds the run time of a step.
const MOST_LOADS: u32 = 64;

/// The production planner. See the [module documentation](self).
#[derive(Debug, Clone)]
pub struct PlacementPlanner {
    settings: PlannerSettings,
    added: IndexMap<(EndpointName, WeightsKey), ClockTime>,
    pub(super) emptying: Vec<EndpointName>,
    pub(super) emptied_at: ClockTime,
    /// Endpoints that were not alive in the last step.
    away: HashSet<EndpointName>,
    load_tokens: f64,
    stepped_at: Option<ClockTime>,
}

impl PlacementPlanner {
    /// Creates a planner without state from earlier steps.
    #[must_use]
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            added: IndexMap::new(),
            emptying: Vec::new(),
            emptied_at: ClockTime::ZERO,
            away: HashSet::new(),
            load_tokens: 0.0,
            stepped_at: None,
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
    fn keep_moved(&mut self, board: &mut FleetBoard, input: &PlannerInput<'_>) {
        let back = |slot: usize| {
            board.slots[slot].alive && self.away.contains(&input.endpoints[slot].endpoint)
        };
        let returned: Vec<usize> = (0..board.slots.len()).filter(|slot| back(*slot)).collect();
        for slot in returned {
            for item in board.slots[slot].items.clone() {
                let empty = !board.is_held(item, &input.endpoints[slot]);
                if empty && board.slots[slot].items.contains(&item) && board.is_spare(item, slot) {
                    board.remove(item, slot);
                }
            }
        }
        let away = input.endpoints.iter().filter(|view| !view.alive);
        self.away = away.map(|view| view.endpoint.clone()).collect();
    }

    /// Returns how many loads this step may add beyond those that reachability needs.
    fn allowance(&mut self, store: WeightStoreSpec, open: u32, now: ClockTime) -> u32 {
        let at_once = store.full_speed_loads.max(1) * self.settings.open_loads.max(1);
        let rate = if store.loads_per_second > 0.0 {
            store.loads_per_second
        } else {
            1.0
        };
        let since = self
            .stepped_at
            .map_or(Duration::from_secs(1), |last| now.since(last));
        self.stepped_at = Some(now);
        let filled = self.load_tokens + rate * since.as_secs_f64();
        self.load_tokens = filled.min(f64::from(at_once));
        whole(self.load_tokens)
            .min(at_once.saturating_sub(open))
            .min(MOST_LOADS)
    }
}

impl FleetPlanner for PlacementPlanner {
    fn name(&self) -> &'static str {
        "oatpier"
    }

    fn plan(&mut self, input: &PlannerInput<'_>, now: ClockTime) -> PlanOutcome {
        let mut board = FleetBoard::new(input, &self.settings);
        board.start_from(input);
        self.keep_moved(&mut board, input);
        let open = open_loads(&board);
        let allowance = self.allowance(input.config.weight_store, open, now);
        let dwell = self.settings.dwell;
        self.added.retain(|_, added| now.since(*added) < dwell);
        let mut step = PlanStep {
            planner: self,
            board,
            allowance,
            debt: 0,
            notes: Vec::new(),
            now,
        };
        step.place_unreachable();
        step.relieve();
        step.pair();
        step.empty_quiet();
        let PlanStep {
            mut board,
            mut notes,
            allowance: left,
            debt,
            ..
        } = step;
        self.load_tokens -= f64::from(allowance - left + debt);
        help_versions(&mut board, input, &mut notes);
        finish_plan(&board, input, notes)
    }
}

/// Returns the number of replicas that are planned on usable endpoints and not ready.
fn open_loads(board: &FleetBoard) -> u32 {
    let open: usize = board
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
    u32::try_from(open).unwrap_or(u32::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded by the loads at once"
)]
fn whole(tokens: f64) -> u32 {
    tokens.max(0.0) as u32
}

pub(super) struct PlanStep<'a> {
    pub(super) planner: &'a mut PlacementPlanner,
    pub(super) board: FleetBoard,
    pub(super) allowance: u32,
    /// Loads beyond the allowance that emptying an endpoint needs. Deducted from later allowances.
    pub(super) debt: u32,
    pub(super) notes: Vec<PlanNote>,
    pub(super) now: ClockTime,
}

impl PlanStep<'_> {
    pub(super) fn settings(&self) -> PlannerSettings {
        self.planner.settings
    }

    fn add(&mut self, item: usize, slot: usize) {
        self.board.place(item, slot);
        let weights = self.board.items[item].weights.clone();
        let endpoint = self.board.slots[slot].endpoint.clone();
        self.planner.added.insert((endpoint, weights), self.now);
    }

    /// Returns whether a replica was added less than the dwell time ago, and so has to stay.
    pub(super) fn dwells(&self, item: usize, slot: usize) -> bool {
        let key = (
            self.board.slots[slot].endpoint.clone(),
            self.board.items[item].weights.clone(),
        );
        self.planner.added.contains_key(&key)
    }

    /// Places weights without a usable replica: models before adapters, and the largest first, because
    /// small ones fit into the remaining memory.
    fn place_unreachable(&mut self) {
        let mut lost: Vec<usize> = (0..self.board.items.len())
            .filter(|item| self.board.usable_holders(*item).next().is_none())
            .collect();
        lost.sort_by(|left, right| {
            let adapters = self.board.items[*left].base.is_some();
            let order = adapters.cmp(&self.board.items[*right].base.is_some());
            order.then(self.board.by_size(*right, *left))
        });
        for item in lost {
            // Placing an adapter may have placed this base model too.
            if self.board.usable_holders(item).next().is_none() {
                self.place_one(item);
            }
        }
    }

    fn place_one(&mut self, item: usize) {
        let wish = SlotWish {
            limit: self.settings().high_load,
            over_limit: true,
            empty: true,
            new_zone: false,
            spare_mib: 0,
            except: None,
        };
        // Space for its adapters is required too. Otherwise each adapter would need another replica
        // of the base model elsewhere.
        let roomy = SlotWish {
            spare_mib: self.lost_adapters_mib(item),
            ..wish
        };
        let found = self.board.seek_slot(item, roomy);
        if let Some(slot) = found.or_else(|| self.board.seek_slot(item, wish)) {
            return self.add(item, slot);
        }
        let may_go = |_: &FleetBoard, _: usize, _: usize| true;
        if let Some(slot) = self.board.evict_for(item, f64::INFINITY, &may_go) {
            return self.add(item, slot);
        }
        self.board.move_aside_for(item, wish);
        self.note_unplaced(item);
    }

    fn lost_adapters_mib(&self, item: usize) -> u64 {
        let adapters = self.board.items[item].adapters.iter();
        adapters
            .filter(|adapter| self.board.usable_holders(**adapter).next().is_none())
            .map(|adapter| self.board.items[*adapter].size_mib)
            .sum()
    }

    fn note_unplaced(&mut self, item: usize) {
        let board = &self.board;
        let wanted = &board.items[item];
        let base = wanted.base.map_or(0, |base| board.items[base].size_mib);
        let largest = board.by_pool[wanted.pool]
            .iter()
            .map(|slot| &board.slots[*slot])
            .filter(|slot| slot.usable)
            .map(|slot| slot.memory_mib.saturating_sub(slot.used_mib))
            .max();
        self.notes.push(PlanNote::Unplaced {
            weights: wanted.weights.clone(),
            needed_mib: wanted.size_mib + base,
            largest_free_mib: largest.unwrap_or(0),
        });
    }

    fn relieve(&mut self) {
        let high = self.settings().high_load;
        let mut hot: Vec<usize> = (0..self.board.slots.len())
            .filter(|slot| self.board.slots[*slot].usable && self.board.slots[*slot].load > high)
            .collect();
        hot.sort_by(|left, right| {
            let (left_load, right_load) = (self.load(*left), self.load(*right));
            right_load.total_cmp(&left_load).then(left.cmp(right))
        });
        // An item without a suitable slot cannot get one later in the same step: loads only grow.
        let mut stuck = HashSet::new();
        for slot in hot {
            while !self.board.level(slot, high) && self.allowance > 0 {
                if !self.relieve_one(slot, &mut stuck) {
                    let endpoint = self.board.slots[slot].endpoint.clone();
                    self.notes.push(PlanNote::Overloaded(endpoint));
                    break;
                }
            }
        }
    }

    pub(super) fn load(&self, slot: usize) -> f64 {
        self.board.slots[slot].load
    }

    /// Adds a replica of the item that causes the most load on a slot, if its gain exceeds its cost.
    fn relieve_one(&mut self, slot: usize, stuck: &mut HashSet<usize>) -> bool {
        let settings = self.settings();
        let heaviest = self.board.slots[slot]
            .items
            .iter()
            .copied()
            .max_by(|left, right| {
                let shares = (
                    self.board.share_with(*left, 0),
                    self.board.share_with(*right, 0),
                );
                shares.0.total_cmp(&shares.1).then(right.cmp(left))
            });
        let Some(item) = heaviest else {
            return false;
        };
        let moved = self.board.share_with(item, 0) - self.board.share_with(item, 1);
        let excess = (self.load(slot) - settings.high_load).min(moved);
        if stuck.contains(&item) || !self.pays(excess, slot, 1.0) {
            return false;
        }
        // An item that needs more than one endpoint needs several replicas before any of them is
        // below the high load. Until then, each new one still reduces the load of the others.
        let limit = settings.high_load.max(self.board.share_with(item, 1) * 1.1);
        let wish = SlotWish {
            limit,
            over_limit: false,
            empty: false,
            new_zone: false,
            spare_mib: 0,
            except: None,
        };
        let Some(target) = self.relief_slot(item, wish) else {
            stuck.insert(item);
            return false;
        };
        self.allowance -= 1;
        self.add(item, target);
        true
    }

    /// Returns whether freeing a share of an endpoint's capacity over the horizon is worth the cost of
    /// the moves.
    pub(super) fn pays(&self, share: f64, slot: usize, moves: f64) -> bool {
        let settings = self.settings();
        let places = f64::from(self.board.slots[slot].slots);
        share * places * settings.horizon.as_secs_f64() > settings.move_cost * moves
    }

    /// Finds a slot for a relief replica: in free memory of endpoints in use, then in memory of
    /// replicas that are no longer needed, and only then on an empty endpoint.
    fn relief_slot(&mut self, item: usize, wish: SlotWish) -> Option<usize> {
        let used = self.board.seek_slot(item, wish);
        let used = used.or_else(|| self.make_room(item, wish.limit));
        let empty = SlotWish {
            empty: true,
            ..wish
        };
        used.or_else(|| self.board.seek_slot(item, empty))
    }

    /// Evicts redundant replicas whose load the other replicas can absorb.
    fn make_room(&mut self, item: usize, limit: f64) -> Option<usize> {
        let high = self.settings().high_load;
        let added = &self.planner.added;
        let may_go = |board: &FleetBoard, held: usize, slot: usize| {
            let key = (
                board.slots[slot].endpoint.clone(),
                board.items[held].weights.clone(),
            );
            let adapters = board.items[held].adapters.iter();
            let mut leaving = adapters
                .filter(|adapter| board.slots[slot].items.contains(adapter))
                .chain([&held]);
            !added.contains_key(&key)
                && leaving.all(|item| board.is_calm_without(*item, slot, high))
        };
        self.board.evict_for(item, limit, &may_go)
    }

    fn pair(&mut self) {
        let settings = self.settings();
        let mut single: Vec<usize> = (0..self.board.items.len())
            .filter(|item| self.board.items[*item].requests >= settings.fill_rate)
            .filter(|item| self.board.usable_holders(*item).count() == 1)
            .collect();
        single.sort_by(|left, right| {
            let loads = (self.board.items[*left].load, self.board.items[*right].load);
            loads.1.total_cmp(&loads.0).then(left.cmp(right))
        });
        let wish = SlotWish {
            limit: settings.high_load,
            over_limit: false,
            empty: false,
            new_zone: false,
            spare_mib: 0,
            except: None,
        };
        for item in single {
            if self.allowance == 0 {
                return;
            }
            let other_zone = SlotWish {
                new_zone: true,
                ..wish
            };
            let slot = self.board.seek_slot(item, other_zone);
            if let Some(slot) = slot.or_else(|| self.board.seek_slot(item, wish)) {
                self.allowance -= 1;
                self.add(item, slot);
            }
        }
    }
}
