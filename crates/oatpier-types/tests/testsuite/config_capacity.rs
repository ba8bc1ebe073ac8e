//! Tests of the check that all models and adapters fit into the available memory.

use std::collections::BTreeMap;

use oatpier_types::config::FleetConfig;
use oatpier_types::config::capacity::check_capacity;
use oatpier_types::names::{AdapterName, EndpointName, ModelName, PoolName};
use proptest::prelude::*;

use crate::fleets::{small, small_with};

fn seat_llm() -> PoolName {
    PoolName::try_from("seat-llm").unwrap()
}

#[test]
fn small_configuration_fits() {
    let report = check_capacity(&small());
    let pool = &report.pools[0];
    assert!(report.fits(), "{report:?}");
    assert_eq!(pool.total_mib, 4_000);
    assert_eq!(pool.weights_mib, 750);
    assert_eq!(pool.change_mib, 450);
    assert_eq!(pool.steady.used, 1);
}

#[test]
fn shortage_is_reported_with_size_and_names() {
    // A model that is larger than one endpoint doesn't fit, regardless of the number of endpoints.
    let report = check_capacity(&small_with("memory_mib = 300", "memory_mib = 1300"));
    assert!(!report.fits());
    assert_eq!(report.pools[0].steady.short_mib, 1_300);
    assert_eq!(report.pools[0].steady.unplaced, ["halls"]);
}

#[test]
fn version_change_needs_memory_for_both_versions() {
    // Each endpoint has memory for exactly one model. A new version could only be loaded after the
    // old one was unloaded, and meanwhile the model would be unavailable to callers.
    let mut config = small();
    config.adapters.clear();
    let model = config.models[0].clone();
    config.models.clear();
    for index in 0..4 {
        let mut model = model.clone();
        model.memory_mib = 900;
        let name = ModelName::try_from(format!("m{index}")).unwrap();
        config.models.insert(name, model);
    }
    let report = check_capacity(&config);
    assert_eq!(report.pools[0].steady.short_mib, 0);
    assert_eq!(report.pools[0].changing.short_mib, 900);
    assert!(!report.fits());
}

#[test]
fn adapters_on_several_endpoints_need_several_base_replicas() {
    let mut config = small();
    let adapter = config.adapters[0].clone();
    config.adapters.clear();
    for index in 0..9 {
        let mut adapter = adapter.clone();
        adapter.memory_mib = 150;
        let name = AdapterName::try_from(format!("a{index}")).unwrap();
        config.adapters.insert(name, adapter);
    }
    let report = check_capacity(&config);
    // Two endpoints hold the base (400 MiB) with four adapters each. The third holds the base with one
    // adapter, and the other model.
    assert_eq!(report.pools[0].steady.short_mib, 0);
    assert_eq!(report.pools[0].steady.used, 3);
}

#[test]
fn shortage_in_a_zone_outage_is_reported() {
    let mut config = small();
    let name = ModelName::try_from("tables").unwrap();
    config.models[&name].memory_mib = 900;
    let report = check_capacity(&config);
    let away = &report.pools[0].zone_away;
    let short: BTreeMap<&str, u64> = away
        .iter()
        .map(|row| (row.zone.as_str(), row.short_mib))
        .collect();
    assert_eq!(short["lekki"], 0);
    assert_eq!(short["ikeja"], 300);
}

proptest! {
    /// An accepted configuration never needs more memory or endpoints than there are, and the
    /// reported shortage is consistent with the reported names.
    #[test]
    fn accepted_configuration_fits_into_total_memory(
        sizes in proptest::collection::vec(1u64..900, 1..12),
        adapters in proptest::collection::vec((0usize..12, 1u64..300), 0..20),
        endpoints in 1usize..10,
    ) {
        let config = fleet_of(&sizes, &adapters, endpoints);
        let report = check_capacity(&config);
        let pool = &report.pools[0];
        if pool.steady.short_mib == 0 {
            prop_assert!(pool.weights_mib <= pool.total_mib);
            prop_assert!(pool.steady.used <= endpoints);
            prop_assert!(pool.steady.unplaced.is_empty());
        }
        if report.fits() {
            prop_assert!(pool.weights_mib + pool.change_mib <= pool.total_mib);
        }
        let named = pool.steady.unplaced.len();
        prop_assert_eq!(named == 0, pool.steady.short_mib == 0);
    }
}

fn fleet_of(sizes: &[u64], adapters: &[(usize, u64)], endpoints: usize) -> FleetConfig {
    let mut config = small();
    let model = config.models[0].clone();
    let adapter = config.adapters[0].clone();
    config.models.clear();
    config.adapters.clear();
    for (index, size) in sizes.iter().enumerate() {
        let mut model = model.clone();
        model.memory_mib = *size;
        let name = ModelName::try_from(format!("m{index}")).unwrap();
        config.models.insert(name, model);
    }
    for (index, (base, size)) in adapters.iter().enumerate() {
        let mut adapter = adapter.clone();
        let base = base % sizes.len();
        adapter.model = ModelName::try_from(format!("m{base}")).unwrap();
        adapter.memory_mib = *size;
        let name = AdapterName::try_from(format!("a{index}")).unwrap();
        config.adapters.insert(name, adapter);
    }
    let zone = config.regions[0].zones[0].clone();
    let pool = config.pools.get_mut(&seat_llm()).unwrap();
    pool.endpoints = (0..endpoints)
        .map(|index| {
            let name = EndpointName::try_from(format!("e{index}")).unwrap();
            (name, zone.clone())
        })
        .collect();
    config
}
