//! When an engine may be sent the next request.
//!
//! The load: four gateways send an engine prompts of 20 to 200 ms, in clumps, for more than half of its
//! time; its streams may pause for 300 ms, and a piece takes three steps. And sixty gateways, each of which
//! sends an engine of twelve slots a request every few seconds, while ten are asked for in a second.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::engine::EndpointLoad;
use oatpier_serving::message::PermitAsk;
use oatpier_serving::permits::{AddressedGrant, PermitDesk};
use oatpier_types::clock::ClockTime;
use proptest::prelude::*;

use crate::support::{address, at, fixed_cases};

const SLOTS: u32 = 12;

fn ask(id: u64, reading_ms: u32, due_in_ms: u32) -> PermitAsk {
    PermitAsk {
        id,
        reading_us: reading_ms * 1_000,
        pause_ms: 300,
        due_in_ms,
        slots: SLOTS,
        is_urgent: false,
        priority: 0,
    }
}

fn load(running: u32, waiting: u32) -> EndpointLoad {
    EndpointLoad { running, waiting }
}

fn gateway() -> SocketAddr {
    address(1)
}

fn given(due: &[AddressedGrant]) -> Vec<u64> {
    due.iter().map(|due| due.grant.id).collect()
}

fn take(desk: &mut PermitDesk, ask: PermitAsk, now: ClockTime) -> Vec<u64> {
    desk.take_ask(gateway(), ask, now);
    given(&desk.due(now))
}

#[test]
fn an_engine_with_nothing_before_it_takes_a_prompt_of_any_length() {
    let mut desk = PermitDesk::default();
    assert_eq!(take(&mut desk, ask(1, 900, 500), at(0)), vec![1]);
}

/// The streams of an engine pause while it reads. Prompts that come together are sent one after the other,
/// as each was read.
#[test]
fn prompts_that_come_together_are_read_one_after_the_other() {
    let mut desk = PermitDesk::default();
    assert_eq!(take(&mut desk, ask(1, 60, 500), at(0)), vec![1]);
    assert!(take(&mut desk, ask(2, 60, 500), at(1)).is_empty());
    assert!(take(&mut desk, ask(3, 60, 500), at(2)).is_empty());
    desk.take_back(1);
    assert_eq!(given(&desk.due(at(60))), vec![2]);
    assert!(take(&mut desk, ask(3, 60, 440), at(62)).is_empty());
    desk.take_back(2);
    assert_eq!(given(&desk.due(at(120))), vec![3]);
}

#[test]
fn short_prompts_go_together() {
    let mut desk = PermitDesk::default();
    assert_eq!(take(&mut desk, ask(1, 40, 500), at(0)), vec![1]);
    assert_eq!(take(&mut desk, ask(2, 40, 500), at(0)), vec![2]);
    assert!(take(&mut desk, ask(3, 40, 500), at(0)).is_empty());
}

/// Who would be late first goes first. Who can only be late goes when nobody else waits, so that a
/// backlog makes nobody else late.
#[test]
fn permits_go_by_what_would_be_late_first_and_to_late_requests_last() {
    let mut desk = PermitDesk::default();
    take(&mut desk, ask(1, 100, 500), at(0));
    for (id, due_in_ms) in [(2, 0), (3, 2_800), (4, 400)] {
        assert!(take(&mut desk, ask(id, 100, due_in_ms), at(1)).is_empty());
    }
    let mut order = Vec::new();
    for id in [1, 4, 3] {
        desk.take_back(id);
        order.extend(given(&desk.due(at(50))));
    }
    assert_eq!(order, vec![4, 3, 2]);
}

/// The answer to an ask is lost, and the gateway repeats the ask. It gets the answer again, and the prompt
/// counts once.
#[test]
fn a_repeated_ask_is_answered_again_and_counts_once() {
    let mut desk = PermitDesk::default();
    assert_eq!(take(&mut desk, ask(1, 60, 500), at(0)), vec![1]);
    assert_eq!(take(&mut desk, ask(1, 60, 470), at(30)), vec![1]);
    desk.take_back(1);
    assert_eq!(take(&mut desk, ask(2, 60, 500), at(40)), vec![2]);
}

/// A gateway is killed with a permit in hand, or its word that the prompt was read is lost. The others
/// wait for a moment and then go on.
#[test]
fn a_permit_that_is_never_given_back_lapses() {
    let mut desk = PermitDesk::default();
    take(&mut desk, ask(1, 60, 500), at(0));
    desk.take_ask(gateway(), ask(2, 60, 500), at(150));
    assert!(desk.due(at(150)).is_empty());
    let next = desk.next_at().unwrap();
    assert_eq!(given(&desk.due(next)), vec![2]);
}

/// A request is over, or goes elsewhere, while it waits. Its ask is not repeated and gets no permit.
#[test]
fn an_ask_that_is_not_repeated_is_forgotten() {
    let mut desk = PermitDesk::default();
    take(&mut desk, ask(1, 60, 500), at(0));
    desk.take_ask(gateway(), ask(2, 60, 500), at(10));
    desk.take_back(1);
    assert!(desk.due(at(200)).is_empty());
    assert_eq!(desk.waiting(), Duration::ZERO);
}

/// A caller leaves while its request waits. Its ask is withdrawn, and the one behind it goes at once.
#[test]
fn an_ask_that_is_withdrawn_holds_nobody_up() {
    let mut desk = PermitDesk::default();
    take(&mut desk, ask(1, 90, 500), at(0));
    desk.take_ask(gateway(), ask(2, 90, 300), at(10));
    desk.take_ask(gateway(), ask(3, 90, 500), at(10));
    desk.take_back(2);
    desk.take_back(1);
    assert_eq!(given(&desk.due(at(50))), vec![3]);
}

/// One slot is free, and three gateways that don't know of each other send a request there. Sent at once, two
/// would wait at the engine behind whatever is long. One gets its permit; the next one when the engine has
/// reported that a request ended.
#[test]
fn one_free_slot_is_given_once() {
    let mut desk = PermitDesk::default();
    desk.note_load(load(11, 0), at(0));
    assert_eq!(take(&mut desk, ask(1, 1, 500), at(1)), vec![1]);
    assert!(take(&mut desk, ask(2, 1, 300), at(2)).is_empty());
    assert!(take(&mut desk, ask(3, 1, 200), at(3)).is_empty());
    desk.take_back(1);
    assert!(desk.due(at(30)).is_empty());
    desk.note_load(load(12, 0), at(60));
    desk.take_ask(gateway(), ask(2, 1, 270), at(60));
    desk.take_ask(gateway(), ask(3, 1, 170), at(60));
    assert!(desk.due(at(60)).is_empty());
    desk.note_load(load(11, 0), at(120));
    assert_eq!(given(&desk.due(at(120))), vec![3]);
}

/// Slots are short. A long answer waits for one, and then a short and urgent one that would be late a little
/// later: the short one goes first. A long one that has waited for longer than that goes before it.
#[test]
fn urgent_classes_go_first_where_slots_are_short() {
    let mut desk = PermitDesk::default();
    desk.note_load(load(12, 0), at(0));
    let long = |id, due_in_ms| PermitAsk {
        priority: 2,
        ..ask(id, 1, due_in_ms)
    };
    desk.take_ask(gateway(), long(1, 100), at(0));
    desk.take_ask(gateway(), ask(2, 1, 400), at(10));
    desk.note_load(load(11, 0), at(60));
    assert_eq!(given(&desk.due(at(60))), vec![2]);
    desk.take_ask(gateway(), long(1, 40), at(90));
    desk.take_ask(gateway(), ask(3, 1, 700), at(90));
    desk.note_load(load(11, 0), at(95));
    assert_eq!(given(&desk.due(at(95))), vec![1]);
}

/// The gateway that has the permit runs on a thin VM and gives it back late. The engine has read the prompt
/// long before: the next one does not wait for the word.
#[test]
fn a_prompt_counts_as_read_after_twice_its_time() {
    let mut desk = PermitDesk::default();
    assert_eq!(take(&mut desk, ask(1, 60, 500), at(0)), vec![1]);
    assert!(take(&mut desk, ask(2, 60, 500), at(100)).is_empty());
    assert_eq!(given(&desk.due(desk.next_at().unwrap())), vec![2]);
    assert_eq!(desk.next_at(), None);
}

/// A request that had its permit a moment before the engine reported is on its way there, and not in the
/// report. Its slot is not given again.
#[test]
fn a_request_on_its_way_takes_a_slot_before_the_engine_reports_it() {
    let mut desk = PermitDesk::default();
    desk.note_load(load(11, 0), at(0));
    assert_eq!(take(&mut desk, ask(1, 1, 500), at(57)), vec![1]);
    desk.note_load(load(11, 0), at(60));
    assert!(take(&mut desk, ask(2, 1, 500), at(61)).is_empty());
}

#[test]
fn urgent_requests_go_over_the_slots_by_one_and_late_ones_leave_one_free() {
    let mut desk = PermitDesk::default();
    desk.note_load(load(12, 0), at(0));
    assert!(take(&mut desk, ask(1, 1, 500), at(1)).is_empty());
    let urgent = PermitAsk {
        is_urgent: true,
        ..ask(2, 1, 100)
    };
    assert_eq!(take(&mut desk, urgent, at(2)), vec![2]);
    let mut desk = PermitDesk::default();
    desk.note_load(load(12, 1), at(0));
    assert!(take(&mut desk, ask(3, 1, 0), at(1)).is_empty());
}

/// The engine does not answer its sidecar, which knows nothing of its slots. Requests go by what there is to
/// read, as without slots: they find out by themselves whether the engine is well.
#[test]
fn permits_are_given_without_slots_while_the_engine_is_not_known() {
    let mut desk = PermitDesk::default();
    desk.note_load(load(12, 5), at(0));
    desk.forget_load();
    assert_eq!(take(&mut desk, ask(1, 1, 500), at(1)), vec![1]);
}

proptest! {
    #![proptest_config(fixed_cases(64))]

    /// Whatever comes in whatever order: beyond a single long prompt, an engine never has more before it
    /// than a third or so of the pause, and everything that goes on asking gets its permit once.
    #[test]
    fn an_engine_never_has_more_before_it_than_its_streams_bear(
        prompts in prop::collection::vec((1_u32..200, 0_u32..3_000), 1..40),
    ) {
        let mut desk = PermitDesk::default();
        let mut waiting: Vec<(u64, u32, u32)> = (1..)
            .zip(&prompts)
            .map(|(id, (reading, due))| (id, *reading, *due))
            .collect();
        let mut reading: Vec<(u64, u32)> = Vec::new();
        let mut seen = 0;
        for step in 0..10_000_u64 {
            let now = at(step * 10);
            for (id, reading_ms, due) in &waiting {
                desk.take_ask(gateway(), ask(*id, *reading_ms, *due), now);
            }
            for id in given(&desk.due(now)) {
                let place = waiting.iter().position(|row| row.0 == id);
                let (_, reading_ms, _) = waiting.swap_remove(place.expect("it is given once"));
                reading.push((id, reading_ms));
                seen += 1;
            }
            let ahead: u32 = reading.iter().map(|row| row.1).sum();
            prop_assert!(reading.len() <= 1 || ahead <= 105, "{ahead} ms before it");
            if !reading.is_empty() {
                desk.take_back(reading.remove(0).0);
            }
            if waiting.is_empty() {
                break;
            }
        }
        prop_assert_eq!(seen, prompts.len());
    }
}
