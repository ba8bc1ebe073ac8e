//! A new planner keeps replicas until it knows the demand.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oatpier_duty::messages::{encode_plan, plan_key};
use oatpier_entry::planner::{FleetSnapshot, hold_replicas};
use oatpier_ports::store::{ExpectedValue, KeyStore};
use oatpier_standin::store::LocalStore;
use oatpier_types::engine::{EngineRole, HeldWeights, WeightsKey, WeightsState};
use oatpier_types::ids::{Generation, Term};
use oatpier_types::plan::{EndpointPlan, PlacementPlan};

use crate::planner::{CONFIG, PlanningEntry, advance, snapshot_of, stored_plan};

fn snapshot() -> FleetSnapshot {
    snapshot_of(&CONFIG.replace("memory_mib = 1000", "memory_mib = 2000"))
}

fn weights(snapshot: &FleetSnapshot, names: &[&str]) -> Vec<WeightsKey> {
    let of = |name: &&str| {
        let model = snapshot
            .config
            .models
            .keys()
            .find(|key| key.as_str() == *name);
        snapshot.config.model_weights(model.unwrap()).unwrap()
    };
    names.iter().map(of).collect()
}

/// Returns a plan with one row for each endpoint of the fleet.
fn plan(snapshot: &FleetSnapshot, rows: &[&[&str]]) -> PlacementPlan {
    let rows = snapshot.endpoints.iter().zip(rows);
    PlacementPlan {
        term: Term(1),
        sequence: 1,
        generation: snapshot.generation,
        endpoints: rows
            .map(|(view, names)| EndpointPlan {
                endpoint: view.endpoint.clone(),
                weights: weights(snapshot, names).into(),
                role: EngineRole::Both,
            })
            .collect(),
    }
}

fn plan_with_hold(
    snapshot: &FleetSnapshot,
    next: &[&[&str]],
    previous: Option<&PlacementPlan>,
) -> PlacementPlan {
    let mut next = plan(snapshot, next);
    hold_replicas(&mut next, snapshot, previous);
    next
}

#[test]
fn rows_that_lose_replicas_are_kept_and_rows_that_gain_are_replaced() {
    let snapshot = snapshot();
    let before = plan(&snapshot, &[&["tables", "halls"], &["tables"]]);
    let next = plan_with_hold(
        &snapshot,
        &[&["tables"], &["tables", "halls"]],
        Some(&before),
    );
    let wanted = plan(&snapshot, &[&["tables", "halls"], &["tables", "halls"]]);
    assert_eq!(next, wanted);
}

#[test]
fn rows_with_weights_ready_nowhere_else_are_replaced() {
    let snapshot = snapshot();
    let before = plan(&snapshot, &[&["tables"], &["tables"]]);
    let next = plan_with_hold(&snapshot, &[&["halls"], &["tables"]], Some(&before));
    assert_eq!(next, plan(&snapshot, &[&["halls"], &["tables"]]));
}

#[test]
fn endpoints_without_a_previous_row_keep_ready_weights() {
    let mut snapshot = snapshot();
    for view in &mut snapshot.endpoints {
        let of = |weights| HeldWeights {
            weights,
            state: WeightsState::Ready,
        };
        let all = ["tables", "halls"];
        let keys = snapshot
            .config
            .models
            .keys()
            .filter(|key| all.contains(&key.as_str()));
        let keys = keys.filter_map(|key| snapshot.config.model_weights(key));
        view.held = keys.map(of).collect();
    }
    let next = plan_with_hold(&snapshot, &[&["tables"], &["halls"]], None);
    assert!(next.endpoints.iter().all(|row| row.weights.len() == 2));
}

#[test]
fn leaving_endpoints_and_other_generations_are_not_held() {
    let mut snapshot = snapshot();
    let mut before = plan(&snapshot, &[&["tables", "halls"], &["tables", "halls"]]);
    let rows: [&[&str]; 2] = [&["tables"], &["halls"]];
    snapshot.endpoints[0].leaving = true;
    let next = plan_with_hold(&snapshot, &rows, Some(&before));
    assert_eq!(next, plan(&snapshot, &[&["tables"], &["tables", "halls"]]));
    snapshot.endpoints[0].leaving = false;
    before.generation = Generation(0);
    assert_eq!(
        plan_with_hold(&snapshot, &rows, Some(&before)),
        plan(&snapshot, &rows)
    );
}

/// An entry that has run for a while acquires the lease after the planner failed. It knows no
/// demand yet, so all endpoints look idle. The weights that the previous planner had loaded must
/// stay until it has observed a full window of demand.
#[tokio::test(start_paused = true)]
async fn a_new_planner_keeps_replicas_until_it_knows_the_demand() {
    let mut snapshot = snapshot();
    let both: &[&str] = &["tables", "halls"];
    let before = plan(&snapshot, &[both, both]);
    for (view, row) in snapshot.endpoints.iter_mut().zip(&before.endpoints) {
        let keys = row.weights.iter().cloned();
        let ready = keys.map(|weights| HeldWeights {
            weights,
            state: WeightsState::Ready,
        });
        view.held = ready.collect();
    }
    let store = Arc::new(LocalStore::new());
    for (view, row) in snapshot.endpoints.iter().zip(&before.endpoints) {
        let one = PlacementPlan {
            endpoints: vec![row.clone()],
            ..before.clone()
        };
        let value: Bytes = encode_plan(&one).unwrap();
        let key = plan_key(&view.zone);
        let put = store.put(&key, value, ExpectedValue::Absent, None).await;
        put.unwrap();
    }
    let _entry = PlanningEntry::start_after(0, &store, snapshot, Duration::from_hours(1)).await;
    advance(45).await;
    let mut counts = Vec::new();
    for name in ["ikeja", "lekki"] {
        let plan = stored_plan(&store, name).await.unwrap();
        counts.push(plan.endpoints[0].weights.len());
    }
    assert_eq!(counts, [2, 2]);
}
