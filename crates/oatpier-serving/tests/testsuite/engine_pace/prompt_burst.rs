//! A burst of prompts at one engine, and at a fast one beside a slow one.

use std::time::Duration;

use oatpier_serving::capacity::prefill_window::{PrefillWindow, PresentPace, PromptWork};
use oatpier_serving::message::{PermitAsk, RatedPermitAsk};
use oatpier_serving::permits::{PermitIssuer, WaitCause};
use oatpier_types::clock::ClockTime;
use proptest::prelude::*;

use super::{MAX_PAUSE, ObservedEngine, REPORT_MS, random_prompt};
use crate::support::{address, at, fixed_cases};

const SLOTS: u32 = 64;

pub fn rated(id: u64, prompt: PromptWork) -> RatedPermitAsk {
    RatedPermitAsk {
        ask: PermitAsk {
            id,
            reading_us: u32::try_from(prompt.estimate.as_micros()).unwrap(),
            pause_ms: u32::try_from(MAX_PAUSE.as_millis()).unwrap(),
            due_in_ms: 5_000,
            slots: SLOTS,
            is_urgent: false,
            priority: 0,
        },
        prefill_tokens: prompt.tokens.unwrap_or(0),
        output_tokens: 100,
        share: None,
        is_disturbed: false,
    }
}

/// Sends a burst of prompts to an engine whose pace is known, by permits that are never returned. Returns when each was
/// granted, in milliseconds after the burst.
fn grant_burst(observed: &mut ObservedEngine, prompts: u64) -> Vec<u64> {
    let burst: Vec<PromptWork> = (0..prompts)
        .map(|_| random_prompt(&mut observed.random))
        .collect();
    observed.prompts_per_s = 0.0;
    observed.engine.pauses.clear();
    let began_ms = observed.now_ms;
    let mut issuer = PermitIssuer::default();
    let mut granted = Vec::new();
    let mut waiting: Vec<u64> = (0..prompts).collect();
    while !waiting.is_empty() {
        let now = observed.now();
        for id in &waiting {
            let index = usize::try_from(*id).unwrap();
            issuer.add_rated_request(address(1), &rated(*id, burst[index]), now);
        }
        issuer.set_pace(observed.estimator.present(now));
        for grant in issuer.issue_due(now) {
            waiting.retain(|id| *id != grant.grant.id);
            granted.push(observed.now_ms - began_ms);
            observed.send_prompt(grant.prompt.unwrap());
        }
        let next = observed.now_ms + REPORT_MS;
        observed.run(next);
        assert!(
            observed.now_ms < began_ms + 20_000,
            "{} prompts wait",
            waiting.len()
        );
    }
    granted
}

/// 30 prompts arrive at once at an engine with 16 streams, whose gateways return no permit in time. Its streams stay
/// within their pause limit, and the engine is not left idle beside the prompts.
#[test]
fn burst_is_prefilled_without_late_pauses_and_without_idle_time() {
    for seed in 0..12 {
        for speed in [0.8, 1.0, 1.6] {
            let mut observed = ObservedEngine::new(speed, seed);
            observed.run(9_960);
            let granted = grant_burst(&mut observed, 30);
            let pauses = &observed.engine.pauses;
            let late = pauses.iter().filter(|pause| pause.1 > 200.0).count();
            // Prompts on their way to the engine may bunch more than the margin covers.
            assert!(
                late * 200 <= pauses.len(),
                "speed {speed}: {late} of {}",
                pauses.len()
            );
            // 470 ms of prompts at the usual speed.
            let limit_ms = if speed < 1.0 { 2_600 } else { 1_800 };
            assert!(
                *granted.last().unwrap() <= limit_ms,
                "speed {speed}: {granted:?}"
            );
        }
    }
}

#[test]
fn fast_engine_takes_more_of_a_burst_than_a_slow_one() {
    for seed in 0..8 {
        let at_once = |speed: f64| {
            let mut observed = ObservedEngine::new(speed, seed);
            observed.run(9_960);
            let granted = grant_burst(&mut observed, 30);
            granted.iter().filter(|at| **at < 200).count()
        };
        let (slow, fast) = (at_once(0.6), at_once(1.6));
        assert!(slow >= 1 && fast >= slow * 2, "{slow} and {fast}");
    }
}

/// A disturbance begins while prompts wait: the engine is granted less from the next report on.
#[test]
fn disturbed_engine_is_granted_less() {
    for seed in 0..8 {
        let mut observed = ObservedEngine::new(1.0, seed);
        observed.run(9_960);
        let calm = observed.estimator.present(observed.now()).unwrap();
        observed.engine.disturbed_at.push(9_960);
        observed.run(10_380);
        let disturbed = observed.estimator.present(observed.now()).unwrap();
        let window = PrefillWindow::default();
        let tokens = |pace: &PresentPace| {
            let room = window.room(pace, MAX_PAUSE, observed.now());
            room.as_secs_f64() * 1e6 / pace.token_us
        };
        assert!(tokens(&disturbed) * 2.0 < tokens(&calm));
    }
}

/// A disturbed engine needs nearly the whole pause for its chunks. One prompt per pause limit is still granted, so that
/// its models stay within reach.
#[test]
fn engine_without_room_is_granted_one_prompt_at_a_time() {
    let mut issuer = PermitIssuer::default();
    issuer.set_pace(Some(PresentPace {
        chunk: Duration::from_millis(180),
        token_us: 100.0,
    }));
    let prompt = PromptWork {
        tokens: Some(600),
        estimate: Duration::from_millis(30),
    };
    let mut granted = Vec::new();
    for step in 0..100_u64 {
        for id in 0..5 {
            if !granted.iter().any(|row: &(u64, u64)| row.0 == id) {
                issuer.add_rated_request(address(1), &rated(id, prompt), at(step * 10));
            }
        }
        let due = issuer.issue_due(at(step * 10));
        granted.extend(due.iter().map(|due| (due.grant.id, step * 10)));
    }
    let times: Vec<u64> = granted.iter().map(|row| row.1).collect();
    assert_eq!(times, vec![0, 200, 400, 600, 800]);
}

/// The chunks of a disturbed slow engine take longer than the pause limit. Its streams are late, whatever it is sent:
/// requests need not wait for their sake, and half of the time is left to the streams.
#[test]
fn engine_whose_streams_are_late_anyway_prefills_for_half_of_the_time() {
    let window = PrefillWindow::default();
    let room = |chunk_ms| window.room(&pace(chunk_ms), MAX_PAUSE, at(0));
    assert_eq!(room(201), Duration::from_millis(100));
    assert_eq!(room(180), Duration::ZERO);
    assert_eq!(room(60), Duration::from_millis(110));
}

fn pace(chunk_ms: u64) -> PresentPace {
    PresentPace {
        chunk: Duration::from_millis(chunk_ms),
        token_us: 30.0,
    }
}

/// The engine accepts a prompt that is longer than the pause limit while it has no prefill work, and the next one once
/// that is done.
#[test]
fn idle_engine_accepts_a_prompt_of_any_length() {
    let mut issuer = PermitIssuer::default();
    issuer.set_pace(Some(pace(50)));
    let long = PromptWork {
        tokens: Some(20_000),
        estimate: Duration::from_millis(700),
    };
    issuer.add_rated_request(address(1), &rated(1, long), at(0));
    issuer.add_rated_request(address(1), &rated(2, long), at(0));
    assert_eq!(issuer.issue_due(at(0)).len(), 1);
    assert_eq!(issuer.wait_cause(at(1)), Some(WaitCause::Prefill));
    assert_eq!(issuer.next_expiry(), Some(at(600)));
    issuer.add_rated_request(address(1), &rated(2, long), at(590));
    assert!(issuer.issue_due(at(599)).is_empty());
    assert_eq!(issuer.issue_due(at(600)).len(), 1);
}

proptest! {
    #![proptest_config(fixed_cases(64))]

    /// For any prompts: within any span of the pause limit, the work that is granted fits beside a chunk, apart from a
    /// single prompt. Each prompt is granted once, and the engine is not idle while one waits.
    #[test]
    fn granted_work_fits_beside_a_chunk(
        tokens in prop::collection::vec(1_u32..6_000, 1..40),
        chunk_ms in 20_u64..200,
    ) {
        let mut issuer = PermitIssuer::default();
        let pace = pace(chunk_ms);
        issuer.set_pace(Some(pace));
        let prompt = |tokens: u32| PromptWork { tokens: Some(tokens), estimate: MAX_PAUSE };
        let mut waiting: Vec<(u64, u32)> = (0..).zip(tokens.iter().copied()).collect();
        let mut granted: Vec<(ClockTime, Duration)> = Vec::new();
        let mut now = at(0);
        for _ in 0..20_000 {
            for (id, tokens) in &waiting {
                issuer.add_rated_request(address(1), &rated(*id, prompt(*tokens)), now);
            }
            for grant in issuer.issue_due(now) {
                waiting.retain(|row| row.0 != grant.grant.id);
                granted.push((now, pace.prefill(grant.prompt.unwrap())));
            }
            if waiting.is_empty() {
                break;
            }
            let last = granted.last().expect("an idle engine is granted a prompt");
            prop_assert!(now.since(last.0) <= MAX_PAUSE.max(last.1), "idle beside waiting prompts");
            now = now + Duration::from_millis(10);
        }
        prop_assert_eq!(granted.len(), tokens.len());
        for (from, _) in &granted {
            let in_span = granted.iter().filter(|row| row.0 >= *from && row.0 < *from + MAX_PAUSE);
            let work: Vec<Duration> = in_span.map(|row| row.1).collect();
            let total: Duration = work.iter().sum();
            let is_within = total + pace.chunk <= MAX_PAUSE;
            prop_assert!(work.len() == 1 || is_within, "{work:?} beside {:?}", pace.chunk);
        }
    }
}
