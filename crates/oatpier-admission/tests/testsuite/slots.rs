//! A configuration that changes the number of slots.

use oatpier_admission::event::AgentEvent;

use crate::bench::{AgentBench, spec, started};

fn change(bench: &mut AgentBench, slots: u32) -> Vec<u128> {
    started(&bench.step(AgentEvent::SlotsChanged { slots }))
}

#[test]
fn more_slots_are_filled_at_once() {
    let mut bench = AgentBench::new(1);
    (1..=4).for_each(|attempt| {
        bench.arrive(spec(attempt));
    });
    assert_eq!(change(&mut bench, 3), [2, 3]);
    let now = bench.now;
    assert_eq!(bench.policy.queue_report(now).slots, 3);
}

#[test]
fn fewer_slots_cut_nothing_off() {
    // An operator lowers the slots while all are taken. What runs goes on to its end, and nothing
    // starts before the number that runs is below the new one.
    let mut bench = AgentBench::new(3);
    (1..=4).for_each(|attempt| {
        bench.arrive(spec(attempt));
    });
    assert!(change(&mut bench, 0).is_empty());
    assert!(started(&bench.end(1)).is_empty());
    assert!(started(&bench.end(2)).is_empty());
    assert_eq!(started(&bench.end(3)), [4]);
}

#[test]
fn the_queue_follows_the_slots() {
    // The queue is bounded by what its slots can serve in time. With eight times the slots it may
    // hold more: refusing by the old bound would turn away what could be served.
    let mut bench = AgentBench::new(1);
    (1..=60).for_each(|attempt| {
        bench.arrive(spec(attempt));
    });
    assert_eq!(bench.policy.in_flight(), 33);
    change(&mut bench, 16);
    (61..=200).for_each(|attempt| {
        bench.arrive(spec(attempt));
    });
    assert_eq!(bench.policy.in_flight(), 16 + 64);
}
