//! The matrix is complete, and its runs are deterministic.

use oatpier_faults::fault::FaultKind;
use oatpier_faults::injection::FaultInjection;
use oatpier_faults::matrix::{
    CellOutcome, CellPlan, MatrixCell, ScenarioKind, cell_plan, run_cell,
};
use oatpier_faults::report::{MatrixDocument, OutcomeCounts, render};
use oatpier_faults::run::RunSpec;
use oatpier_faults::step::StepName;
use oatpier_types::event::{AnswerEnd, FleetEvent};

const SCENARIOS: [ScenarioKind; 5] = [
    ScenarioKind::Request,
    ScenarioKind::Orders,
    ScenarioKind::Configuration,
    ScenarioKind::Lease,
    ScenarioKind::Membership,
];

#[test]
fn every_cell_is_run_or_has_a_reason() {
    for fault in FaultKind::ALL {
        for step in StepName::ALL {
            match cell_plan(fault, *step) {
                CellPlan::Run(_) => {}
                CellPlan::CannotHappen(reason) | CellPlan::NotRun(reason) => {
                    assert!(!reason.is_empty(), "{fault} at {step}");
                }
            }
        }
    }
}

#[test]
fn every_fault_and_every_step_has_a_run() {
    let runs = |fault, step: &StepName| matches!(cell_plan(fault, *step), CellPlan::Run(_));
    for fault in FaultKind::ALL {
        assert!(
            StepName::ALL.iter().any(|step| runs(fault, step)),
            "{fault}"
        );
    }
    for step in StepName::ALL {
        assert!(
            FaultKind::ALL.into_iter().any(|fault| runs(fault, step)),
            "{step}"
        );
    }
}

/// Without a fault every scenario completes and keeps every promise, so that a finding of a cell is
/// caused by its fault.
#[test]
fn scenarios_without_a_fault_pass() {
    for scenario in SCENARIOS {
        for seed in 0..8 {
            let report = scenario.run(&RunSpec::new(Vec::new(), seed));
            assert_eq!(
                report.all_findings(),
                Vec::<String>::new(),
                "{scenario:?}, seed {seed}"
            );
            assert!(!report.log.is_empty() || scenario == ScenarioKind::Lease);
        }
    }
}

/// Without a fault every request is answered completely, at the first attempt.
#[test]
fn requests_without_a_fault_are_answered_whole() {
    for seed in 0..8 {
        let report = ScenarioKind::Request.run(&RunSpec::new(Vec::new(), seed));
        let ends = report.log.iter().filter_map(|logged| match logged.event {
            FleetEvent::AnswerEnded { end, .. } => Some(end),
            _ => None,
        });
        let ends: Vec<AnswerEnd> = ends.collect();
        assert_eq!(ends, vec![AnswerEnd::Whole; 12], "seed {seed}");
    }
}

#[test]
fn a_seed_gives_the_same_run_each_time() {
    let injections = [
        (ScenarioKind::Request, FaultKind::Kill, StepName::Relay),
        (ScenarioKind::Orders, FaultKind::Late, StepName::OrderSend),
        (
            ScenarioKind::Configuration,
            FaultKind::AnswerLost,
            StepName::ConfigWrite,
        ),
        (
            ScenarioKind::Membership,
            FaultKind::Kill,
            StepName::Heartbeat,
        ),
    ];
    for (scenario, fault, step) in injections {
        let injection = FaultInjection {
            fault,
            step,
            skip: 1,
        };
        let run_spec = RunSpec::new(vec![injection], 7);
        let (first, second) = (scenario.run(&run_spec), scenario.run(&run_spec));
        assert_eq!(first.log, second.log, "{scenario:?}");
        assert_eq!(first.findings, second.findings, "{scenario:?}");
    }
}

/// A run in which the fault was never injected proves nothing, and must not count as passed.
#[test]
fn a_fault_that_is_never_injected_is_reported() {
    let injection = FaultInjection {
        fault: FaultKind::Kill,
        step: StepName::Claim,
        skip: 1_000_000,
    };
    let report = ScenarioKind::Request.run(&RunSpec::new(vec![injection], 1));
    assert!(!report.all_injected);
}

#[test]
fn the_text_lists_failures_and_reasons() {
    let cell = |outcome, test: &str, findings: &[&str]| MatrixCell {
        fault: FaultKind::Kill.to_string(),
        step: StepName::Claim.to_string(),
        promise: oatpier_checker::PromiseName::AtMostOnce,
        outcome,
        test: test.to_owned(),
        runs: 1,
        findings: findings.iter().map(|text| (*text).to_owned()).collect(),
    };
    let cells = [
        cell(CellOutcome::Failed, "runner", &["seed 3: it ran twice"]),
        cell(CellOutcome::NotRun, "no runner yet", &[]),
        cell(CellOutcome::CannotHappen, "no message", &[]),
    ];
    let text = render(&cells);
    assert!(text.contains("FAILED"));
    assert!(text.contains("seed 3: it ran twice"));
    assert!(text.contains("not run: kill at request.claim: no runner yet"));
    assert!(text.contains("cannot happen: kill at request.claim: no message"));
    let counts = OutcomeCounts::of(&cells);
    assert_eq!(
        (
            counts.passed,
            counts.failed,
            counts.not_run,
            counts.cannot_happen
        ),
        (0, 1, 1, 1)
    );
    let document = serde_json::to_value(MatrixDocument { cells: &cells }).unwrap();
    assert_eq!(document["cells"][0]["outcome"], "failed");
    assert_eq!(document["cells"][1]["outcome"], "not-run");
    assert_eq!(document["cells"][2]["promise"], "at-most-once");
}

#[test]
fn a_cell_of_each_path_passes() {
    let cells = [
        (FaultKind::Kill, StepName::Claim),
        (FaultKind::Late, StepName::OrderSend),
        (FaultKind::Restart, StepName::MoveUnload),
        (FaultKind::AnswerLost, StepName::ConfigWrite),
        (FaultKind::LeaseLapsed, StepName::PlanWrite),
        (FaultKind::Kill, StepName::Successor),
        (FaultKind::Restart, StepName::StartEpoch),
    ];
    for (fault, step) in cells {
        let cell = run_cell(fault, step, 4);
        assert_eq!(cell.outcome, CellOutcome::Passed, "{cell:?}");
    }
}
