//! What a new planner leaves as it is until it knows the demand.
//!
//! A planner that has just taken the lease has heard of little demand: replicas that a former
//! planner placed for good reason look idle to it. It would have them unloaded, and loaded again
//! a minute later. Until it has seen a whole window of demand, an endpoint that would lose
//! weights keeps its former row, unless something would then be ready nowhere.

use std::collections::{HashMap, HashSet};

use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{WeightsKey, WeightsState};
use oatpier_types::names::EndpointName;
use oatpier_types::plan::{EndpointPlan, PlacementPlan};

use super::EndpointView;
use super::picture::FleetPicture;

/// Puts the former rows back into a plan where it drops replicas. Not for use after the
/// configuration has changed: what was planned for the former one may not fit any more.
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

/// Gives up the former rows of those endpoints that are to hold what would be ready nowhere else.
/// Tells whether there were any.
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

/// The endpoint's row of the former plan; without one what it has ready.
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

/// Whether callers are to get this version.
fn is_wanted(config: &FleetConfig, key: &WeightsKey) -> bool {
    let wanted = match &key.adapter {
        Some(adapter) => config.adapter_weights(adapter),
        None => config.model_weights(&key.model),
    };
    wanted.as_ref() == Some(key)
}
