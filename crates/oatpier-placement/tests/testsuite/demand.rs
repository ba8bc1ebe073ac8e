//! Tests of demand rates.

use std::time::Duration;

use oatpier_placement::demand::{DemandKey, DemandLedger, DemandTotals};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::DaemonName;

use crate::fleet::model;

fn key() -> DemandKey {
    DemandKey {
        model: model("a"),
        adapter: None,
    }
}

/// Records ten requests per second for `seconds` from `start`, and returns the end time.
fn burst(ledger: &mut DemandLedger, start: ClockTime, seconds: u64) -> ClockTime {
    let mut now = start;
    for _ in 0..seconds * 10 {
        ledger.record(&key(), 100, 50, now);
        now = now + Duration::from_millis(100);
    }
    now
}

#[test]
fn burst_raises_rate_within_seconds() {
    let mut ledger = DemandLedger::new();
    let now = burst(&mut ledger, ClockTime::ZERO, 15);
    let rate = ledger.summary(now).rate_of(&key());
    assert!((5.0..11.0).contains(&rate.requests), "{rate:?}");
    assert!((rate.output_tokens / rate.requests - 50.0).abs() < 1e-6);
}

#[test]
fn peak_decays_over_minutes() {
    let mut ledger = DemandLedger::new();
    let now = burst(&mut ledger, ClockTime::ZERO, 60);
    let soon = ledger.summary(now + Duration::from_mins(3)).rate_of(&key());
    assert!(soon.requests > 3.0, "{soon:?}");
    let later = ledger.summary(now + Duration::from_hours(3));
    assert!(later.rows.is_empty(), "{later:?}");
}

#[test]
fn total_sums_entries_until_they_expire() {
    let mut ledger = DemandLedger::new();
    let now = burst(&mut ledger, ClockTime::ZERO, 30);
    let summary = ledger.summary(now);
    let mut totals = DemandTotals::new();
    for entry in ["one", "two"] {
        totals.update(DaemonName::try_from(entry).unwrap(), summary.clone(), now);
    }
    let both = totals.total(now).rate_of(&key()).requests;
    assert!((both - 2.0 * summary.rate_of(&key()).requests).abs() < 1e-9);
    assert!(totals.total(now + Duration::from_mins(2)).rows.is_empty());
}
