//! Estimates of the lengths of responses before they are sent.

use oatpier_serving::call::CallerRequest;
use oatpier_serving::capacity::EnginePace;
use oatpier_serving::capacity::exposure::LengthEstimator;
use oatpier_types::names::ClassName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::request;

/// Tokens in one chunk of the responses.
const CHUNK_TOKENS: u32 = 8;

fn class(name: &str) -> ClassName {
    ClassName::try_from(name).unwrap()
}

fn asked(expected_tokens: Option<u32>, output_tokens: u32) -> CallerRequest {
    CallerRequest {
        expected_tokens,
        output_tokens,
        ..request("m1")
    }
}

fn learned(responses: &[(&str, u32, Option<u32>)]) -> LengthEstimator {
    let mut estimator = LengthEstimator::default();
    for _ in 0..40 {
        for (route, chunks, hint) in responses {
            let request = asked(*hint, chunks * CHUNK_TOKENS * 2);
            estimator.note(&class(route), &request, *chunks);
        }
    }
    estimator
}

fn assert_near(chunks: Option<f64>, wanted: f64) {
    let chunks = chunks.unwrap();
    assert!((wanted / 1.5..wanted * 1.5).contains(&chunks), "{chunks}");
}

#[test]
fn length_is_learned_for_each_route() {
    let estimator = learned(&[("chat", 35, None), ("note", 6, None)]);
    let chat = estimator.expected_chunks(&class("chat"), &asked(None, 560));
    assert_near(chat, 35.0);
    let note = estimator.expected_chunks(&class("note"), &asked(None, 96));
    assert_near(note, 6.0);
}

#[test]
fn tokens_per_chunk_are_learned_from_hints() {
    let estimator = learned(&[("chat", 35, Some(280)), ("note", 6, Some(48))]);
    let unknown = estimator.expected_chunks(&class("new"), &asked(Some(800), 1_600));
    assert_near(unknown, 100.0);
}

/// Failure: callers give absurd estimates, and long streams go to slow engines as if they were short.
#[test]
fn absurd_hints_are_outweighed_by_what_was_learned() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut estimator = LengthEstimator::default();
    for _ in 0..200 {
        let hint = 10_u32.pow(random.random_range(0..9));
        estimator.note(&class("chat"), &asked(Some(hint), 560), 35);
    }
    for hint in [Some(0), Some(1), Some(u32::MAX), None] {
        let chunks = estimator.expected_chunks(&class("chat"), &asked(hint, 560));
        assert_near(chunks, 35.0);
    }
}

/// Failure: one caller of a route whose estimates are right gives an absurd one.
#[test]
fn single_absurd_hint_stays_near_the_lengths_of_its_route() {
    let estimator = learned(&[("chat", 35, Some(280)), ("chat", 25, Some(200))]);
    for hint in [1, u32::MAX] {
        let chunks = estimator.expected_chunks(&class("chat"), &asked(Some(hint), 480));
        let chunks = chunks.unwrap();
        assert!((10.0..90.0).contains(&chunks), "{chunks}");
    }
}

/// The hint of a route with responses of all lengths is right at the median and off by a factor of up to three.
#[test]
fn hints_improve_the_estimate_where_lengths_vary() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut estimator = LengthEstimator::default();
    let (mut error, mut error_without) = (0.0, 0.0);
    for round in 0..600 {
        let chunks = 2_u32.pow(random.random_range(1..8));
        let factor = random.random_range(-1.1_f64..1.1).exp();
        let tokens = f64::from(chunks * CHUNK_TOKENS) * factor;
        let hint = format!("{tokens:.0}").parse().unwrap();
        let request = asked(Some(hint), 2_000);
        if round >= 300 {
            let log_chunks = f64::from(chunks).ln();
            let log_error = |request: &CallerRequest| {
                let expected = estimator.expected_chunks(&class("chat"), request).unwrap();
                (expected.ln() - log_chunks).abs()
            };
            error += log_error(&request);
            error_without += log_error(&asked(None, 2_000));
        }
        estimator.note(&class("chat"), &request, chunks);
    }
    assert!(error < error_without * 0.75, "{error} {error_without}");
}

#[test]
fn nothing_is_expected_of_a_request_that_says_nothing_before_any_response() {
    let estimator = LengthEstimator::default();
    assert_eq!(
        estimator.expected_chunks(&class("chat"), &asked(None, 0)),
        None
    );
}

/// Failure: each request names another route, and the memory of the gateway grows without a bound.
#[test]
fn number_of_routes_is_bounded() {
    let mut estimator = LengthEstimator::default();
    for number in 0..1_000 {
        estimator.note(&class(&format!("route-{number}")), &asked(None, 560), 35);
    }
    assert_eq!(estimator.route_count(), 64);
    let chunks = estimator.expected_chunks(&class("route-999"), &asked(None, 560));
    assert_near(chunks, 35.0);
}

#[test]
fn risk_of_a_late_pause_grows_with_the_duration_of_the_stream() {
    let pace = EnginePace {
        chunk_us: 83_000,
        late_pauses_per_ks: 283,
        ..EnginePace::default()
    };
    let risk = |chunks| pace.late_pause_risk(chunks).unwrap();
    assert!((risk(35.0) - 0.56).abs() < 0.01);
    assert!((risk(6.0) - 0.13).abs() < 0.01);
    assert!(risk(1e12) <= 1.0);
    assert_eq!(EnginePace::default().late_pause_risk(35.0), None);
}
