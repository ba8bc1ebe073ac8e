//! How much each model is requested.

use oatpier_serving::demand::DemandTracker;

use crate::support::{at, model, request};

#[test]
fn running_requests_are_averaged_and_decay() {
    let mut tracker = DemandTracker::default();
    let weights = request("m1/a1").weights.unwrap();
    tracker.note_arrival(&weights, at(0));
    for _ in 0..10 {
        tracker.note_sent(&model("m1"), at(0));
    }
    let soon = tracker.summary(at(100))[0].clone();
    let later = tracker.summary(at(6_000))[0].clone();
    assert!(soon.running < 2.0 && later.running > 9.0);
    for _ in 0..10 {
        tracker.note_ended(&model("m1"), at(6_000));
    }
    assert!(tracker.summary(at(20_000)).is_empty());
}

#[test]
fn unserved_requests_show_at_once_and_decay() {
    let mut tracker = DemandTracker::default();
    tracker.note_unserved(&model("m1"), at(0));
    assert!(tracker.summary(at(1))[0].unserved > 0.5);
    assert!(tracker.summary(at(7_500))[0].unserved < 0.01);
    assert!(tracker.summary(at(10_000)).is_empty());
}

#[test]
fn only_recently_requested_adapters_count() {
    let mut tracker = DemandTracker::default();
    tracker.note_arrival(&request("m1/a1").weights.unwrap(), at(0));
    tracker.note_arrival(&request("m1/a2").weights.unwrap(), at(1_500));
    assert_eq!(tracker.summary(at(1_600))[0].adapters, 2);
    assert_eq!(tracker.summary(at(3_000))[0].adapters, 1);
}

/// Requests for one model cannot be served. Its demand is reported once and immediately. The next report is
/// part of the full summary, or follows the next request that cannot be served.
#[test]
fn unserved_model_is_reported_once() {
    let mut tracker = DemandTracker::default();
    tracker.note_arrival(&request("m2").weights.unwrap(), at(0));
    tracker.note_unserved(&model("m1"), at(0));
    let unserved = tracker.unserved_summary(at(10));
    assert_eq!(unserved.len(), 1);
    assert_eq!(unserved[0].model, model("m1"));
    assert!(tracker.unserved_summary(at(20)).is_empty());
    tracker.note_unserved(&model("m1"), at(30));
    assert_eq!(tracker.summary(at(40)).len(), 2);
    assert!(tracker.unserved_summary(at(50)).is_empty());
}

/// Two models are requested every other second, and one of them was requested a moment ago. By the long
/// rate neither is in higher demand, and neither evicts the other.
#[test]
fn long_rate_does_not_favour_the_last_requested_model() {
    let mut tracker = DemandTracker::default();
    for second in 0..20 {
        let name = if second % 2 == 0 { "m1" } else { "m2" };
        tracker.note_arrival(&request(name).weights.unwrap(), at(second * 1_000));
    }
    let summary = tracker.summary(at(19_010));
    let (first, second) = (summary[0].asked_long, summary[1].asked_long);
    assert!(
        (0.7..1.4).contains(&(second / first)),
        "{first} and {second}"
    );
    assert!(summary[1].asked_fast > 2.0 * summary[0].asked_fast);
}
