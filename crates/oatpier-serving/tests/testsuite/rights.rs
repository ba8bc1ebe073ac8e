//! Rights to load from the weight store that engines lend each other.

use std::time::Duration;

use oatpier_serving::engine::{EngineOrder, OrderAnswer};
use oatpier_serving::message::LoadRight;
use oatpier_serving::residency::{EngineResidency, LoadPace};
use proptest::prelude::*;

use crate::residency::{advice, report};
use crate::support::{address, at, fixed_cases, model};

/// An engine has just joined a fleet with more engines than loads per window, so it has no share of the
/// rate. Its callers wait while another engine's share is unused. It borrows that right once, and the
/// lender waits as long as if it had loaded itself.
#[test]
fn engine_without_a_rate_share_borrows_a_right() {
    let pace = |index| LoadPace {
        loads: 1,
        engines: 2,
        index,
        window: Duration::from_secs(5),
    };
    let mut lender = EngineResidency::new(pace(0), true, at(0));
    let mut borrower = EngineResidency::new(pace(1), true, at(0));
    lender.apply_report(report(0, &[]));
    borrower.apply_report(report(0, &[]));
    let mut advised = advice("m1", &[], &[]);
    advised.lenders = vec![address(1)];
    borrower.accept_advice(advised, at(0));
    assert_eq!(borrower.next_order(at(0)), None);
    let request = borrower.request_right(7, at(0)).unwrap();
    assert_eq!(request.lender, address(1));
    assert!(lender.lend_right(at(2)));
    assert!(!lender.lend_right(at(3)), "a right is lent once");
    assert!(!lender.store_load_wait(at(5_000)).is_zero());
    borrower.accept_right(request.right);
    let order = borrower.next_order(at(4)).unwrap();
    assert_eq!(order.order, EngineOrder::LoadModel(model("m1")));
    borrower.note_answer(&order, OrderAnswer::Taken, at(4));
    borrower.apply_report(report(1, &["m1"]));
    let mut advised = advice("m2", &[], &["m1"]);
    advised.lenders = vec![address(1)];
    borrower.accept_advice(advised, at(10));
    assert_eq!(
        borrower.next_order(at(10)),
        None,
        "a lent right is used once"
    );
}

/// The lender's grant arrives late because the borrower was frozen. By then the lender may have its right
/// again, and two loads would begin where only one is allowed.
#[test]
fn right_that_arrives_too_late_is_not_used() {
    let pace = LoadPace {
        loads: 1,
        engines: 2,
        index: 1,
        window: Duration::from_secs(5),
    };
    let mut borrower = EngineResidency::new(pace, true, at(0));
    borrower.apply_report(report(0, &[]));
    let mut advised = advice("m1", &[], &[]);
    advised.lenders = vec![address(1)];
    borrower.accept_advice(advised, at(0));
    let request = borrower.request_right(7, at(0)).unwrap();
    borrower.accept_right(request.right);
    assert_eq!(borrower.next_order(at(400)), None);
}

proptest! {
    #![proptest_config(fixed_cases(128))]

    /// Engines that load whenever they may lend each other their shares of the rate. Messages are lost or
    /// delayed, and lenders and borrowers are killed in between.
    #[test]
    fn lent_rights_keep_the_store_rate_limit(
        engines in 2_u32..30,
        loads in 1_u32..30,
        restarts in prop::collection::vec((0_u64..20_000, 0_usize..30), 0..20),
        deliveries in prop::collection::vec((any::<bool>(), 0_u64..500, 0_usize..30), 40),
    ) {
        let pace_of = |index| LoadPace { loads, engines, index, window: Duration::from_secs(5) };
        let count = engines as usize;
        let mut sidecars: Vec<EngineResidency> =
            (0..engines).map(|place| EngineResidency::new(pace_of(place), true, at(0))).collect();
        let mut begun = Vec::new();
        let mut answers: Vec<(u64, usize, LoadRight)> = Vec::new();
        let mut delivery_index = 0;
        for now in (0..20_000).step_by(20) {
            for (when, which) in &restarts {
                if (now..now + 20).contains(when) && *which < count {
                    let place = u32::try_from(*which).unwrap();
                    sidecars[*which] = EngineResidency::new(pace_of(place), false, at(now));
                }
            }
            for (_, to, right) in answers.extract_if(.., |(due, _, _)| *due <= now) {
                sidecars[to].accept_right(right);
            }
            for place in 0..count {
                let wants = (now / 1_000 + place as u64).is_multiple_of(3);
                sidecars[place].apply_report(report(now, &[]));
                if wants {
                    let mut advised = advice("m1", &[], &[]);
                    advised.lenders = vec![address(1)];
                    sidecars[place].accept_advice(advised, at(now));
                }
                if let Some(order) = sidecars[place].next_order(at(now)) {
                    begun.push(now);
                    sidecars[place].note_answer(&order, OrderAnswer::Taken, at(now));
                    sidecars[place].apply_report(report(now + 1, &["m1"]));
                } else if let Some(request) = sidecars[place].request_right(now, at(now)) {
                    delivery_index += 1;
                    let (is_lost, delay, lender) = deliveries[delivery_index % deliveries.len()];
                    if !is_lost && sidecars[lender % count].lend_right(at(now)) {
                        answers.push((now + delay, place, request.right));
                    }
                }
            }
        }
        for end in &begun {
            let within = begun.iter().filter(|time| **time <= *end && **time + 5_000 > *end);
            prop_assert!(within.count() <= loads.max(1) as usize);
        }
    }
}
