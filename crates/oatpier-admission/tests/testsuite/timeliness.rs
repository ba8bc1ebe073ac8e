//! Early refusal of attempts that can't meet their deadline.

use std::time::Duration;

use oatpier_admission::event::{AgentAction, AgentEvent};
use oatpier_types::ids::AttemptId;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::request::AttemptSpec;

use crate::harness::{AgentHarness, model_spec, refused, spec, started, weights};

fn within(attempt: u128, millis: u64) -> AttemptSpec {
    AttemptSpec {
        remaining: Duration::from_millis(millis),
        ..spec(attempt)
    }
}

fn harness_with_samples(millis: u64) -> AgentHarness {
    let mut harness = AgentHarness::new(1);
    (1..=20).for_each(|attempt| harness.run_alone(attempt, millis));
    harness
}

#[test]
fn arrival_that_would_be_late_is_refused_with_the_drain_time() {
    // Calls take 100 ms; one runs and two wait behind it. A fourth attempt with 150 ms left can't
    // be in time. If it is refused at once, its entry can still try another endpoint; if it is
    // refused at its deadline, it can't.
    let mut harness = harness_with_samples(100);
    (31..=33).for_each(|attempt| {
        harness.arrive(spec(attempt));
    });
    let late = harness.arrive(AttemptSpec {
        remaining: Duration::from_millis(200),
        ..spec(34)
    });
    // Its earlier deadline puts it before the two, so only the running call counts.
    assert!(!refused(34, RefusalCause::TooLate, &late));
    let late = harness.arrive(within(35, 150));
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
fn waiting_attempt_is_refused_before_its_deadline() {
    // An attempt waits behind a call that takes longer than expected. Once it would be late even if
    // it started immediately, the timer refuses it, before its deadline.
    let mut harness = harness_with_samples(100);
    harness.arrive(spec(31));
    assert!(harness.arrive(within(32, 300)).is_empty());
    let timer = harness.policy.next_timer();
    let deadline = harness.now + Duration::from_millis(300);
    assert!(timer < deadline, "{timer:?} before {deadline:?}");
    harness.now = timer;
    let late = harness.step(AgentEvent::Timer);
    assert!(refused(32, RefusalCause::TooLate, &late), "{late:?}");
}

#[test]
fn stalled_endpoint_raises_the_predicted_wait() {
    // The endpoint hangs and ends no calls. The mean of earlier calls predicts a free slot in 100
    // ms, but none has been freed for 5 s, so attempts with 1 s left are refused and can go
    // elsewhere.
    let mut harness = harness_with_samples(100);
    harness.arrive(spec(31));
    harness.wait(5_000);
    assert!(refused(
        32,
        RefusalCause::TooLate,
        &harness.arrive(within(32, 1_000))
    ));
    let now = harness.now;
    assert!(harness.policy.queue_report(now).wait >= Duration::from_secs(5));
}

#[test]
fn idle_endpoint_is_sampled_again_after_slow_calls() {
    // Calls took 3 s, so all attempts with 1 s left are refused and no new sample arrives. After a
    // while an idle endpoint must get an attempt again, or it stays unused indefinitely.
    let mut harness = harness_with_samples(3_000);
    // The samples took a minute; by then an entry has received a newer queue report.
    harness.ticket = harness.fresh_ticket();
    assert!(refused(
        31,
        RefusalCause::TooLate,
        &harness.arrive(within(31, 1_000))
    ));
    harness.wait(3_000);
    assert_eq!(started(&harness.arrive(within(32, 1_000))), [32]);
}

#[test]
fn nothing_is_refused_without_samples() {
    let mut harness = AgentHarness::new(1);
    assert_eq!(started(&harness.arrive(within(1, 1))), [1]);
    assert!(refused(
        2,
        RefusalCause::TooLate,
        &harness.arrive(within(2, 0))
    ));
}

#[test]
fn long_prompts_are_predicted_from_short_ones() {
    // An engine processes 100 prompt tokens in 20 ms. A prompt of 10,000 can't be processed in 300
    // ms.
    let mut harness = AgentHarness::new(1);
    let ready = vec![weights(None)];
    let loading = Vec::new();
    harness.step(AgentEvent::WeightsChanged { ready, loading });
    (1..=20).for_each(|attempt| {
        harness.arrive(model_spec(attempt, None));
        harness.wait(25);
        let id = AttemptId(attempt);
        harness.step(AgentEvent::EndpointFirstToken { attempt: id });
        harness.wait(5);
        harness.step(AgentEvent::EndpointChunk {
            attempt: id,
            tokens: 1,
        });
        harness.end(attempt);
    });
    let mut long = model_spec(50, None);
    long.tokens.prompt = 10_000;
    long.remaining = Duration::from_millis(300);
    assert!(refused(50, RefusalCause::TooLate, &harness.arrive(long)));
    let now = harness.now;
    let report = harness.policy.queue_report(now);
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
fn common_gap_does_not_raise_the_predicted_wait() {
    // Four slots and answers of 400 ms: a slot is freed every 100 ms on average, at irregular
    // intervals. By chance all slots are busy for 300 ms. An attempt behind two others waits for
    // three slots, about 300 ms. Predicted from the length of the gap, the wait would be three
    // times as long, and the attempt would be refused although it can be in time.
    let mut harness = AgentHarness::new(4);
    (1..=20).for_each(|attempt| harness.run_alone(attempt, 400));
    harness.ticket = harness.fresh_ticket();
    (31..=36).for_each(|attempt| {
        harness.arrive(spec(attempt));
    });
    harness.wait(300);
    let actions = harness.arrive(within(40, 60_000));
    assert!(actions.is_empty(), "{actions:?}");
    let now = harness.now;
    let wait = harness.policy.queue_report(now).wait;
    assert!(wait <= Duration::from_millis(450), "{wait:?}");
}

#[test]
fn vm_pause_does_not_raise_the_service_time() {
    // Calls take 50 ms. The VM was paused for 4 s during one call, so that call took 4 s by the
    // clock. The endpoint is idle and healthy afterwards. Attempts with 300 ms left must be
    // accepted at once, since there may be no other replica to take them.
    let mut harness = harness_with_samples(50);
    harness.run_alone(31, 4_000);
    harness.ticket = harness.fresh_ticket();
    for attempt in 32..=40 {
        let actions = harness.arrive(within(attempt, 300));
        assert_eq!(started(&actions), [attempt]);
        harness.wait(50);
        harness.end(attempt);
    }
}

#[test]
fn one_fast_answer_reopens_an_idle_endpoint() {
    // All eight slots were busy during a pause of 4 s, so eight calls in a row took 4 s. The idle
    // endpoint gets one attempt as a sample. It takes 50 ms, and the following attempts are
    // accepted.
    let mut harness = AgentHarness::new(8);
    (1..=20).for_each(|attempt| harness.run_alone(attempt, 50));
    (31..=38).for_each(|attempt| {
        harness.arrive(spec(attempt));
    });
    harness.wait(4_000);
    (31..=38).for_each(|attempt| {
        harness.end(attempt);
    });
    harness.ticket = harness.fresh_ticket();
    harness.wait(2_500);
    for attempt in 41..=50 {
        let actions = harness.arrive(within(attempt, 300));
        assert_eq!(started(&actions), [attempt]);
        harness.wait(50);
        harness.end(attempt);
    }
}

#[test]
fn a_lone_slow_call_does_not_lengthen_the_expected_wait() {
    // One call in a hundred takes 4 s instead of 50 ms. The predicted wait of three attempts behind
    // a running one must stay at about 200 ms, since entries choose endpoints by it.
    let mut harness = harness_with_samples(50);
    harness.run_alone(31, 4_000);
    harness.run_alone(32, 50);
    harness.ticket = harness.fresh_ticket();
    (41..=44).for_each(|attempt| {
        harness.arrive(spec(attempt));
    });
    let now = harness.now;
    let wait = harness.policy.queue_report(now).wait;
    assert!(wait <= Duration::from_millis(300), "{wait:?}");
}

#[test]
fn slowdown_is_detected_after_some_calls() {
    // Calls took 50 ms and now take 2 s. This is no single outlier: after twelve such calls an
    // attempt with 300 ms left is refused, so that it can go elsewhere.
    let mut harness = harness_with_samples(50);
    (31..=42).for_each(|attempt| harness.run_alone(attempt, 2_000));
    harness.ticket = harness.fresh_ticket();
    let actions = harness.arrive(within(50, 300));
    assert!(refused(50, RefusalCause::TooLate, &actions), "{actions:?}");
}
