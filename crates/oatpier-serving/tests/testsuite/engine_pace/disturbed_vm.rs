//! A VM whose neighbours disturb it for fractions of a second.

use super::ObservedEngine;

/// Starts of the disturbances, in milliseconds.
const DISTURBED_AT: [u64; 5] = [5_000, 8_300, 12_100, 16_400, 20_000];

fn disturbed(speed: f64, number: u64) -> ObservedEngine {
    let mut observed = ObservedEngine::new(speed, number);
    observed.engine.disturbed_at = DISTURBED_AT.to_vec();
    observed
}

/// The usual time stays. The present one rises within the first half of the disturbance and is back soon after it.
#[test]
fn present_time_rises_at_once_and_recovers_after_the_disturbance() {
    for seed in 0..8 {
        for speed in [0.6, 1.0, 1.6] {
            let mut observed = disturbed(speed, seed);
            let usual_ms = observed.engine.chunk_us() / 1e3;
            observed.run(20_000);
            let before = observed.present_ms() / usual_ms;
            assert!(before < 1.5, "speed {speed}, seed {seed}: {before}");
            observed.run(20_300);
            let in_it = observed.present_ms() / usual_ms;
            assert!(in_it > 1.4, "speed {speed}, seed {seed}: {in_it}");
            assert!(observed.chunk_ms() < usual_ms * 1.2);
            observed.run(21_600);
            let after = observed.present_ms() / usual_ms;
            assert!(after < 1.4, "speed {speed}, seed {seed}: {after}");
        }
    }
}

/// A disturbed chunk takes 240 ms on a slow engine and 75 ms on a fast one. Only the first makes streams late: each
/// stream once or twice in a disturbance, of which there is one in four seconds.
#[test]
fn late_pauses_are_those_of_slow_engines() {
    for seed in 0..8 {
        let rate = |speed: f64| {
            let mut observed = disturbed(speed, seed);
            observed.prompts_per_s = 4.0;
            observed.run(21_600);
            let pace = observed.estimator.pace(observed.now()).unwrap();
            pace.late_pauses_per_ks
        };
        let (slow, fast) = (rate(0.5), rate(1.6));
        assert!((150..=500).contains(&slow), "seed {seed}: {slow}");
        assert_eq!(fast, 0, "seed {seed}");
    }
}

/// An engine that gets no streams for minutes because of its late pauses is tried again.
#[test]
fn late_pauses_are_forgotten_while_nothing_runs() {
    let mut observed = disturbed(0.5, 3);
    observed.run(21_600);
    let known = observed.estimator.pace(observed.now()).unwrap();
    observed.now_ms += 180_000;
    let later = observed.estimator.pace(observed.now()).unwrap();
    assert!(later.late_pauses_per_ks * 4 < known.late_pauses_per_ks);
    assert_eq!(later.chunk_us, known.chunk_us);
}
