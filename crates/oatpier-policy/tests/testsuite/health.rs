//! Ejection on evidence of the data path, and probes back.

use std::time::Duration;

use oatpier_policy::entry::EntryPolicy;
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::health::EndpointFault;
use oatpier_policy::index::EndpointIndex;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::RequestId;
use oatpier_types::names::EndpointName;

use crate::support::{
    ZONES, at, draft, first_frame, model_goal, name, policy, sent, status, weights,
};

/// Sends `count` requests from `from` on and lets the attempts at endpoints that are `bad` fail.
fn run_requests(
    policy: &mut EntryPolicy,
    from: u128,
    count: u128,
    now: ClockTime,
    bad: impl Fn(&EndpointName) -> bool,
) -> u32 {
    let mut failures = 0;
    for number in from..from + count {
        let request = RequestId(number);
        let mut actions = policy.start(draft(number), now);
        while let Some((endpoint, spec)) = sent(&actions) {
            let attempt = spec.attempt;
            if bad(&endpoint) {
                failures += 1;
                actions = policy.handle(request, &EntryEvent::ConnectFailed { attempt }, now);
            } else {
                policy.handle(request, &first_frame(attempt), now);
                actions = policy.handle(request, &crate::support::ended(attempt), now);
            }
        }
    }
    failures
}

fn index(policy: &EntryPolicy, endpoint: &str) -> EndpointIndex {
    policy.table().find(&name(endpoint)).expect("known")
}

/// An endpoint's VM is gone, while the directory still lists it. After two refused connections
/// no caller's request is spent on it.
#[test]
fn a_dead_endpoint_is_ejected() {
    let mut policy = policy(6, 0, 4);
    let failures = run_requests(&mut policy, 0, 100, at(0), |name| {
        name.as_str() == "engine-0"
    });
    assert_eq!(failures, 2);
    let dead = index(&policy, "engine-0");
    assert_eq!(policy.health().fault(dead), Some(EndpointFault::Dead));
}

/// This entry's own network fails, so that all endpoints look dead. Ejecting all of them would
/// refuse everything for the backoff after the network is back.
#[test]
fn at_most_half_of_the_replicas_are_ejected() {
    let mut policy = policy(6, 0, 4);
    run_requests(&mut policy, 0, 200, at(0), |_| true);
    assert_eq!(policy.health().ejected().len(), 3);
}

/// Of two replicas one is ejected; then the other one leaves. The ejected one is all there is.
#[test]
fn the_last_replica_is_put_back() {
    let mut policy = policy(2, 0, 4);
    run_requests(&mut policy, 0, 20, at(0), |name| {
        name.as_str() == "engine-0"
    });
    assert_eq!(policy.health().ejected().len(), 1);
    policy.mark_leaving(&name("engine-1"), at(1));
    assert_eq!(policy.health().ejected().len(), 0);
    assert!(sent(&policy.start(draft(99), at(2))).is_some());
}

#[test]
fn probes_are_few_and_a_good_one_reinstates() {
    let mut policy = policy(6, 0, 4);
    let dead = |name: &EndpointName| name.as_str() == "engine-0";
    run_requests(&mut policy, 0, 100, at(0), dead);
    assert_eq!(
        run_requests(&mut policy, 100, 100, at(400), dead),
        0,
        "before the backoff"
    );
    assert_eq!(
        run_requests(&mut policy, 200, 100, at(500), dead),
        1,
        "one probe"
    );
    assert_eq!(
        run_requests(&mut policy, 300, 100, at(1_400), dead),
        0,
        "the backoff has doubled"
    );
    assert_eq!(
        run_requests(&mut policy, 400, 100, at(1_500), dead),
        1,
        "one more probe"
    );
    run_requests(&mut policy, 500, 10, at(3_600), |_| false);
    assert!(policy.health().ejected().is_empty());
}

/// Its agent and its VM answer, but the engine has stopped: connections are taken and nothing
/// comes. Two silent attempts with no sign of life in between show it.
#[test]
fn a_frozen_endpoint_is_ejected() {
    let mut policy = policy(6, 0, 4);
    let mut fired = Vec::new();
    for number in 0..40 {
        let actions = policy.start(draft(number), at(0));
        let (endpoint, spec) = sent(&actions).expect("an attempt");
        if endpoint.as_str() != "engine-0" {
            let frame = first_frame(spec.attempt);
            policy.handle(RequestId(number), &frame, at(5));
        }
    }
    policy.fire_timers(at(300), &mut fired);
    let frozen = index(&policy, "engine-0");
    assert_eq!(policy.health().fault(frozen), Some(EndpointFault::Frozen));
}

/// An endpoint that brings pieces of another answer lives, however slow it is to begin a new one:
/// two silent attempts don't eject it as frozen.
#[test]
fn a_slow_endpoint_is_not_taken_for_frozen() {
    let mut policy = policy(6, 0, 4);
    let mut slow = Vec::new();
    for number in 0..40 {
        let actions = policy.start(draft(number), at(0));
        let (endpoint, spec) = sent(&actions).expect("an attempt");
        if endpoint.as_str() == "engine-0" && slow.len() < 3 {
            slow.push((RequestId(number), spec.attempt));
        } else {
            let frame = first_frame(spec.attempt);
            policy.handle(RequestId(number), &frame, at(0));
        }
    }
    let (request, attempt) = slow[0];
    policy.handle(request, &EntryEvent::Piece { attempt, tokens: 1 }, at(1));
    policy.fire_timers(at(300), &mut Vec::new());
    assert_eq!(policy.health().fault(index(&policy, "engine-0")), None);
}

#[test]
fn silence_follows_what_first_frames_take() {
    let mut policy = policy(1, 0, 4);
    let predicted = Duration::from_millis(100);
    let before = policy.health().silence_timeout(predicted);
    for number in 0..1_024 {
        let actions = policy.start(draft(number), at(0));
        let attempt = sent(&actions).expect("an attempt").1.attempt;
        policy.handle(RequestId(number), &first_frame(attempt), at(5));
        let pulse = Some(crate::support::pulse(
            1,
            2 + u64::try_from(number).expect("small"),
            0,
        ));
        policy.handle(
            RequestId(number),
            &EntryEvent::Ended { attempt, pulse },
            at(5),
        );
    }
    assert_eq!(before, Duration::from_millis(400));
    assert_eq!(
        policy.health().silence_timeout(predicted),
        Duration::from_millis(200)
    );
}

/// An engine freezes that is the only replica of one model and one of two of another. Were it kept
/// because of the former, the requests for the latter would go on waiting for it, although the
/// other replica has room.
#[test]
fn a_model_with_other_replicas_does_without_a_frozen_endpoint() {
    let mut policy = policy(2, 0, 4);
    let both = [weights("hall", None), weights("seat", None)];
    let mut row = status("engine-0", "seat-llm", ZONES[0], &both);
    row.ready_sequence = 2;
    policy.on_status(&row, at(0));
    run_requests(&mut policy, 0, 40, at(0), |name| {
        name.as_str() == "engine-0"
    });
    for number in 100..140 {
        let actions = policy.start(draft(number), at(1));
        let (endpoint, _) = sent(&actions).expect("an attempt");
        assert_eq!(endpoint.as_str(), "engine-1");
    }
    let only = RequestIntake {
        goal: model_goal("hall"),
        ..draft(200)
    };
    assert!(
        sent(&policy.start(only, at(1))).is_some(),
        "the only replica is still tried"
    );
}

/// First frames took long against their predictions for a while, so the expected quantile is far
/// beyond the target. An engine freezes. Were its attempts awaited by that quantile, they would
/// end at their deadlines; called silent while there is time, they are answered elsewhere.
#[test]
fn silence_leaves_time_to_go_elsewhere() {
    let mut policy = policy(3, 0, 4);
    for number in 0..1_100 {
        let came = hear_all(&mut policy, number);
        let request = RequestId(u128::from(number));
        let actions = policy.start(draft(request.0), came);
        let attempt = sent(&actions).expect("an attempt").1.attempt;
        let answered = came + Duration::from_millis(300);
        policy.handle(request, &first_frame(attempt), answered);
        policy.handle(request, &crate::support::ended(attempt), answered);
    }
    let came = hear_all(&mut policy, 2_000);
    let actions = policy.start(draft(2_000), came);
    assert!(sent(&actions).is_some());
    let mut fired = Vec::new();
    let in_time = came + Duration::from_millis(250);
    while let Some(due) = policy.next_timer().filter(|due| *due < in_time) {
        policy.fire_timers(due, &mut fired);
    }
    let resent = fired.iter().any(|(_, actions)| sent(actions).is_some());
    assert!(resent, "{fired:?}");
}

/// All three engines say that they are idle; gives when.
fn hear_all(policy: &mut EntryPolicy, number: u64) -> ClockTime {
    let now = at(number * 400);
    for place in 0..3 {
        let engine = name(&format!("engine-{place}"));
        policy.on_pulse(&engine, &crate::support::pulse(1, 2 + number, 0), now);
    }
    now
}
