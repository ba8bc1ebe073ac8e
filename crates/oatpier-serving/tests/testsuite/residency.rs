//! Which order an engine gets next.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::engine::{EngineOrder, EngineReport, LocalCopies, OrderAnswer, StartTime};
use oatpier_serving::message::{
    AdapterRequest, AdapterUse, GatewaySubscription, LoadAdvice, ModelSize,
};
use oatpier_serving::residency::{EngineResidency, LoadPace};
use proptest::prelude::*;

use crate::support::{adapter, address, at, fixed_cases, held, model, zone};

const PACE: LoadPace = LoadPace {
    loads: 4,
    engines: 4,
    index: 0,
    window: Duration::from_secs(5),
};

fn residency() -> EngineResidency {
    EngineResidency::new(PACE, true, at(0))
}

pub fn report(sequence: u64, models: &[&str]) -> EngineReport {
    EngineReport {
        sequence,
        models: models.iter().map(|name| held(name, &[])).collect(),
        ..EngineReport::default()
    }
}

pub fn advice(load: &str, unload: &[&str], held_models: &[&str]) -> LoadAdvice {
    let sizes = held_models.iter().chain([&load]).map(|name| ModelSize {
        model: model(name),
        size_mb: 90.0,
    });
    LoadAdvice {
        load: model(load),
        unload: unload.iter().map(|name| model(name)).collect(),
        sizes: sizes.collect(),
        room_mb: 196.0,
        lenders: Vec::new(),
    }
}

fn subscription(used: &[(&str, u32)]) -> GatewaySubscription {
    let used = used.iter().map(|(name, requests)| AdapterUse {
        key: adapter("m1", name),
        requests: *requests,
    });
    GatewaySubscription {
        zone: zone("near"),
        processor: 100,
        is_heard: true,
        used: used.collect(),
        engines: 4,
        place: 0,
        loads_per_window: 4,
        adapter_slots: 2,
        health_path: std::sync::Arc::from("/health"),
    }
}

fn adapter_request(name: &str) -> AdapterRequest {
    AdapterRequest {
        key: adapter("m1", name),
        slots: 2,
    }
}

fn gateway() -> SocketAddr {
    address(99)
}

#[test]
fn load_that_fits_is_ordered_under_the_current_sequence() {
    let mut residency = residency();
    residency.apply_report(report(7, &["m1"]));
    residency.accept_advice(advice("m2", &[], &["m1"]), at(0));
    let order = residency.next_order(at(0)).unwrap();
    assert_eq!(order.order, EngineOrder::LoadModel(model("m2")));
    assert_eq!(order.expect, 7);
}

/// An engine that is ordered to hold more than its memory crashes with all its requests. The sum is checked
/// here, regardless of the state that the planner assumed.
#[test]
fn load_that_exceeds_memory_is_not_ordered() {
    let mut residency = residency();
    residency.apply_report(report(1, &["m1", "m2"]));
    residency.accept_advice(advice("m3", &[], &["m1", "m2"]), at(0));
    assert_eq!(residency.next_order(at(0)), None);
}

#[test]
fn held_model_of_unknown_size_blocks_loads() {
    let mut residency = residency();
    residency.apply_report(report(1, &["stranger"]));
    residency.accept_advice(advice("m2", &[], &[]), at(0));
    assert_eq!(residency.next_order(at(0)), None);
}

/// The engine refuses requests that arrive after the order to unload their model. Gateways are therefore
/// told first, and the order follows after a short delay.
#[test]
fn gateways_are_told_before_a_model_is_unloaded() {
    let mut residency = residency();
    residency.apply_report(report(1, &["m1", "m2"]));
    residency.accept_advice(advice("m3", &["m1"], &["m1", "m2"]), at(0));
    assert_eq!(residency.retiring(), [model("m1")]);
    assert_eq!(residency.next_order(at(0)), None);
    let order = residency.next_order(at(50)).unwrap();
    assert_eq!(order.order, EngineOrder::UnloadModel(model("m1")));
}

/// The answer to a load is lost. The engine may begin the load at once, seconds later, or never. The same
/// order is repeated under the same sequence number before any other, so that only one of the two is
/// accepted.
#[test]
fn unanswered_load_is_repeated_before_other_orders() {
    let mut residency = residency();
    residency.apply_report(report(1, &["m1"]));
    residency.accept_advice(advice("m2", &[], &["m1"]), at(0));
    let order = residency.next_order(at(0)).unwrap();
    residency.note_answer(&order, OrderAnswer::Unknown, at(10));
    residency.apply_report(report(1, &["m1"]));
    residency.request_adapter(adapter_request("a1"), at(20));
    assert_eq!(residency.next_order(at(20)), Some(order));
    residency.apply_report(report(2, &["m1"]));
    assert!(matches!(
        residency.next_order(at(30)).unwrap().order,
        EngineOrder::LoadAdapter(_)
    ));
}

#[test]
fn restarted_sidecar_waits_a_whole_spacing_before_a_store_load() {
    let mut residency = EngineResidency::new(PACE, false, at(0));
    residency.apply_report(report(1, &[]));
    residency.accept_advice(advice("m1", &[], &[]), at(0));
    assert_eq!(residency.next_order(at(4_000)), None);
    // A right that the previous process may have lent has been used by then.
    assert_eq!(residency.next_order(at(5_000)), None);
    assert!(residency.next_order(at(5_300)).is_some());
}

#[test]
fn load_from_local_copies_is_not_rate_limited() {
    let mut residency = EngineResidency::new(PACE, false, at(0));
    let mut own = report(1, &[]);
    own.copies = LocalCopies {
        in_memory: Vec::new(),
        on_disk: vec![model("m1")],
    };
    residency.apply_report(own);
    residency.accept_advice(advice("m1", &[], &[]), at(0));
    assert!(residency.next_order(at(0)).is_some());
}

#[test]
fn idle_adapter_is_unloaded_to_make_room() {
    let mut residency = residency();
    let mut full = report(1, &[]);
    full.models = vec![held("m1", &["a1", "a2"])];
    residency.apply_report(full);
    residency.apply_subscription(gateway(), &subscription(&[("a1", 1), ("a2", 0)]), at(0));
    residency.request_adapter(adapter_request("a3"), at(100));
    let order = residency.next_order(at(100)).unwrap();
    assert_eq!(order.order, EngineOrder::UnloadAdapter(adapter("m1", "a2")));
}

/// An engine that is told to unload an adapter in use accepts no other order until its streams have ended,
/// and can load nothing else for seconds. Such an adapter is only withdrawn from new requests, and is
/// unloaded once gateways report that no request uses it.
#[test]
fn adapter_in_use_is_drained_before_it_is_unloaded() {
    let mut residency = residency();
    let mut full = report(1, &[]);
    full.models = vec![held("m1", &["a1", "a2"])];
    residency.apply_report(full);
    residency.apply_subscription(gateway(), &subscription(&[("a1", 1), ("a2", 3)]), at(0));
    residency.request_adapter(adapter_request("a3"), at(100));
    assert_eq!(residency.next_order(at(100)), None);
    assert_eq!(residency.offered_models()[0].adapters.len(), 1);
    residency.apply_subscription(gateway(), &subscription(&[("a2", 3)]), at(150));
    residency.request_adapter(adapter_request("a3"), at(200));
    let order = residency.next_order(at(200)).unwrap();
    assert_eq!(order.order, EngineOrder::UnloadAdapter(adapter("m1", "a1")));
}

#[test]
fn busy_engine_gets_no_order() {
    let mut residency = residency();
    let mut busy = report(1, &["m1"]);
    busy.busy = true;
    residency.apply_report(busy);
    residency.accept_advice(advice("m2", &[], &["m1"]), at(0));
    assert_eq!(residency.next_order(at(0)), None);
}

#[test]
fn adapter_request_that_is_not_repeated_expires() {
    let mut residency = residency();
    residency.apply_report(report(1, &["m1"]));
    residency.apply_subscription(gateway(), &subscription(&[]), at(0));
    residency.request_adapter(adapter_request("a1"), at(0));
    assert_eq!(residency.next_order(at(1_000)), None);
}

proptest! {
    #![proptest_config(fixed_cases(128))]

    /// The weight store limits the loads that begin in any window over all engines. Sidecars do not
    /// coordinate, so the limit must hold if each of them loads whenever it may, also while sidecars are
    /// killed and restarted.
    #[test]
    fn sidecars_together_keep_the_store_rate_limit(
        engines in 1_u32..40,
        loads in 1_u32..40,
        restarts in prop::collection::vec((0_u64..20_000, 0_usize..40), 0..20),
    ) {
        let pace_of = |index| LoadPace { loads, engines, index, window: Duration::from_secs(5) };
        let count = engines as usize;
        let mut sidecars: Vec<EngineResidency> =
            (0..engines).map(|place| EngineResidency::new(pace_of(place), true, at(0))).collect();
        let mut begun = Vec::new();
        for now in (0..20_000).step_by(100) {
            for (when, which) in &restarts {
                if (now..now + 100).contains(when) && *which < count {
                    let place = u32::try_from(*which).unwrap();
                    sidecars[*which] = EngineResidency::new(pace_of(place), false, at(now));
                }
            }
            for sidecar in &mut sidecars {
                sidecar.apply_report(report(now, &[]));
                sidecar.accept_advice(advice("m1", &[], &[]), at(now));
                if let Some(order) = sidecar.next_order(at(now)) {
                    begun.push(now);
                    sidecar.note_answer(&order, OrderAnswer::Taken, at(now));
                    sidecar.apply_report(report(now + 1, &["m1"]));
                }
            }
        }
        for end in &begun {
            let within = begun.iter().filter(|time| **time <= *end && **time + 5_000 > *end);
            prop_assert!(within.count() <= loads.max(1) as usize);
        }
    }

    /// For any advice in any order, the weights that an engine is told to hold never exceed its memory.
    #[test]
    fn memory_is_never_overcommitted(
        steps in prop::collection::vec((0_usize..6, 0_usize..6, any::<bool>()), 1..60),
    ) {
        let names = ["m0", "m1", "m2", "m3", "m4", "m5"];
        let pace = LoadPace { loads: 1_000, engines: 1, index: 0, window: Duration::from_millis(1) };
        let mut residency = EngineResidency::new(pace, true, at(0));
        let mut held_models: Vec<&str> = Vec::new();
        let mut now = 0;
        for (sequence, (load, unload, stale)) in (0_u64..).zip(steps) {
            now += 100;
            let known: Vec<&str> = if stale { Vec::new() } else { held_models.clone() };
            residency.apply_report(report(sequence, &held_models));
            residency.accept_advice(advice(names[load], &[names[unload]], &known), at(now));
            now += 100;
            let Some(order) = residency.next_order(at(now)) else { continue };
            match &order.order {
                EngineOrder::LoadModel(name) => held_models.push(names[load_index(name.as_str())]),
                EngineOrder::UnloadModel(name) => held_models.retain(|held| *held != name.as_str()),
                _ => {}
            }
            residency.note_answer(&order, OrderAnswer::Taken, at(now));
            prop_assert!(held_models.len() <= 2, "{held_models:?}");
        }
    }
}

fn load_index(name: &str) -> usize {
    name[1..].parse().unwrap()
}

#[test]
fn pace_divides_the_store_rate() {
    let pace = LoadPace {
        loads: 18,
        engines: 18,
        index: 17,
        window: Duration::from_secs(5),
    };
    assert_eq!(pace.spacing(), Some(Duration::from_secs(5)));
    let few = LoadPace { engines: 6, ..pace };
    assert_eq!(few.spacing(), Some(Duration::from_secs(5) / 3));
    let many = LoadPace {
        engines: 36,
        ..pace
    };
    assert_eq!(many.spacing(), Some(Duration::from_secs(5)));
    let last = LoadPace { index: 18, ..many };
    assert_eq!(last.spacing(), None);
}

/// Four engines share one load per window. All of them have advice to load when they start. If each applied
/// its share only after its first load, all four would begin at once.
#[test]
fn engines_beyond_the_rate_do_not_load_at_startup() {
    let begun = (0..4).filter(|place| {
        let pace = LoadPace {
            loads: 1,
            engines: 4,
            index: *place,
            window: Duration::from_secs(5),
        };
        let mut sidecar = EngineResidency::new(pace, true, at(0));
        sidecar.apply_report(report(0, &[]));
        sidecar.accept_advice(advice("m1", &[], &[]), at(0));
        sidecar.next_order(at(0)).is_some()
    });
    assert_eq!(begun.count(), 1);
}

/// The engine rejects the unload that was to make room. If the order were repeated after every report, it
/// would be rejected each time, and meanwhile the model would get no requests and other advice would be
/// ignored.
#[test]
fn advice_is_dropped_when_its_unload_is_rejected() {
    let mut residency = residency();
    residency.apply_report(report(1, &["m1", "m2"]));
    residency.accept_advice(advice("m3", &["m1"], &["m1", "m2"]), at(0));
    let order = residency.next_order(at(50)).unwrap();
    residency.note_answer(&order, OrderAnswer::Rejected, at(50));
    residency.apply_report(report(1, &["m1", "m2"]));
    assert_eq!(residency.next_order(at(120)), None);
    assert!(residency.retiring().is_empty());
}

#[test]
fn report_with_fewer_orders_reveals_a_restart() {
    let mut residency = residency();
    residency.apply_report(report(5, &["m1"]));
    assert!(residency.is_restarted(&report(0, &[])));
    assert!(!residency.is_restarted(&report(6, &["m1"])));
    residency.forget_engine(at(0));
    assert!(!residency.is_restarted(&report(0, &[])));
}

/// The configuration is changed to a longer window. A sidecar that kept its initial one would load from the
/// weight store more often than the current limit allows.
#[test]
fn changed_window_applies_to_the_next_load() {
    let mut residency = residency();
    residency.set_load_window(Duration::from_secs(20));
    residency.apply_report(report(1, &["m1"]));
    residency.accept_advice(advice("m2", &[], &["m1"]), at(0));
    let order = residency.next_order(at(0)).unwrap();
    residency.note_answer(&order, OrderAnswer::Taken, at(0));
    assert_eq!(residency.store_load_wait(at(0)), Duration::from_secs(20));
}

fn report_from_start(start: u64, sequence: u64, models: &[&str]) -> EngineReport {
    EngineReport {
        start: Some(StartTime(start)),
        ..report(sequence, models)
    }
}

/// An engine restarts under the same name and has accepted as many orders as before by its next report.
/// Only its start time reveals the restart.
#[test]
fn report_with_another_start_time_reveals_a_restart() {
    let mut residency = residency();
    residency.apply_report(report_from_start(1_000, 2, &["m1"]));
    assert!(residency.is_restarted(&report_from_start(2_000, 2, &[])));
    assert!(residency.is_restarted(&report_from_start(500, 4, &[])));
    assert!(!residency.is_restarted(&report_from_start(1_000, 3, &["m1"])));
    assert!(!residency.is_restarted(&report(3, &["m1"])));
}

/// The answer to a load is lost, and the engine restarts under the same name. The lost order names that
/// engine and may be carried out once the restarted engine is at its sequence number. In addition to two
/// other models it would exceed the memory and crash the engine. Memory is reserved for it until it can no
/// longer be carried out.
#[test]
fn memory_is_reserved_for_an_orphaned_load() {
    let mut residency = residency();
    residency.apply_report(report(1, &["m1"]));
    residency.accept_advice(advice("m2", &[], &["m1"]), at(0));
    let lost = residency.next_order(at(0)).unwrap();
    residency.note_answer(&lost, OrderAnswer::Unknown, at(0));
    residency.forget_engine(at(100));
    residency.apply_report(report(0, &[]));
    residency.accept_advice(advice("m3", &[], &[]), at(5_100));
    let first = residency.next_order(at(5_100)).unwrap();
    residency.note_answer(&first, OrderAnswer::Taken, at(5_100));
    residency.apply_report(report(1, &["m3"]));
    residency.accept_advice(advice("m4", &[], &["m3"]), at(10_200));
    assert_eq!(residency.next_order(at(10_200)), None);
    residency.accept_advice(advice("m4", &[], &["m3"]), at(14_000));
    assert!(residency.next_order(at(14_000)).is_some());
}
