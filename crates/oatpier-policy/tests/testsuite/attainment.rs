//! Tests of the attained share of each class.

use std::time::Duration;

use oatpier_policy::attainment::AttainmentTracker;
use oatpier_policy::entry::settings::AttainmentSettings;
use oatpier_policy::event::EntryEvent;
use oatpier_policy::index::ClassIndex;
use oatpier_types::ids::RequestId;

use crate::support::{at, ended, name, policy, start_and_send, stream_request};

const CLASS: ClassIndex = ClassIndex(0);

fn tracker() -> AttainmentTracker {
    let mut tracker = AttainmentTracker::new(AttainmentSettings {
        window: Duration::from_secs(12),
    });
    tracker.set_target(CLASS, 900_000);
    tracker
}

#[test]
fn a_class_with_a_low_share_is_below_its_target() {
    let mut tracker = tracker();
    assert!(
        !tracker.is_below_target(CLASS, at(0)),
        "no request has ended yet"
    );
    for number in 0..10 {
        tracker.record(CLASS, number >= 2, at(0));
    }
    assert_eq!(tracker.share_ppm(CLASS, at(0)), Some(800_000));
    assert!(tracker.is_below_target(CLASS, at(0)));
    assert!(tracker.is_any_below_target(at(0)));
}

#[test]
fn requests_outside_the_window_do_not_count() {
    let mut tracker = tracker();
    tracker.record(CLASS, false, at(0));
    tracker.record(CLASS, true, at(6_000));
    assert_eq!(tracker.share_ppm(CLASS, at(6_000)), Some(500_000));
    assert_eq!(tracker.share_ppm(CLASS, at(13_000)), Some(1_000_000));
    assert_eq!(tracker.share_ppm(CLASS, at(60_000)), None);
    assert_eq!(tracker.totals(CLASS).ended, 2);
}

fn share_after(
    events: impl Fn(oatpier_types::ids::AttemptId) -> Vec<(EntryEvent, u64)>,
) -> Option<u64> {
    let mut policy = policy(3, 0, 1);
    let (attempt, _) = start_and_send(&mut policy, stream_request(1));
    for (event, millis) in events(attempt) {
        policy.handle(RequestId(1), &event, at(millis));
    }
    let class = policy.class_index(&name("draft")).expect("configured");
    policy.attainment().share_ppm(class, at(10_000))
}

/// A stream is in time only if its first token is, and the following tokens keep the target rate on
/// average.
#[test]
fn a_stream_must_meet_the_first_token_and_rate_targets() {
    let piece = |attempt, tokens| EntryEvent::Piece { attempt, tokens };
    let kept = share_after(|attempt| {
        vec![
            (piece(attempt, 1), 300),
            (piece(attempt, 10), 600),
            (ended(attempt), 610),
        ]
    });
    let slow = share_after(|attempt| {
        vec![
            (piece(attempt, 1), 300),
            (piece(attempt, 10), 640),
            (ended(attempt), 650),
        ]
    });
    assert_eq!(kept, Some(1_000_000));
    assert_eq!(slow, Some(0));
}

#[test]
fn a_disconnected_caller_does_not_count() {
    assert_eq!(share_after(|_| vec![(EntryEvent::CallerGone, 10)]), None);
}
