//! Engines of one service that differ in speed.

use super::{ObservedEngine, TOKEN_US, assert_near};

const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

/// The time of a chunk does not include the prompts that are prefilled between its steps.
#[test]
fn each_engine_is_known_by_its_own_chunk_time() {
    for seed in 0..8 {
        for speed in SPEEDS {
            let mut observed = ObservedEngine::new(speed, seed);
            observed.run(15_000);
            assert_near(observed.chunk_ms(), observed.engine.chunk_us() / 1e3, 0.1);
        }
    }
}

/// Gateways estimate the same time of a prompt for all engines, and most of them overestimate it. The engine's own time is learned from
/// the chunks between which it prefills.
#[test]
fn prefill_time_is_the_engines_own() {
    for seed in 0..8 {
        for speed in SPEEDS {
            let mut observed = ObservedEngine::new(speed, seed);
            observed.prompts_per_s = 16.0;
            observed.run(20_000);
            let pace = observed.estimator.pace(observed.now()).unwrap();
            let factor = f64::from(pace.prefill_us_per_k) / (TOKEN_US * 1e3 / speed);
            assert!((0.5..2.0).contains(&factor), "speed {speed}: {factor}");
        }
    }
}

#[test]
fn pace_is_known_within_two_seconds_of_streams() {
    let mut observed = ObservedEngine::new(0.6, 1);
    observed.run(1_980);
    assert_near(observed.chunk_ms(), observed.engine.chunk_us() / 1e3, 0.3);
}

/// One stream alone is enough for the usual time, though each report counts its whole chunks only.
#[test]
fn single_stream_tells_the_usual_time() {
    let mut observed = ObservedEngine::new(1.0, 2);
    observed.engine.streams.truncate(1);
    observed.min_streams = 1;
    observed.prompts_per_s = 0.0;
    observed.run(20_000);
    assert_near(observed.chunk_ms(), observed.engine.chunk_us() / 1e3, 0.2);
}
