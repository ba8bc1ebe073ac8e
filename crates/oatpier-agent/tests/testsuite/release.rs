//! Tests of releases and repair: the last ready replica is kept, and a lost one is replaced without
//! planner and store.

use std::cell::Cell;
use std::time::Duration;

use oatpier_standin::engine::EngineFaults;
use oatpier_standin::store::{DownMode, StoreFaults};

use crate::fleet::Fleet;
use crate::shape::FleetShape;

const TWO_ENGINES: FleetShape = FleetShape {
    engines: 2,
    memory_mib: 2_000,
    checks_numbers: true,
    models: &["seats"],
};

/// Two endpoints hold the same model, and a wrong plan removes it from both. Each sees the other's
/// replica and could unload its own, which would leave none for callers. Only one may be unloaded.
#[tokio::test(start_paused = true)]
async fn two_replicas_planned_for_unload_keep_one() {
    for checks_numbers in [true, false] {
        let shape = FleetShape {
            checks_numbers,
            ..TWO_ENGINES
        };
        let mut fleet = Fleet::start(shape, &["seats"]);
        fleet.pass(Duration::from_secs(5)).await;
        fleet.plan(1, &[]);
        fleet.plan(2, &[]);
        let least = Cell::new(usize::MAX);
        let look = || {
            let ready = (1..=2).filter(|number| fleet.holds(*number, &["seats"]));
            least.set(least.get().min(ready.count()));
        };
        fleet.watch(Duration::from_mins(5), look).await;
        assert_eq!(least.get(), 1);
    }
}

/// The plan removes a model from the only endpoint that holds it. No other replica exists.
#[tokio::test(start_paused = true)]
async fn the_only_replica_is_not_unloaded() {
    let mut fleet = Fleet::start(TWO_ENGINES, &[]);
    fleet.plan(1, &["seats"]);
    fleet.plan(2, &[]);
    fleet
        .until("the model is loaded", || fleet.serves(1, &["seats"]))
        .await;
    fleet.plan(1, &[]);
    let look = || assert!(fleet.holds(1, &["seats"]));
    fleet.watch(Duration::from_mins(2), look).await;
    assert!(fleet.serves(1, &["seats"]));
}

/// The replica of a leaving agent goes away soon. The agent grants no release although the replica is
/// ready.
#[tokio::test(start_paused = true)]
async fn a_leaving_agent_grants_no_release() {
    let mut fleet = Fleet::start(TWO_ENGINES, &["seats"]);
    fleet.pass(Duration::from_secs(5)).await;
    let attempt = fleet.attempt(2, "seats", 50_000);
    let _frames = attempt.arrive().unwrap();
    fleet
        .agent(2)
        .stop
        .advance(oatpier_duty::duty::StopPhase::Draining);
    fleet.plan(1, &[]);
    fleet.plan(2, &["seats"]);
    let look = || assert!(fleet.holds(1, &["seats"]));
    fleet.watch(Duration::from_secs(30), look).await;
}

/// The only engine that holds a model dies, without a plan and during an outage of the store. The
/// remaining endpoint loads the model on its own, within its memory.
#[tokio::test(start_paused = true)]
async fn a_lost_model_is_reloaded_without_planner_and_store() {
    let shape = FleetShape {
        memory_mib: 3_000,
        models: &["meals", "seats", "tables"],
        ..TWO_ENGINES
    };
    let mut fleet = Fleet::start(shape, &["seats"]);
    let served = |model: &str| (1..=2).any(|number| serves_one(&fleet, number, model));
    let all = || shape.models.iter().all(|model| served(model));
    fleet.until("all models are served", all).await;
    fleet.store.set_faults(StoreFaults {
        down: Some(DownMode::Drop),
        ..StoreFaults::default()
    });
    let dead = if serves_one(&fleet, 1, "meals") { 1 } else { 2 };
    fleet.engine(dead).set_faults(EngineFaults {
        down: true,
        ..EngineFaults::default()
    });
    fleet.agents[usize::from(dead) - 1] = None;
    let left = 3 - dead;
    assert!(!serves_one(&fleet, left, "meals"));
    let all_left = || fleet.serves(left, shape.models);
    fleet.until("all models are served again", all_left).await;
}

fn serves_one(fleet: &Fleet, number: u16, model: &str) -> bool {
    let status = fleet.agent(number).core.status().unwrap();
    status.ready.iter().any(|key| key.model.as_str() == model)
}
