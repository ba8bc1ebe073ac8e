//! Tests with injected breaches, at least one per promise, most with a similar log that keeps the promise.

use oatpier_checker::PromiseName;
use oatpier_types::event::{AnswerEnd, FleetEvent};
use oatpier_types::verdict::{Repeat, RunVerdict};

use crate::support::{
    accepted, at, broken, complete, ended, endpoint, failed, in_force, replicas, run, sent,
};

const IDEMPOTENT: Repeat = Repeat::Idempotent;
const ONCE: Repeat = Repeat::AtMostOnce;

fn memory(used_mib: u64) -> FleetEvent {
    FleetEvent::MemoryUsed {
        endpoint: endpoint("engine-1"),
        used_mib,
        total_mib: 100,
    }
}

#[test]
fn memory_over_its_size_is_a_breach() {
    assert_eq!(broken(&[at(1, memory(101))]), [PromiseName::Memory]);
    assert!(broken(&[at(1, memory(100))]).is_empty());
}

#[test]
fn a_model_lost_without_a_fault_is_a_breach() {
    let log = [at(1, replicas(1)), at(2, replicas(0)), at(3, replicas(1))];
    assert_eq!(broken(&log), [PromiseName::Reachability]);
}

#[test]
fn a_model_lost_to_a_kill_must_come_back_in_time() {
    let kill = at(2, ended("engine-1", true, 0));
    let lost = at(2, replicas(0));
    let start = at(1, replicas(1));
    let kept = [
        start.clone(),
        kill.clone(),
        lost.clone(),
        at(20, replicas(1)),
    ];
    let late = [start, kill, lost, at(40, replicas(1))];
    assert!(broken(&kept).is_empty());
    assert_eq!(broken(&late), [PromiseName::Reachability]);
}

#[test]
fn an_answer_to_another_request_is_a_breach() {
    let log = [at(1, sent(1, IDEMPOTENT, None)), at(2, complete(1, 2))];
    assert_eq!(broken(&log), [PromiseName::OwnAnswer]);
}

#[test]
fn a_cut_a_duplicate_and_a_missing_answer_are_breaches() {
    let asked = at(1, sent(1, IDEMPOTENT, None));
    let cut = at(2, failed(1, AnswerEnd::Cut, RunVerdict::MayHaveRun));
    assert_eq!(broken(&[asked.clone(), cut]), [PromiseName::OwnAnswer]);
    let duplicate = [asked.clone(), at(2, complete(1, 1)), at(3, complete(1, 1))];
    assert_eq!(broken(&duplicate), [PromiseName::OwnAnswer]);
    assert_eq!(
        broken(std::slice::from_ref(&asked)),
        [PromiseName::OwnAnswer]
    );
    assert!(broken(&[asked, at(2, complete(1, 1))]).is_empty());
}

#[test]
fn a_run_before_or_after_a_not_run_verdict_is_a_breach() {
    let asked = at(1, sent(1, IDEMPOTENT, None));
    let refused = at(3, failed(1, AnswerEnd::Error, RunVerdict::NotRun));
    let before = [asked.clone(), at(2, run(1, 1, None)), refused.clone()];
    let after = [asked.clone(), refused.clone(), at(9, run(1, 1, None))];
    assert_eq!(broken(&before), [PromiseName::TrueRefusal]);
    assert_eq!(broken(&after), [PromiseName::TrueRefusal]);
    assert!(broken(&[asked, refused]).is_empty());
}

#[test]
fn a_second_run_of_a_request_or_of_a_key_is_a_breach() {
    let twice = [
        at(1, sent(1, ONCE, None)),
        at(2, run(1, 1, None)),
        at(3, run(1, 2, None)),
        at(4, complete(1, 1)),
    ];
    assert_eq!(broken(&twice), [PromiseName::AtMostOnce]);
    let resubmitted = [
        at(1, sent(1, ONCE, Some(7))),
        at(2, run(1, 1, Some(7))),
        at(3, complete(1, 1)),
        at(4, sent(2, ONCE, Some(7))),
        at(5, run(2, 2, Some(7))),
        at(6, complete(2, 2)),
    ];
    assert_eq!(broken(&resubmitted), [PromiseName::AtMostOnce]);
}

#[test]
fn an_idempotent_request_may_run_again() {
    let log = [
        at(1, sent(1, IDEMPOTENT, None)),
        at(2, run(1, 1, None)),
        at(3, run(1, 2, None)),
        at(4, complete(1, 1)),
    ];
    assert!(broken(&log).is_empty());
}

#[test]
fn new_work_at_a_leaving_endpoint_is_a_breach_after_two_seconds() {
    let leave = at(
        1,
        FleetEvent::LeaveStarted {
            endpoint: endpoint("engine-1"),
        },
    );
    let early = [leave.clone(), at(3, run(1, 1, None))];
    let late = [leave, at(4, run(1, 1, None))];
    assert!(broken(&early).is_empty());
    assert_eq!(broken(&late), [PromiseName::Leaving]);
}

#[test]
fn a_planned_stop_that_cuts_off_a_request_is_a_breach() {
    assert_eq!(
        broken(&[at(1, ended("entry-1", false, 1))]),
        [PromiseName::GracefulStop]
    );
    assert!(broken(&[at(1, ended("entry-1", false, 0))]).is_empty());
    assert!(broken(&[at(1, ended("entry-1", true, 1))]).is_empty());
}

#[test]
fn a_generation_that_goes_back_is_a_breach() {
    let log = [
        at(1, in_force("entry-1", 2, 2)),
        at(2, in_force("entry-1", 1, 1)),
    ];
    assert_eq!(broken(&log), [PromiseName::Configuration]);
}

#[test]
fn a_generation_with_two_contents_is_a_breach() {
    let log = [
        at(1, in_force("entry-1", 2, 2)),
        at(2, in_force("entry-2", 2, 3)),
    ];
    assert_eq!(broken(&log), [PromiseName::Configuration]);
}

#[test]
fn a_generation_that_comes_late_or_never_is_a_breach() {
    let start = at(1, in_force("entry-1", 1, 1));
    let change = at(2, accepted(2));
    let in_time = [
        start.clone(),
        change.clone(),
        at(6, in_force("entry-1", 2, 2)),
    ];
    let late = [
        start.clone(),
        change.clone(),
        at(8, in_force("entry-1", 2, 2)),
    ];
    let never = [start, change, at(9, accepted(3))];
    assert!(broken(&in_time).is_empty());
    assert_eq!(broken(&late), [PromiseName::Configuration]);
    assert_eq!(broken(&never), [PromiseName::Configuration]);
}
