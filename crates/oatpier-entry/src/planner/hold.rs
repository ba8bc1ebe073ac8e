//! Keeps replicas in place while a new planner does not yet know the demand.
//!
//! A planner that has just acquired the lease has received few demand reports, so replicas that the
//! previous planner placed look unused. It would unload them and load them again a minute later.
//! Until it has observed a full window of demand, an endpoint that would lose weights keeps its
//! previous row, unless some weights would then be ready nowhere.

use std::collections::{HashMap, HashSet};

use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{WeightsKey, WeightsState};
use oatpier_types::names::EndpointName;
use oatpier_types::plan::{EndpointPlan, PlacementPlan};

use super::EndpointView;
use super::snapshot::FleetSnapshot;

/// Restores the previous rows where a plan drops replicas. Does nothing if the configuration
/// generation has changed, because the previous rows may not be valid under the new configuration.
pub fn hold_replicas(
    plan: &mut PlacementPlan,
    snapshot: &FleetSnapshot,
    previous: Option<&PlacementPlan>,
) {
    if previous.is_some_and(|previous| previous.generation != snapshot.generation) {
        return;
    }
    let views = snapshot.endpoints.iter();
    let usable: HashMap<&EndpointName, &EndpointView> = views
        .filter(|view| view.alive && !view.leaving)
        .map(|view| (&view.endpoint, view))
        .collect();
    let mut previous_rows: HashMap<EndpointName, EndpointPlan> = plan
        .endpoints
        .iter()
        .filter_map(|row| {
            let view = usable.get(&row.endpoint)?;
            let row_before = previous_row(view, previous);
            let is_valid = row_before
                .weights
                .iter()
                .all(|key| is_wanted(&snapshot.config, key));
            let drops = row_before
                .weights
                .iter()
                .any(|key| !row.weights.contains(key));
            (is_valid && drops).then(|| (row.endpoint.clone(), row_before))
        })
        .collect();
    while drop_needed_rows(plan, &usable, &mut previous_rows) {}
    for row in &mut plan.endpoints {
        if let Some(row_before) = previous_rows.remove(&row.endpoint) {
            *row = row_before;
        }
    }
}

/// Drops the previous rows of endpoints that are planned to hold weights which would be ready
/// nowhere else. Returns whether there were any.
fn drop_needed_rows(
    plan: &PlacementPlan,
    usable: &HashMap<&EndpointName, &EndpointView>,
    previous_rows: &mut HashMap<EndpointName, EndpointPlan>,
) -> bool {
    let rows = || {
        let rows = plan.endpoints.iter();
        rows.filter(|row| usable.contains_key(&row.endpoint))
    };
    let kept: HashSet<&WeightsKey> = rows()
        .map(|row| previous_rows.get(&row.endpoint).unwrap_or(row))
        .flat_map(|row| &row.weights)
        .collect();
    let lost: HashSet<&WeightsKey> = rows()
        .flat_map(|row| &row.weights)
        .filter(|key| !kept.contains(key))
        .collect();
    let needed: Vec<EndpointName> = rows()
        .filter(|row| previous_rows.contains_key(&row.endpoint))
        .filter(|row| row.weights.iter().any(|key| lost.contains(key)))
        .map(|row| row.endpoint.clone())
        .collect();
    for endpoint in &needed {
        previous_rows.remove(endpoint);
    }
    !needed.is_empty()
}

/// Returns the endpoint's row of the previous plan, or its ready weights if it has none.
fn previous_row(view: &EndpointView, previous: Option<&PlacementPlan>) -> EndpointPlan {
    let rows = previous.iter().flat_map(|plan| &plan.endpoints);
    let mut rows = rows.filter(|row| row.endpoint == view.endpoint);
    rows.next().cloned().unwrap_or_else(|| {
        let held = view.held.iter();
        let mut ready: Vec<WeightsKey> = held
            .filter(|held| held.state == WeightsState::Ready)
            .map(|held| held.weights.clone())
            .collect();
        // Base models before their adapters.
        ready.sort_by_key(|key| key.adapter.is_some());
        EndpointPlan {
            endpoint: view.endpoint.clone(),
            weights: ready.into(),
            role: view.role,
        }
    })
}

/// Returns whether the configuration uses this version of the weights.
fn is_wanted(config: &FleetConfig, key: &WeightsKey) -> bool {
    let wanted = match &key.adapter {
        Some(adapter) => config.adapter_weights(adapter),
        None => config.model_weights(&key.model),
    };
    wanted.as_ref() == Some(key)
}
