//! Configuration changes of the number of slots.

use oatpier_admission::event::AgentEvent;

use crate::harness::{AgentHarness, spec, started};

fn change(harness: &mut AgentHarness, slots: u32) -> Vec<u128> {
    started(&harness.step(AgentEvent::SlotsChanged { slots }))
}

#[test]
fn more_slots_are_filled_at_once() {
    let mut harness = AgentHarness::new(1);
    (1..=4).for_each(|attempt| {
        harness.arrive(spec(attempt));
    });
    assert_eq!(change(&mut harness, 3), [2, 3]);
    let now = harness.now;
    assert_eq!(harness.policy.queue_report(now).slots, 3);
}

#[test]
fn fewer_slots_do_not_cancel_running_attempts() {
    // An operator lowers the number of slots while all are occupied. Running attempts are finished,
    // and nothing starts until fewer attempts run than the new number.
    let mut harness = AgentHarness::new(3);
    (1..=4).for_each(|attempt| {
        harness.arrive(spec(attempt));
    });
    assert!(change(&mut harness, 0).is_empty());
    assert!(started(&harness.end(1)).is_empty());
    assert!(started(&harness.end(2)).is_empty());
    assert_eq!(started(&harness.end(3)), [4]);
}

#[test]
fn queue_bound_follows_the_slots() {
    // The queue is bounded by what its slots can serve in time. With more slots it may hold more:
    // the old bound would refuse attempts that could be served.
    let mut harness = AgentHarness::new(1);
    (1..=60).for_each(|attempt| {
        harness.arrive(spec(attempt));
    });
    assert_eq!(harness.policy.in_flight(), 33);
    change(&mut harness, 16);
    (61..=200).for_each(|attempt| {
        harness.arrive(spec(attempt));
    });
    assert_eq!(harness.policy.in_flight(), 16 + 64);
}
