//! Tests of the engine without I/O: steps, priorities, prefix cache, delayed reports.

use std::time::Duration;

use oatpier_standin::engine::{EngineCore, EngineFaults, EngineOptions, EngineOutput, OutputKind};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::AttemptId;

use crate::support::{core, engine_request, options};

const START: ClockTime = ClockTime::ZERO;

/// Advances until no work is left.
fn run_to_end(core: &mut EngineCore) -> Vec<EngineOutput> {
    let mut outputs = Vec::new();
    while core.next_time() != ClockTime::NEVER {
        outputs.extend(core.advance(core.next_time()));
    }
    outputs
}

fn first_token(outputs: &[EngineOutput], attempt: u128) -> ClockTime {
    let mut outputs = outputs.iter();
    let output = outputs.find(|output| output.attempt == AttemptId(attempt));
    output.unwrap().at
}

#[test]
fn an_answer_is_produced_token_by_token() {
    let mut core = core(options());
    core.submit(START, engine_request(1)).unwrap();
    let outputs = run_to_end(&mut core);
    let kinds: Vec<OutputKind> = outputs.iter().map(|output| output.kind).collect();
    let tokens = (0..4).map(OutputKind::Token);
    assert_eq!(kinds, tokens.chain([OutputKind::Done]).collect::<Vec<_>>());
    // The first step takes 4.5 ms, 50 us for the request and 5 us for each of 100 prompt tokens. The
    // second one reads no prompt.
    assert_eq!(outputs[0].at, ClockTime::from_micros(5_050));
    assert_eq!(outputs[1].at, ClockTime::from_micros(5_050 + 4_550));
}

#[test]
fn the_most_urgent_request_gets_the_next_slot() {
    let mut core = core(EngineOptions {
        slots: 1,
        ..options()
    });
    for (attempt, priority) in [(1, 5), (2, 9), (3, 2)] {
        let mut request = engine_request(attempt);
        request.priority = priority;
        core.submit(START, request).unwrap();
    }
    let outputs = run_to_end(&mut core);
    assert!(first_token(&outputs, 1) < first_token(&outputs, 3));
    assert!(first_token(&outputs, 3) < first_token(&outputs, 2));
}

#[test]
fn long_prompts_are_read_in_chunks_in_order_of_priority() {
    let mut core = core(options());
    let mut long = engine_request(1);
    long.prompt_tokens = 3 * 2_048;
    core.submit(START, long).unwrap();
    let mut short = engine_request(2);
    short.priority = 0;
    core.submit(START, short).unwrap();
    let outputs = run_to_end(&mut core);
    assert!(first_token(&outputs, 2) > first_token(&outputs, 1));

    let mut urgent = engine_request(3);
    urgent.priority = 0;
    let mut long = engine_request(4);
    long.prompt_tokens = 3 * 2_048;
    long.priority = 1;
    let now = ClockTime::from_millis(10_000);
    core.submit(now, long).unwrap();
    core.submit(now, urgent).unwrap();
    let outputs = run_to_end(&mut core);
    assert!(first_token(&outputs, 3) < first_token(&outputs, 4));
}

#[test]
fn a_cached_prefix_is_not_read_again_and_the_cache_is_bounded() {
    let mut core = core(EngineOptions {
        cache_blocks: 2,
        cache_gap: 2,
        ..options()
    });
    let mut first_tokens = Vec::new();
    for (round, prefix) in [[1, 2], [1, 2], [3, 4], [1, 2]].into_iter().enumerate() {
        let now = ClockTime::from_millis(1_000 * (round as u64 + 1));
        let mut request = engine_request(1);
        request.prompt_tokens = 130;
        request.prefix = prefix.into_iter().collect();
        core.submit(now, request).unwrap();
        first_tokens.push(run_to_end(&mut core)[0].at.since(now));
    }
    assert!(first_tokens[1] < first_tokens[0]);
    assert_eq!(first_tokens[3], first_tokens[0]);

    // Events are delayed by 200 ms, and every second one is missing.
    let lag = Duration::from_millis(200);
    let first_seen = ClockTime::from_millis(1_000) + lag;
    assert!(
        core.cache_events(first_seen - Duration::from_millis(1), 0)
            .is_empty()
    );
    assert_eq!(core.cache_events(first_seen, 0).len(), 1);
    let all = core.cache_events(ClockTime::from_millis(9_000), 0);
    assert_eq!(
        all.iter().map(|event| event.sequence).collect::<Vec<_>>(),
        [1, 3, 5, 7, 9]
    );
}

#[test]
fn load_reports_lag() {
    let mut core = core(EngineOptions {
        slots: 1,
        ..options()
    });
    let now = ClockTime::from_millis(1_000);
    core.submit(now, engine_request(1)).unwrap();
    core.submit(now, engine_request(2)).unwrap();
    let seen = now + Duration::from_millis(500);
    assert_eq!(core.load(seen - Duration::from_millis(1)).running, 0);
    let report = core.load(seen);
    assert_eq!((report.running, report.waiting), (1, 1));
    assert_eq!((report.waiting_tokens, report.age_ms), (100, 500));
}

/// An engine freezes in the middle of a stream: it accepts calls and produces no output. Afterwards it
/// continues where it stopped, and does not produce the missed tokens at once.
#[test]
fn a_frozen_engine_continues_where_it_stopped() {
    let mut core = core(options());
    core.submit(START, engine_request(1)).unwrap();
    let first = core.advance(ClockTime::from_millis(6));
    assert_eq!(first.len(), 1);
    let frozen = EngineFaults {
        frozen: true,
        ..EngineFaults::default()
    };
    core.set_faults(ClockTime::from_millis(6), frozen);
    assert!(core.advance(ClockTime::from_millis(60_000)).is_empty());
    core.set_faults(ClockTime::from_millis(60_000), EngineFaults::default());
    let outputs = run_to_end(&mut core);
    assert_eq!(outputs.len(), 4);
    assert_eq!(outputs[0].at, ClockTime::from_micros(60_004_550));
}
