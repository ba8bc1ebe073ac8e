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
use super::picture::FleetPicture;

/// Restores the previous rows where a plan drops replicas. Does nothing if the configuration
/// generation has changed, because the previous rows may not be valid under the new configuration.
pub fn hold_replicas(
    plan: &mut PlacementPlan,
    picture: &FleetPicture,
    previous: Option<&PlacementPlan>,
) {
    if previous.is_some_and(|previous| previous.generation != picture.generation) {
        return;
    }
    let views = picture.endpoints.iter();
    let usable: HashMap<&EndpointName, &EndpointView> = views
        .filter(|view| view.alive && !view.leaving)
        .map(|view| (&view.endpoint, view))
        .collect();
    let mut former: HashMap<EndpointName, EndpointPlan> = plan
        .endpoints
        .iter()
        .filter_map(|row| {
            let view = usable.get(&row.endpoint)?;
            let former = former_row(view, previous);
            let is_whole = former
                .weights
                .iter()
                .all(|key| is_wanted(&picture.config, key));
            let drops = former.weights.iter().any(|key| !row.weights.contains(key));
            (is_whole && drops).then(|| (row.endpoint.clone(), former))
        })
        .collect();
    while let_lost_through(plan, &usable, &mut former) {}
    for row in &mut plan.endpoints {
        if let Some(former) = former.remove(&row.endpoint) {
            *row = former;
        }
    }
}

/// Drops the previous rows of endpoints that are planned to hold weights which would be ready
/// nowhere else. Returns whether there were any.
fn let_lost_through(
    plan: &PlacementPlan,
    usable: &HashMap<&EndpointName, &EndpointView>,
    former: &mut HashMap<EndpointName, EndpointPlan>,
) -> bool {
    let rows = || {
        let rows = plan.endpoints.iter();
        rows.filter(|row| usable.contains_key(&row.endpoint))
    };
    let kept: HashSet<&WeightsKey> = rows()
        .map(|row| former.get(&row.endpoint).unwrap_or(row))
        .flat_map(|row| &row.weights)
        .collect();
    let lost: HashSet<&WeightsKey> = rows()
        .flat_map(|row| &row.weights)
        .filter(|key| !kept.contains(key))
        .collect();
    let needed: Vec<EndpointName> = rows()
        .filter(|row| former.contains_key(&row.endpoint))
        .filter(|row| row.weights.iter().any(|key| lost.contains(key)))
        .map(|row| row.endpoint.clone())
        .collect();
    for endpoint in &needed {
        former.remove(endpoint);
    }
    !needed.is_empty()
}

/// Returns the endpoint's row of the previous plan, or its ready weights if it has none.
fn former_row(view: &EndpointView, previous: Option<&PlacementPlan>) -> EndpointPlan {
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
