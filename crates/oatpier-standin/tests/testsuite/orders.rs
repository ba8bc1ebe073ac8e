//! Tests of orders to an engine, its memory and the weight store.

use std::time::Duration;

use oatpier_ports::engine::OrderError;
use oatpier_standin::engine::{
    EngineFaults, EngineOptions, EngineRequest, OutputKind, SubmitError,
};
use oatpier_standin::weights::{WeightStore, WeightsOptions};
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::{EngineRole, OrderAction, WeightsState};
use oatpier_types::event::FleetEvent;

use crate::support::{core, engine_request, load, options, order, unload, weights};

const START: ClockTime = ClockTime::ZERO;
const LATER: ClockTime = ClockTime::from_millis(10_000);

fn request_of(model: &str) -> EngineRequest {
    EngineRequest {
        target: model.to_owned(),
        ..engine_request(1)
    }
}

#[test]
fn loaded_weights_serve_after_the_load_time() {
    let mut core = core(options());
    core.order(START, &load(1, 1, "m2")).unwrap();
    assert_eq!(core.state().held[1].state, WeightsState::Loading);
    assert_eq!(core.used_mib(), 2_048);
    assert_eq!(
        core.submit(START, request_of("m2")),
        Err(SubmitError::NotReady)
    );
    let ready = core.next_time();
    assert_eq!(ready, ClockTime::from_millis(125));
    core.advance(ready);
    assert_eq!(core.served_names(), ["m1", "m2"]);
    core.submit(ready, request_of("m2")).unwrap();
    assert_eq!(core.overcommits(), 0);
}

/// A third model is ordered into memory for two. The engine accepts the order, as a real one would
/// try to execute it. Invariant checks rely on the recorded overcommit.
#[test]
fn overcommitted_memory_is_recorded() {
    let mut core = core(options());
    core.order(START, &load(1, 1, "m2")).unwrap();
    assert_eq!(core.overcommits(), 0);
    core.order(START, &load(1, 2, "m3")).unwrap();
    assert_eq!(core.overcommits(), 1);
    let over = core.events().iter().filter(|logged| {
        matches!(logged.event, FleetEvent::MemoryUsed { used_mib, total_mib, .. } if used_mib > total_mib)
    });
    assert_eq!(over.count(), 1);
}

#[test]
fn an_unload_holds_its_memory_until_it_ends_and_interrupts_its_runs() {
    let mut core = core(options());
    core.submit(START, engine_request(1)).unwrap();
    core.order(START, &unload(1, 1, "m1")).unwrap();
    assert_eq!(core.used_mib(), 1_024);
    let outputs = core.advance(START);
    assert_eq!(outputs[0].kind, OutputKind::Interrupted);
    core.advance(ClockTime::from_millis(100));
    assert_eq!(core.used_mib(), 0);
}

/// An order of a former agent arrives after one of its successor. An engine that checks order numbers
/// refuses it, and one that ignores them executes it.
#[test]
fn an_old_number_is_refused_only_where_numbers_are_checked() {
    let mut checks = core(options());
    let newer = load(2, 1, "m2");
    checks.order(START, &newer).unwrap();
    checks.order(START, &newer).unwrap();
    let highest = newer.number;
    let stale = checks.order(START, &unload(1, 9, "m1"));
    assert_eq!(stale, Err(OrderError::Stale { highest }));
    assert_eq!(checks.state().highest, Some(highest));
    assert_eq!(checks.state().held[0].state, WeightsState::Ready);

    let mut ignores = core(EngineOptions {
        checks_order_numbers: false,
        ..options()
    });
    ignores.order(START, &newer).unwrap();
    ignores.order(START, &unload(1, 9, "m1")).unwrap();
    assert_eq!(ignores.state().highest, None);
    assert_eq!(ignores.state().held[0].state, WeightsState::Unloading);
}

/// An order gets no answer. It may have been lost, have been executed, or be executed later. The
/// sender can't distinguish the three cases.
#[test]
fn an_order_without_an_answer_may_have_any_outcome() {
    let faults = [
        (
            EngineFaults {
                lose_orders: 1,
                ..EngineFaults::default()
            },
            false,
            false,
        ),
        (
            EngineFaults {
                lose_order_answers: 1,
                ..EngineFaults::default()
            },
            true,
            true,
        ),
        (
            EngineFaults {
                late_orders: 1,
                late_ms: 5_000,
                ..EngineFaults::default()
            },
            false,
            true,
        ),
    ];
    for (fault, at_once, later) in faults {
        let mut core = core(options());
        core.set_faults(START, fault);
        let result = core.order(START, &load(1, 1, "m2"));
        assert!(matches!(result, Err(OrderError::Unknown { .. })));
        assert_eq!(core.state().held.len() == 2, at_once, "{fault:?}");
        core.advance(LATER);
        assert_eq!(core.state().held.len() == 2, later, "{fault:?}");
    }
}

/// The network duplicates an order to load, and the duplicate arrives after the unload that followed.
/// Without number checks, the model is loaded again although no agent ordered it.
#[test]
fn a_duplicated_order_is_executed_again_without_number_checks() {
    for checks_order_numbers in [true, false] {
        let mut core = core(EngineOptions {
            checks_order_numbers,
            ..options()
        });
        let double_orders = 1;
        let fault = EngineFaults {
            double_orders,
            late_ms: 5_000,
            ..EngineFaults::default()
        };
        core.set_faults(START, fault);
        core.order(START, &load(1, 1, "m2")).unwrap();
        core.advance(ClockTime::from_millis(1_000));
        core.order(ClockTime::from_millis(1_000), &unload(1, 2, "m2"))
            .unwrap();
        core.advance(LATER);
        assert_eq!(core.served_names().len() == 2, !checks_order_numbers);
    }
}

#[test]
fn a_role_takes_time_to_change() {
    let mut core = core(options());
    let role = EngineRole::Prefill;
    core.order(START, &order(1, 1, OrderAction::SetRole { role }))
        .unwrap();
    assert_eq!(core.state().role, EngineRole::Both);
    core.advance(ClockTime::from_millis(500));
    assert_eq!(core.state().role, role);
    let refused = core.submit(LATER, engine_request(1));
    assert_eq!(refused, Err(SubmitError::PrefillOnly));
}

#[test]
fn the_weight_store_limits_rate_and_concurrency() {
    let shared = WeightStore::shared(WeightsOptions {
        loads_per_second: 2.0,
        full_speed_loads: 1,
        mib_per_second: 1_024,
        ..WeightsOptions::default()
    });
    let mut store = shared.lock().unwrap();
    let first = store.begin_load(START, &weights("m1"));
    let second = store.begin_load(START, &weights("m2"));
    assert_eq!(first, START + Duration::from_secs(1));
    // It starts half a second later, while the first one still runs, and so at half the speed.
    assert_eq!(second, START + Duration::from_millis(2_500));
}
