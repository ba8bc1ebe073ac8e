//! Tests of the bound on concurrent requests, fair shares and retry budgets.

use std::time::Duration;

use oatpier_policy::entry::EntrySettings;
use oatpier_policy::event::EntryEvent;
use oatpier_policy::index::ClassIndex;
use oatpier_policy::limit::{ClassStatus, EntryLimiter, LimitSettings};
use oatpier_policy::retry::{RetryBudget, RetrySettings};
use oatpier_types::ids::RequestId;
use oatpier_types::names::CallerName;

use crate::support::{answer, at, name, policy_with, sent, start_and_send, stream_request};

fn limiter(bound: u32) -> EntryLimiter {
    EntryLimiter::new(LimitSettings {
        bound,
        ..LimitSettings::default()
    })
}

fn caller(number: u32) -> CallerName {
    name(&format!("caller-{number}"))
}

fn admitted(limiter: &mut EntryLimiter, caller: &CallerName, tries: u32) -> usize {
    let tries = 0..tries;
    tries
        .filter(|_| limiter.admit(caller, ClassStatus::Balanced).is_ok())
        .count()
}

#[test]
fn requests_beyond_the_bound_are_refused() {
    let mut limiter = limiter(10);
    let total: usize = (0..20)
        .map(|number| admitted(&mut limiter, &caller(number), 1))
        .sum();
    assert_eq!(total, 10);
    limiter.release(&caller(0), Duration::from_millis(100));
    assert_eq!(admitted(&mut limiter, &caller(30), 1), 1);
}

/// One caller sends a hundred requests at once while others send one each. Without fair shares the
/// one would take all slots.
#[test]
fn a_caller_is_limited_to_its_fair_share() {
    let mut limiter = limiter(20);
    assert_eq!(admitted(&mut limiter, &caller(1), 5), 5);
    let greedy = admitted(&mut limiter, &caller(0), 100);
    assert!(greedy <= 10, "{greedy}");
    assert_eq!(admitted(&mut limiter, &caller(2), 1), 1);
    assert_eq!(admitted(&mut limiter, &caller(3), 1), 1);
}

#[test]
fn a_class_with_slack_is_refused_near_the_bound() {
    let mut limiter = limiter(100);
    for number in 0..85 {
        assert!(limiter.admit(&caller(number), ClassStatus::Slack).is_ok());
    }
    assert!(limiter.admit(&caller(90), ClassStatus::Slack).is_err());
    assert!(limiter.admit(&caller(90), ClassStatus::BelowTarget).is_ok());
    assert!(limiter.admit(&caller(91), ClassStatus::Balanced).is_ok());
}

#[test]
fn the_suggested_retry_delay_grows_with_refusals() {
    let mut limiter = limiter(2);
    admitted(&mut limiter, &caller(0), 1);
    for _ in 0..50 {
        admitted(&mut limiter, &caller(1), 1);
        limiter.release(&caller(1), Duration::from_secs(1));
    }
    admitted(&mut limiter, &caller(1), 1);
    let waits: Vec<Duration> = (0..20)
        .filter_map(|_| limiter.admit(&caller(2), ClassStatus::Balanced).err())
        .filter_map(|refusal| refusal.retry_after)
        .collect();
    assert_eq!(waits.len(), 20);
    assert!(waits.is_sorted());
    assert!(waits[19] > waits[0]);
}

#[test]
fn a_full_entry_refuses_at_once() {
    let mut settings = EntrySettings::default();
    settings.limit.bound = 1;
    let mut policy = policy_with(settings, 3, 0, 1);
    let (attempt, _) = start_and_send(&mut policy, stream_request(1));
    let refused = answer(&policy.start(stream_request(2), at(1))).expect("a refusal");
    assert_eq!(refused.status, 429);
    assert!(refused.retry_after.is_some());
    policy.handle(RequestId(1), &crate::support::ended(attempt), at(2));
    assert!(sent(&policy.start(stream_request(3), at(3))).is_some());
}

#[test]
fn retries_are_bounded_by_successes() {
    let mut budget = RetryBudget::new(RetrySettings {
        percent: 20,
        burst: 3,
        ..RetrySettings::default()
    });
    let class = ClassIndex(0);
    let taken = (0..10).filter(|_| budget.take(class)).count();
    assert_eq!(taken, 3);
    for _ in 0..10 {
        budget.record_success(class);
    }
    let taken = (0..10).filter(|_| budget.take(class)).count();
    assert_eq!(taken, 2);
    assert_eq!(budget.refused(), 15);
}

/// All endpoints interrupt every answer. If each request were sent four times, the load would
/// quadruple when capacity is lowest. The budget permits a burst, then one attempt per request.
#[test]
fn a_fault_does_not_multiply_load() {
    let mut policy = policy_with(EntrySettings::default(), 12, 0, 1);
    let mut attempts = 0_u32;
    for number in 0..500 {
        let mut actions = policy.start(stream_request(number), at(0));
        while let Some((_, spec)) = sent(&actions) {
            attempts += 1;
            let attempt = spec.attempt;
            actions = policy.handle(
                RequestId(number),
                &EntryEvent::ConnectionLost { attempt },
                at(0),
            );
        }
    }
    assert!(attempts <= 500 + 20, "{attempts}");
}

/// Streams are spread over four engines, and one of the engines dies. All of its streams could
/// continue at the others, but a fixed burst of twenty retries would end the rest with an error.
#[test]
fn all_streams_of_a_dead_engine_are_resumed() {
    let mut policy = policy_with(EntrySettings::default(), 4, 0, 1);
    let mut streams = Vec::new();
    for number in 0..200 {
        let actions = policy.start(stream_request(number), at(0));
        let (endpoint, spec) = sent(&actions).expect("an attempt is sent");
        streams.push((RequestId(number), spec.attempt, endpoint));
    }
    for (request, attempt, _) in &streams {
        let attempt = *attempt;
        policy.handle(*request, &EntryEvent::Piece { attempt, tokens: 4 }, at(20));
    }
    let dead = streams[0].2.clone();
    let cut: Vec<_> = streams.iter().filter(|stream| stream.2 == dead).collect();
    assert!(cut.len() > 20, "{}", cut.len());
    for (request, attempt, _) in cut {
        let attempt = *attempt;
        let actions = policy.handle(*request, &EntryEvent::ConnectionLost { attempt }, at(30));
        assert!(sent(&actions).is_some(), "{:?}", answer(&actions));
    }
}

/// Many requests are in flight when all endpoints begin to interrupt every answer. The retries must
/// not exceed one per request in flight in total. A bound that only followed the requests in flight
/// could send each four times when capacity is lowest.
#[test]
fn a_fault_of_all_endpoints_retries_requests_in_flight_once() {
    let mut policy = policy_with(EntrySettings::default(), 12, 0, 1);
    let mut live = Vec::new();
    for number in 0..500 {
        let actions = policy.start(stream_request(number), at(0));
        live.push((RequestId(number), sent(&actions).expect("sent").1.attempt));
    }
    let mut repeats = 0_u32;
    while let Some((request, attempt)) = live.pop() {
        let actions = policy.handle(request, &EntryEvent::ConnectionLost { attempt }, at(1));
        if let Some((_, spec)) = sent(&actions) {
            repeats += 1;
            live.push((request, spec.attempt));
        }
    }
    assert!(repeats <= 500, "{repeats}");
}
