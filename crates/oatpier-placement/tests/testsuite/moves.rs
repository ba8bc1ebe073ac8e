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
use crate::simulation::{FaultRates, Simulation};

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
pub fn simulation(checks: bool, settings: OrderSettings, seed: u64) -> Simulation {
    let mut config = fleet(3, CAPACITY_MIB, &[("a", 30), ("b", 30), ("c", 20)]);
    add_adapter(&mut config, "x", "a", 10);
    let mut simulation = Simulation::new(config, checks, settings, seed);
    let start = [
        vec![base("a", "v1"), adapter("x", "a", "v1"), base("b", "v1")],
        vec![base("b", "v1"), base("c", "v1")],
        vec![base("a", "v1"), adapter("x", "a", "v1"), base("c", "v1")],
    ];
    for (index, weights) in start.iter().enumerate() {
        for weights in weights {
            simulation.engines[index].put_ready(weights);
        }
        simulation.rows[index].weights = weights.iter().cloned().collect();
    }
    simulation
}

fn all_weights(simulation: &Simulation) -> Vec<WeightsKey> {
    let config = &simulation.config;
    let models = config
        .models
        .keys()
        .filter_map(|model| config.model_weights(model));
    let adapters = config.adapters.keys();
    let adapters = adapters.filter_map(|adapter| config.adapter_weights(adapter));
    models.chain(adapters).collect()
}

/// Assigns each of the weights to random endpoints.
fn shuffle_plan(simulation: &mut Simulation) {
    for index in 0..simulation.rows.len() {
        let mut row: Vec<WeightsKey> = Vec::new();
        for weights in all_weights(simulation) {
            let base =
                weights.adapter.is_none() || row.iter().any(|held| held.model == weights.model);
            if base && simulation.chance(0.55) {
                row.push(weights);
            }
        }
        simulation.rows[index].weights = row.into_iter().collect();
    }
}

fn change_version(simulation: &mut Simulation) {
    let model = usize::from(simulation.chance(0.5));
    let version = format!("v{}", simulation.now.as_micros());
    let version = VersionName::try_from(version.as_str()).unwrap();
    simulation.config.models[model].version = version.clone();
    if simulation.chance(0.5) {
        simulation.config.adapters[0].version = version;
    }
}

/// Runs with a high rate of faults, while the plan and the versions keep changing.
fn run_with_faults(simulation: &mut Simulation) {
    simulation.faults = FaultRates::HIGH;
    for round in 0..20 {
        if round % 4 == 3 {
            change_version(simulation);
        }
        simulation.store_down = simulation.chance(0.2);
        shuffle_plan(simulation);
        simulation.run(Duration::from_secs(8));
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
    fn faults_never_overcommit_memory_or_unload_last_replica(seed in any::<u64>(), checks in any::<bool>()) {
        let mut simulation = simulation(checks, settings(checks), seed);
        simulation.run(Duration::from_secs(5));
        run_with_faults(&mut simulation);
        prop_assert!(simulation.violations.is_empty(), "{:#?}", simulation.violations);
        prop_assert!(simulation.orders_taken > 20, "only {} orders", simulation.orders_taken);
    }

    /// After the faults, every endpoint converges to its planned weights in the current version.
    #[test]
    fn endpoints_converge_to_plan_after_faults(seed in any::<u64>(), checks in any::<bool>()) {
        let mut simulation = simulation(checks, settings(checks), seed);
        run_with_faults(&mut simulation);
        simulation.faults = FaultRates::NONE;
        simulation.store_down = false;
        let all = all_weights(&simulation);
        for row in &mut simulation.rows {
            row.weights = all.iter().cloned().collect();
        }
        simulation.run(Duration::from_secs(400));
        prop_assert!(simulation.violations.is_empty(), "{:#?}", simulation.violations);
        for index in 0..3 {
            let held = simulation.engines[index].state();
            prop_assert_eq!(simulation.last_step(index), &Err(StepWait::Done), "{:?}", held);
            prop_assert!(all.iter().all(|weights| simulation.engines[index].is_ready(weights)));
        }
    }
}

/// Returns the number of violations over several seeds. `engine_checks` is the behavior of the
/// engines; `settings` is what the agents assume.
fn violations(engine_checks: bool, settings: OrderSettings) -> usize {
    (0..12)
        .map(|seed| {
            let mut simulation = simulation(engine_checks, settings, seed);
            run_with_faults(&mut simulation);
            simulation.violations.len()
        })
        .sum()
}

/// The memory of a delayed copy is charged only until the unload. A duplicate load then arrives
/// after its weights were unloaded and others were loaded, and the engine is overcommitted. Shows
/// that the fault tests above detect this.
#[test]
fn late_copy_overcommits_without_hold() {
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
fn earlier_agent_violates_guarantee_without_intents() {
    assert!(violations(false, settings(true)) > 0);
}
