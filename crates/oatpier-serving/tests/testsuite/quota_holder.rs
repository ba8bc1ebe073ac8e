//! Grants from one part of a limit.

use std::time::Duration;

use oatpier_serving::quota::PartIndex;
use oatpier_serving::quota::bounds::{BucketParams, QuotaBounds};
use oatpier_serving::quota::holder::{PartAnswer, PartHolder, PartStart, UnitsUse, UnitsWanted};
use oatpier_serving::workspace::quota::{QuotaRule, QuotaUnit};
use oatpier_types::names::WorkspaceName;

use crate::support::{at, millis};

const PART: PartIndex = PartIndex(0);

const TERMS: BucketParams = BucketParams {
    rate: 1_000.0,
    capacity: 1_000.0,
    max_debt: 500.0,
};

fn workspace(name: &str) -> WorkspaceName {
    WorkspaceName::try_from(name).unwrap()
}

fn wanted(need: u64) -> UnitsWanted {
    UnitsWanted { need, ahead: 0 }
}

fn request(holder: &mut PartHolder, need: u64, now_ms: u64) -> PartAnswer {
    holder.grant_units(PART, &workspace("one"), &TERMS, wanted(need), at(now_ms))
}

#[test]
fn a_full_part_grants_capacity_and_debt_and_then_its_rate() {
    let mut holder = PartHolder::default();
    holder.add_part(PART, PartStart::Full, at(0));
    assert_eq!(request(&mut holder, 1_500, 0), PartAnswer::Granted(1_500));
    assert_eq!(request(&mut holder, 100, 50), PartAnswer::Later(50));
    assert_eq!(request(&mut holder, 100, 100), PartAnswer::Granted(100));
}

#[test]
fn an_empty_part_grants_its_rate_from_the_start() {
    let mut holder = PartHolder::default();
    holder.add_part(PART, PartStart::Empty, at(1_000));
    assert_eq!(request(&mut holder, 700, 1_000), PartAnswer::Later(200));
    assert_eq!(request(&mut holder, 700, 1_200), PartAnswer::Granted(700));
}

#[test]
fn a_part_that_is_not_held_grants_nothing() {
    let mut holder = PartHolder::default();
    assert_eq!(request(&mut holder, 1, 0), PartAnswer::NotHeld);
    holder.add_part(PART, PartStart::Full, at(0));
    holder.remove_part(PART);
    assert_eq!(request(&mut holder, 1, 0), PartAnswer::NotHeld);
}

/// A request larger than the capacity and the debt would never be granted. It is granted once the bucket is full, and
/// later requests wait until its units have accrued.
#[test]
fn a_request_larger_than_the_part_is_granted_when_the_part_is_full() {
    let mut holder = PartHolder::default();
    holder.add_part(PART, PartStart::Full, at(0));
    assert_eq!(request(&mut holder, 5_000, 0), PartAnswer::Granted(5_000));
    assert_eq!(request(&mut holder, 100, 3_000), PartAnswer::Later(600));
}

/// Several callers are refused at the same moment. If they were told the same delay, they would return together, and
/// all but one would be refused again.
#[test]
fn refused_callers_are_told_to_return_one_after_the_other() {
    let mut holder = PartHolder::default();
    holder.add_part(PART, PartStart::Full, at(0));
    request(&mut holder, 1_500, 0);
    let answers: Vec<PartAnswer> = (0..4).map(|_| request(&mut holder, 200, 0)).collect();
    let expected = [200, 400, 600, 800].map(PartAnswer::Later);
    assert_eq!(answers, expected);
}

#[test]
fn prefetched_units_are_a_fraction_of_the_saved_units() {
    let mut holder = PartHolder::default();
    holder.add_part(PART, PartStart::Full, at(0));
    let ahead = UnitsWanted {
        need: 200,
        ahead: 5_000,
    };
    let answer = holder.grant_units(PART, &workspace("one"), &TERMS, ahead, at(0));
    assert_eq!(answer, PartAnswer::Granted(400));
}

#[test]
fn a_lower_limit_applies_at_once() {
    let mut holder = PartHolder::default();
    holder.add_part(PART, PartStart::Full, at(0));
    request(&mut holder, 100, 0);
    let lower = BucketParams {
        rate: 10.0,
        capacity: 10.0,
        max_debt: 0.0,
    };
    let answer = holder.grant_units(PART, &workspace("one"), &lower, wanted(10), at(10_000));
    assert_eq!(answer, PartAnswer::Granted(10));
    let answer = holder.grant_units(PART, &workspace("one"), &lower, wanted(10), at(10_000));
    assert_eq!(answer, PartAnswer::Later(1_000));
}

#[test]
fn workspaces_do_not_use_up_each_others_units() {
    let mut holder = PartHolder::default();
    holder.add_part(PART, PartStart::Full, at(0));
    request(&mut holder, 1_500, 0);
    let other = holder.grant_units(PART, &workspace("two"), &TERMS, wanted(900), at(0));
    assert_eq!(other, PartAnswer::Granted(900));
}

#[test]
fn granted_units_expire_within_the_time_covered_by_the_overage() {
    let bounds = |window_s, overage| QuotaBounds {
        window: Duration::from_secs(window_s),
        overage,
        slack: 0.0,
    };
    assert_eq!(bounds(8, 0.1).grant_lifetime(), millis(800));
    assert_eq!(bounds(4, 0.1).grant_lifetime(), millis(400));
    assert_eq!(bounds(8, 0.0).grant_lifetime(), millis(50));
}

#[test]
fn the_parts_add_up_to_the_limit() {
    let bounds = QuotaBounds {
        window: Duration::from_secs(8),
        overage: 0.1,
        slack: 600.0,
    };
    let rule = QuotaRule {
        rate: 3_000.0,
        burst: 900.0,
        unit: QuotaUnit::Requests,
    };
    let part = bounds.bucket_params(&rule);
    assert_eq!(
        (part.rate, part.capacity, part.max_debt),
        (1_000.0, 300.0, 100.0)
    );
}

#[test]
fn granted_and_refused_units_are_counted_once_by_workspace() {
    let mut holder = PartHolder::default();
    for part in [PART, PartIndex(1)] {
        holder.add_part(part, PartStart::Full, at(0));
        holder.grant_units(part, &workspace("one"), &TERMS, wanted(1_200), at(0));
        holder.grant_units(part, &workspace("one"), &TERMS, wanted(600), at(0));
    }
    let uses = holder.take_use_counts();
    assert_eq!(uses.len(), 1);
    let units = UnitsUse {
        granted: 2_400,
        refused: 1_200,
    };
    assert_eq!((uses[0].units, uses[0].saved), (units, -400.0));
    assert!(holder.take_use_counts().is_empty());
}
