//! Two baseline planners for comparison with the placement planner.

use oatpier_types::clock::ClockTime;

use super::board::FleetBoard;
use super::forecast::empty_views;
use super::seek::SlotWish;
use super::versions::finish_plan;
use super::{FleetPlanner, PlanOutcome, PlannerInput, PlannerSettings};

/// Planner that spreads all weights evenly over all endpoints once and never moves any.
///
/// Fills the remaining memory with further replicas. Ignores demand, the liveness of endpoints
/// and the weights that they hold.
#[derive(Debug, Clone, Default)]
pub struct StaticPlanner {
    settings: PlannerSettings,
}

impl StaticPlanner {
    /// Creates a static planner.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

impl FleetPlanner for StaticPlanner {
    fn name(&self) -> &'static str {
        "static"
    }

    fn plan(&mut self, input: &PlannerInput<'_>, _now: ClockTime) -> PlanOutcome {
        let views = empty_views(input.config);
        let demand = crate::demand::DemandSummary::default();
        let fixed = PlannerInput {
            demand: &demand,
            endpoints: &views,
            ..*input
        };
        let mut board = FleetBoard::new(&fixed, &self.settings);
        let rounds = board.slots.len();
        for _ in 0..rounds {
            if !spread_round(&mut board) {
                break;
            }
        }
        finish_plan(&board, &fixed, Vec::new())
    }
}

/// Adds one replica of each item that fits. Returns whether any was added.
fn spread_round(board: &mut FleetBoard) -> bool {
    let wish = SlotWish {
        limit: f64::INFINITY,
        over_limit: true,
        empty: true,
        new_zone: false,
        spare_mib: 0,
        except: None,
    };
    let mut order: Vec<usize> = (0..board.items.len()).collect();
    order.sort_by(|left, right| {
        let adapters = board.items[*left].base.is_some();
        let order = adapters.cmp(&board.items[*right].base.is_some());
        order.then(board.by_size(*right, *left))
    });
    let mut any = false;
    for item in order {
        if let Some(slot) = board.seek_even(item, wish) {
            board.place(item, slot);
            any = true;
        }
    }
    any
}

/// Planner that follows demand immediately, with exactly as many replicas as the current rates
/// require.
///
/// Has no hysteresis, no horizon and no limit on moves.
#[derive(Debug, Clone)]
pub struct GreedyPlanner {
    settings: PlannerSettings,
}

impl Default for GreedyPlanner {
    /// Sets its own high load, so that changes to the default settings do not change the baseline.
    fn default() -> Self {
        let settings = PlannerSettings {
            high_load: 0.6,
            ..PlannerSettings::default()
        };
        Self { settings }
    }
}

impl GreedyPlanner {
    /// Creates a greedy planner.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn wanted(&self, load: f64) -> usize {
        let mut replicas = 1;
        let mut carried = self.settings.high_load;
        while carried < load {
            replicas += 1;
            carried += self.settings.high_load;
        }
        replicas
    }
}

impl FleetPlanner for GreedyPlanner {
    fn name(&self) -> &'static str {
        "greedy"
    }

    fn plan(&mut self, input: &PlannerInput<'_>, _now: ClockTime) -> PlanOutcome {
        let mut board = FleetBoard::new(input, &self.settings);
        board.start_from(input);
        let mut order: Vec<usize> = (0..board.items.len()).collect();
        order.sort_by(|left, right| {
            let loads = (board.items[*left].load, board.items[*right].load);
            loads.1.total_cmp(&loads.0).then(left.cmp(right))
        });
        for item in &order {
            self.shrink(&mut board, *item);
        }
        for item in &order {
            self.grow(&mut board, *item);
        }
        finish_plan(&board, input, Vec::new())
    }
}

impl GreedyPlanner {
    fn shrink(&self, board: &mut FleetBoard, item: usize) {
        let wanted = self.wanted(board.items[item].load);
        let mut holders: Vec<usize> = board.usable_holders(item).collect();
        holders.sort_by(|left, right| {
            let loads = (board.slots[*left].load, board.slots[*right].load);
            loads.1.total_cmp(&loads.0).then(left.cmp(right))
        });
        for slot in holders {
            let more = board.usable_holders(item).count() > wanted;
            if more && !board.has_adapter_at(item, slot) && board.is_spare(item, slot) {
                board.remove(item, slot);
            }
        }
    }

    fn grow(&self, board: &mut FleetBoard, item: usize) {
        let wanted = self.wanted(board.items[item].load);
        let wish = SlotWish {
            limit: self.settings.high_load,
            over_limit: true,
            empty: true,
            new_zone: false,
            spare_mib: 0,
            except: None,
        };
        while board.usable_holders(item).count() < wanted {
            let slot = board.seek_slot(item, wish);
            let slot = slot.or_else(|| board.evict_for(item, f64::INFINITY, &|_, _, _| true));
            let Some(slot) = slot else {
                return;
            };
            board.place(item, slot);
        }
    }
}
