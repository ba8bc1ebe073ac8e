//! Tests of orders under faults: memory is never overcommitted, and the plan is eventually reached.

use std::time::Duration;

use oatpier_standin::engine::EngineFaults;
use oatpier_standin::store::{DownMode, StoreFaults};

use crate::fleet::Fleet;
use crate::shape::FleetShape;

const SECOND: Duration = Duration::from_secs(1);

/// One engine with memory for two models.
const TIGHT_MEMORY: FleetShape = FleetShape {
    engines: 1,
    memory_mib: 2_000,
    checks_numbers: true,
    models: &["meals", "seats", "tables"],
};

fn loads(fleet: &Fleet) -> Vec<String> {
    fleet.engine(1).with_core(|core, _| {
        core.events()
            .iter()
            .map(|event| format!("{event:?}"))
            .collect()
    })
}

#[tokio::test(start_paused = true)]
async fn a_plan_is_executed_and_served() {
    for checks_numbers in [true, false] {
        let shape = FleetShape {
            checks_numbers,
            ..TIGHT_MEMORY
        };
        let mut fleet = Fleet::start(shape, &[]);
        fleet.plan(1, &["meals", "tables"]);
        fleet
            .until("the plan is served", || {
                fleet.serves(1, &["meals", "tables"])
            })
            .await;
        assert!(fleet.holds(1, &["meals", "tables"]));
    }
}

/// The plan changes and no longer includes one of the loaded weights, while orders are lost, late,
/// duplicated or lose their answer. The engine's own record must show that it was never given more
/// than fits into its memory, and it must end with the planned weights. Engines that ignore order
/// numbers execute a late duplicate whenever it arrives, so the memory of a load stays charged until
/// no duplicate can arrive any more.
#[tokio::test(start_paused = true)]
async fn lost_late_and_duplicate_orders_never_overcommit() {
    let plain = EngineFaults::default();
    let faults = [
        EngineFaults {
            lose_orders: 3,
            ..plain
        },
        EngineFaults {
            lose_order_answers: 3,
            ..plain
        },
        EngineFaults {
            late_orders: 2,
            late_ms: 9_000,
            ..plain
        },
        EngineFaults {
            double_orders: 4,
            late_ms: 20_000,
            ..plain
        },
    ];
    for (checks_numbers, faults) in [true, false]
        .into_iter()
        .flat_map(|c| faults.map(|f| (c, f)))
    {
        let shape = FleetShape {
            engines: 2,
            checks_numbers,
            ..TIGHT_MEMORY
        };
        let mut fleet = Fleet::start(shape, &["seats"]);
        fleet.plan(1, &["meals", "seats"]);
        fleet.plan(2, &["seats"]);
        fleet.pass(SECOND).await;
        fleet.engine(1).set_faults(faults);
        fleet
            .until("both models are held", || {
                fleet.holds(1, &["meals", "seats"])
            })
            .await;
        fleet.engine(1).set_faults(faults);
        fleet.plan(1, &["meals", "tables"]);
        fleet
            .until("the new plan is held", || {
                fleet.holds(1, &["meals", "tables"])
            })
            .await;
        fleet.pass(300 * SECOND).await;
        assert!(
            fleet.serves(1, &["meals", "tables"]),
            "{checks_numbers} {faults:?}"
        );
    }
}

/// An agent dies just after it has ordered a load, and the order is late. Its successor plans other
/// weights, which fit into memory only without those of the earlier order. Whether or not the engine
/// executes that order, it must never be ordered to hold both.
#[tokio::test(start_paused = true)]
async fn an_agent_restarted_during_a_load_never_overcommits() {
    for checks_numbers in [true, false] {
        for late_ms in [0, 400, 3_000, 30_000] {
            let shape = FleetShape {
                checks_numbers,
                memory_mib: 1_500,
                ..TIGHT_MEMORY
            };
            let mut fleet = Fleet::start(shape, &[]);
            fleet.has_entry = false;
            fleet.pass(3 * SECOND).await;
            fleet.engine(1).set_faults(EngineFaults {
                late_orders: u32::from(late_ms > 0),
                late_ms,
                ..EngineFaults::default()
            });
            fleet.plan(1, &["meals"]);
            fleet.pass(Duration::from_millis(600)).await;
            fleet.restart_agent(1);
            fleet.plan(1, &["tables"]);
            fleet.pass(400 * SECOND).await;
            // `meals` may stay loaded, as it is the only replica, and leave no memory for `tables`.
            let held = fleet.holds(1, &["meals"]) || fleet.holds(1, &["tables"]);
            assert!(held, "{checks_numbers} {late_ms} {:?}", loads(&fleet));
        }
    }
}

/// The store fails between two moves. For an engine that checks order numbers, the next order needs no
/// write to the store. For one that does not, a successor could not learn of the order, so none is
/// sent until the store is back. Loaded weights stay and are served.
#[tokio::test(start_paused = true)]
async fn a_move_in_a_store_outage_waits_only_where_numbers_are_ignored() {
    for checks_numbers in [true, false] {
        let shape = FleetShape {
            checks_numbers,
            ..TIGHT_MEMORY
        };
        let mut fleet = Fleet::start(shape, &["seats"]);
        fleet.has_entry = false;
        fleet.pass(8 * SECOND).await;
        for down in [DownMode::Refuse, DownMode::Drop] {
            fleet.store.set_faults(StoreFaults {
                down: Some(down),
                ..StoreFaults::default()
            });
            fleet.plan(1, &["seats", "tables"]);
            fleet.pass(30 * SECOND).await;
            assert_eq!(fleet.holds(1, &["seats", "tables"]), checks_numbers);
            assert!(fleet.serves(1, &["seats", "tables"]) || fleet.serves(1, &["seats"]));
        }
        fleet.store.set_faults(StoreFaults::default());
        fleet
            .until("the plan is held", || fleet.holds(1, &["seats", "tables"]))
            .await;
    }
}

/// An agent starts during an outage of the store. It sends no order, as it has no epoch, and serves
/// the weights that the engine holds.
#[tokio::test(start_paused = true)]
async fn an_agent_that_starts_in_a_store_outage_serves_loaded_weights() {
    let mut fleet = Fleet::start(TIGHT_MEMORY, &["seats"]);
    fleet.has_entry = false;
    fleet.store.set_faults(StoreFaults {
        down: Some(DownMode::Drop),
        ..StoreFaults::default()
    });
    fleet.restart_agent(1);
    fleet.plan(1, &["seats", "tables"]);
    fleet.pass(20 * SECOND).await;
    assert!(fleet.serves(1, &["seats"]));
    assert!(fleet.holds(1, &["seats"]));
    fleet.store.set_faults(StoreFaults::default());
    fleet
        .until("the plan is served", || {
            fleet.serves(1, &["seats", "tables"])
        })
        .await;
}
