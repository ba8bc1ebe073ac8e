//! Tests of the selection of endpoints.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_policy::event::EntryEvent;
use oatpier_policy::outcome::FinalCause;
use oatpier_types::ids::RequestId;
use oatpier_types::names::ClassName;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::request::PrefixChain;

use crate::support::{
    answer, at, config, first_frame, name, policy, queue_report, sent, start_and_send, status,
    stream_request, weights,
};

fn zone_number(endpoint: &str) -> usize {
    let number: usize = endpoint["engine-".len()..].parse().expect("a number");
    number % 3
}

#[test]
fn the_own_zone_is_preferred() {
    let mut policy = policy(30, 0, 3);
    for number in 0..20 {
        let (_, endpoint) = start_and_send(&mut policy, stream_request(number));
        assert_eq!(zone_number(endpoint.as_str()), 0);
    }
}

#[test]
fn another_zone_is_used_when_the_own_zone_would_be_late() {
    let mut policy = policy(30, 0, 3);
    for number in (0..30).step_by(3) {
        policy.on_queue_report(
            &name(&format!("engine-{number}")),
            &queue_report(1, 2, 300),
            at(0),
        );
    }
    let (_, endpoint) = start_and_send(&mut policy, stream_request(1));
    assert_ne!(zone_number(endpoint.as_str()), 0);
}

#[test]
fn load_spreads_over_equal_endpoints() {
    let mut policy = policy(30, 0, 3);
    let mut counts: HashMap<String, u32> = HashMap::new();
    for number in 0..100 {
        let (_, endpoint) = start_and_send(&mut policy, stream_request(number));
        *counts.entry(endpoint.to_string()).or_default() += 1;
    }
    assert_eq!(counts.len(), 10);
    assert!(counts.values().all(|count| *count <= 15), "{counts:?}");
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut policy = policy(3, 0, 3);
    for number in 0..3 {
        policy.on_queue_report(
            &name(&format!("engine-{number}")),
            &queue_report(1, 2, 900),
            at(0),
        );
    }
    let answer = answer(&policy.start(stream_request(1), at(0))).expect("a refusal");
    assert_eq!(answer.cause, FinalCause::Refused(RefusalCause::TooLate));
    assert!(
        answer
            .retry_after
            .is_some_and(|wait| wait > Duration::from_millis(500))
    );
}

#[test]
fn a_prompt_is_routed_to_the_holder_of_its_prefix() {
    let mut policy = policy(60, 0, 3);
    let prefixes: PrefixChain = (1..=100).collect();
    let intake = |number| {
        let mut intake = stream_request(number);
        intake.tokens.prompt = 6_400;
        intake.prefixes = prefixes.clone();
        intake
    };
    let (attempt, holder) = start_and_send(&mut policy, intake(1));
    policy.handle(RequestId(1), &first_frame(attempt), at(50));
    policy.handle(
        RequestId(1),
        &EntryEvent::Ended {
            attempt,
            report: Some(queue_report(1, 2, 0)),
        },
        at(60),
    );
    for number in 2..10 {
        let actions = policy.start(intake(number), at(100));
        let (endpoint, spec) = sent(&actions).expect("an attempt");
        assert_eq!(endpoint, holder);
        let attempt = spec.attempt;
        let report = Some(queue_report(
            1,
            1 + u64::try_from(number).expect("small"),
            0,
        ));
        policy.handle(
            RequestId(number),
            &EntryEvent::Ended { attempt, report },
            at(105),
        );
    }
}

/// An endpoint is marked as leaving while its queue reports still state that it accepts work. It must get
/// no new work, whatever the random sample.
#[test]
fn a_leaving_endpoint_is_never_chosen() {
    let mut policy = policy(6, 0, 3);
    policy.mark_leaving(&name("engine-0"), at(0));
    for number in 0..50 {
        let (_, endpoint) = start_and_send(&mut policy, stream_request(number));
        assert_ne!(endpoint.as_str(), "engine-0");
    }
}

#[test]
fn an_agent_that_refuses_as_leaving_gets_no_more_attempts() {
    let mut policy = policy(6, 0, 3);
    let (attempt, endpoint) = start_and_send(&mut policy, stream_request(1));
    policy.handle(
        RequestId(1),
        &crate::support::refused(attempt, RefusalCause::Leaving),
        at(1),
    );
    for number in 2..50 {
        let (_, next) = start_and_send(&mut policy, stream_request(number));
        assert_ne!(next, endpoint);
    }
}

#[test]
fn only_an_unknown_goal_is_refused_without_retry_after() {
    let mut policy = policy(3, 0, 3);
    let mut intake = stream_request(1);
    intake.goal = crate::support::model_goal("nowhere");
    let unknown = answer(&policy.start(intake, at(0))).expect("a refusal");
    assert_eq!((unknown.status, unknown.retry_after), (404, None));
    let mut intake = stream_request(2);
    intake.goal = crate::support::model_goal("hall");
    let unready = answer(&policy.start(intake, at(0))).expect("a refusal");
    assert_eq!(unready.status, 503);
    assert!(unready.retry_after.is_some());
}

#[test]
fn a_removed_class_is_unknown() {
    let mut policy = policy(3, 0, 3);
    let mut config = config();
    config.classes.shift_remove(&name::<ClassName, _>("draft"));
    policy.apply_config(&config);
    let actions = policy.start(stream_request(1), at(0));
    assert_eq!(answer(&actions).map(|answer| answer.status), Some(404));
}

#[test]
fn a_model_that_becomes_ready_is_served() {
    let mut policy = policy(1, 0, 3);
    let mut row = status("engine-0", "seat-llm", "ikeja", &[weights("hall", None)]);
    row.ready_sequence = 2;
    policy.on_status(&row, at(1));
    let mut intake = stream_request(1);
    intake.goal = crate::support::model_goal("hall");
    assert!(sent(&policy.start(intake, at(2))).is_some());
    assert!(sent(&policy.start(stream_request(2), at(2))).is_none());
}
