//! Tests of the configuration in force in one process.

use std::sync::Arc;

use oatpier_membership::generation::{
    ConfigContent, ConfigPayload, ConfigSource, ConfigStep, GenerationKeeper, OfferOutcome,
    START_SETTLE,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Generation;
use proptest::prelude::*;

use crate::support::fixed_cases;
use crate::support::payload::TestConfig;

fn value(generation: u32) -> TestConfig {
    (1..=generation).fold(TestConfig::default(), |config, row| {
        config.with_row(row, "text")
    })
}

fn full(generation: u32) -> ConfigContent<TestConfig> {
    ConfigContent::Full {
        generation: Generation(generation.into()),
        value: Arc::new(value(generation)),
    }
}

fn step(from: u32, to: u32) -> ConfigContent<TestConfig> {
    ConfigContent::Steps(vec![ConfigStep {
        from: Generation(from.into()),
        to: Generation(to.into()),
        digest: value(to).digest(),
        edit: value(from).edit_to(&value(to)),
    }])
}

fn keeper_at(generation: u32) -> GenerationKeeper<TestConfig> {
    let mut keeper = GenerationKeeper::default();
    keeper.offer(&full(generation), ConfigSource::Store, ClockTime::ZERO);
    keeper
}

/// A starting process first gets an answer from a peer that missed the last change, then from one
/// that has it. Applying the first one at once would undo the change for its callers.
#[test]
fn starting_process_waits_for_more_than_one_peer() {
    let mut keeper = GenerationKeeper::default();
    let start = ClockTime::ZERO;
    assert_eq!(
        keeper.offer(&full(1), ConfigSource::Peer, start),
        OfferOutcome::Waiting
    );
    assert_eq!(keeper.generation(), Generation(0));
    keeper.offer(&full(2), ConfigSource::Peer, start);
    assert!(keeper.settle(start + START_SETTLE));
    assert_eq!(keeper.generation(), Generation(2));
}

/// All remaining peers are behind what the earlier boot had in force. The process stays without a
/// configuration, and thus not ready, until one arrives that is not behind.
#[test]
fn generation_below_an_earlier_boot_is_not_put_in_force() {
    let mut keeper = GenerationKeeper::default();
    keeper.raise_floor(Generation(3));
    let later = ClockTime::ZERO + START_SETTLE;
    keeper.offer(&full(2), ConfigSource::Peer, ClockTime::ZERO);
    assert!(!keeper.settle(later));
    assert_eq!(
        keeper.offer(&full(3), ConfigSource::Peer, later),
        OfferOutcome::InForce
    );
}

/// An edit is made for one base. Applied to another, it would produce a content that no other
/// process has.
#[test]
fn edits_that_do_not_apply_request_the_whole_value() {
    let mut keeper = keeper_at(1);
    let gap = keeper.offer(&step(2, 3), ConfigSource::Peer, ClockTime::ZERO);
    assert_eq!(
        (gap, keeper.pull_generation()),
        (OfferOutcome::Behind, Generation(1))
    );
    let ConfigContent::Steps(mut steps) = step(1, 2) else {
        unreachable!("step returns edits");
    };
    steps[0].digest ^= 1;
    let wrong = ConfigContent::Steps(steps);
    let outcome = keeper.offer(&wrong, ConfigSource::Peer, ClockTime::ZERO);
    assert_eq!(
        (outcome, keeper.pull_generation()),
        (OfferOutcome::NeedFull, Generation(0))
    );
    assert_eq!(keeper.generation(), Generation(1));
}

#[test]
fn peers_slightly_behind_get_edits_and_others_the_whole_value() {
    let mut keeper = keeper_at(1);
    for to in 2..=5 {
        keeper.offer(&full(to), ConfigSource::Peer, ClockTime::ZERO);
    }
    let since = |have| keeper.content_since(Generation(have));
    assert!(matches!(since(3), Some(ConfigContent::Steps(steps)) if steps.len() == 2));
    assert!(matches!(since(0), Some(ConfigContent::Full { .. })));
    assert_eq!(since(5), None);
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    /// For any offers in any order, the generation in force never decreases, and its content is the
    /// one that the operators accepted under that generation.
    #[test]
    fn generation_never_decreases(
        offers in prop::collection::vec((0_u32..12, 0_u32..12, any::<bool>(), 0_u64..3), 1..60),
        floor in 0_u64..6,
    ) {
        let mut keeper = GenerationKeeper::default();
        keeper.raise_floor(Generation(floor));
        let mut now = ClockTime::ZERO;
        let mut last = Generation(0);
        for (from, to, whole, wait) in offers {
            now = now + START_SETTLE / 2 * u32::try_from(wait).expect("the value fits the type");
            let content = if whole { full(to) } else { step(from.min(to), to) };
            keeper.offer(&content, ConfigSource::Peer, now);
            keeper.settle(now);
            let held = keeper.generation();
            prop_assert!(held >= last);
            prop_assert!(held == Generation(0) || held.0 >= floor);
            if let Some(in_force) = keeper.in_force() {
                let wanted = value(u32::try_from(held.0).expect("the value fits the type"));
                prop_assert_eq!(&*in_force.value, &wanted);
            }
            last = held;
        }
    }
}
