//! How long engines take to prefill prompts.
//!
//! The situation: prompts of 200 to 4,000 tokens, at engines that prefill about twenty tokens per
//! millisecond and whose first chunks are delayed by other work: decoding steps, prompts of other gateways,
//! slow hardware.

use std::time::Duration;

use oatpier_serving::prefill::PrefillEstimator;
use proptest::prelude::*;

use crate::support::{fixed_cases, millis, model};

/// Records `times` prompts of 1,000 tokens whose first chunk took `took`.
fn note(estimator: &mut PrefillEstimator, times: u32, took: Duration) {
    for _ in 0..times {
        estimator.note(&model("m1"), 1_000.0, took);
    }
}

#[test]
fn prefill_time_is_zero_before_enough_samples() {
    let mut estimator = PrefillEstimator::default();
    assert!(estimator.prefill_ms(&model("m1"), 1_000.0).abs() < 1e-9);
    note(&mut estimator, 2, millis(50));
    assert!(estimator.prefill_ms(&model("m1"), 1_000.0).abs() < 1e-9);
}

#[test]
fn model_with_few_samples_is_assumed_as_slow_as_the_slowest() {
    let mut estimator = PrefillEstimator::default();
    note(&mut estimator, 10, millis(50));
    let other = estimator.prefill_ms(&model("m2"), 1_000.0);
    assert!((45.0..55.0).contains(&other), "{other}");
}

/// An engine slows down, or moves to slower hardware. The estimate follows within the prompts of a few
/// seconds, and recovers again.
#[test]
fn estimate_follows_an_engine_that_slows_down_and_recovers() {
    let mut estimator = PrefillEstimator::default();
    note(&mut estimator, 20, millis(50));
    note(&mut estimator, 60, millis(150));
    let slow = estimator.prefill_ms(&model("m1"), 1_000.0);
    assert!((130.0..170.0).contains(&slow), "{slow}");
    note(&mut estimator, 40, millis(50));
    let recovered = estimator.prefill_ms(&model("m1"), 1_000.0);
    assert!((45.0..60.0).contains(&recovered), "{recovered}");
}

/// A gateway has 93 engines that hold 171 models, each of which its callers request every few seconds. Five
/// prompts of five models are enough for an estimate, so that prompts need not be sent one at a time.
#[test]
fn prompts_of_different_models_share_an_estimate() {
    let mut estimator = PrefillEstimator::default();
    for name in ["m1", "m2", "m3", "m4", "m5"] {
        assert!(estimator.prefill_ms(&model("m6"), 1_000.0).abs() < 1e-9);
        estimator.note(&model(name), 1_000.0, millis(50));
    }
    let learned = estimator.prefill_ms(&model("m6"), 1_000.0);
    assert!((45.0..55.0).contains(&learned), "{learned}");
}

/// A gateway runs on a VM with a tenth of a core. Each of its requests takes 30 ms in addition to the
/// prefill, including those with short prompts. This time is not spent by the engine, which could prefill
/// four prompts in it.
#[test]
fn time_of_short_prompts_counts_as_overhead() {
    let mut estimator = PrefillEstimator::default();
    for _ in 0..20 {
        estimator.note(&model("m1"), 50.0, millis(30));
    }
    note(&mut estimator, 20, millis(50));
    let learned = estimator.prefill_ms(&model("m1"), 1_000.0);
    assert!((18.0..24.0).contains(&learned), "{learned}");
}

proptest! {
    #![proptest_config(fixed_cases(64))]

    /// More than half of the first chunks are delayed for other reasons, by up to four times the prefill
    /// time. Thirty prompts, one second of a busy model, are enough to be within a third of the true
    /// prefill time.
    #[test]
    fn estimate_is_near_the_true_time_after_one_second_of_traffic(
        noise in prop::collection::vec(0.0_f64..1.0, 30),
        token_us in 10_u32..200,
    ) {
        let mut estimator = PrefillEstimator::default();
        let true_ms = f64::from(token_us);
        for draw in noise {
            let delay = (draw - 0.45).max(0.0) * 7.0;
            let took_ms = true_ms * (1.0 + delay) + 2.0;
            estimator.note(&model("m1"), 1_000.0, Duration::from_secs_f64(took_ms / 1e3));
        }
        let learned = estimator.prefill_ms(&model("m1"), 1_000.0);
        prop_assert!(learned > true_ms * 0.75, "{learned} of {true_ms}");
        prop_assert!(learned < true_ms * 1.6 + 2.0, "{learned} of {true_ms}");
    }
}
