//! When an engine may be sent the next request.
//!
//! The situations: four gateways send an engine prompts of 20 to 200 ms in bursts, for more than half of
//! its time, while its streams may pause for 300 ms and a chunk takes three steps. And 60 gateways each
//! send an engine with twelve slots a request every few seconds, ten requests per second in total.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::engine::EndpointLoad;
use oatpier_serving::message::PermitAsk;
use oatpier_serving::permits::{AddressedGrant, PermitIssuer};
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

fn granted_ids(due: &[AddressedGrant]) -> Vec<u64> {
    due.iter().map(|due| due.grant.id).collect()
}

fn request_permit(issuer: &mut PermitIssuer, ask: PermitAsk, now: ClockTime) -> Vec<u64> {
    issuer.add_request(gateway(), ask, now);
    granted_ids(&issuer.issue_due(now))
}

#[test]
fn idle_engine_accepts_a_prompt_of_any_length() {
    let mut issuer = PermitIssuer::default();
    assert_eq!(
        request_permit(&mut issuer, ask(1, 900, 500), at(0)),
        vec![1]
    );
}

/// The streams of an engine pause while it prefills. Prompts that arrive together are sent one at a time,
/// each after the previous one was prefilled.
#[test]
fn simultaneous_prompts_are_prefilled_one_at_a_time() {
    let mut issuer = PermitIssuer::default();
    assert_eq!(request_permit(&mut issuer, ask(1, 60, 500), at(0)), vec![1]);
    assert!(request_permit(&mut issuer, ask(2, 60, 500), at(1)).is_empty());
    assert!(request_permit(&mut issuer, ask(3, 60, 500), at(2)).is_empty());
    issuer.release(1);
    assert_eq!(granted_ids(&issuer.issue_due(at(60))), vec![2]);
    assert!(request_permit(&mut issuer, ask(3, 60, 440), at(62)).is_empty());
    issuer.release(2);
    assert_eq!(granted_ids(&issuer.issue_due(at(120))), vec![3]);
}

#[test]
fn short_prompts_get_permits_together() {
    let mut issuer = PermitIssuer::default();
    assert_eq!(request_permit(&mut issuer, ask(1, 40, 500), at(0)), vec![1]);
    assert_eq!(request_permit(&mut issuer, ask(2, 40, 500), at(0)), vec![2]);
    assert!(request_permit(&mut issuer, ask(3, 40, 500), at(0)).is_empty());
}

/// Requests are ordered by their deadlines. A request that can only be late is sent when no other waits, so
/// that a backlog delays no other request.
#[test]
fn permits_follow_deadlines_and_late_requests_come_last() {
    let mut issuer = PermitIssuer::default();
    request_permit(&mut issuer, ask(1, 100, 500), at(0));
    for (id, due_in_ms) in [(2, 0), (3, 2_800), (4, 400)] {
        assert!(request_permit(&mut issuer, ask(id, 100, due_in_ms), at(1)).is_empty());
    }
    let mut order = Vec::new();
    for id in [1, 4, 3] {
        issuer.release(id);
        order.extend(granted_ids(&issuer.issue_due(at(50))));
    }
    assert_eq!(order, vec![4, 3, 2]);
}

/// The grant of a permit is lost, and the gateway repeats its request. The grant is sent again, and the
/// prompt counts once.
#[test]
fn repeated_request_is_answered_again_and_counts_once() {
    let mut issuer = PermitIssuer::default();
    assert_eq!(request_permit(&mut issuer, ask(1, 60, 500), at(0)), vec![1]);
    assert_eq!(
        request_permit(&mut issuer, ask(1, 60, 470), at(30)),
        vec![1]
    );
    issuer.release(1);
    assert_eq!(
        request_permit(&mut issuer, ask(2, 60, 500), at(40)),
        vec![2]
    );
}

/// A gateway is killed while it holds a permit, or its message that the prompt was prefilled is lost. The
/// other requests wait for a short time and are then sent.
#[test]
fn unreleased_permit_expires() {
    let mut issuer = PermitIssuer::default();
    request_permit(&mut issuer, ask(1, 60, 500), at(0));
    issuer.add_request(gateway(), ask(2, 60, 500), at(150));
    assert!(issuer.issue_due(at(150)).is_empty());
    let next = issuer.next_expiry().unwrap();
    assert_eq!(granted_ids(&issuer.issue_due(next)), vec![2]);
}

/// A request ends or is sent elsewhere while it waits. Its permit request is not repeated and gets no
/// permit.
#[test]
fn request_that_is_not_repeated_expires() {
    let mut issuer = PermitIssuer::default();
    request_permit(&mut issuer, ask(1, 60, 500), at(0));
    issuer.add_request(gateway(), ask(2, 60, 500), at(10));
    issuer.release(1);
    assert!(issuer.issue_due(at(200)).is_empty());
    assert_eq!(issuer.pending_prefill(), Duration::ZERO);
}

/// A caller disconnects while its request waits. The permit request is withdrawn, and the next one gets its
/// permit at once.
#[test]
fn withdrawn_request_does_not_delay_others() {
    let mut issuer = PermitIssuer::default();
    request_permit(&mut issuer, ask(1, 90, 500), at(0));
    issuer.add_request(gateway(), ask(2, 90, 300), at(10));
    issuer.add_request(gateway(), ask(3, 90, 500), at(10));
    issuer.release(2);
    issuer.release(1);
    assert_eq!(granted_ids(&issuer.issue_due(at(50))), vec![3]);
}

/// One slot is free, and three uncoordinated gateways each send a request there. If all were sent at once,
/// two would wait at the engine behind long requests. One gets its permit, and the next one follows once
/// the engine has reported that a request ended.
#[test]
fn free_slot_is_granted_once() {
    let mut issuer = PermitIssuer::default();
    issuer.note_load(load(11, 0), at(0));
    assert_eq!(request_permit(&mut issuer, ask(1, 1, 500), at(1)), vec![1]);
    assert!(request_permit(&mut issuer, ask(2, 1, 300), at(2)).is_empty());
    assert!(request_permit(&mut issuer, ask(3, 1, 200), at(3)).is_empty());
    issuer.release(1);
    assert!(issuer.issue_due(at(30)).is_empty());
    issuer.note_load(load(12, 0), at(60));
    issuer.add_request(gateway(), ask(2, 1, 270), at(60));
    issuer.add_request(gateway(), ask(3, 1, 170), at(60));
    assert!(issuer.issue_due(at(60)).is_empty());
    issuer.note_load(load(11, 0), at(120));
    assert_eq!(granted_ids(&issuer.issue_due(at(120))), vec![3]);
}

/// Slots are short. A long request waits for a slot, followed by a short and urgent one with a slightly
/// later deadline. The short one goes first. A long request that has waited for longer than the difference
/// goes before it.
#[test]
fn urgent_classes_go_first_when_slots_are_short() {
    let mut issuer = PermitIssuer::default();
    issuer.note_load(load(12, 0), at(0));
    let long = |id, due_in_ms| PermitAsk {
        priority: 2,
        ..ask(id, 1, due_in_ms)
    };
    issuer.add_request(gateway(), long(1, 100), at(0));
    issuer.add_request(gateway(), ask(2, 1, 400), at(10));
    issuer.note_load(load(11, 0), at(60));
    assert_eq!(granted_ids(&issuer.issue_due(at(60))), vec![2]);
    issuer.add_request(gateway(), long(1, 40), at(90));
    issuer.add_request(gateway(), ask(3, 1, 700), at(90));
    issuer.note_load(load(11, 0), at(95));
    assert_eq!(granted_ids(&issuer.issue_due(at(95))), vec![1]);
}

/// The gateway with the permit runs on a VM with little CPU and releases it late. The engine has prefilled
/// the prompt long before. The next request does not wait for the release.
#[test]
fn prompt_counts_as_prefilled_after_twice_its_time() {
    let mut issuer = PermitIssuer::default();
    assert_eq!(request_permit(&mut issuer, ask(1, 60, 500), at(0)), vec![1]);
    assert!(request_permit(&mut issuer, ask(2, 60, 500), at(100)).is_empty());
    assert_eq!(
        granted_ids(&issuer.issue_due(issuer.next_expiry().unwrap())),
        vec![2]
    );
    assert_eq!(issuer.next_expiry(), None);
}

/// A request whose permit was issued just before the engine reported is still in transit and not in the
/// report. Its slot is not given to another request.
#[test]
fn request_in_transit_occupies_a_slot() {
    let mut issuer = PermitIssuer::default();
    issuer.note_load(load(11, 0), at(0));
    assert_eq!(request_permit(&mut issuer, ask(1, 1, 500), at(57)), vec![1]);
    issuer.note_load(load(11, 0), at(60));
    assert!(request_permit(&mut issuer, ask(2, 1, 500), at(61)).is_empty());
}

#[test]
fn urgent_requests_exceed_the_slots_by_one_and_late_ones_leave_one_free() {
    let mut issuer = PermitIssuer::default();
    issuer.note_load(load(12, 0), at(0));
    assert!(request_permit(&mut issuer, ask(1, 1, 500), at(1)).is_empty());
    let urgent = PermitAsk {
        is_urgent: true,
        ..ask(2, 1, 100)
    };
    assert_eq!(request_permit(&mut issuer, urgent, at(2)), vec![2]);
    let mut issuer = PermitIssuer::default();
    issuer.note_load(load(12, 1), at(0));
    assert!(request_permit(&mut issuer, ask(3, 1, 0), at(1)).is_empty());
}

/// The engine does not answer its sidecar, so its free slots are unknown. Permits are then issued by the
/// prefill work alone, and the requests themselves show whether the engine works.
#[test]
fn permits_ignore_slots_while_the_engine_load_is_unknown() {
    let mut issuer = PermitIssuer::default();
    issuer.note_load(load(12, 5), at(0));
    issuer.forget_load();
    assert_eq!(request_permit(&mut issuer, ask(1, 1, 500), at(1)), vec![1]);
}

proptest! {
    #![proptest_config(fixed_cases(64))]

    /// For any requests in any order: apart from a single long prompt, an engine never has more prefill
    /// work than about a third of the pause limit, and each request that is repeated gets its permit
    /// exactly once.
    #[test]
    fn prefill_work_never_exceeds_the_pause_budget(
        prompts in prop::collection::vec((1_u32..200, 0_u32..3_000), 1..40),
    ) {
        let mut issuer = PermitIssuer::default();
        let mut waiting: Vec<(u64, u32, u32)> = (1..)
            .zip(&prompts)
            .map(|(id, (reading, due))| (id, *reading, *due))
            .collect();
        let mut reading: Vec<(u64, u32)> = Vec::new();
        let mut seen = 0;
        for step in 0..10_000_u64 {
            let now = at(step * 10);
            for (id, reading_ms, due) in &waiting {
                issuer.add_request(gateway(), ask(*id, *reading_ms, *due), now);
            }
            for id in granted_ids(&issuer.issue_due(now)) {
                let place = waiting.iter().position(|row| row.0 == id);
                let (_, reading_ms, _) = waiting.swap_remove(place.expect("the permit is granted once"));
                reading.push((id, reading_ms));
                seen += 1;
            }
            let ahead: u32 = reading.iter().map(|row| row.1).sum();
            prop_assert!(reading.len() <= 1 || ahead <= 105, "{ahead} ms of prefill work");
            if !reading.is_empty() {
                issuer.release(reading.remove(0).0);
            }
            if waiting.is_empty() {
                break;
            }
        }
        prop_assert_eq!(seen, prompts.len());
    }
}
