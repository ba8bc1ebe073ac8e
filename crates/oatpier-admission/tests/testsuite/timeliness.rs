//! Refusing at once what can't be in time.

use std::time::Duration;

use oatpier_admission::event::{AgentAction, AgentEvent};
use oatpier_types::ids::AttemptId;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::request::AttemptSpec;

use crate::bench::{AgentBench, model_spec, refused, spec, started, weights};

fn within(attempt: u128, millis: u64) -> AttemptSpec {
    AttemptSpec {
        remaining: Duration::from_millis(millis),
        ..spec(attempt)
    }
}

fn learnt(millis: u64) -> AgentBench {
    let mut bench = AgentBench::new(1);
    (1..=20).for_each(|attempt| bench.learn(attempt, millis));
    bench
}

#[test]
fn hopeless_arrival_is_refused_with_the_drain_time() {
    // Calls take 100 ms, and one runs with two behind it. A fourth with 200 ms left can't be in
    // time: refused now, its entry can still try elsewhere; refused at its deadline, it can't.
    let mut bench = learnt(100);
    (31..=33).for_each(|attempt| {
        bench.arrive(spec(attempt));
    });
    let late = bench.arrive(AttemptSpec {
        remaining: Duration::from_millis(200),
        ..spec(34)
    });
    // It goes before the two by its deadline, so only the running one counts.
    assert!(!refused(34, RefusalCause::TooLate, &late));
    let late = bench.arrive(within(35, 150));
    assert!(refused(35, RefusalCause::TooLate, &late), "{late:?}");
    let retry_after = late.iter().find_map(|action| match action {
        AgentAction::Refuse { refusal, .. } => refusal.retry_after,
        _ => None,
    });
    let drain = retry_after.unwrap();
    assert!(drain >= Duration::from_millis(300), "{drain:?}");
    assert!(drain <= Duration::from_millis(500), "{drain:?}");
}

#[test]
fn waiting_attempt_is_refused_once_hopeless() {
    // An attempt waits behind a call that takes longer than expected. As soon as it could not be
    // answered in time even if it started now, it is refused, by the timer, before its deadline.
    let mut bench = learnt(100);
    bench.arrive(spec(31));
    assert!(bench.arrive(within(32, 300)).is_empty());
    let timer = bench.policy.next_timer();
    let deadline = bench.now + Duration::from_millis(300);
    assert!(timer < deadline, "{timer:?} before {deadline:?}");
    bench.now = timer;
    let late = bench.step(AgentEvent::Timer);
    assert!(refused(32, RefusalCause::TooLate, &late), "{late:?}");
}

#[test]
fn frozen_endpoint_is_not_trusted() {
    // The endpoint froze a while ago: nothing ends. By the mean of better days a slot would be
    // free in 100 ms; in truth none has been for 5 s, so attempts with 1 s left go elsewhere.
    let mut bench = learnt(100);
    bench.arrive(spec(31));
    bench.wait(5_000);
    assert!(refused(
        32,
        RefusalCause::TooLate,
        &bench.arrive(within(32, 1_000))
    ));
    let now = bench.now;
    assert!(bench.policy.queue_report(now).wait >= Duration::from_secs(5));
}

#[test]
fn slow_past_does_not_lock_the_endpoint() {
    // Calls took 3 s for a while, so all with 1 s left are refused and nothing new is learnt.
    // After a while an idle endpoint has to get one again, or it stays empty for ever.
    let mut bench = learnt(3_000);
    // The learning took a minute: an entry has heard the agent's queue report since.
    bench.ticket = bench.fresh_ticket();
    assert!(refused(
        31,
        RefusalCause::TooLate,
        &bench.arrive(within(31, 1_000))
    ));
    bench.wait(3_000);
    assert_eq!(started(&bench.arrive(within(32, 1_000))), [32]);
}

#[test]
fn nothing_is_refused_on_no_evidence() {
    let mut bench = AgentBench::new(1);
    assert_eq!(started(&bench.arrive(within(1, 1))), [1]);
    assert!(refused(
        2,
        RefusalCause::TooLate,
        &bench.arrive(within(2, 0))
    ));
}

#[test]
fn long_prompts_are_predicted_from_short_ones() {
    // An engine reads 100 tokens in 20 ms. A prompt of 10,000 can't be read in 300 ms.
    let mut bench = AgentBench::new(1);
    let ready = vec![weights(None)];
    let loading = Vec::new();
    bench.step(AgentEvent::ReadyChanged { ready, loading });
    (1..=20).for_each(|attempt| {
        bench.arrive(model_spec(attempt, None));
        bench.wait(25);
        let id = AttemptId(attempt);
        bench.step(AgentEvent::EndpointFirstToken { attempt: id });
        bench.wait(5);
        bench.step(AgentEvent::EndpointPiece {
            attempt: id,
            tokens: 1,
        });
        bench.end(attempt);
    });
    let mut long = model_spec(50, None);
    long.tokens.prompt = 10_000;
    long.remaining = Duration::from_millis(300);
    assert!(refused(50, RefusalCause::TooLate, &bench.arrive(long)));
    let now = bench.now;
    let report = bench.policy.queue_report(now);
    assert!(
        (4_000..6_000).contains(&report.step_us),
        "{}",
        report.step_us
    );
    assert!(
        (190_000..260_000).contains(&report.prompt_token_ns),
        "{}",
        report.prompt_token_ns
    );
}

#[test]
fn a_common_gap_is_not_taken_for_a_slow_endpoint() {
    // Four slots, answers of 400 ms: a slot is freed each 100 ms on average, but in no order. All
    // of them are busy for 300 ms, as happens by chance. An attempt behind two others waits for
    // three slots, some 300 ms; by the length of the gap it would be three times as long, and it
    // would be refused although it can be in time.
    let mut bench = AgentBench::new(4);
    (1..=20).for_each(|attempt| bench.learn(attempt, 400));
    bench.ticket = bench.fresh_ticket();
    (31..=36).for_each(|attempt| {
        bench.arrive(spec(attempt));
    });
    bench.wait(300);
    let actions = bench.arrive(within(40, 60_000));
    assert!(actions.is_empty(), "{actions:?}");
    let now = bench.now;
    let wait = bench.policy.queue_report(now).wait;
    assert!(wait <= Duration::from_millis(450), "{wait:?}");
}

#[test]
fn a_pause_is_not_taken_for_service_time() {
    // Calls take 50 ms. The VM was paused for 4 s while one ran, so that one took 4 s by the
    // clock. Its endpoint is idle and healthy afterwards: attempts with 300 ms left are taken at
    // once, also while no other replica is there to take them.
    let mut bench = learnt(50);
    bench.learn(31, 4_000);
    bench.ticket = bench.fresh_ticket();
    for attempt in 32..=40 {
        let actions = bench.arrive(within(attempt, 300));
        assert_eq!(started(&actions), [attempt]);
        bench.wait(50);
        bench.end(attempt);
    }
}

#[test]
fn one_good_answer_reopens_an_idle_endpoint() {
    // All eight slots were busy during a pause of 4 s, so eight calls in a row took 4 s. The idle
    // endpoint gets one attempt to learn from. It takes 50 ms, and those after it are taken.
    let mut bench = AgentBench::new(8);
    (1..=20).for_each(|attempt| bench.learn(attempt, 50));
    (31..=38).for_each(|attempt| {
        bench.arrive(spec(attempt));
    });
    bench.wait(4_000);
    (31..=38).for_each(|attempt| {
        bench.end(attempt);
    });
    bench.ticket = bench.fresh_ticket();
    bench.wait(2_500);
    for attempt in 41..=50 {
        let actions = bench.arrive(within(attempt, 300));
        assert_eq!(started(&actions), [attempt]);
        bench.wait(50);
        bench.end(attempt);
    }
}

#[test]
fn a_lone_slow_call_does_not_lengthen_the_expected_wait() {
    // One call in a hundred takes 4 s instead of 50 ms. Three attempts that wait behind a running
    // one go on being promised their slots within some 200 ms, as entries choose by that.
    let mut bench = learnt(50);
    bench.learn(31, 4_000);
    bench.learn(32, 50);
    bench.ticket = bench.fresh_ticket();
    (41..=44).for_each(|attempt| {
        bench.arrive(spec(attempt));
    });
    let now = bench.now;
    let wait = bench.policy.queue_report(now).wait;
    assert!(wait <= Duration::from_millis(300), "{wait:?}");
}

#[test]
fn an_endpoint_that_became_slow_is_seen_after_some_calls() {
    // Calls took 50 ms and take 2 s from now on. That is no lone slow call: after twelve of them
    // an attempt with 300 ms left is refused, as it can go elsewhere.
    let mut bench = learnt(50);
    (31..=42).for_each(|attempt| bench.learn(attempt, 2_000));
    bench.ticket = bench.fresh_ticket();
    let actions = bench.arrive(within(50, 300));
    assert!(refused(50, RefusalCause::TooLate, &actions), "{actions:?}");
}
