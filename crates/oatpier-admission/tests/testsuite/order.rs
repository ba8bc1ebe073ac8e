//! Who goes next.

use std::time::Duration;

use oatpier_admission::event::{AdmissionLimits, AgentAction, AgentEvent};
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::CallerName;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::request::AttemptSpec;

use crate::bench::{AgentBench, model_spec, refused, spec, started, weights};

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

/// The order in which all that waits is served, one at a time.
fn service_order(bench: &mut AgentBench, first: u128) -> Vec<u128> {
    let mut order = Vec::new();
    let mut running = first;
    while let [next] = started(&bench.end(running)).as_slice() {
        order.push(*next);
        running = *next;
    }
    order
}

#[test]
fn earliest_deadline_goes_first() {
    let mut bench = AgentBench::new(1);
    bench.arrive(spec(1));
    for (attempt, due) in [(2, 9), (3, 5), (4, 7)] {
        bench.arrive(due_in(attempt, due));
    }
    assert_eq!(service_order(&mut bench, 1), [3, 4, 2]);
}

#[test]
fn flooding_caller_delays_itself() {
    // One caller sends thirty requests at once, then another sends one with a later deadline. By
    // deadline alone the other would wait for all thirty.
    let mut bench = AgentBench::new(1);
    bench.arrive(spec(1));
    (2..=31).for_each(|attempt| {
        bench.arrive(of_caller(attempt, "flood"));
    });
    bench.wait(10);
    bench.arrive(of_caller(100, "quiet"));
    let order = service_order(&mut bench, 1);
    let place = order.iter().position(|attempt| *attempt == 100).unwrap();
    assert!(place <= 8, "served as number {place}");
    assert_eq!(order.len(), 31);
}

#[test]
fn full_queue_takes_the_quiet_caller() {
    // A flood has filled the queue. Without a displacement every other caller is refused until
    // the flood is over.
    let limits = AdmissionLimits {
        queue: 16,
        ..AdmissionLimits::for_slots(1)
    };
    let mut bench = AgentBench::with_limits(limits);
    bench.arrive(spec(1));
    (2..=17).for_each(|attempt| {
        bench.arrive(of_caller(attempt, "flood"));
    });
    assert!(refused(
        18,
        RefusalCause::QueueFull,
        &bench.arrive(of_caller(18, "flood"))
    ));
    let quiet = bench.arrive(of_caller(100, "quiet"));
    assert!(refused(17, RefusalCause::QueueFull, &quiet), "{quiet:?}");
    let order = service_order(&mut bench, 1);
    assert_eq!(order.len(), 16);
    assert!(order.contains(&100));
}

#[test]
fn class_below_its_target_goes_first() {
    // One class missed its target for a while, the other has slack. Attempts of both wait, that
    // of the class with slack due earlier; its slack can pay for a wait, the other's can't.
    let mut bench = AgentBench::new(1);
    bench.classes();
    let ready: Vec<WeightsKey> = vec![weights(None)];
    let loading = Vec::new();
    bench.step(AgentEvent::ReadyChanged { ready, loading });
    (1..=20).for_each(|attempt| {
        let late = AttemptSpec {
            remaining: Duration::from_millis(1),
            ..spec(attempt)
        };
        bench.arrive(late);
        bench.wait(2);
        bench.end(attempt);
    });
    bench.wait(10_000);
    bench.arrive(model_spec(50, None));
    bench.arrive(model_spec(51, None));
    let needy = bench.arrive(due_in(52, 20));
    assert!(started(&needy).is_empty());
    let next = bench.end(50);
    assert_eq!(started(&next), [52]);
    let priority = |actions: &[AgentAction]| match actions.first() {
        Some(AgentAction::Start { priority, .. }) => *priority,
        other => panic!("{other:?}"),
    };
    let slack_next = bench.end(52);
    assert!(
        priority(&next) < priority(&slack_next),
        "the engine is told as well"
    );
}

#[test]
fn slots_are_filled_and_not_exceeded() {
    let mut bench = AgentBench::new(3);
    let begun: usize = (1..=5)
        .map(|attempt| started(&bench.arrive(spec(attempt))).len())
        .sum();
    assert_eq!(begun, 3);
    let now = bench.now;
    let report = bench.policy.queue_report(now);
    assert_eq!((report.running, report.queued, report.slots), (3, 2, 3));
    assert_eq!(started(&bench.end(2)), [4]);
}
