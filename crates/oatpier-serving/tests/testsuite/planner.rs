//! Which engine should load which model.
//!
//! The load: demand moves between models within 4 to 6 s, rare models are asked for at once, and
//! engines come back empty.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_serving::directory::EndpointDirectory;
use oatpier_serving::engine::LocalCopies;
use oatpier_serving::message::{LimitWord, ModelUse};
use oatpier_serving::notice::RequestRate;
use oatpier_serving::peers::{FleetUses, TotalDemand};
use oatpier_serving::planner::{FleetDemand, LoadPlanner, LoadReason, PlanOutcome};
use oatpier_types::names::ModelName;

use crate::support::{
    address, at, directory, endpoint, engine_rule, model, pulse, record, service,
};

/// Two engines that are full with a model in great demand, and one with models that are rarely asked for.
const HOT_BESIDE_RARE: [(&[&str], u32); 3] = [
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
    plan_beside(directory, names, demand, &FleetUses::default())
}

/// Plans where engines are used like this.
fn plan_beside(
    directory: &EndpointDirectory,
    names: &[&str],
    demand: &Demand,
    uses: &FleetUses,
) -> PlanOutcome {
    let rule = engine_rule(names);
    let mut planner = LoadPlanner::default();
    // The rate of the weight store fills up with time.
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

/// Requests for a model at the engine of a number.
fn used(number: u8, name: &str, requests: u32) -> ModelUse {
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

/// A model that nobody holds is asked for. Its callers wait or are refused until it is loaded; the
/// idle engine loads it, not the busy one.
#[test]
fn a_model_that_is_asked_for_gets_a_holder_on_the_idlest_engine() {
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
fn room_is_made_by_a_replica_and_never_by_the_last_holder_of_a_model_in_demand() {
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

/// Callers of a busy model are refused while other engines idle: one more replica takes a part of
/// its requests.
#[test]
fn a_busy_model_gets_a_replica_where_others_idle() {
    let directory = directory(&[(&["m1"], 10), (&["m2"], 0), (&["m3"], 0)], at(900));
    let outcome = plan(
        &directory,
        &["m1", "m2", "m3"],
        &demand(&[("m1", 10.0, 5.0)]),
    );
    assert!(loads(&outcome).iter().all(|(_, name, _)| name == "m1"));
    assert!(!outcome.planned.is_empty());
}

/// The only holder of a model names a limit that leaves it a request a second: its callers are turned away while other
/// engines idle. A limit that is over soon is not worth a load.
#[test]
fn a_model_whose_holder_may_take_few_requests_gets_another_holder() {
    let mut directory = directory(&[(&["hot"], 1), (&["rare"], 0)], at(0));
    let demand = demand(&[("hot", 0.5, 0.5)]);
    let word = LimitWord {
        endpoint: endpoint("e1"),
        start: None,
        rate: Some(RequestRate::try_from(1.0).unwrap()),
        sent_ago_ms: 0,
    };
    directory.take_limit_word(&word, at(0));
    for number in [1, 2] {
        let mut heard = pulse(
            number,
            [&["hot"][..], &["rare"]][usize::from(number) - 1],
            0,
        );
        heard.number.number = 2;
        directory.take_pulse(heard, at(2_500));
    }
    let rule = engine_rule(&["hot", "rare"]);
    let mut planner = LoadPlanner::default();
    let mut round = |now| {
        let demand = FleetDemand {
            models: &demand,
            uses: &FleetUses::default(),
        };
        loads(&planner.plan(&rule, directory.service(&service()), demand, at(now)))
    };
    assert_eq!(round(1_500), []);
    let load = ("e2".to_owned(), "hot".to_owned(), LoadReason::Unreachable);
    assert_eq!(round(2_600), [load]);
}

#[test]
fn a_calm_fleet_is_left_alone() {
    let directory = directory(&[(&["m1"], 2), (&["m2"], 1)], at(900));
    let outcome = plan(
        &directory,
        &["m1", "m2"],
        &demand(&[("m1", 2.0, 0.0), ("m2", 1.0, 0.0)]),
    );
    assert!(outcome.planned.is_empty());
}

/// All engines were restarted and are empty, and so is the memory of all gateways. What had many
/// replicas has many copies on the engines' disks, and comes back first and oftenest.
#[test]
fn empty_engines_are_refilled_from_their_own_copies() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry((1..=3).map(|number| record(number, &[])).collect(), at(900));
    for number in 1..=3 {
        let mut empty = pulse(number, &[], 0);
        let mut on_disk = vec![model("popular")];
        if number == 3 {
            on_disk.push(model("rare"));
        }
        empty.copies = LocalCopies {
            in_memory: Vec::new(),
            on_disk,
        };
        directory.take_pulse(empty, at(900));
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
fn an_engine_that_must_wait_for_its_part_of_the_rate_is_not_advised() {
    let mut directory = directory(&[(&["m1"], 0)], at(900));
    let mut paced = pulse(1, &["m1"], 0);
    paced.number.number = 2;
    paced.load_wait_ms = 2_000;
    directory.take_pulse(paced, at(950));
    let outcome = plan(&directory, &["m1", "m2"], &demand(&[("m2", 0.0, 3.0)]));
    assert!(outcome.planned.is_empty());
    assert_eq!(outcome.blocked[0].paced, 1);
}

/// The advice names the size of everything that the engine holds, so that its sidecar can check
/// the sum by itself.
#[test]
fn advice_names_every_size() {
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

/// Several models lose their holders at once while another one is in great demand. Taking one of its few
/// replicas to bring a rare model back would turn many callers away for one; the rare model goes where
/// a rare one leaves.
#[test]
fn a_rare_model_does_not_take_the_place_of_one_in_great_demand() {
    let directory = directory(&HOT_BESIDE_RARE, at(900));
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

/// The holders of a model turn callers away while another engine only keeps models that are asked for
/// now and then. One of those goes, also as the last holder: its next caller waits half a second, and
/// every second many callers of the other one are served.
#[test]
fn a_model_in_great_demand_gets_a_replica_in_the_place_of_a_rare_one() {
    let directory = directory(&HOT_BESIDE_RARE, at(900));
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

/// An engine waits for the streams of a model that it unloads, two to five seconds, and takes no other
/// order meanwhile. Of two replicas that could make room, the one without streams goes.
#[test]
fn room_is_made_where_no_streams_have_to_end_first() {
    let engines: [(&[&str], u32); 3] = [
        (&["calm", "used"], 2),
        (&["calm", "used"], 2),
        (&["hot"], 10),
    ];
    let directory = directory(&engines, at(900));
    let mut uses = FleetUses::default();
    uses.add(&used(1, "used", 2));
    uses.add(&used(2, "used", 2));
    let outcome = plan_beside(
        &directory,
        &["calm", "used", "hot"],
        &demand(&[("calm", 0.0, 0.0), ("used", 4.0, 0.0), ("hot", 10.0, 10.0)]),
        &uses,
    );
    assert_eq!(outcome.planned[0].advice.load, model("hot"));
    assert_eq!(outcome.planned[0].advice.unload, vec![model("calm")]);
}

/// Eight rare models are in demand, each asked for every other second, and there are places for six. Two
/// can't be served at any time. If each took the place of another one at once, all engines would only load, and
/// the callers of all eight would wait; so the two wait for a turn, and each then has it for seconds.
#[test]
fn models_that_are_asked_for_alike_take_turns_of_seconds() {
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
        let heard = directory(&engines, at(*now));
        let outcome = planner.plan(&rule, heard.service(&service()), demand, at(*now));
        !outcome.planned.is_empty()
    });
    let first = rounds.next().expect("the missing models get their turn");
    assert!((3_000..9_000).contains(&first), "after {first} ms");
}

/// Fresh engines join a fleet in which every part of the weight store's rate is given away. They are told to
/// load all the same, and whose right they may borrow: left alone they would stay empty while others are full.
#[test]
fn an_engine_without_a_part_of_the_rate_is_told_whose_it_may_borrow() {
    let mut directory = directory(&[(&["m1"], 10), (&[], 0)], at(900));
    let mut fresh = pulse(2, &[], 0);
    fresh.number.number = 2;
    fresh.load_wait_ms = u32::MAX;
    directory.take_pulse(fresh, at(900));
    let outcome = plan(&directory, &["m1"], &demand(&[("m1", 12.0, 8.0)]));
    assert_eq!(outcome.planned.len(), 1);
    assert_eq!(outcome.planned[0].endpoint, crate::support::endpoint("e2"));
    assert_eq!(outcome.planned[0].advice.lenders, vec![address(1)]);
}

/// Two engines could take a replica: an idle one that would load it from the weight store for six seconds, and one
/// with some work that has it on its disk. The second has it five seconds sooner, and can load the next
/// model then.
#[test]
fn a_replica_goes_where_a_copy_makes_its_load_short() {
    let mut directory = directory(&[(&["m1"], 10), (&["m2"], 2), (&["m3"], 0)], at(900));
    let mut with_copy = pulse(2, &["m2"], 2);
    with_copy.number.number = 2;
    with_copy.copies = LocalCopies {
        in_memory: Vec::new(),
        on_disk: vec![model("m1")],
    };
    directory.take_pulse(with_copy, at(900));
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
