//! Disables each safeguard in turn: the same runs must then report the broken promise.

use oatpier_checker::PromiseName;
use oatpier_faults::fault::FaultKind;
use oatpier_faults::injection::FaultInjection;
use oatpier_faults::matrix::ScenarioKind;
use oatpier_faults::run::{Bypass, RunSpec};
use oatpier_faults::step::StepName;

/// Number of runs with the safeguard, none of which may have a finding.
const SAFEGUARD_RUNS: u64 = 20;
/// Maximum number of runs without the safeguard until its absence is detected.
const MAX_BYPASS_RUNS: u64 = 300;

/// Returns the findings of one run.
fn findings(
    scenario: ScenarioKind,
    fault: FaultKind,
    step: StepName,
    bypass: Option<Bypass>,
    seed: u64,
) -> Vec<String> {
    let injection = FaultInjection {
        fault,
        step,
        skip: u32::try_from(seed % 6).unwrap(),
    };
    let run_spec = RunSpec {
        bypass,
        ..RunSpec::new(vec![injection], seed)
    };
    scenario.run(&run_spec).all_findings()
}

fn assert_bypass_is_found(
    scenario: ScenarioKind,
    fault: FaultKind,
    step: StepName,
    bypass: Bypass,
    expected: &str,
) {
    for seed in 0..SAFEGUARD_RUNS {
        let found = findings(scenario, fault, step, None, seed);
        assert_eq!(
            found,
            Vec::<String>::new(),
            "seed {seed}, with the safeguard"
        );
    }
    let is_found = |seed| {
        let found = findings(scenario, fault, step, Some(bypass), seed);
        found.iter().any(|finding| finding.starts_with(expected))
    };
    assert!(
        (0..MAX_BYPASS_RUNS).any(is_found),
        "no finding `{expected}` with the safeguard {bypass:?} disabled"
    );
}

fn assert_promise_is_broken(
    scenario: ScenarioKind,
    fault: FaultKind,
    step: StepName,
    bypass: Bypass,
    promise: PromiseName,
) {
    assert_bypass_is_found(scenario, fault, step, bypass, promise.as_str());
}

/// A caller sends its change twice, through two entries. Without the claim both entries send it to
/// an endpoint, and the change is executed twice.
#[test]
fn without_the_claim_a_change_runs_twice() {
    assert_promise_is_broken(
        ScenarioKind::Request,
        FaultKind::Doubled,
        StepName::Intake,
        Bypass::Claim,
        PromiseName::AtMostOnce,
    );
}

/// An attempt is delayed in transit, and its entry seals it to try another endpoint. Without a record
/// of the cancel the attempt runs when it finally arrives, after the second one.
#[test]
fn without_the_tombstone_a_sealed_attempt_runs() {
    assert_promise_is_broken(
        ScenarioKind::Request,
        FaultKind::SlowPeer,
        StepName::Cancel,
        Bypass::Tombstone,
        PromiseName::AtMostOnce,
    );
}

/// A part of one answer arrives under another request. An entry that does not compare the attempt's
/// id relays it to the wrong caller.
#[test]
fn without_the_attempt_match_answers_are_misrouted() {
    assert_promise_is_broken(
        ScenarioKind::Request,
        FaultKind::Crossed,
        StepName::Relay,
        Bypass::AttemptMatch,
        PromiseName::OwnAnswer,
    );
}

/// The stop is requested, but the agent continues as before: its endpoint gets work seconds later.
#[test]
fn without_the_leave_an_endpoint_gets_new_work() {
    assert_promise_is_broken(
        ScenarioKind::Request,
        FaultKind::Doubled,
        StepName::StopTold,
        Bypass::Leave,
        PromiseName::Leaving,
    );
}

/// A process that exits as soon as it is told to stop cuts off its open requests.
#[test]
fn without_the_drain_a_stop_cuts_requests_off() {
    assert_promise_is_broken(
        ScenarioKind::Request,
        FaultKind::Late,
        StepName::StopTold,
        Bypass::Drain,
        PromiseName::GracefulStop,
    );
}

/// An unload gets no answer and is treated as never sent. The weights are planned again, and the
/// other replica is unloaded. Then the delayed unload arrives, and the model has no replica.
#[test]
fn without_tracking_unknown_orders_a_late_unload_removes_the_last_replica() {
    assert_promise_is_broken(
        ScenarioKind::Orders,
        FaultKind::Late,
        StepName::MoveUnload,
        Bypass::UnknownOrders,
        PromiseName::Reachability,
    );
}

/// Two agents each see the other's replica, and both unload their own.
#[test]
fn without_the_release_the_last_replica_is_unloaded() {
    assert_promise_is_broken(
        ScenarioKind::Orders,
        FaultKind::Late,
        StepName::MoveRelease,
        Bypass::Release,
        PromiseName::Reachability,
    );
}

/// A process applies a delayed configuration and reverts to an older generation.
#[test]
fn without_the_generation_a_configuration_reverts() {
    assert_promise_is_broken(
        ScenarioKind::Membership,
        FaultKind::Late,
        StepName::ConfigSpread,
        Bypass::Generation,
        PromiseName::Configuration,
    );
}

/// A planner is paused between its decision and its write, and another acquires the lease and writes
/// a plan. Then the first planner's plan overwrites the later one.
#[test]
fn without_the_term_a_paused_planner_overwrites_its_successor() {
    assert_bypass_is_found(
        ScenarioKind::Lease,
        FaultKind::LeaseLapsed,
        StepName::PlanWrite,
        Bypass::Term,
        "a plan of Term",
    );
}
