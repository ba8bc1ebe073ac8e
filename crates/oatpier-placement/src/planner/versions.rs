//! Turns the layout into a plan, with the version that each endpoint holds and the changes to the
//! current plan.
//!
//! A version change is rolled out a few replicas at a time. The other endpoints keep their version
//! in the plan until then.

use std::collections::HashMap;

use oatpier_types::engine::{EngineRole, WeightsKey, WeightsState};
use oatpier_types::plan::{EndpointPlan, PlacementPlan};
use smallvec::SmallVec;

use super::board::{FleetBoard, row_of};
use super::seek::SlotWish;
use super::{EndpointView, PlanNote, PlanOutcome, PlannerInput};

/// Places a second replica of weights whose only endpoint lacks memory for both versions: the old
/// version may not be unloaded before the new one is ready elsewhere.
pub(super) fn help_versions(
    board: &mut FleetBoard,
    input: &PlannerInput<'_>,
    notes: &mut Vec<PlanNote>,
) {
    for item in 0..board.items.len() {
        let mut holders = board.usable_holders(item);
        let (Some(slot), None) = (holders.next(), holders.next()) else {
            continue;
        };
        drop(holders);
        let place = &board.slots[slot];
        let both_fit = place.used_mib + board.items[item].size_mib <= place.memory_mib;
        if both_fit || old_version(board, item, &input.endpoints[slot]).is_none() {
            continue;
        }
        let wish = SlotWish {
            limit: f64::INFINITY,
            over_limit: true,
            empty: true,
            new_zone: false,
            spare_mib: 0,
            except: Some(slot),
        };
        match board.seek_slot(item, wish) {
            Some(target) => board.place(item, target),
            None => notes.push(PlanNote::VersionWaits(board.items[item].weights.clone())),
        }
    }
}

/// Returns the outdated version that an endpoint has ready; `None` if it holds the current one.
fn old_version(board: &FleetBoard, item: usize, view: &EndpointView) -> Option<WeightsKey> {
    let present = &board.items[item].weights;
    let same = |held: &&WeightsKey| held.model == present.model && held.adapter == present.adapter;
    let present_held = view.held.iter().any(|held| held.weights == *present);
    if present_held {
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
    board: &FleetBoard,
    input: &PlannerInput<'_>,
    notes: Vec<PlanNote>,
) -> PlanOutcome {
    let mut turns = VersionTurns::new(input);
    let mut rows = Vec::with_capacity(board.slots.len());
    for (index, view) in input.endpoints.iter().enumerate() {
        let previous = input
            .previous
            .and_then(|plan| row_of(&plan.endpoints, &view.endpoint, index));
        if board.slots[index].alive {
            rows.push(row(board, index, view, previous, &mut turns));
        } else if let Some(previous) = previous {
            // The endpoint may only be unreachable: keeping its row avoids unloads when it returns.
            rows.push(previous.clone());
        }
    }
    rows.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
    outcome(rows, input, notes)
}

/// Limit on the replicas that change version at the same time.
struct VersionTurns {
    left: u32,
    /// Pending changes per weights. At most half of the replicas, and at least one, may change.
    open: HashMap<WeightsKey, u32>,
}

impl VersionTurns {
    fn new(input: &PlannerInput<'_>) -> Self {
        Self {
            left: input.config.weight_store.full_speed_loads.max(1),
            open: HashMap::new(),
        }
    }

    /// Reserves a version change for one replica. Returns whether the limits allow it.
    fn take(&mut self, weights: &WeightsKey, holders: usize) -> bool {
        let at_once = u32::try_from(holders / 2).unwrap_or(u32::MAX).max(1);
        let open = self.open.entry(weights.clone()).or_default();
        if self.left == 0 || *open >= at_once {
            return false;
        }
        self.left -= 1;
        *open += 1;
        true
    }
}

fn row(
    board: &FleetBoard,
    index: usize,
    view: &EndpointView,
    previous: Option<&EndpointPlan>,
    turns: &mut VersionTurns,
) -> EndpointPlan {
    let slot = &board.slots[index];
    let mut items = slot.items.clone();
    items.sort_by_key(|item| (board.items[*item].base.is_some(), *item));
    let weights = items
        .into_iter()
        .map(|item| version_for(board, item, view, previous, turns))
        .collect();
    EndpointPlan {
        endpoint: view.endpoint.clone(),
        weights,
        role: EngineRole::Both,
    }
}

fn version_for(
    board: &FleetBoard,
    item: usize,
    view: &EndpointView,
    previous: Option<&EndpointPlan>,
    turns: &mut VersionTurns,
) -> WeightsKey {
    let present = &board.items[item].weights;
    let Some(old) = old_version(board, item, view) else {
        return present.clone();
    };
    let begun = previous.is_some_and(|row| row.weights.contains(present));
    let holders = board.items[item].holders.len();
    if turns.take(present, holders) || begun {
        present.clone()
    } else {
        old
    }
}

fn outcome(rows: Vec<EndpointPlan>, input: &PlannerInput<'_>, notes: Vec<PlanNote>) -> PlanOutcome {
    let empty = PlacementPlan::default();
    let previous = input.previous.unwrap_or(&empty);
    let (loads, unloads) = changes(&rows, input);
    let used = rows.iter().filter(|row| !row.weights.is_empty()).count();
    let same = previous.endpoints == rows
        && previous.generation == input.generation
        && previous.term == input.term;
    let plan = PlacementPlan {
        term: input.term,
        sequence: previous.sequence + u64::from(!same),
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
fn changes(rows: &[EndpointPlan], input: &PlannerInput<'_>) -> (u32, u32) {
    let mut loads = 0;
    let mut unloads = 0;
    let mut views = input.endpoints.iter().peekable();
    for (place, row) in rows.iter().enumerate() {
        let view = loop {
            match views.next() {
                Some(view) if view.endpoint == row.endpoint => break Some(view),
                Some(_) => {}
                None => break None,
            }
        };
        let before = weights_before(row, place, view, input);
        loads += count_missing(&row.weights, &before);
        unloads += count_missing(&before, &row.weights);
    }
    (loads, unloads)
}

fn weights_before(
    row: &EndpointPlan,
    place: usize,
    view: Option<&EndpointView>,
    input: &PlannerInput<'_>,
) -> SmallVec<[WeightsKey; 8]> {
    let previous = input
        .previous
        .and_then(|plan| row_of(&plan.endpoints, &row.endpoint, place));
    if let Some(previous) = previous {
        return previous.weights.clone();
    }
    let held = view.map(|view| view.held.iter().map(|held| held.weights.clone()).collect());
    held.unwrap_or_default()
}

fn count_missing(all: &[WeightsKey], present: &[WeightsKey]) -> u32 {
    let missing = all
        .iter()
        .filter(|weights| !present.contains(weights))
        .count();
    u32::try_from(missing).unwrap_or(u32::MAX)
}
