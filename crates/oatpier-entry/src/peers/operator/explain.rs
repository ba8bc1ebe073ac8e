//! Explains the placement of a model or adapter.

use oatpier_membership::members::{MemberState, MemberView};
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::{AdapterName, EndpointName, ZoneName};
use oatpier_types::operator::{ExplainModel, ReplicaRow};
use oatpier_types::plan::EndpointPlan;

use super::super::driver::DriverState;
use super::super::handler::PeerHandler;
use crate::planner::PlanMap;

/// Explains a model or an adapter; returns `None` if the name is unknown.
pub(super) fn model(handler: &PeerHandler, name: &str) -> Option<ExplainModel> {
    let snapshot = handler.driver.snapshot()?;
    let (weights, adapter) = weights_of(&snapshot.config, name)?;
    let plans = handler.cache.plans();
    let pool = snapshot.config.models.get(&weights.model)?.pool.clone();
    let replicas = replicas(&handler.driver.lock(), &weights, &plans);
    let reasons = reasons(&weights, &plans, &replicas, &snapshot.zones());
    Some(ExplainModel {
        model: weights.model.clone(),
        adapter,
        pool,
        version: weights.version,
        replicas,
        reasons,
    })
}

fn weights_of(config: &FleetConfig, name: &str) -> Option<(WeightsKey, Option<AdapterName>)> {
    let model = config.models.keys().find(|model| model.as_str() == name);
    if let Some(model) = model {
        return Some((config.model_weights(model)?, None));
    }
    let mut adapters = config.adapters.keys();
    let adapter = adapters.find(|adapter| adapter.as_str() == name)?;
    Some((config.adapter_weights(adapter)?, Some(adapter.clone())))
}

fn replicas(state: &DriverState, weights: &WeightsKey, plans: &PlanMap) -> Vec<ReplicaRow> {
    let members = state.member.table().members();
    let mut rows: Vec<ReplicaRow> = members
        .filter_map(|view| replica(&view, weights, plans))
        .collect();
    for (zone, row) in planned_rows(weights, plans) {
        if !rows.iter().any(|known| known.endpoint == row.endpoint) {
            rows.push(ReplicaRow {
                endpoint: row.endpoint.clone(),
                zone: zone.clone(),
                ready: None,
                planned: true,
                queued: 0,
                running: 0,
                reason: "the plan wants it here; its agent is not known".to_owned(),
            });
        }
    }
    rows.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
    rows
}

fn planned_rows<'a>(
    weights: &'a WeightsKey,
    plans: &'a PlanMap,
) -> impl Iterator<Item = (&'a ZoneName, &'a EndpointPlan)> {
    let rows = plans.iter();
    let rows = rows.flat_map(|(zone, plan)| plan.endpoints.iter().map(move |row| (zone, row)));
    rows.filter(|(_, row)| row.weights.iter().any(|planned| is_same(planned, weights)))
}

fn is_same(left: &WeightsKey, right: &WeightsKey) -> bool {
    left.model == right.model && left.adapter == right.adapter
}

fn replica(view: &MemberView<'_>, weights: &WeightsKey, plans: &PlanMap) -> Option<ReplicaRow> {
    let status = view.facts.status()?;
    let ready = status.ready.iter().find(|ready| is_same(ready, weights));
    let planned = is_planned(&status.endpoint, weights, plans);
    if ready.is_none() && !planned {
        return None;
    }
    let report = view.report.copied().unwrap_or(status.queue);
    Some(ReplicaRow {
        endpoint: status.endpoint.clone(),
        zone: status.zone.clone(),
        ready: ready.map(|ready| ready.version.clone()),
        planned,
        queued: report.queued,
        running: report.running,
        reason: reason(view, ready.is_some(), planned).to_owned(),
    })
}

fn is_planned(endpoint: &EndpointName, weights: &WeightsKey, plans: &PlanMap) -> bool {
    planned_rows(weights, plans).any(|(_, row)| row.endpoint == *endpoint)
}

fn reason(view: &MemberView<'_>, ready: bool, planned: bool) -> &'static str {
    match (view.state, ready, planned) {
        (MemberState::Gone, _, _) => "its agent is gone: gets no work",
        (MemberState::Leaving, _, _) => "its agent leaves: gets no new work",
        (MemberState::Suspect, _, _) => "its agent is not heard by all registrars",
        (MemberState::Alive, true, true) => "the plan wants it here, and it is ready",
        (MemberState::Alive, true, false) => "ready; the plan does not name it here",
        (MemberState::Alive, false, _) => "the plan wants it here; it is being loaded",
    }
}

fn reasons(
    weights: &WeightsKey,
    plans: &PlanMap,
    replicas: &[ReplicaRow],
    zones: &[ZoneName],
) -> Vec<String> {
    let planned = planned_rows(weights, plans).count();
    let ready = replicas.iter().filter(|row| row.ready.is_some()).count();
    let mut reasons = vec![format!(
        "the plan wants {planned} replica(s); {ready} ready"
    )];
    for (zone, plan) in plans {
        reasons.push(format!(
            "plan of {zone}: term {}, sequence {}, made for generation {}",
            plan.term, plan.sequence, plan.generation
        ));
    }
    let missing = zones.iter().filter(|zone| !plans.contains_key(*zone));
    reasons.extend(missing.map(|zone| format!("no plan of {zone} is known")));
    reasons
}
