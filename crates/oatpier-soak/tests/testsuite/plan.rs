//! Tests that faults depend only on the seed, come in order and overlap.

use std::time::Duration;

use oatpier_soak::plan::{SoakSize, plan};

const SIZE: SoakSize = SoakSize {
    gateways: 3,
    engines: 6,
    services: 3,
    callers: 4,
};

#[test]
fn a_seed_draws_the_same_faults_and_another_one_others() {
    let length = Duration::from_mins(1);
    assert_eq!(plan(7, SIZE, length), plan(7, SIZE, length));
    assert_ne!(plan(7, SIZE, length), plan(8, SIZE, length));
}

#[test]
fn faults_come_in_order_within_the_soak_and_overlap() {
    let length = Duration::from_mins(1);
    let steps = plan(7, SIZE, length);
    assert!(steps.windows(2).all(|pair| pair[0].at <= pair[1].at));
    assert!(steps.iter().all(|step| step.at < length));
    let overlap = |pair: &[oatpier_soak::plan::FaultStep]| pair[0].at + pair[0].lasts > pair[1].at;
    assert!(steps.windows(2).any(overlap));
}
