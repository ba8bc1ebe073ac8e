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
fn all_shares_together_stay_below_what_the_store_takes() {
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
fn kinds_give_way_in_the_written_order() {
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
fn a_refused_call_is_told_when_to_come_back() {
    let mut budget = budget(2);
    let mut now = ClockTime::ZERO;
    while budget.take(CallKind::KeyClaim, CallMode::Read, now).is_ok() {}
    now = budget
        .take(CallKind::KeyClaim, CallMode::Read, now)
        .expect_err("used up");
    assert!(budget.take(CallKind::KeyClaim, CallMode::Read, now).is_ok());
    assert_eq!(budget.count(CallKind::KeyClaim).held_back, 2);
}

/// The store recovers after ten minutes. All agents have an epoch to write and full buckets, and
/// would overload the store again if they all wrote at once. Their first calls must be spread out.
#[test]
fn the_return_of_the_store_is_no_stampede() {
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
            first_calls[usize::try_from(tenth).expect("small")] += 1;
        }
    }
    let most = first_calls.iter().max().expect("forty tenths");
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
