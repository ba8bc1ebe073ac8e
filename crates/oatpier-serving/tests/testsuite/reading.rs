//! How long engines take to read prompts.
//!
//! The load: prompts of 200 to 4,000 tokens, at engines that read some twenty tokens in a millisecond and
//! whose first pieces are late by whatever else they are at: steps, other gateways' prompts, slow hardware.

use std::time::Duration;

use oatpier_serving::reading::ReadingPaces;
use proptest::prelude::*;

use crate::support::{fixed_cases, millis, model};

/// Notes so many prompts of 1,000 tokens that are read in `took`.
fn note(paces: &mut ReadingPaces, times: u32, took: Duration) {
    for _ in 0..times {
        paces.note(&model("m1"), 1_000.0, took);
    }
}

#[test]
fn nothing_is_assumed_of_a_model_before_some_prompts_were_read() {
    let mut paces = ReadingPaces::default();
    assert!(paces.reading_ms(&model("m1"), 1_000.0).abs() < 1e-9);
    note(&mut paces, 2, millis(50));
    assert!(paces.reading_ms(&model("m1"), 1_000.0).abs() < 1e-9);
}

#[test]
fn a_model_that_was_hardly_seen_is_read_like_the_slowest_one() {
    let mut paces = ReadingPaces::default();
    note(&mut paces, 10, millis(50));
    let other = paces.reading_ms(&model("m2"), 1_000.0);
    assert!((45.0..55.0).contains(&other), "{other}");
}

/// An engine turns slow, or is given slower hardware: within the prompts of a few seconds the estimate
/// has followed, and it comes back.
#[test]
fn the_estimate_follows_an_engine_that_turns_slow_and_recovers() {
    let mut paces = ReadingPaces::default();
    note(&mut paces, 20, millis(50));
    note(&mut paces, 60, millis(150));
    let slow = paces.reading_ms(&model("m1"), 1_000.0);
    assert!((130.0..170.0).contains(&slow), "{slow}");
    note(&mut paces, 40, millis(50));
    let recovered = paces.reading_ms(&model("m1"), 1_000.0);
    assert!((45.0..60.0).contains(&recovered), "{recovered}");
}

/// The load: a gateway before 93 engines that hold 171 models, each of which its callers ask for every few
/// seconds. Five prompts of five models tell it enough not to have prompts read one after the other.
#[test]
fn prompts_of_different_models_make_the_pace_known_together() {
    let mut paces = ReadingPaces::default();
    for name in ["m1", "m2", "m3", "m4", "m5"] {
        assert!(paces.reading_ms(&model("m6"), 1_000.0).abs() < 1e-9);
        paces.note(&model(name), 1_000.0, millis(50));
    }
    let learned = paces.reading_ms(&model("m6"), 1_000.0);
    assert!((45.0..55.0).contains(&learned), "{learned}");
}

/// The load: a gateway on a VM of a tenth of a core. Whatever it sends takes 30 ms there and back beside the
/// reading, short prompts as well; that is not the engine's, which could read four prompts in that time.
#[test]
fn what_short_prompts_take_is_not_taken_for_reading() {
    let mut paces = ReadingPaces::default();
    for _ in 0..20 {
        paces.note(&model("m1"), 50.0, millis(30));
    }
    note(&mut paces, 20, millis(50));
    let learned = paces.reading_ms(&model("m1"), 1_000.0);
    assert!((18.0..24.0).contains(&learned), "{learned}");
}

proptest! {
    #![proptest_config(fixed_cases(64))]

    /// A good half of the first pieces is late for other reasons, by up to four times the reading. Thirty
    /// prompts, one second of a busy model, are enough to come within a third of the true pace.
    #[test]
    fn the_estimate_is_near_the_true_pace_after_a_second_of_traffic(
        noise in prop::collection::vec(0.0_f64..1.0, 30),
        token_us in 10_u32..200,
    ) {
        let mut paces = ReadingPaces::default();
        let true_ms = f64::from(token_us);
        for draw in noise {
            let delay = (draw - 0.45).max(0.0) * 7.0;
            let took_ms = true_ms * (1.0 + delay) + 2.0;
            paces.note(&model("m1"), 1_000.0, Duration::from_secs_f64(took_ms / 1e3));
        }
        let learned = paces.reading_ms(&model("m1"), 1_000.0);
        prop_assert!(learned > true_ms * 0.75, "{learned} of {true_ms}");
        prop_assert!(learned < true_ms * 1.6 + 2.0, "{learned} of {true_ms}");
    }
}
