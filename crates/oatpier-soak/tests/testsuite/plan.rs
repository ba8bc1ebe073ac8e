//! Tests that faults depend only on the seed, come in order and overlap.

use std::time::Duration;

use oatpier_soak::plan::{FaultStep, SoakFault, SoakSize, plan};

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
    let overlap = |pair: &[FaultStep]| pair[0].at + pair[0].lasts > pair[1].at;
    assert!(steps.windows(2).any(overlap));
}

/// Guards against a load that comes evenly in every soak, and against crowds that never meet a gateway that has just started.
#[test]
fn callers_crowd_at_one_gateway_in_some_soaks_also_after_its_restart() {
    let length = Duration::from_mins(1);
    let crowds = |seed| -> Vec<FaultStep> {
        let steps = plan(seed, SIZE, length).into_iter();
        steps
            .filter(|step| matches!(step.fault, SoakFault::Crowd(_)))
            .collect()
    };
    let with_crowds = (0..50).filter(|seed| !crowds(*seed).is_empty()).count();
    assert!((10..40).contains(&with_crowds), "{with_crowds}");
    for seed in 0..50 {
        let crowds = crowds(seed);
        let restarts = plan(seed, SIZE, length).into_iter().filter_map(|step| {
            let (SoakFault::KillGateway(gateway) | SoakFault::StopGateway(gateway)) = step.fault
            else {
                return None;
            };
            let at = step.at + Duration::from_secs(1);
            (at < length && !crowds.is_empty()).then_some((at, SoakFault::Crowd(gateway)))
        });
        for (at, fault) in restarts {
            let is_met = |step: &FaultStep| step.at == at && step.fault == fault;
            assert!(crowds.iter().any(is_met), "seed {seed}");
        }
    }
}

/// If the store turned all gateways away, none could tell the others which endpoints leave.
#[test]
fn the_store_turns_some_gateways_away_and_never_all_of_them() {
    let is_turned_away = |step: &&FaultStep| matches!(step.fault, SoakFault::RefuseGateway(..));
    let counts = (0..50).map(|seed| {
        let steps = plan(seed, SIZE, Duration::from_secs(12));
        steps.iter().filter(is_turned_away).count()
    });
    let counts: Vec<usize> = counts.collect();
    assert!(counts.iter().any(|count| *count > 0));
    assert!(counts.iter().all(|count| *count < SIZE.gateways));
}

/// Guards against soaks in which no endpoint fails with a status that gateways must not pass on.
#[test]
fn runs_fail_with_each_status_in_each_soak() {
    for seed in 0..50 {
        let steps = plan(seed, SIZE, Duration::from_secs(12)).into_iter();
        let statuses = steps.filter_map(|step| match step.fault {
            SoakFault::FailRuns(endpoint, status) if endpoint < SIZE.endpoints() => Some(status),
            _ => None,
        });
        let mut statuses: Vec<u16> = statuses.collect();
        statuses.sort_unstable();
        assert_eq!(statuses, [408, 429, 500, 503], "seed {seed}");
    }
}
