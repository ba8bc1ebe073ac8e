//! Refusals and returns when engines are lost, and when all processes were away.
//!
//! The situation: 10 engines serve some 340 requests per second. A fifth of them is gone for four seconds, or no caller
//! reaches a gateway for some seconds and all return within one.

use crate::admission_callers::{CallerClass, ReturnPolicy};
use crate::admission_fleet::AdmissionFleet;

fn fleet(policy: ReturnPolicy, scale: f64) -> AdmissionFleet {
    let classes = vec![
        CallerClass::new("chat", 300, 12_000, 150.0 * scale),
        CallerClass::new("note", 800, 4_000, 150.0 * scale),
    ];
    AdmissionFleet::new(policy, 30, 10, classes, 3)
}

fn lose_a_fifth(policy: ReturnPolicy) -> AdmissionFleet {
    let mut fleet = fleet(policy, 1.05);
    fleet.run(4_000, 1.0);
    fleet.lose_engines(2);
    fleet.run(4_000, 1.0);
    fleet.restore_engines();
    fleet.run(8_000, 0.8);
    fleet
}

#[test]
fn callers_return_after_the_loss_of_a_fifth_of_the_engines() {
    let mut waiting = lose_a_fifth(ReturnPolicy::WaitThenJitter);
    let mut booked = lose_a_fifth(ReturnPolicy::ForecastThenBook);
    waiting.finish();
    booked.finish();
    let (before, after) = (&waiting.outcomes[0], &booked.outcomes[0]);
    // Half of the longest wait: the shortage is small, and most of those who wait beyond the timely wait are served.
    assert!(after.mean_refused_wait_ms() < 600.0, "{after:?}");
    assert!(after.served_share() > 0.99, "{after:?}");
    assert!(
        after.lost_share() <= before.lost_share(),
        "{after:?}, {before:?}"
    );
    assert!(after.returns_served * 10 > after.returns * 9, "{after:?}");
    assert!(booked.idle_share() < 0.001, "{}", booked.idle_share());
}

/// Guards against appointments at an engine that is gone: a book that never empties.
#[test]
fn appointments_outlive_the_loss_of_engines_for_as_long_as_callers_honour() {
    let mut fleet = fleet(ReturnPolicy::ForecastThenBook, 1.05);
    fleet.run(3_000, 1.5);
    assert!(fleet.outstanding_returns() > 0);
    fleet.lose_engines(10);
    fleet.run(4_500, 0.0);
    assert_eq!(fleet.outstanding_returns(), 0);
}

#[test]
fn all_callers_who_return_at_once_after_an_outage_are_served() {
    let run = |policy| {
        let mut fleet = fleet(policy, 0.5);
        fleet.run(1_000, 1.0);
        fleet.add_callers(0, 400, 1_000);
        fleet.add_callers(1, 400, 1_000);
        fleet.run(8_000, 1.0);
        fleet.finish();
        fleet
    };
    let waiting = run(ReturnPolicy::WaitThenJitter);
    let booked = run(ReturnPolicy::ForecastThenBook);
    let (before, after) = (&waiting.outcomes[0], &booked.outcomes[0]);
    assert!(after.mean_refused_wait_ms() < 420.0, "{after:?}");
    assert!(after.served_share() > 0.97, "{after:?}");
    assert!(
        after.served_share() >= before.served_share(),
        "{after:?}, {before:?}"
    );
}

/// Guards against gateways that refuse nothing, or all, after a restart of the sidecars: they report no rate until they
/// have observed one, and slots' turnover takes its place.
#[test]
fn sidecars_that_report_no_rate_after_their_restart_leave_callers_no_worse_off() {
    let run = |policy| {
        let mut fleet = fleet(policy, 1.05);
        fleet.forget_rates();
        fleet.run(4_000, 1.5);
        fleet.run(8_000, 0.6);
        fleet.finish();
        fleet
    };
    let waiting = run(ReturnPolicy::WaitThenJitter);
    let booked = run(ReturnPolicy::ForecastThenBook);
    let (before, after) = (&waiting.outcomes[0], &booked.outcomes[0]);
    assert!(
        after.lost_share() < before.lost_share() / 2.0,
        "{after:?}, {before:?}"
    );
    assert!(
        after.in_time_share() >= before.in_time_share(),
        "{after:?}, {before:?}"
    );
}
