//! Rights to load from the weight store that engines lend each other.

use std::sync::Arc;
use std::time::Duration;

use oatpier_serving::engine::{EngineOrder, OrderAnswer};
use oatpier_serving::message::{GatewaySubscription, LoadRight};
use oatpier_serving::residency::{EngineResidency, LoadPace};
use proptest::prelude::*;

use crate::residency::{advice, report};
use crate::support::{address, at, fixed_cases, model, zone};

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

/// Number of engines of the fleet below, and of loads that they may begin in five seconds.
const FLEET_ENGINES: usize = 8;
const FLEET_LOADS: u32 = 3;

/// Returns what a gateway states to an engine, as the registry listed engines `lag` ago; `None` if it was not listed.
fn stated_share(
    absences: &[(u64, usize, u64)],
    engine: usize,
    seen_at: u64,
) -> Option<GatewaySubscription> {
    let is_listed = |engine: usize| {
        let mut covering = absences.iter();
        !covering.any(|(from, which, length)| {
            *which == engine && (*from..*from + *length).contains(&seen_at)
        })
    };
    if !is_listed(engine) {
        return None;
    }
    let before = (0..engine).filter(|other| is_listed(*other)).count();
    let listed = (0..FLEET_ENGINES).filter(|other| is_listed(*other)).count();
    Some(GatewaySubscription {
        zone: zone("near"),
        processor: 100,
        is_heard: true,
        used: Vec::new(),
        engines: u32::try_from(listed).unwrap(),
        place: u32::try_from(before).unwrap(),
        loads_per_window: FLEET_LOADS,
        adapter_slots: 4,
        health_path: Arc::from("/health"),
    })
}

proptest! {
    #![proptest_config(fixed_cases(64))]

    /// Guards against more loads than the weight store allows while entries of crashed engines lapse and return: other
    /// engines take over their parts, and they go on with them for some time. Gateways see the registry up to four
    /// seconds late, each by a different delay.
    #[test]
    fn parts_that_change_hands_keep_the_store_rate_limit(
        absences in prop::collection::vec((0_u64..40_000, 0_usize..FLEET_ENGINES, 500_u64..15_000), 0..12),
        lags in prop::collection::vec(0_u64..4_000, 31),
    ) {
        let pace = |index| LoadPace {
            loads: FLEET_LOADS,
            engines: u32::try_from(FLEET_ENGINES).unwrap(),
            index,
            window: Duration::from_secs(5),
        };
        let places = 0..u32::try_from(FLEET_ENGINES).unwrap();
        let mut sidecars: Vec<EngineResidency> =
            places.map(|place| EngineResidency::new(pace(place), true, at(0))).collect();
        let mut begun: Vec<u64> = Vec::new();
        let mut sent = 0;
        for now in (0..60_000_u64).step_by(100) {
            for (engine, sidecar) in sidecars.iter_mut().enumerate() {
                if now.is_multiple_of(500) {
                    sent += 1;
                    let seen_at = now.saturating_sub(lags[sent % lags.len()]);
                    if let Some(stated) = stated_share(&absences, engine, seen_at) {
                        sidecar.apply_subscription(address(1), &stated, at(now));
                    }
                }
                sidecar.apply_report(report(now, &[]));
                sidecar.accept_advice(advice("m1", &[], &[]), at(now));
                if let Some(order) = sidecar.next_order(at(now)) {
                    begun.push(now);
                    sidecar.note_answer(&order, OrderAnswer::Taken, at(now));
                }
            }
        }
        prop_assert!(!begun.is_empty());
        for end in &begun {
            let within = begun.iter().filter(|time| **time <= *end && **time + 5_000 > *end);
            prop_assert!(within.count() <= FLEET_LOADS as usize);
        }
    }
}
