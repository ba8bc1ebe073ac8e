//! Two baseline planners for comparison with the placement planner.

use oatpier_types::clock::ClockTime;

use super::forecast::empty_views;
use super::layout::FleetLayout;
use super::slot_search::SlotCriteria;
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
        let static_input = PlannerInput {
            demand: &demand,
            endpoints: &views,
            ..*input
        };
        let mut layout = FleetLayout::new(&static_input, &self.settings);
        let rounds = layout.slots.len();
        for _ in 0..rounds {
            if !spread_round(&mut layout) {
                break;
            }
        }
        finish_plan(&layout, &static_input, Vec::new())
    }
}

/// Adds one replica of each item that fits. Returns whether any was added.
fn spread_round(layout: &mut FleetLayout) -> bool {
    let criteria = SlotCriteria {
        limit: f64::INFINITY,
        allows_over_limit: true,
        allows_empty: true,
        requires_new_zone: false,
        reserved_mib: 0,
        excluded_slot: None,
    };
    let mut order: Vec<usize> = (0..layout.items.len()).collect();
    order.sort_by(|left, right| {
        let adapters = layout.items[*left].base.is_some();
        let order = adapters.cmp(&layout.items[*right].base.is_some());
        order.then(layout.by_size(*right, *left))
    });
    let mut is_any_placed = false;
    for item in order {
        if let Some(slot) = layout.find_emptiest_slot(item, criteria) {
            layout.place(item, slot);
            is_any_placed = true;
        }
    }
    is_any_placed
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

    fn replicas_for_load(&self, load: f64) -> usize {
        let mut replicas = 1;
        let mut capacity = self.settings.high_load;
        while capacity < load {
            replicas += 1;
            capacity += self.settings.high_load;
        }
        replicas
    }
}

impl FleetPlanner for GreedyPlanner {
    fn name(&self) -> &'static str {
        "greedy"
    }

    fn plan(&mut self, input: &PlannerInput<'_>, _now: ClockTime) -> PlanOutcome {
        let mut layout = FleetLayout::new(input, &self.settings);
        layout.place_current(input);
        let mut order: Vec<usize> = (0..layout.items.len()).collect();
        order.sort_by(|left, right| {
            let loads = (layout.items[*left].load, layout.items[*right].load);
            loads.1.total_cmp(&loads.0).then(left.cmp(right))
        });
        for item in &order {
            self.remove_replicas(&mut layout, *item);
        }
        for item in &order {
            self.add_replicas(&mut layout, *item);
        }
        finish_plan(&layout, input, Vec::new())
    }
}

impl GreedyPlanner {
    fn remove_replicas(&self, layout: &mut FleetLayout, item: usize) {
        let wanted = self.replicas_for_load(layout.items[item].load);
        let mut holders: Vec<usize> = layout.usable_holders(item).collect();
        holders.sort_by(|left, right| {
            let loads = (layout.slots[*left].load, layout.slots[*right].load);
            loads.1.total_cmp(&loads.0).then(left.cmp(right))
        });
        for slot in holders {
            let has_excess = layout.usable_holders(item).count() > wanted;
            if has_excess && !layout.has_adapter_at(item, slot) && layout.is_redundant(item, slot) {
                layout.remove(item, slot);
            }
        }
    }

    fn add_replicas(&self, layout: &mut FleetLayout, item: usize) {
        let wanted = self.replicas_for_load(layout.items[item].load);
        let criteria = SlotCriteria {
            limit: self.settings.high_load,
            allows_over_limit: true,
            allows_empty: true,
            requires_new_zone: false,
            reserved_mib: 0,
            excluded_slot: None,
        };
        while layout.usable_holders(item).count() < wanted {
            let slot = layout.find_slot(item, criteria);
            let slot = slot.or_else(|| layout.evict_for(item, f64::INFINITY, &|_, _, _| true));
            let Some(slot) = slot else {
                return;
            };
            layout.place(item, slot);
        }
    }
}
