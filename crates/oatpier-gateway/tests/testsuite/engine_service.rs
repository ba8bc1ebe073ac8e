//! What a sidecar says of the service that its engine belongs to.

use std::time::Duration;

use oatpier_gateway::sidecar::service::ServiceTracker;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::PoolName;

/// The time after which an address may have been assigned to an engine of another service.
const REUSE_AFTER: Duration = Duration::from_secs(2);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Returns a tracker whose engine answered a call sent at 1,000 ms and is known to belong to a service.
fn tracker_with_service() -> ServiceTracker {
    let mut tracker = ServiceTracker::default();
    tracker.note_answer(at(1_000), at(1_010), REUSE_AFTER);
    tracker.set_service(PoolName::try_from("chat").unwrap());
    tracker
}

#[test]
fn the_service_is_unknown_until_it_is_told() {
    let mut tracker = ServiceTracker::default();
    assert!(tracker.note_answer(at(1_000), at(1_010), REUSE_AFTER));
    assert_eq!(tracker.service(), None);
}

#[test]
fn an_engine_that_restarts_at_once_keeps_the_service() {
    let mut tracker = tracker_with_service();
    for second in 1..=5 {
        let sent_at = at(1_000 + second * 1_900);
        assert!(!tracker.note_answer(sent_at, sent_at, REUSE_AFTER));
    }
    assert!(tracker.service().is_some());
}

/// Guards against requests that run at an engine of another service, which got the address of one that is gone. The call
/// that shows it may have been sent in time and answered late.
#[test]
fn an_engine_that_answers_after_the_address_may_be_reused_has_no_known_service() {
    for (sent_at, answered_at) in [(3_000, 3_000), (2_700, 3_100), (9_000, 9_010)] {
        let mut tracker = tracker_with_service();
        assert!(tracker.note_answer(at(sent_at), at(answered_at), REUSE_AFTER));
        assert_eq!(tracker.service(), None);
    }
}

/// Guards against a service that is carried over although the platform states no time for which addresses rest.
#[test]
fn without_a_bound_on_reuse_no_service_is_carried_over() {
    let mut tracker = tracker_with_service();
    assert!(tracker.note_answer(at(1_010), at(1_010), Duration::ZERO));
    assert_eq!(tracker.service(), None);
}
