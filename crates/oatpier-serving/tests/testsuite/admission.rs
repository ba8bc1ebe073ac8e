//! Who goes on, who waits and who is refused.
//!
//! The load: bursts of two to four times the usual requests for seconds, of classes whose first piece
//! is due within 250 ms beside patient ones.

use std::time::Duration;

use oatpier_serving::admission::{AdmissionJudge, AdmissionQuery, AdmissionVerdict};
use oatpier_serving::choice::EndpointChoice;
use oatpier_types::refusal::RefusalCause;

use oatpier_serving::site::RouteRule;

use crate::support::{endpoint, millis, route};

fn choice(occupancy: f64, queue: Duration) -> EndpointChoice {
    EndpointChoice {
        endpoint: endpoint("e1"),
        predicted: queue + millis(30),
        queue,
        needs_adapter: false,
        occupancy,
        memory_full: false,
        batches: true,
        own_reading: Duration::ZERO,
    }
}

/// Judges a request that has been here for so long, and whose caller waits for two seconds.
fn judged(
    judge: &mut AdmissionJudge,
    choice: &EndpointChoice,
    route: &RouteRule,
    waited_ms: u64,
) -> AdmissionVerdict {
    judge.judge(&AdmissionQuery {
        choice,
        route,
        priority: route.priority,
        waited: millis(waited_ms),
        patience: millis(2_000),
    })
}

fn refused_after(judge: &mut AdmissionJudge) -> Duration {
    let full = choice(1.5, millis(600));
    match judged(judge, &full, &route(250, 1), 1_200) {
        AdmissionVerdict::Refuse(refusal) => {
            assert_eq!(refusal.cause, RefusalCause::TooLate);
            refusal.retry_after.unwrap()
        }
        other => panic!("it was not refused: {other:?}"),
    }
}

#[test]
fn a_free_slot_is_taken_at_once() {
    let mut judge = AdmissionJudge::new(1);
    let verdict = judged(&mut judge, &choice(0.9, Duration::ZERO), &route(250, 1), 0);
    assert_eq!(verdict, AdmissionVerdict::Send);
}

/// A full engine would make the request late and everything behind it as well. It waits at the
/// gateway while it can still be in time, then while its caller does, and is refused early enough for the
/// caller to come back.
#[test]
fn a_request_waits_while_its_caller_does_and_is_refused_after() {
    let mut judge = AdmissionJudge::new(1);
    let full = choice(1.0, millis(60));
    let urgent = route(250, 1);
    assert!(matches!(
        judged(&mut judge, &full, &urgent, 0),
        AdmissionVerdict::Wait(_)
    ));
    assert!(matches!(
        judged(&mut judge, &full, &urgent, 170),
        AdmissionVerdict::Wait(_)
    ));
    assert!(matches!(
        judged(&mut judge, &full, &urgent, 1_200),
        AdmissionVerdict::Refuse(_)
    ));
    let patient = route(3_000, 1);
    assert!(matches!(
        judged(&mut judge, &full, &patient, 1_500),
        AdmissionVerdict::Wait(_)
    ));
}

#[test]
fn the_most_urgent_class_may_go_slightly_over_the_slots() {
    let mut judge = AdmissionJudge::new(1);
    let full = choice(1.0, millis(60));
    assert_eq!(
        judged(&mut judge, &full, &route(250, 0), 0),
        AdmissionVerdict::Send
    );
    let over = choice(1.2, millis(200));
    assert_ne!(
        judged(&mut judge, &over, &route(250, 0), 0),
        AdmissionVerdict::Send
    );
}

/// Callers that are all told the same time come back together, and find the same queue.
#[test]
fn times_to_return_differ_and_grow_with_the_share_of_refusals() {
    let mut judge = AdmissionJudge::new(1);
    let first: Vec<Duration> = (0..5).map(|_| refused_after(&mut judge)).collect();
    assert!(first.windows(2).all(|pair| pair[0] != pair[1]));
    for _ in 0..200 {
        refused_after(&mut judge);
    }
    let later = refused_after(&mut judge);
    assert!(later > first[0] * 2, "{later:?} against {:?}", first[0]);
}

#[test]
fn an_engine_without_memory_gets_no_request() {
    let mut judge = AdmissionJudge::new(1);
    let mut full = choice(0.2, millis(100));
    full.memory_full = true;
    let verdict = judged(&mut judge, &full, &route(250, 0), 0);
    assert_ne!(verdict, AdmissionVerdict::Send);
}

/// Under overload some requests can only be late. They are served from what is left: the last slots go to
/// requests that can still be in time.
#[test]
fn a_late_request_leaves_the_last_slots_to_those_in_time() {
    let mut judge = AdmissionJudge::new(1);
    let nearly_full = choice(0.97, Duration::ZERO);
    let route = route(250, 1);
    assert_eq!(
        judged(&mut judge, &nearly_full, &route, 0),
        AdmissionVerdict::Send
    );
    assert!(matches!(
        judged(&mut judge, &nearly_full, &route, 400),
        AdmissionVerdict::Wait(_)
    ));
    assert_eq!(
        judged(&mut judge, &choice(0.9, Duration::ZERO), &route, 400),
        AdmissionVerdict::Send
    );
}

/// A plain service gets more requests for some seconds than it can bear. Each gateway sends while the queue there is
/// below what the target allows, and then everybody waits in that queue and nobody is in time. A request is sent
/// only where it is expected in time; one that can't be in time any more takes a free slot and no other's turn.
#[test]
fn a_plain_service_is_sent_what_it_can_answer_in_time() {
    let mut judge = AdmissionJudge::new(1);
    let route = route(300, 2);
    let plain = |occupancy, queue_ms: u64, answer_ms: u64| EndpointChoice {
        predicted: millis(queue_ms + answer_ms),
        batches: false,
        ..choice(occupancy, millis(queue_ms))
    };
    let mut verdict = |choice: &EndpointChoice, waited| judged(&mut judge, choice, &route, waited);
    assert_eq!(verdict(&plain(0.5, 0, 70), 0), AdmissionVerdict::Send);
    assert_eq!(verdict(&plain(2.0, 100, 70), 0), AdmissionVerdict::Send);
    assert_ne!(verdict(&plain(3.0, 200, 70), 0), AdmissionVerdict::Send);
    assert_ne!(verdict(&plain(2.0, 100, 70), 150), AdmissionVerdict::Send);
    // It is late, and a slot is free, or only just not.
    assert_eq!(verdict(&plain(0.8, 0, 70), 900), AdmissionVerdict::Send);
    assert_ne!(verdict(&plain(1.0, 0, 70), 900), AdmissionVerdict::Send);
    // A slow service is still used, as far as it has slots.
    assert_eq!(verdict(&plain(0.5, 0, 900), 0), AdmissionVerdict::Send);
}
