//! Checks the two guarantees, on memory and on reachability, under random plans, versions and
//! faults.

use std::time::Duration;

use oatpier_placement::orders::OrderSettings;
use oatpier_placement::steps::StepWait;
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::VersionName;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fleet::{adapter, add_adapter, base, fleet};
use crate::world::{FaultRates, World};

const CAPACITY_MIB: u64 = 100;
/// Longer than the maximum order delay of the tests plus the time that a store confirmation counts.
const HOLD: Duration = Duration::from_secs(40);

pub fn settings(checks: bool) -> OrderSettings {
    OrderSettings {
        late_order_hold: HOLD,
        ..OrderSettings::new(checks, CAPACITY_MIB)
    }
}

/// Creates three engines with the models `a` (with adapter `x`), `b` and `c`, each ready on two
/// engines.
pub fn world(checks: bool, settings: OrderSettings, seed: u64) -> World {
    let mut config = fleet(3, CAPACITY_MIB, &[("a", 30), ("b", 30), ("c", 20)]);
    add_adapter(&mut config, "x", "a", 10);
    let mut world = World::new(config, checks, settings, seed);
    let start = [
        vec![base("a", "v1"), adapter("x", "a", "v1"), base("b", "v1")],
        vec![base("b", "v1"), base("c", "v1")],
        vec![base("a", "v1"), adapter("x", "a", "v1"), base("c", "v1")],
    ];
    for (index, weights) in start.iter().enumerate() {
        for weights in weights {
            world.engines[index].put_ready(weights);
        }
        world.rows[index].weights = weights.iter().cloned().collect();
    }
    world
}

fn all_weights(world: &World) -> Vec<WeightsKey> {
    let config = &world.config;
    let models = config
        .models
        .keys()
        .filter_map(|model| config.model_weights(model));
    let adapters = config.adapters.keys();
    let adapters = adapters.filter_map(|adapter| config.adapter_weights(adapter));
    models.chain(adapters).collect()
}

/// Assigns each of the weights to random endpoints.
fn shuffle_plan(world: &mut World) {
    for index in 0..world.rows.len() {
        let mut row: Vec<WeightsKey> = Vec::new();
        for weights in all_weights(world) {
            let base =
                weights.adapter.is_none() || row.iter().any(|held| held.model == weights.model);
            if base && world.chance(0.55) {
                row.push(weights);
            }
        }
        world.rows[index].weights = row.into_iter().collect();
    }
}

fn change_version(world: &mut World) {
    let model = usize::from(world.chance(0.5));
    let version = format!("v{}", world.now.as_micros());
    let version = VersionName::try_from(version.as_str()).unwrap();
    world.config.models[model].version = version.clone();
    if world.chance(0.5) {
        world.config.adapters[0].version = version;
    }
}

/// Runs with a high rate of faults, while the plan and the versions keep changing.
fn storm(world: &mut World) {
    world.faults = FaultRates::MANY;
    for round in 0..20 {
        if round % 4 == 3 {
            change_version(world);
        }
        world.store_down = world.chance(0.2);
        shuffle_plan(world);
        world.run(Duration::from_secs(8));
    }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(48))]

    /// Orders are lost, delayed and duplicated. Agents restart, or are suspended and resume
    /// concurrently with their successors. The store is down or its responses are lost, and the
    /// plan keeps changing. In any interleaving, no engine holds more than its memory, and no
    /// order unloads the last ready replica of a model or an adapter.
    #[test]
    fn faults_never_overcommit_nor_unload_the_last(seed in any::<u64>(), checks in any::<bool>()) {
        let mut world = world(checks, settings(checks), seed);
        world.run(Duration::from_secs(5));
        storm(&mut world);
        prop_assert!(world.violations.is_empty(), "{:#?}", world.violations);
        prop_assert!(world.orders_taken > 20, "only {} orders", world.orders_taken);
    }

    /// After the faults, every endpoint converges to its planned weights in the current version.
    #[test]
    fn after_faults_the_plan_is_carried_out(seed in any::<u64>(), checks in any::<bool>()) {
        let mut world = world(checks, settings(checks), seed);
        storm(&mut world);
        world.faults = FaultRates::NONE;
        world.store_down = false;
        let all = all_weights(&world);
        for row in &mut world.rows {
            row.weights = all.iter().cloned().collect();
        }
        world.run(Duration::from_secs(400));
        prop_assert!(world.violations.is_empty(), "{:#?}", world.violations);
        for index in 0..3 {
            let held = world.engines[index].state();
            prop_assert_eq!(world.last_step(index), &Err(StepWait::Done), "{:?}", held);
            prop_assert!(all.iter().all(|weights| world.engines[index].is_ready(weights)));
        }
    }
}

/// Returns the number of violations over several seeds. `engine_checks` is the behavior of the
/// engines; `settings` is what the agents assume.
fn violations(engine_checks: bool, settings: OrderSettings) -> usize {
    (0..12)
        .map(|seed| {
            let mut world = world(engine_checks, settings, seed);
            storm(&mut world);
            world.violations.len()
        })
        .sum()
}

/// The memory of a delayed copy is charged only until the unload. A duplicate load then arrives
/// after its weights were unloaded and others were loaded, and the engine is overcommitted. Shows
/// that the fault tests above detect this.
#[test]
fn without_the_hold_a_late_copy_overcommits() {
    let hold = Duration::ZERO;
    let settings = OrderSettings {
        late_order_hold: hold,
        ..settings(false)
    };
    assert!(violations(false, settings) > 0);
}

/// The agents assume that engines check numbers, but they do not: no intent is written before an
/// order, and the order of an earlier agent is executed. Shows that the fault tests detect this.
#[test]
fn without_intents_a_former_agent_breaks_a_promise() {
    assert!(violations(false, settings(true)) > 0);
}
