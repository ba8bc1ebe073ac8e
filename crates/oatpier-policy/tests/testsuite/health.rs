//! Tests of passive health checks, ejection and probes.

use std::time::Duration;

use oatpier_policy::entry::EntryPolicy;
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::health::{EndpointFault, HealthTransition};
use oatpier_policy::index::EndpointIndex;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::RequestId;
use oatpier_types::names::EndpointName;

use crate::support::{
    ZONES, at, at_most_once_call, ended, first_frame, model_goal, name, policy, queue_report, sent,
    status, stream_request, weights,
};

/// Sends `count` requests with numbers from `from` on, fails the attempts at endpoints that are
/// failing, and returns the number of failures.
fn run_requests(
    policy: &mut EntryPolicy,
    from: u128,
    count: u128,
    now: ClockTime,
    is_failing: impl Fn(&EndpointName) -> bool,
) -> u32 {
    let mut failures = 0;
    for number in from..from + count {
        let request = RequestId(number);
        let mut actions = policy.start(stream_request(number), now);
        while let Some((endpoint, spec)) = sent(&actions) {
            let attempt = spec.attempt;
            if is_failing(&endpoint) {
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

fn endpoint_index(policy: &EntryPolicy, endpoint: &str) -> EndpointIndex {
    policy.table().find(&name(endpoint)).expect("known")
}

/// An endpoint's VM is gone while the directory still lists it. After two refused connections no
/// further request may be sent to it.
#[test]
fn a_dead_endpoint_is_ejected() {
    let mut policy = policy(6, 0, 4);
    let failures = run_requests(&mut policy, 0, 100, at(0), |name| {
        name.as_str() == "engine-0"
    });
    assert_eq!(failures, 2);
    let dead = endpoint_index(&policy, "engine-0");
    assert_eq!(policy.health().fault(dead), Some(EndpointFault::Dead));
}

/// The entry's own network fails, so that all endpoints look dead. If all were ejected, every
/// request would be refused until the backoff ends, even after the network has recovered.
#[test]
fn at_most_half_of_the_replicas_are_ejected() {
    let mut policy = policy(6, 0, 4);
    run_requests(&mut policy, 0, 200, at(0), |_| true);
    assert_eq!(policy.health().ejected().len(), 3);
}

/// Of two replicas one is ejected, then the other one leaves. The ejected one is the only replica
/// left.
#[test]
fn the_last_replica_is_reinstated() {
    let mut policy = policy(2, 0, 4);
    run_requests(&mut policy, 0, 20, at(0), |name| {
        name.as_str() == "engine-0"
    });
    assert_eq!(policy.health().ejected().len(), 1);
    policy.mark_leaving(&name("engine-1"), at(1));
    assert_eq!(policy.health().ejected().len(), 0);
    assert!(sent(&policy.start(stream_request(99), at(2))).is_some());
}

#[test]
fn probes_follow_the_backoff_and_a_success_reinstates() {
    let mut policy = policy(6, 0, 4);
    let dead = |name: &EndpointName| name.as_str() == "engine-0";
    run_requests(&mut policy, 0, 100, at(0), dead);
    assert_eq!(
        run_requests(&mut policy, 100, 100, at(400), dead),
        0,
        "the backoff has not passed"
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

/// The agent and the VM respond, but the engine has stopped: connections are accepted and nothing
/// is sent. Two silent attempts without any response in between indicate that.
#[test]
fn a_frozen_endpoint_is_ejected() {
    let mut policy = policy(6, 0, 4);
    let mut fired = Vec::new();
    for number in 0..40 {
        let actions = policy.start(stream_request(number), at(0));
        let (endpoint, spec) = sent(&actions).expect("an attempt");
        if endpoint.as_str() != "engine-0" {
            let frame = first_frame(spec.attempt);
            policy.handle(RequestId(number), &frame, at(5));
        }
    }
    policy.fire_timers(at(300), &mut fired);
    let frozen = endpoint_index(&policy, "engine-0");
    assert_eq!(policy.health().fault(frozen), Some(EndpointFault::Frozen));
}

/// An endpoint that sends pieces of one answer is alive, however late it begins others. Two silent
/// attempts must not eject it as frozen.
#[test]
fn a_slow_endpoint_is_not_taken_for_frozen() {
    let mut policy = policy(6, 0, 4);
    let mut slow = Vec::new();
    for number in 0..40 {
        let actions = policy.start(stream_request(number), at(0));
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
    assert_eq!(
        policy.health().fault(endpoint_index(&policy, "engine-0")),
        None
    );
}

#[test]
fn the_silence_timeout_follows_first_frame_times() {
    let mut policy = policy(1, 0, 4);
    let predicted = Duration::from_millis(100);
    let before = policy.health().silence_timeout(predicted);
    for number in 0..1_024 {
        let actions = policy.start(stream_request(number), at(0));
        let attempt = sent(&actions).expect("an attempt").1.attempt;
        policy.handle(RequestId(number), &first_frame(attempt), at(5));
        let report = Some(crate::support::queue_report(
            1,
            2 + u64::try_from(number).expect("small"),
            0,
        ));
        policy.handle(
            RequestId(number),
            &EntryEvent::Ended { attempt, report },
            at(5),
        );
    }
    assert_eq!(before, Duration::from_millis(400));
    assert_eq!(
        policy.health().silence_timeout(predicted),
        Duration::from_millis(200)
    );
}

/// An engine fails that is the only replica of one model and one of two replicas of another. If
/// the first model kept it in use for both, requests for the second would wait for it although the
/// other replica has room.
#[test]
fn a_failing_endpoint_is_ejected_only_from_goals_with_other_replicas() {
    let mut policy = policy(2, 0, 4);
    let both = [weights("hall", None), weights("seat", None)];
    let mut row = status("engine-0", "seat-llm", ZONES[0], &both);
    row.ready_sequence = 2;
    policy.on_status(&row, at(0));
    run_requests(&mut policy, 0, 40, at(0), |name| {
        name.as_str() == "engine-0"
    });
    for number in 100..140 {
        let actions = policy.start(stream_request(number), at(1));
        let (endpoint, _) = sent(&actions).expect("an attempt");
        assert_eq!(endpoint.as_str(), "engine-1");
    }
    let only = RequestIntake {
        goal: model_goal("hall"),
        ..stream_request(200)
    };
    assert!(
        sent(&policy.start(only, at(1))).is_some(),
        "the only replica is still tried"
    );
}

/// First frames were slow compared with their predictions, so the expected quantile is far beyond
/// the target. Then an engine freezes. If its attempts were awaited for that quantile, they would
/// end at their deadlines. They must count as silent while there is time for another endpoint.
#[test]
fn a_silent_attempt_is_retried_before_the_deadline() {
    let mut policy = policy(3, 0, 4);
    for number in 0..1_100 {
        let arrived_at = report_idle_engines(&mut policy, number);
        let request = RequestId(u128::from(number));
        let actions = policy.start(stream_request(request.0), arrived_at);
        let attempt = sent(&actions).expect("an attempt").1.attempt;
        let answered = arrived_at + Duration::from_millis(300);
        policy.handle(request, &first_frame(attempt), answered);
        policy.handle(request, &crate::support::ended(attempt), answered);
    }
    let arrived_at = report_idle_engines(&mut policy, 2_000);
    let actions = policy.start(stream_request(2_000), arrived_at);
    assert!(sent(&actions).is_some());
    let mut fired = Vec::new();
    let retry_deadline = arrived_at + Duration::from_millis(250);
    while let Some(due) = policy.next_timer().filter(|due| *due < retry_deadline) {
        policy.fire_timers(due, &mut fired);
    }
    let resent = fired.iter().any(|(_, actions)| sent(actions).is_some());
    assert!(resent, "{fired:?}");
}

/// Reports all three engines as idle and returns the time of the report.
fn report_idle_engines(policy: &mut EntryPolicy, number: u64) -> ClockTime {
    let now = at(number * 400);
    for engine_number in 0..3 {
        let engine = name(&format!("engine-{engine_number}"));
        policy.on_queue_report(
            &engine,
            &crate::support::queue_report(1, 2 + number, 0),
            now,
        );
    }
    now
}

/// A fleet of two endpoints of a plain service whose callers send at-most-once calls alone.
struct OnceCallers {
    policy: EntryPolicy,
    calls: u128,
}

impl OnceCallers {
    fn new() -> Self {
        Self {
            policy: policy(0, 2, 4),
            calls: 0,
        }
    }

    /// Sends a call at `now_ms` and returns its endpoint. A paused endpoint sends nothing.
    fn send(&mut self, now_ms: u64, paused: Option<&str>) -> EndpointName {
        self.calls += 1;
        let request = RequestId(self.calls);
        let intake = RequestIntake {
            key: None,
            ..at_most_once_call(self.calls)
        };
        let actions = self.policy.start(intake, at(now_ms));
        let (endpoint, spec) = sent(&actions).expect("an attempt");
        let attempt = spec.attempt;
        if Some(endpoint.as_str()) != paused {
            self.policy
                .handle(request, &first_frame(attempt), at(now_ms + 1));
            self.policy.handle(request, &ended(attempt), at(now_ms + 2));
        }
        endpoint
    }

    /// Sends calls until the paused endpoint is ejected.
    fn eject(&mut self, paused: &str) -> EndpointIndex {
        for number in 0..20 {
            self.send(number, Some(paused));
        }
        let index = endpoint_index(&self.policy, paused);
        for now_ms in (100..6_000).step_by(100) {
            self.policy.fire_timers(at(now_ms), &mut Vec::new());
        }
        assert_eq!(
            self.policy.health().fault(index),
            Some(EndpointFault::Frozen)
        );
        index
    }

    fn report(&mut self, endpoint: &str, sequence: u64, now_ms: u64) {
        let report = queue_report(1, sequence, 0);
        self.policy
            .on_queue_report(&name(endpoint), &report, at(now_ms));
    }

    /// Returns how many of the calls sent each 10 ms in a period go to an endpoint.
    fn count_at(
        &mut self,
        endpoint: &str,
        from_ms: u64,
        to_ms: u64,
        paused: Option<&str>,
    ) -> usize {
        let times = (from_ms..to_ms).step_by(10);
        times
            .filter(|now_ms| self.send(*now_ms, paused).as_str() == endpoint)
            .count()
    }
}

/// Guards against an endpoint that stays out for good: it was ejected while its agent was paused, its callers send
/// at-most-once calls alone, and its agent has resumed.
#[test]
fn an_endpoint_whose_calls_run_at_most_once_is_used_again_after_its_agent_has_resumed() {
    let mut callers = OnceCallers::new();
    let index = callers.eject("api-0");
    callers.report("api-0", 50, 10_000);
    assert!(callers.count_at("api-0", 10_000, 70_000, None) > 0);
    assert_eq!(callers.policy.health().fault(index), None);
}

/// Guards against at-most-once calls that are lost at a paused agent as probes of its endpoint. Nothing has arrived from
/// the agent since the ejection.
#[test]
fn a_paused_agent_gets_no_call_that_runs_at_most_once_as_a_probe() {
    let mut callers = OnceCallers::new();
    callers.eject("api-0");
    assert_eq!(callers.count_at("api-0", 10_000, 70_000, Some("api-0")), 0);
}

/// An operator finds in the log when an endpoint was ejected, and why.
#[test]
fn ejections_and_reinstatements_are_reported_once() {
    let mut policy = policy(6, 0, 4);
    let dead = |name: &EndpointName| name.as_str() == "engine-0";
    run_requests(&mut policy, 0, 100, at(0), dead);
    let ejected = HealthTransition {
        endpoint: name("engine-0"),
        fault: Some(EndpointFault::Dead),
    };
    let ejections = policy.take_health_transitions();
    assert_eq!(ejections, std::slice::from_ref(&ejected));
    assert_eq!(policy.take_health_transitions(), []);
    run_requests(&mut policy, 100, 100, at(600), |_| false);
    let reinstated = HealthTransition {
        fault: None,
        ..ejected
    };
    assert_eq!(policy.take_health_transitions(), [reinstated]);
}

/// Guards against at-most-once calls that are lost one after the other as probes of an endpoint that does not recover,
/// though its agent reports. Each lost probe doubles the time until the next.
#[test]
fn an_endpoint_that_fails_its_probes_gets_few_calls_that_run_at_most_once() {
    let mut callers = OnceCallers::new();
    callers.eject("api-0");
    let mut lost = 0;
    for second in 10..70 {
        let now_ms = second * 1_000;
        callers.report("api-0", 50 + second, now_ms);
        lost += callers.count_at("api-0", now_ms, now_ms + 1_000, Some("api-0"));
        callers
            .policy
            .fire_timers(at(now_ms + 999), &mut Vec::new());
    }
    assert!((1..=6).contains(&lost), "{lost} calls of 6,000");
}
