//! Property tests of plans.

use std::time::Duration;

use oatpier_placement::planner::FleetPlanner;
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::EndpointName;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fleet::{add_adapter, fleet};
use crate::planner::{Fleet, planner};

/// Generates model sizes, demand rates and endpoint crashes.
fn scenarios() -> impl Strategy<Value = (Vec<u64>, Vec<Vec<f64>>, Vec<usize>)> {
    let sizes = prop::collection::vec(5_u64..40, 1..24);
    let rates = prop::collection::vec(prop::collection::vec(0.0..40.0_f64, 24), 1..12);
    let deaths = prop::collection::vec(0_usize..12, 0..4);
    (sizes, rates, deaths)
}

fn build(sizes: &[u64]) -> Fleet {
    let names: Vec<String> = (0..sizes.len())
        .map(|index| format!("m{index:02}"))
        .collect();
    let models: Vec<(&str, u64)> = names
        .iter()
        .map(String::as_str)
        .zip(sizes.iter().copied())
        .collect();
    let mut config = fleet(12, 100, &models);
    for (index, name) in names.iter().enumerate().step_by(3) {
        add_adapter(&mut config, &format!("x{index}"), name, 3);
    }
    Fleet::new(config)
}

fn set_model_rates(fleet: &mut Fleet, rates: &[f64]) {
    let names: Vec<String> = fleet
        .config
        .models
        .keys()
        .map(ToString::to_string)
        .collect();
    let model_rates: Vec<(&str, f64)> = names
        .iter()
        .map(String::as_str)
        .zip(rates.iter().copied())
        .collect();
    fleet.set_rates(&model_rates);
}

fn used_mib(fleet: &Fleet, weights: &[WeightsKey]) -> u64 {
    weights
        .iter()
        .map(|held| fleet.config.memory_of(held).unwrap())
        .sum()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// As long as the live endpoints have twice the memory that all weights need, every plan has
    /// a live replica of all weights. Rows fit in memory, adapters are on an endpoint with their
    /// base model, loads beyond reachability stay within the weight store's limit, and equal
    /// inputs give equal plans.
    #[test]
    fn plans_satisfy_invariants((sizes, demand, deaths) in scenarios()) {
        let mut fleet = build(&sizes);
        let (mut planner, mut twin) = (planner(), planner());
        for (round, row) in demand.iter().enumerate() {
            if let Some(dead) = deaths.get(round) {
                fleet.views[*dead].alive = false;
            }
            set_model_rates(&mut fleet, row);
            let failed = fleet.plan.as_ref().map_or(usize::MAX, |_| count_unplanned(&fleet));
            let now = fleet.now + Duration::from_secs(10);
            let expected = twin.plan(&fleet.input(), now);
            let outcome = fleet.step(&mut planner);
            prop_assert_eq!(&outcome, &expected);
            prop_assert_eq!(count_unplanned(&fleet), 0, "{:?}", outcome.notes);
            let budget = failed.saturating_mul(2).saturating_add(40);
            prop_assert!((outcome.loads as usize) <= budget, "{} loads", outcome.loads);
            for row in &outcome.plan.endpoints {
                prop_assert!(used_mib(&fleet, &row.weights) <= 100);
                for weights in row.weights.iter().filter(|weights| weights.adapter.is_some()) {
                    let base = |held: &WeightsKey| held.adapter.is_none() && held.model == weights.model;
                    prop_assert!(row.weights.iter().any(base));
                }
            }
        }
    }
}

/// Returns the number of weights that no live endpoint is planned to hold.
fn count_unplanned(fleet: &Fleet) -> usize {
    let plan = fleet.plan.as_ref().unwrap();
    let models = fleet
        .config
        .models
        .keys()
        .filter_map(|model| fleet.config.model_weights(model));
    let adapters = fleet.config.adapters.keys();
    let adapters = adapters.filter_map(|adapter| fleet.config.adapter_weights(adapter));
    let alive = |name: &EndpointName| {
        let view = fleet.views.iter().find(|view| view.endpoint == *name);
        view.is_some_and(|view| view.alive)
    };
    let served = |weights: &WeightsKey| {
        let rows = plan.endpoints.iter().filter(|row| alive(&row.endpoint));
        rows.into_iter().any(|row| row.weights.contains(weights))
    };
    models
        .chain(adapters)
        .filter(|weights| !served(weights))
        .count()
}
