//! Choice between a slow and a fast holder of a model, by whether the whole stream would be in time.

use oatpier_serving::capacity::EnginePace;
use oatpier_serving::choice::{
    self, ChoiceOutcome, ChoiceQuery, EndpointChoice, StreamNeed, VersionPin,
};
use oatpier_serving::directory::EndpointDirectory;
use oatpier_serving::engine::StartTime;
use oatpier_serving::message::{MessageNumber, PaceStatus};
use oatpier_types::clock::ClockTime;

use crate::support::{
    SLOTS, address, at, directory, endpoint, millis, request, service, status, zone,
};

const SLOW: EnginePace = EnginePace {
    chunk_us: 83_000,
    late_pauses_per_ks: 290,
    prefill_us_per_k: 40_000,
    permits_per_ks: 0,
};
const FAST: EnginePace = EnginePace {
    chunk_us: 31_000,
    late_pauses_per_ks: 5,
    prefill_us_per_k: 20_000,
    permits_per_ks: 0,
};

const LONG: StreamNeed = StreamNeed {
    chunks: 35.0,
    target: millis_const(300),
    waited: millis_const(0),
};
const SHORT: StreamNeed = StreamNeed {
    chunks: 6.0,
    target: millis_const(800),
    waited: millis_const(0),
};

const fn millis_const(value: u64) -> std::time::Duration {
    std::time::Duration::from_millis(value)
}

fn choose(directory: &EndpointDirectory, need: StreamNeed, now: ClockTime) -> EndpointChoice {
    let query = ChoiceQuery {
        service: &service(),
        request: &request("m1"),
        zone: &zone("near"),
        excluded: &[],
        pin: &VersionPin::Any,
        engine: None,
        max_turn_wait: millis(0),
        stream: Some(need),
    };
    match choice::choose(directory, &query, now) {
        ChoiceOutcome::Endpoint(choice) => choice,
        other => panic!("no endpoint was chosen: {other:?}"),
    }
}

fn pace_update(engine: u8, number: u64, start: Option<u64>, pace: EnginePace) -> PaceStatus {
    PaceStatus {
        number: MessageNumber { boot: 1, number },
        engine: address(engine),
        start: start.map(StartTime),
        pace,
    }
}

/// Returns a directory in which `e1` is slow and `e2` is fast, with numbers of running requests.
fn slow_and_fast(slow_running: u32, fast_running: u32) -> EndpointDirectory {
    let mut directory = directory(&[(&["m1"], slow_running), (&["m1"], fast_running)], at(0));
    directory.apply_pace(&pace_update(1, 1, None, SLOW), at(0));
    directory.apply_pace(&pace_update(2, 1, None, FAST), at(0));
    directory
}

#[test]
fn long_stream_prefers_the_busier_fast_engine() {
    let directory = slow_and_fast(0, SLOTS - 1);
    let choice = choose(&directory, LONG, at(10));
    assert_eq!(choice.endpoint, endpoint("e2"));
    let prediction = choice.stream.unwrap();
    assert!(prediction.late_pause_risk < 0.01);
    assert_eq!(prediction.chunk_time, millis(31));
}

/// The queue of the fast engine would make the first chunk late, and the slow engine has room.
#[test]
fn queue_of_a_fast_engine_is_not_joined_if_the_first_chunk_would_be_late() {
    let directory = slow_and_fast(0, SLOTS * 2);
    assert_eq!(choose(&directory, LONG, at(10)).endpoint, endpoint("e1"));
}

/// A short stream gains too little on the fast engine to wait there as long as a long one.
#[test]
fn short_stream_leaves_a_full_fast_engine_to_long_ones() {
    let directory = slow_and_fast(0, SLOTS);
    assert_eq!(choose(&directory, SHORT, at(10)).endpoint, endpoint("e1"));
    assert_eq!(choose(&directory, LONG, at(10)).endpoint, endpoint("e2"));
}

/// Failure: a stream that is late already waits for a fast engine, which no longer helps it, beside a free slot.
#[test]
fn stream_that_is_late_already_takes_the_free_slot() {
    let directory = slow_and_fast(0, SLOTS);
    let late = StreamNeed {
        waited: millis(400),
        ..LONG
    };
    assert_eq!(choose(&directory, late, at(10)).endpoint, endpoint("e1"));
}

/// Failure: an engine whose sidecar reports no pace, such as one of an earlier build, attracts all streams.
#[test]
fn engine_of_unknown_pace_counts_as_the_mean_of_the_others() {
    let mut directory = directory(&[(&["m1"], 0), (&["m1"], 0), (&["m1"], 0)], at(0));
    directory.apply_pace(&pace_update(1, 1, None, SLOW), at(0));
    directory.apply_pace(&pace_update(2, 1, None, FAST), at(0));
    assert_eq!(choose(&directory, LONG, at(10)).endpoint, endpoint("e2"));
    let mut busy = status(2, &["m1"], SLOTS * 2);
    busy.number.number = 2;
    directory.apply_status(busy, at(20));
    assert_eq!(choose(&directory, LONG, at(30)).endpoint, endpoint("e3"));
}

/// Failure: the updates of a pace stop, and the last figure is used for good.
#[test]
fn pace_without_updates_no_longer_counts() {
    let mut directory = slow_and_fast(0, 4);
    assert_eq!(choose(&directory, LONG, at(5_000)).endpoint, endpoint("e2"));
    for engine in [1, 2] {
        let mut later = status(engine, &["m1"], if engine == 1 { 0 } else { 4 });
        later.number.number = 2;
        directory.apply_status(later, at(6_500));
    }
    let choice = choose(&directory, LONG, at(6_600));
    assert_eq!(choice.endpoint, endpoint("e1"));
    assert_eq!(choice.stream, None);
}

/// Failure: an engine restarts under its name on a slow VM, and is still chosen for its earlier speed.
#[test]
fn engine_that_restarts_at_another_speed_is_not_chosen_by_its_earlier_one() {
    let mut directory = slow_and_fast(0, 4);
    directory.apply_pace(&pace_update(2, 2, Some(1), FAST), at(10));
    let mut restarted = status(2, &["m1"], 4);
    restarted.number.number = 2;
    restarted.start = Some(StartTime(2));
    directory.apply_status(restarted, at(20));
    assert_eq!(choose(&directory, LONG, at(30)).endpoint, endpoint("e1"));
    let slower = EnginePace {
        late_pauses_per_ks: 600,
        ..SLOW
    };
    directory.apply_pace(&pace_update(2, 3, Some(2), slower), at(40));
    let choice = choose(&directory, LONG, at(50));
    assert_eq!(choice.endpoint, endpoint("e1"));
    assert!(choice.stream.is_some());
}

/// Failure: all holders are slow, and the streams crowd onto the one that is less slow by a trifle.
#[test]
fn streams_spread_by_load_if_all_holders_are_slow() {
    let mut directory = slow_and_fast(3, 2);
    let less_slow = EnginePace {
        late_pauses_per_ks: 288,
        ..SLOW
    };
    directory.apply_pace(&pace_update(1, 2, None, less_slow), at(10));
    directory.apply_pace(&pace_update(2, 2, None, SLOW), at(10));
    assert_eq!(choose(&directory, LONG, at(20)).endpoint, endpoint("e2"));
}

/// Failure: a gateway that was frozen for seconds applies all updates at once, in any order, and uses an old pace.
#[test]
fn newest_pace_counts_after_updates_arrive_at_once() {
    let mut directory = slow_and_fast(0, 0);
    for number in [4, 2, 3] {
        let is_newest = number == 4;
        let (first, second) = if is_newest {
            (FAST, SLOW)
        } else {
            (SLOW, FAST)
        };
        directory.apply_pace(&pace_update(1, number, None, first), at(8_000));
        directory.apply_pace(&pace_update(2, number, None, second), at(8_000));
    }
    for engine in [1, 2] {
        let mut later = status(engine, &["m1"], if engine == 1 { 4 } else { 0 });
        later.number.number = 2;
        directory.apply_status(later, at(8_000));
    }
    assert_eq!(choose(&directory, LONG, at(8_010)).endpoint, endpoint("e1"));
}

/// The request has 400 prompt tokens, none of them cached. The gateway has not seen any prompt yet.
#[test]
fn prefill_time_is_that_of_the_engine() {
    let directory = slow_and_fast(0, 0);
    let choice = choose(&directory, LONG, at(10));
    assert_eq!(choice.own_prefill, millis(8));
}

/// Failure: a gateway on a VM with little CPU overrates the prefill, and what it has sent makes an engine look busy.
#[test]
fn pending_prefill_is_counted_at_the_pace_of_the_engine() {
    let mut directory = slow_and_fast(0, 0);
    let weights = request("m1").weights.unwrap();
    let (name, now) = (endpoint("e2"), at(10));
    for _ in 0..20 {
        let prompt = directory.note_prefill(&name, &weights, 400.0, now);
        directory.note_first_chunk(&name, Some(&weights), &prompt, millis(90), now);
        directory.note_prefill_end(&name, &prompt);
    }
    let prompt = directory.note_prefill(&name, &weights, 400.0, now);
    assert!((prompt.own_ms - 8.0).abs() < 1e-6);
}

#[test]
fn other_requests_are_placed_without_regard_to_the_pace() {
    let directory = slow_and_fast(0, 4);
    let query = ChoiceQuery {
        service: &service(),
        request: &request("m1"),
        zone: &zone("near"),
        excluded: &[],
        pin: &VersionPin::Any,
        engine: None,
        max_turn_wait: millis(0),
        stream: None,
    };
    let outcome = choice::choose(&directory, &query, at(10));
    assert!(
        matches!(outcome, ChoiceOutcome::Endpoint(choice) if choice.endpoint == endpoint("e1"))
    );
}
