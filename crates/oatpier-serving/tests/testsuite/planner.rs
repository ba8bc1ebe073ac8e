//! Which engine loads which model.
//!
//! The situation: demand moves between models within 4 to 6 s, rarely requested models are needed at once,
//! and engines are empty after a restart.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_serving::directory::{EndpointDirectory, EndpointRecord};
use oatpier_serving::engine::LocalCopies;
use oatpier_serving::message::{LimitReport, ModelUse, PinnedModel};
use oatpier_serving::notice::RequestRate;
use oatpier_serving::peers::{FleetUses, TotalDemand};
use oatpier_serving::planner::{FleetDemand, LoadPlanner, LoadReason, PlanOutcome};
use oatpier_types::names::ModelName;

use crate::support::{
    address, at, directory, endpoint, engine_rule, model, record, service, status, version,
};

/// Two engines that are full with a model in high demand, and one with models that are rarely requested.
const HOT_AND_RARE: [(&[&str], u32); 3] = [
    (&["hot", "rare1"], 10),
    (&["hot", "rare2"], 10),
    (&["rare3", "rare4"], 0),
];

type Demand = HashMap<ModelName, TotalDemand>;

fn demand(rows: &[(&str, f64, f64)]) -> Demand {
    let total = |running, unserved| TotalDemand {
        running,
        sent: running,
        unserved,
        asked_fast: running + unserved,
        asked_slow: running + unserved,
        asked_long: running + unserved,
        adapters: 0.0,
        idle: Some(Duration::from_millis(100)),
    };
    rows.iter()
        .map(|(name, running, unserved)| (model(name), total(*running, *unserved)))
        .collect()
}

fn plan(directory: &EndpointDirectory, names: &[&str], demand: &Demand) -> PlanOutcome {
    plan_with_uses(directory, names, demand, &FleetUses::default())
}

/// Plans with the given use of the engines.
fn plan_with_uses(
    directory: &EndpointDirectory,
    names: &[&str],
    demand: &Demand,
    uses: &FleetUses,
) -> PlanOutcome {
    let rule = engine_rule(names);
    let mut planner = LoadPlanner::default();
    // The tokens for loads from the weight store accumulate over time.
    let nothing = Demand::new();
    let idle = FleetDemand {
        models: &nothing,
        uses,
    };
    planner.plan(&rule, directory.service(&service()), idle, at(900));
    let demand = FleetDemand {
        models: demand,
        uses,
    };
    planner.plan(&rule, directory.service(&service()), demand, at(1_000))
}

/// Requests for a model at the engine with the given number.
fn model_use(number: u8, name: &str, requests: u32) -> ModelUse {
    ModelUse {
        engine: address(number),
        model: model(name),
        requests,
    }
}

fn loads(outcome: &PlanOutcome) -> Vec<(String, String, LoadReason)> {
    let row = |load: &oatpier_serving::planner::PlannedLoad| {
        (
            load.endpoint.to_string(),
            load.advice.load.to_string(),
            load.reason,
        )
    };
    outcome.planned.iter().map(row).collect()
}

/// A model that no engine holds is requested. Its callers wait or are refused until it is loaded. The idle
/// engine loads it, not the busy one.
#[test]
fn requested_model_without_holder_is_loaded_on_the_idlest_engine() {
    let directory = directory(&[(&["m1"], 9), (&["m2"], 0)], at(900));
    let demand = demand(&[("m1", 9.0, 0.0), ("m3", 0.0, 2.0)]);
    let outcome = plan(&directory, &["m1", "m2", "m3"], &demand);
    assert_eq!(
        loads(&outcome),
        vec![("e2".to_owned(), "m3".to_owned(), LoadReason::Unreachable)]
    );
    assert!(outcome.planned[0].advice.unload.is_empty());
}

#[test]
fn evicts_a_replica_and_never_the_last_holder_of_a_requested_model() {
    let engines: [(&[&str], u32); 2] = [(&["m1", "m2"], 0), (&["m1", "m3"], 0)];
    let directory = directory(&engines, at(900));
    let demand = demand(&[
        ("m1", 1.0, 0.0),
        ("m2", 1.0, 0.0),
        ("m3", 1.0, 0.0),
        ("m4", 0.0, 2.0),
    ]);
    let outcome = plan(&directory, &["m1", "m2", "m3", "m4"], &demand);
    assert_eq!(outcome.planned.len(), 1);
    assert_eq!(outcome.planned[0].advice.unload, vec![model("m1")]);
}

/// Callers of a busy model are refused while other engines are idle. One more replica takes over a part of
/// its requests.
#[test]
fn busy_model_gets_a_replica_on_an_idle_engine() {
    let directory = directory(&[(&["m1"], 10), (&["m2"], 0), (&["m3"], 0)], at(900));
    let outcome = plan(
        &directory,
        &["m1", "m2", "m3"],
        &demand(&[("m1", 10.0, 5.0)]),
    );
    assert!(loads(&outcome).iter().all(|(_, name, _)| name == "m1"));
    assert!(!outcome.planned.is_empty());
}

/// The only holder of a model sets a rate limit of one request per second. Its callers are refused while
/// other engines are idle. A limit that ends soon does not justify a load.
#[test]
fn model_with_a_rate_limited_holder_gets_another_holder() {
    let mut directory = directory(&[(&["hot"], 1), (&["rare"], 0)], at(0));
    let demand = demand(&[("hot", 0.5, 0.5)]);
    let report = LimitReport {
        endpoint: endpoint("e1"),
        start: None,
        rate: Some(RequestRate::try_from(1.0).unwrap()),
        sent_ago_ms: 0,
    };
    directory.apply_limit_report(&report, at(0));
    for number in [1, 2] {
        let mut later_status = status(
            number,
            [&["hot"][..], &["rare"]][usize::from(number) - 1],
            0,
        );
        later_status.number.number = 2;
        directory.apply_status(later_status, at(2_500));
    }
    let rule = engine_rule(&["hot", "rare"]);
    let mut planner = LoadPlanner::default();
    let mut plan_at = |now| {
        let demand = FleetDemand {
            models: &demand,
            uses: &FleetUses::default(),
        };
        loads(&planner.plan(&rule, directory.service(&service()), demand, at(now)))
    };
    assert_eq!(plan_at(1_500), []);
    let load = ("e2".to_owned(), "hot".to_owned(), LoadReason::Unreachable);
    assert_eq!(plan_at(2_600), [load]);
}

#[test]
fn no_load_is_planned_under_low_demand() {
    let directory = directory(&[(&["m1"], 2), (&["m2"], 1)], at(900));
    let outcome = plan(
        &directory,
        &["m1", "m2"],
        &demand(&[("m1", 2.0, 0.0), ("m2", 1.0, 0.0)]),
    );
    assert!(outcome.planned.is_empty());
}

/// All engines were restarted and are empty, and the gateways have lost their state too. Models that had
/// many replicas have many copies on the engines' disks, and are loaded first and most often.
#[test]
fn empty_engines_reload_models_from_local_copies() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry((1..=3).map(|number| record(number, &[])).collect(), at(900));
    for number in 1..=3 {
        let mut empty = status(number, &[], 0);
        let mut on_disk = vec![model("popular")];
        if number == 3 {
            on_disk.push(model("rare"));
        }
        empty.copies = LocalCopies {
            in_memory: Vec::new(),
            on_disk,
        };
        directory.apply_status(empty, at(900));
    }
    let rule = engine_rule(&["popular", "rare"]);
    let mut planner = LoadPlanner::default();
    let outcome = planner.plan(
        &rule,
        directory.service(&service()),
        FleetDemand {
            models: &Demand::new(),
            uses: &FleetUses::default(),
        },
        at(1_000),
    );
    let names: Vec<String> = loads(&outcome)
        .into_iter()
        .map(|(_, name, _)| name)
        .collect();
    assert_eq!(names, vec!["popular", "popular", "rare"]);
    assert!(
        outcome
            .planned
            .iter()
            .all(|load| load.reason == LoadReason::Room)
    );
}

#[test]
fn no_advice_for_an_engine_that_waits_for_its_rate_share() {
    let mut directory = directory(&[(&["m1"], 0)], at(900));
    let mut paced = status(1, &["m1"], 0);
    paced.number.number = 2;
    paced.load_wait_ms = 2_000;
    directory.apply_status(paced, at(950));
    let outcome = plan(&directory, &["m1", "m2"], &demand(&[("m2", 0.0, 3.0)]));
    assert!(outcome.planned.is_empty());
    assert_eq!(outcome.blocked[0].paced, 1);
}

/// The advice contains the size of each model that the engine holds, so that its sidecar can check the sum
/// itself.
#[test]
fn advice_contains_the_size_of_every_model() {
    let directory = directory(&[(&["m1"], 0)], at(900));
    let outcome = plan(&directory, &["m1", "m2"], &demand(&[("m2", 0.0, 3.0)]));
    let advice = &outcome.planned[0].advice;
    let sizes: Vec<String> = advice
        .sizes
        .iter()
        .map(|row| row.model.to_string())
        .collect();
    assert_eq!(sizes, vec!["m1", "m2"]);
    assert!((advice.room_mb - 196.0).abs() < 1e-9);
}

/// Several models lose their holders at once while another model is in high demand. Evicting one of its few
/// replicas for a rarely requested model would refuse many callers for the sake of one. The rarely
/// requested model replaces another one of its kind.
#[test]
fn rare_model_does_not_evict_one_in_high_demand() {
    let directory = directory(&HOT_AND_RARE, at(900));
    let outcome = plan(
        &directory,
        &["hot", "rare1", "rare2", "rare3", "rare4", "rare5"],
        &demand(&[
            ("hot", 20.0, 10.0),
            ("rare1", 0.1, 0.0),
            ("rare2", 0.1, 0.0),
            ("rare3", 0.1, 0.0),
            ("rare4", 0.1, 0.0),
            ("rare5", 0.0, 1.0),
        ]),
    );
    let rare = outcome
        .planned
        .iter()
        .find(|load| load.advice.load == model("rare5"));
    let unload = &rare.unwrap().advice.unload;
    assert!(!unload.contains(&model("hot")), "{unload:?}");
}

/// The holders of a model refuse callers while another engine holds only rarely requested models. One of
/// those is evicted, even as the last replica: its next caller waits half a second, while many callers of
/// the other model are served every second.
#[test]
fn replica_of_a_model_in_high_demand_evicts_a_rare_one() {
    let directory = directory(&HOT_AND_RARE, at(900));
    let outcome = plan(
        &directory,
        &["hot", "rare1", "rare2", "rare3", "rare4"],
        &demand(&[
            ("hot", 20.0, 10.0),
            ("rare1", 0.1, 0.0),
            ("rare2", 0.1, 0.0),
            ("rare3", 0.1, 0.0),
            ("rare4", 0.1, 0.0),
        ]),
    );
    let row = ("e3".to_owned(), "hot".to_owned(), LoadReason::Busy);
    assert_eq!(loads(&outcome), vec![row]);
}

/// An engine that unloads a model waits two to five seconds for the model's streams and accepts no other
/// order meanwhile. Of two replicas that could make room, the one without streams is evicted.
#[test]
fn evicts_the_replica_without_running_streams() {
    let engines: [(&[&str], u32); 3] = [
        (&["calm", "used"], 2),
        (&["calm", "used"], 2),
        (&["hot"], 10),
    ];
    let directory = directory(&engines, at(900));
    let mut uses = FleetUses::default();
    uses.add(&model_use(1, "used", 2));
    uses.add(&model_use(2, "used", 2));
    let outcome = plan_with_uses(
        &directory,
        &["calm", "used", "hot"],
        &demand(&[("calm", 0.0, 0.0), ("used", 4.0, 0.0), ("hot", 10.0, 10.0)]),
        &uses,
    );
    assert_eq!(outcome.planned[0].advice.load, model("hot"));
    assert_eq!(outcome.planned[0].advice.unload, vec![model("calm")]);
}

/// Eight rarely requested models are in demand, each requested every other second, and six fit. Two cannot
/// be served at any time. If each replaced another one at once, all engines would only load, and the
/// callers of all eight would wait. The two therefore wait, and each then stays loaded for seconds.
#[test]
fn equally_requested_models_do_not_evict_each_other_at_once() {
    let names = ["r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"];
    let engines: [(&[&str], u32); 3] = [(&["r1", "r2"], 1), (&["r3", "r4"], 1), (&["r5", "r6"], 1)];
    let rows: Vec<(&str, f64, f64)> = names
        .iter()
        .map(|name| {
            if *name > "r6" {
                (*name, 0.0, 0.5)
            } else {
                (*name, 0.5, 0.0)
            }
        })
        .collect();
    let demand = demand(&rows);
    let uses = FleetUses::default();
    let demand = FleetDemand {
        models: &demand,
        uses: &uses,
    };
    let rule = engine_rule(&names);
    let mut planner = LoadPlanner::default();
    let mut rounds = (900..15_000).step_by(150).filter(|now| {
        let current = directory(&engines, at(*now));
        let outcome = planner.plan(&rule, current.service(&service()), demand, at(*now));
        !outcome.planned.is_empty()
    });
    let first = rounds.next().expect("the missing models are loaded");
    assert!((3_000..9_000).contains(&first), "after {first} ms");
}

/// New engines join a fleet in which all of the weight store's rate is allocated. They are still told to
/// load, together with the engines from which they can borrow the right. Otherwise they would stay empty
/// while other engines are full.
#[test]
fn engine_without_a_rate_share_is_told_its_lenders() {
    let mut directory = directory(&[(&["m1"], 10), (&[], 0)], at(900));
    let mut fresh = status(2, &[], 0);
    fresh.number.number = 2;
    fresh.load_wait_ms = u32::MAX;
    directory.apply_status(fresh, at(900));
    let outcome = plan(&directory, &["m1"], &demand(&[("m1", 12.0, 8.0)]));
    assert_eq!(outcome.planned.len(), 1);
    assert_eq!(outcome.planned[0].endpoint, crate::support::endpoint("e2"));
    assert_eq!(outcome.planned[0].advice.lenders, vec![address(1)]);
}

/// Two engines could load a replica: an idle one that takes six seconds to load it from the weight store,
/// and one with some load that has a copy on its disk. The second one is done five seconds sooner, and can
/// then load the next model.
#[test]
fn replica_is_loaded_where_a_local_copy_shortens_the_load() {
    let mut directory = directory(&[(&["m1"], 10), (&["m2"], 2), (&["m3"], 0)], at(900));
    let mut with_copy = status(2, &["m2"], 2);
    with_copy.number.number = 2;
    with_copy.copies = LocalCopies {
        in_memory: Vec::new(),
        on_disk: vec![model("m1")],
    };
    directory.apply_status(with_copy, at(900));
    let mut rule = engine_rule(&["m1", "m2", "m3"]);
    for model in &mut rule.models {
        model.load = Duration::from_secs(6);
    }
    let demand = demand(&[("m1", 12.0, 4.0), ("m2", 2.0, 0.0), ("m3", 0.0, 0.0)]);
    let uses = FleetUses::default();
    let demand = FleetDemand {
        models: &demand,
        uses: &uses,
    };
    let outcome =
        LoadPlanner::default().plan(&rule, directory.service(&service()), demand, at(1_000));
    assert_eq!(outcome.planned[0].advice.load, model("m1"));
    assert_eq!(outcome.planned[0].endpoint, crate::support::endpoint("e2"));
}

/// Guards against streams that can't go on although engines of their version serve: no such engine holds the model any
/// more, and the demand for it shows no gap because an engine of another version holds it.
#[test]
fn a_model_that_streams_need_at_a_version_is_loaded_there() {
    let engines: [(&[&str], u32); 3] = [(&["m1", "m2"], 0), (&["m2", "m3"], 0), (&["m2"], 0)];
    let mut directory = directory(&engines, at(800));
    let listed = |number, models: &[&str], text| EndpointRecord {
        version: Some(version(text)),
        ..record(number, models)
    };
    let records = vec![
        listed(1, &["m1", "m2"], "v2"),
        listed(2, &["m2", "m3"], "v1"),
        listed(3, &["m2"], "v2"),
    ];
    directory.apply_registry(records, at(850));
    for (number, (models, running)) in (1..).zip(engines) {
        directory.apply_status(status(number, models, running), at(900));
    }
    let rule = engine_rule(&["m1", "m2", "m3"]);
    let served = demand(&[("m1", 1.0, 0.0), ("m2", 1.0, 0.0)]);
    let loads = |needed: Option<&str>| {
        let mut planner = LoadPlanner::default();
        let nothing = Demand::new();
        let uses = FleetUses::default();
        let mut plan = |models: &Demand, now| {
            let demand = FleetDemand {
                models,
                uses: &uses,
            };
            planner.plan(&rule, directory.service(&service()), demand, at(now))
        };
        plan(&nothing, 950);
        if let Some(text) = needed {
            let needed = PinnedModel {
                model: model("m1"),
                version: version(text),
            };
            planner.note_pinned(needed, at(990));
        }
        let demand = FleetDemand {
            models: &served,
            uses: &uses,
        };
        let outcome = planner.plan(&rule, directory.service(&service()), demand, at(1_000));
        let loads = outcome.planned.into_iter();
        let pinned = loads.filter(|load| load.reason == LoadReason::Version);
        pinned.map(|load| load.endpoint).collect::<Vec<_>>()
    };
    assert_eq!(loads(None), []);
    assert_eq!(loads(Some("v2")), []);
    assert_eq!(loads(Some("v1")), [endpoint("e2")]);
    assert_eq!(loads(Some("v9")), []);
}
