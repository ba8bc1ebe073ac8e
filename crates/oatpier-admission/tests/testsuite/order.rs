//! Order of service.

use std::time::Duration;

use oatpier_admission::event::{AdmissionLimits, AgentAction, AgentEvent};
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::CallerName;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::request::AttemptSpec;

use crate::harness::{AgentHarness, model_spec, refused, spec, started, weights};

fn due_in(attempt: u128, seconds: u64) -> AttemptSpec {
    AttemptSpec {
        remaining: Duration::from_secs(seconds),
        ..spec(attempt)
    }
}

fn of_caller(attempt: u128, caller: &str) -> AttemptSpec {
    AttemptSpec {
        caller: CallerName::try_from(caller).unwrap(),
        ..spec(attempt)
    }
}

/// Returns the order in which all waiting attempts are served, one at a time.
fn service_order(harness: &mut AgentHarness, first: u128) -> Vec<u128> {
    let mut order = Vec::new();
    let mut running = first;
    while let [next] = started(&harness.end(running)).as_slice() {
        order.push(*next);
        running = *next;
    }
    order
}

#[test]
fn earliest_deadline_goes_first() {
    let mut harness = AgentHarness::new(1);
    harness.arrive(spec(1));
    for (attempt, due) in [(2, 9), (3, 5), (4, 7)] {
        harness.arrive(due_in(attempt, due));
    }
    assert_eq!(service_order(&mut harness, 1), [3, 4, 2]);
}

#[test]
fn flooding_caller_delays_itself() {
    // One caller sends thirty requests at once, then another caller sends one with a later
    // deadline. Ordered by deadline alone, the second caller would wait for all thirty.
    let mut harness = AgentHarness::new(1);
    harness.arrive(spec(1));
    (2..=31).for_each(|attempt| {
        harness.arrive(of_caller(attempt, "flood"));
    });
    harness.wait(10);
    harness.arrive(of_caller(100, "quiet"));
    let order = service_order(&mut harness, 1);
    let place = order.iter().position(|attempt| *attempt == 100).unwrap();
    assert!(place <= 8, "served as number {place}");
    assert_eq!(order.len(), 31);
}

#[test]
fn full_queue_displaces_the_flooding_caller() {
    // One caller has filled the queue. Without displacement every other caller is refused until the
    // queue drains.
    let limits = AdmissionLimits {
        queue: 16,
        ..AdmissionLimits::for_slots(1)
    };
    let mut harness = AgentHarness::with_limits(limits);
    harness.arrive(spec(1));
    (2..=17).for_each(|attempt| {
        harness.arrive(of_caller(attempt, "flood"));
    });
    assert!(refused(
        18,
        RefusalCause::QueueFull,
        &harness.arrive(of_caller(18, "flood"))
    ));
    let quiet = harness.arrive(of_caller(100, "quiet"));
    assert!(refused(17, RefusalCause::QueueFull, &quiet), "{quiet:?}");
    let order = service_order(&mut harness, 1);
    assert_eq!(order.len(), 16);
    assert!(order.contains(&100));
}

#[test]
fn class_below_its_target_goes_first() {
    // One class missed its target for a while, the other has slack. Attempts of both wait, and that
    // of the class with slack is due earlier. The class with slack can afford the wait, the other
    // can't.
    let mut harness = AgentHarness::new(1);
    harness.classes();
    let ready: Vec<WeightsKey> = vec![weights(None)];
    let loading = Vec::new();
    harness.step(AgentEvent::WeightsChanged { ready, loading });
    (1..=20).for_each(|attempt| {
        let late = AttemptSpec {
            remaining: Duration::from_millis(1),
            ..spec(attempt)
        };
        harness.arrive(late);
        harness.wait(2);
        harness.end(attempt);
    });
    harness.wait(10_000);
    harness.arrive(model_spec(50, None));
    harness.arrive(model_spec(51, None));
    let below_target = harness.arrive(due_in(52, 20));
    assert!(started(&below_target).is_empty());
    let next = harness.end(50);
    assert_eq!(started(&next), [52]);
    let priority = |actions: &[AgentAction]| match actions.first() {
        Some(AgentAction::Start { priority, .. }) => *priority,
        other => panic!("{other:?}"),
    };
    let slack_next = harness.end(52);
    assert!(
        priority(&next) < priority(&slack_next),
        "the engine priority follows the need"
    );
}

#[test]
fn slots_are_filled_and_not_exceeded() {
    let mut harness = AgentHarness::new(3);
    let started_count: usize = (1..=5)
        .map(|attempt| started(&harness.arrive(spec(attempt))).len())
        .sum();
    assert_eq!(started_count, 3);
    let now = harness.now;
    let report = harness.policy.queue_report(now);
    assert_eq!((report.running, report.queued, report.slots), (3, 2, 3));
    assert_eq!(started(&harness.end(2)), [4]);
}
