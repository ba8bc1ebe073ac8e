//! Tests of the store call budget.

use oatpier_membership::budget::{CallKind, CallMode, CallRates, StoreBudget, StoreShare};
use oatpier_types::clock::ClockTime;

use crate::support::{generator, millis, seconds};

fn budget(seed: u64) -> StoreBudget {
    let rates = CallRates {
        reads: 1.0,
        writes: 1.0,
    };
    StoreBudget::new(rates, generator(seed), ClockTime::ZERO)
}

#[test]
fn shares_of_all_processes_stay_within_store_capacity() {
    let share = StoreShare {
        entries: 340,
        agents: 3_500,
        ..StoreShare::default()
    };
    let writes = share.entry().writes * 340.0 + share.agent().writes * 3_500.0;
    let reads = share.entry().reads * 340.0 + share.agent().reads * 3_500.0;
    assert!(writes <= 0.6001 * 300.0, "{writes}");
    assert!(reads <= 0.6001 * 2_000.0, "{reads}");
}

#[test]
fn lower_priority_kinds_are_limited_first() {
    let mut left = Vec::new();
    for kind in CallKind::ALL {
        let mut budget = budget(1);
        let made = (0..20).filter(|_| budget.take(kind, CallMode::Write, ClockTime::ZERO).is_ok());
        left.push(made.count());
    }
    assert!(
        left.is_sorted_by(|earlier, later| earlier > later),
        "{left:?}"
    );
}

#[test]
fn refused_call_succeeds_at_the_returned_time() {
    let mut budget = budget(2);
    let mut now = ClockTime::ZERO;
    while budget.take(CallKind::KeyClaim, CallMode::Read, now).is_ok() {}
    now = budget
        .take(CallKind::KeyClaim, CallMode::Read, now)
        .expect_err("the budget is used up");
    assert!(budget.take(CallKind::KeyClaim, CallMode::Read, now).is_ok());
    assert_eq!(budget.count(CallKind::KeyClaim).held_back, 2);
}

/// The store recovers after ten minutes. All agents have an epoch to write and full buckets, and
/// would overload the store again if they all wrote at once. Their first calls must be spread out.
#[test]
fn first_calls_after_an_outage_are_spread_out() {
    let back = ClockTime::ZERO + seconds(600);
    let mut first_calls = [0_u32; 40];
    for seed in 0..1_000 {
        let mut budget = budget(seed);
        budget.store_failed();
        budget.store_answered(back);
        let taken = (0..40).find(|tenth| {
            let now = back + millis(100 * tenth);
            budget
                .take(CallKind::EpochIntent, CallMode::Write, now)
                .is_ok()
        });
        if let Some(tenth) = taken {
            first_calls[usize::try_from(tenth).expect("the value fits the type")] += 1;
        }
    }
    let most = first_calls.iter().max().expect("the counts are not empty");
    assert_eq!(first_calls.iter().sum::<u32>(), 1_000);
    assert!(*most <= 100, "{first_calls:?}");
    let mut watcher = budget(1);
    watcher.store_failed();
    watcher.store_answered(back);
    assert!(
        watcher
            .take(CallKind::ConfigWatch, CallMode::Read, back)
            .is_ok()
    );
}
