//! Tests of parsing valid configuration texts and writing them back.

use std::time::Duration;

use oatpier_types::config::text::ConfigDocument;
use oatpier_types::config::{ClassTarget, FleetConfig, PoolKind};
use oatpier_types::ids::Generation;
use oatpier_types::names::{ClassName, EndpointName, ModelName, PoolName};
use oatpier_types::verdict::Repeat;
use proptest::prelude::*;

use crate::fleets::{SMALL, small};

#[test]
fn groups_expand_to_endpoints() {
    let config = small();
    let pool = &config.pools[&PoolName::try_from("seat-llm").unwrap()];
    let names: Vec<&str> = pool.endpoints.keys().map(EndpointName::as_str).collect();
    assert_eq!(
        names,
        [
            "seat-llm-ikeja-1",
            "seat-llm-ikeja-2",
            "seat-llm-ikeja-3",
            "seat-llm-lekki-spare",
        ]
    );
    let pool = &config.pools[&PoolName::try_from("plan-api").unwrap()];
    let names: Vec<&str> = pool.endpoints.keys().map(EndpointName::as_str).collect();
    assert_eq!(names, ["plan-api-7", "plan-api-8"]);
    assert_eq!(pool.repeat_of("POST", "/plans/7/apply"), Repeat::AtMostOnce);
    assert_eq!(pool.repeat_of("GET", "/plans/7"), Repeat::Idempotent);
    assert!(matches!(pool.kind, PoolKind::Service { slots: 32, .. }));
}

#[test]
fn durations_are_parsed_with_units() {
    let config = small();
    let class = &config.classes[&ClassName::try_from("drafting").unwrap()];
    assert_eq!(
        class.target,
        ClassTarget::Stream {
            first_token: Duration::from_millis(320),
            between_tokens: Duration::from_millis(33),
        }
    );
}

#[test]
fn based_on_generation_survives_writing() {
    let text = format!("based_on = 17\n{SMALL}");
    let document = ConfigDocument::read("test.toml", &text).unwrap();
    assert_eq!(document.based_on, Some(Generation(17)));
    let written = document.config.to_text(document.based_on);
    let again = ConfigDocument::read("test.toml", &written).unwrap();
    assert_eq!(again, document);
}

#[test]
fn written_text_is_stable() {
    insta::assert_snapshot!(small().to_text(Some(Generation(4))));
}

#[test]
fn hash_ignores_the_order_of_items() {
    let config = small();
    let mut reordered = config.clone();
    reordered.models.reverse();
    for pool in reordered.pools.values_mut() {
        pool.endpoints.reverse();
    }
    assert_eq!(config.content_hash(), reordered.content_hash());
    let name = ModelName::try_from("tables").unwrap();
    reordered.models[&name].memory_mib += 1;
    assert_ne!(config.content_hash(), reordered.content_hash());
}

#[test]
fn hash_stays_the_same_between_versions() {
    // During an upgrade, processes of two software versions run at the same time. If their hashes of
    // the same content differed, the configuration would appear to be not applied everywhere.
    assert_eq!(
        FleetConfig::default().content_hash(),
        3_915_609_756_580_633_065
    );
    assert_eq!(small().content_hash(), 17_501_193_379_252_219_802);
}

/// Generates endpoint names that exercise the grouping: numbers with gaps, with leading zeros, and
/// names without a number.
fn endpoint_names() -> impl Strategy<Value = Vec<String>> {
    let name = prop_oneof![
        (0u32..40).prop_map(|number| format!("engine-{number}")),
        (0u32..40).prop_map(|number| format!("e{number:03}")),
        "[a-z]{1,3}[.:/_-]?[a-z0-9]{0,2}",
        Just("4294967296".to_owned()),
    ];
    proptest::collection::vec(name, 1..40)
}

proptest! {
    #[test]
    fn written_configuration_parses_back(
        names in endpoint_names(),
        zones in proptest::collection::vec(0usize..2, 40),
        attain in 0.001f64..0.999,
        answer_us in 1u64..100_000_000,
        rate in 0.1f64..100.0,
    ) {
        let mut config = small();
        config.weight_store.loads_per_second = rate;
        let class = config.classes.get_mut(&ClassName::try_from("lookup").unwrap()).unwrap();
        class.attain = attain;
        class.target = ClassTarget::Whole { answer: Duration::from_micros(answer_us) };
        let zone_names = config.regions[0].zones.clone();
        let pool = config.pools.get_mut(&PoolName::try_from("seat-llm").unwrap()).unwrap();
        pool.endpoints = names
            .iter()
            .zip(zones)
            .map(|(name, zone)| {
                let name = EndpointName::try_from(name.as_str()).unwrap();
                (name, zone_names[zone].clone())
            })
            .collect();
        let text = config.to_text(None);
        let again = ConfigDocument::read("test.toml", &text);
        prop_assert_eq!(again.map(|document| document.config).ok(), Some(config));
    }
}
