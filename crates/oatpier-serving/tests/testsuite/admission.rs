//! Which requests are sent, wait, or are refused.
//!
//! The situation: bursts of two to four times the usual request rate for seconds, from classes whose first
//! chunk is due within 250 ms and classes with longer targets.

use std::time::Duration;

use oatpier_serving::admission::{AdmissionController, AdmissionDecision, AdmissionQuery};
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
        is_memory_full: false,
        is_batched: true,
        own_prefill: Duration::ZERO,
        prefill_tokens: 0,
        stream: None,
    }
}

/// Decides on a request that arrived `waited_ms` ago and whose caller waits for two seconds.
fn decide_after(
    controller: &mut AdmissionController,
    choice: &EndpointChoice,
    route: &RouteRule,
    waited_ms: u64,
) -> AdmissionDecision {
    controller.decide(&AdmissionQuery {
        choice,
        route,
        priority: route.priority,
        waited: millis(waited_ms),
        first_chunk_timeout: millis(2_000),
    })
}

fn retry_after_refusal(controller: &mut AdmissionController) -> Duration {
    let full = choice(1.5, millis(600));
    match decide_after(controller, &full, &route(250, 1), 1_200) {
        AdmissionDecision::Refuse(refusal) => {
            assert_eq!(refusal.cause, RefusalCause::TooLate);
            refusal.retry_after.unwrap()
        }
        other => panic!("it was not refused: {other:?}"),
    }
}

#[test]
fn request_takes_a_free_slot_at_once() {
    let mut controller = AdmissionController::new(1);
    let decision = decide_after(
        &mut controller,
        &choice(0.9, Duration::ZERO),
        &route(250, 1),
        0,
    );
    assert_eq!(decision, AdmissionDecision::Send);
}

/// A full engine would make the request and all requests behind it late. The request waits at the gateway
/// while it can still be in time, and then as long as its caller does. It is refused early enough for the
/// caller to retry.
#[test]
fn request_waits_as_long_as_its_caller_and_is_then_refused() {
    let mut controller = AdmissionController::new(1);
    let full = choice(1.0, millis(60));
    let urgent = route(250, 1);
    assert!(matches!(
        decide_after(&mut controller, &full, &urgent, 0),
        AdmissionDecision::Wait(_)
    ));
    assert!(matches!(
        decide_after(&mut controller, &full, &urgent, 170),
        AdmissionDecision::Wait(_)
    ));
    assert!(matches!(
        decide_after(&mut controller, &full, &urgent, 1_200),
        AdmissionDecision::Refuse(_)
    ));
    let patient = route(3_000, 1);
    assert!(matches!(
        decide_after(&mut controller, &full, &patient, 1_500),
        AdmissionDecision::Wait(_)
    ));
}

#[test]
fn most_urgent_class_may_slightly_exceed_the_slots() {
    let mut controller = AdmissionController::new(1);
    let full = choice(1.0, millis(60));
    assert_eq!(
        decide_after(&mut controller, &full, &route(250, 0), 0),
        AdmissionDecision::Send
    );
    let over = choice(1.2, millis(200));
    assert_ne!(
        decide_after(&mut controller, &over, &route(250, 0), 0),
        AdmissionDecision::Send
    );
}

/// Callers that are all told the same retry time return together and find the same queue.
#[test]
fn retry_times_differ_and_grow_with_the_refused_share() {
    let mut controller = AdmissionController::new(1);
    let first: Vec<Duration> = (0..5)
        .map(|_| retry_after_refusal(&mut controller))
        .collect();
    assert!(first.windows(2).all(|pair| pair[0] != pair[1]));
    for _ in 0..200 {
        retry_after_refusal(&mut controller);
    }
    let later = retry_after_refusal(&mut controller);
    assert!(later > first[0] * 2, "{later:?} against {:?}", first[0]);
}

#[test]
fn engine_without_free_memory_gets_no_request() {
    let mut controller = AdmissionController::new(1);
    let mut full = choice(0.2, millis(100));
    full.is_memory_full = true;
    let decision = decide_after(&mut controller, &full, &route(250, 0), 0);
    assert_ne!(decision, AdmissionDecision::Send);
}

/// Under overload some requests can only be late. They use only the remaining capacity: the last slots are
/// reserved for requests that can still be in time.
#[test]
fn late_request_leaves_the_last_slots_to_timely_ones() {
    let mut controller = AdmissionController::new(1);
    let nearly_full = choice(0.97, Duration::ZERO);
    let route = route(250, 1);
    assert_eq!(
        decide_after(&mut controller, &nearly_full, &route, 0),
        AdmissionDecision::Send
    );
    assert!(matches!(
        decide_after(&mut controller, &nearly_full, &route, 400),
        AdmissionDecision::Wait(_)
    ));
    assert_eq!(
        decide_after(&mut controller, &choice(0.9, Duration::ZERO), &route, 400),
        AdmissionDecision::Send
    );
}

/// A plain service gets more requests than it can serve for some seconds. If each gateway sent requests
/// while the queue there is below the latency target, all requests would wait in that queue and none would
/// be in time. A request is sent only if its response is expected in time. A request that can no longer be
/// in time uses a free slot but delays no other request.
#[test]
fn plain_service_is_sent_only_what_it_can_answer_in_time() {
    let mut controller = AdmissionController::new(1);
    let route = route(300, 2);
    let plain = |occupancy, queue_ms: u64, answer_ms: u64| EndpointChoice {
        predicted: millis(queue_ms + answer_ms),
        is_batched: false,
        ..choice(occupancy, millis(queue_ms))
    };
    let mut decision =
        |choice: &EndpointChoice, waited| decide_after(&mut controller, choice, &route, waited);
    assert_eq!(decision(&plain(0.5, 0, 70), 0), AdmissionDecision::Send);
    assert_eq!(decision(&plain(2.0, 100, 70), 0), AdmissionDecision::Send);
    assert_ne!(decision(&plain(3.0, 200, 70), 0), AdmissionDecision::Send);
    assert_ne!(decision(&plain(2.0, 100, 70), 150), AdmissionDecision::Send);
    // The request is late, and a slot is free or just not free.
    assert_eq!(decision(&plain(0.8, 0, 70), 900), AdmissionDecision::Send);
    assert_ne!(decision(&plain(1.0, 0, 70), 900), AdmissionDecision::Send);
    // A slow service is still used while it has free slots.
    assert_eq!(decision(&plain(0.5, 0, 900), 0), AdmissionDecision::Send);
}
