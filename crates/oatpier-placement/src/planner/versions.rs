//! Turns the layout into a plan, with the version that each endpoint holds and the changes to the
//! current plan.
//!
//! A version change is rolled out a few replicas at a time. The other endpoints keep their version
//! in the plan until then.

use std::collections::HashMap;

use oatpier_types::engine::{EngineRole, WeightsKey, WeightsState};
use oatpier_types::plan::{EndpointPlan, PlacementPlan};
use smallvec::SmallVec;

use super::layout::{FleetLayout, find_row};
use super::slot_search::SlotCriteria;
use super::{EndpointView, PlanNote, PlanOutcome, PlannerInput};

/// Places a second replica of weights whose only endpoint lacks memory for both versions: the old
/// version may not be unloaded before the new one is ready elsewhere.
pub(super) fn add_upgrade_replicas(
    layout: &mut FleetLayout,
    input: &PlannerInput<'_>,
    notes: &mut Vec<PlanNote>,
) {
    for item in 0..layout.items.len() {
        let mut holders = layout.usable_holders(item);
        let (Some(slot), None) = (holders.next(), holders.next()) else {
            continue;
        };
        drop(holders);
        let holder = &layout.slots[slot];
        let fits_both = holder.used_mib + layout.items[item].size_mib <= holder.memory_mib;
        if fits_both || outdated_version(layout, item, &input.endpoints[slot]).is_none() {
            continue;
        }
        let criteria = SlotCriteria {
            limit: f64::INFINITY,
            allows_over_limit: true,
            allows_empty: true,
            requires_new_zone: false,
            reserved_mib: 0,
            excluded_slot: Some(slot),
        };
        match layout.find_slot(item, criteria) {
            Some(target) => layout.place(item, target),
            None => notes.push(PlanNote::VersionWaits(layout.items[item].weights.clone())),
        }
    }
}

/// Returns the outdated version that an endpoint has ready; `None` if it holds the current version in
/// any state, or has no version ready.
fn outdated_version(layout: &FleetLayout, item: usize, view: &EndpointView) -> Option<WeightsKey> {
    let current = &layout.items[item].weights;
    let same = |held: &&WeightsKey| held.model == current.model && held.adapter == current.adapter;
    let holds_current = view.held.iter().any(|held| held.weights == *current);
    if holds_current {
        return None;
    }
    view.held
        .iter()
        .filter(|held| held.state == WeightsState::Ready)
        .map(|held| &held.weights)
        .find(same)
        .cloned()
}

/// Returns the plan of a layout, with the changes to the current plan.
pub(super) fn finish_plan(
    layout: &FleetLayout,
    input: &PlannerInput<'_>,
    notes: Vec<PlanNote>,
) -> PlanOutcome {
    let mut budget = UpgradeBudget::new(input);
    let mut rows = Vec::with_capacity(layout.slots.len());
    for (index, view) in input.endpoints.iter().enumerate() {
        let previous = input
            .previous
            .and_then(|plan| find_row(&plan.endpoints, &view.endpoint, index));
        if layout.slots[index].alive {
            rows.push(build_row(layout, index, view, previous, &mut budget));
        } else if let Some(previous) = previous {
            // The endpoint may only be unreachable: keeping its row avoids unloads when it returns.
            rows.push(previous.clone());
        }
    }
    rows.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
    build_outcome(rows, input, notes)
}

/// Limit on the replicas that change version at the same time.
struct UpgradeBudget {
    left: u32,
    /// Pending changes per weights. At most half of the replicas, and at least one, may change.
    open: HashMap<WeightsKey, u32>,
}

impl UpgradeBudget {
    fn new(input: &PlannerInput<'_>) -> Self {
        Self {
            left: input.config.weight_store.full_speed_loads.max(1),
            open: HashMap::new(),
        }
    }

    /// Reserves a version change for one replica. Returns whether the limits allow it.
    fn reserve(&mut self, weights: &WeightsKey, holders: usize) -> bool {
        let max_open = u32::try_from(holders / 2).unwrap_or(u32::MAX).max(1);
        let open = self.open.entry(weights.clone()).or_default();
        if self.left == 0 || *open >= max_open {
            return false;
        }
        self.left -= 1;
        *open += 1;
        true
    }
}

fn build_row(
    layout: &FleetLayout,
    index: usize,
    view: &EndpointView,
    previous: Option<&EndpointPlan>,
    budget: &mut UpgradeBudget,
) -> EndpointPlan {
    let slot = &layout.slots[index];
    let mut items = slot.items.clone();
    items.sort_by_key(|item| (layout.items[*item].base.is_some(), *item));
    let weights = items
        .into_iter()
        .map(|item| select_version(layout, item, view, previous, budget))
        .collect();
    EndpointPlan {
        endpoint: view.endpoint.clone(),
        weights,
        role: EngineRole::Both,
    }
}

fn select_version(
    layout: &FleetLayout,
    item: usize,
    view: &EndpointView,
    previous: Option<&EndpointPlan>,
    budget: &mut UpgradeBudget,
) -> WeightsKey {
    let current = &layout.items[item].weights;
    let Some(old) = outdated_version(layout, item, view) else {
        return current.clone();
    };
    let is_started = previous.is_some_and(|row| row.weights.contains(current));
    let holders = layout.items[item].holders.len();
    if budget.reserve(current, holders) || is_started {
        current.clone()
    } else {
        old
    }
}

fn build_outcome(
    rows: Vec<EndpointPlan>,
    input: &PlannerInput<'_>,
    notes: Vec<PlanNote>,
) -> PlanOutcome {
    let empty = PlacementPlan::default();
    let previous = input.previous.unwrap_or(&empty);
    let (loads, unloads) = count_changes(&rows, input);
    let used = rows.iter().filter(|row| !row.weights.is_empty()).count();
    let is_unchanged = previous.endpoints == rows
        && previous.generation == input.generation
        && previous.term == input.term;
    let plan = PlacementPlan {
        term: input.term,
        sequence: previous.sequence + u64::from(!is_unchanged),
        generation: input.generation,
        endpoints: rows,
    };
    PlanOutcome {
        plan,
        loads,
        unloads,
        endpoints_used: u32::try_from(used).unwrap_or(u32::MAX),
        notes,
    }
}

/// Counts the loads and unloads that the rows add to the current plan, or to the weights that are
/// held where there is no plan.
fn count_changes(rows: &[EndpointPlan], input: &PlannerInput<'_>) -> (u32, u32) {
    let mut loads = 0;
    let mut unloads = 0;
    let mut views = input.endpoints.iter().peekable();
    for (index, row) in rows.iter().enumerate() {
        let view = loop {
            match views.next() {
                Some(view) if view.endpoint == row.endpoint => break Some(view),
                Some(_) => {}
                None => break None,
            }
        };
        let before = previous_weights(row, index, view, input);
        loads += count_missing(&row.weights, &before);
        unloads += count_missing(&before, &row.weights);
    }
    (loads, unloads)
}

fn previous_weights(
    row: &EndpointPlan,
    index: usize,
    view: Option<&EndpointView>,
    input: &PlannerInput<'_>,
) -> SmallVec<[WeightsKey; 8]> {
    let previous = input
        .previous
        .and_then(|plan| find_row(&plan.endpoints, &row.endpoint, index));
    if let Some(previous) = previous {
        return previous.weights.clone();
    }
    let held = view.map(|view| view.held.iter().map(|held| held.weights.clone()).collect());
    held.unwrap_or_default()
}

fn count_missing(wanted: &[WeightsKey], existing: &[WeightsKey]) -> u32 {
    let missing = wanted
        .iter()
        .filter(|weights| !existing.contains(weights))
        .count();
    u32::try_from(missing).unwrap_or(u32::MAX)
}
