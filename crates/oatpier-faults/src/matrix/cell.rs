//! One cell of the matrix: how it is run, and its result.

use oatpier_checker::PromiseName;
use serde::{Deserialize, Serialize};

use super::table::{cell_plan, related_promise};
use crate::fault::FaultKind;
use crate::injection::FaultInjection;
use crate::run::{RunReport, RunSpec};
use crate::step::StepName;
use crate::{configuration, lease, membership, orders, request};

/// The scenario that runs a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScenarioKind {
    /// Requests, with a planned stop if the step is part of one.
    Request,
    /// Engine orders, weight moves and version changes.
    Orders,
    /// Changes of the configuration by operators.
    Configuration,
    /// The planner's lease and its plan.
    Lease,
    /// Registration, membership and the propagation of the configuration.
    Membership,
}

impl ScenarioKind {
    /// Runs the scenario once.
    #[must_use]
    pub fn run(self, run_spec: &RunSpec) -> RunReport {
        match self {
            Self::Request => request::run(run_spec),
            Self::Orders => orders::run(run_spec),
            Self::Configuration => configuration::run(run_spec),
            Self::Lease => lease::run(run_spec),
            Self::Membership => membership::run(run_spec),
        }
    }

    /// Returns the value of the column `test`.
    #[must_use]
    pub fn test_name(self) -> &'static str {
        match self {
            Self::Request => "oatpier_faults::request",
            Self::Orders => "oatpier_faults::orders",
            Self::Configuration => "oatpier_faults::configuration",
            Self::Lease => "oatpier_faults::lease",
            Self::Membership => "oatpier_faults::membership",
        }
    }
}

/// How a cell's outcome is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CellPlan {
    /// By running a scenario.
    Run(ScenarioKind),
    /// Excluded for this reason: the fault can't occur at the step.
    CannotHappen(&'static str),
    /// Not run yet, for this reason.
    NotRun(&'static str),
}

/// The outcome of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CellOutcome {
    /// All runs kept every promise and completed.
    Passed,
    /// A run broke a promise or did not complete.
    Failed,
    /// Not run yet.
    NotRun,
    /// The fault can't occur at the step.
    CannotHappen,
}

/// One cell with its result.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MatrixCell {
    /// The fault, or two joined by ` + `.
    pub fault: String,
    /// The step, or two joined by ` + `.
    pub step: String,
    /// The promise most closely related to the step; every run checks all promises.
    pub promise: PromiseName,
    /// The outcome.
    pub outcome: CellOutcome,
    /// The scenario that ran the cell, or the reason why none did.
    pub test: String,
    /// The number of runs.
    pub runs: u64,
    /// What went wrong, in the order of the seeds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<String>,
}

/// Runs one cell once for each seed below `seeds`.
#[must_use]
pub fn run_cell(fault: FaultKind, step: StepName, seeds: u64) -> MatrixCell {
    let empty = |outcome, reason: &str| MatrixCell {
        fault: fault.to_string(),
        step: step.to_string(),
        promise: related_promise(step),
        outcome,
        test: reason.to_owned(),
        runs: 0,
        findings: Vec::new(),
    };
    match cell_plan(fault, step) {
        CellPlan::CannotHappen(reason) => empty(CellOutcome::CannotHappen, reason),
        CellPlan::NotRun(reason) => empty(CellOutcome::NotRun, reason),
        CellPlan::Run(scenario) => {
            let findings = run_seeds(scenario, &[(fault, step)], seeds);
            MatrixCell {
                runs: seeds,
                findings,
                ..empty(CellOutcome::Passed, scenario.test_name())
            }
            .with_outcome()
        }
    }
}

impl MatrixCell {
    pub(super) fn with_outcome(self) -> Self {
        let outcome = if self.findings.is_empty() {
            CellOutcome::Passed
        } else {
            CellOutcome::Failed
        };
        Self { outcome, ..self }
    }
}

/// Runs a scenario with these faults, injected at different occurrences of the step for each seed.
pub(super) fn run_seeds(
    scenario: ScenarioKind,
    faults: &[(FaultKind, StepName)],
    seeds: u64,
) -> Vec<String> {
    (0..seeds)
        .flat_map(|seed| {
            let report = run_injected(scenario, faults, seed);
            let found = report.all_findings().into_iter().take(3);
            found.map(move |found| format!("seed {seed}: {found}"))
        })
        .collect()
}

/// Runs a scenario so that every fault is injected: at an earlier occurrence if the step does not occur often enough.
fn run_injected(scenario: ScenarioKind, faults: &[(FaultKind, StepName)], seed: u64) -> RunReport {
    let max_skip = u32::try_from(seed % 6).unwrap_or(0);
    for skip in (0..=max_skip).rev() {
        let injections = faults
            .iter()
            .enumerate()
            .map(|(index, (fault, step))| FaultInjection {
                fault: *fault,
                step: *step,
                skip: if index == 0 { skip } else { skip / 2 },
            });
        let report = scenario.run(&RunSpec::new(injections.collect(), seed));
        if report.all_injected {
            return report;
        }
    }
    RunReport {
        findings: vec!["a fault was never injected: the run proves nothing".to_owned()],
        ..RunReport::default()
    }
}
