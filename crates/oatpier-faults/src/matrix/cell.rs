//! One cell: what it is to show, and what it showed.

use oatpier_checker::PromiseName;
use serde::{Deserialize, Serialize};

use super::table::{plan_of, promise_of};
use crate::fault::FaultKind;
use crate::run::{RunOrder, RunReport};
use crate::step::StepName;
use crate::strike::FaultStrike;
use crate::{configuration, lease, membership, orders, request};

/// What runs a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScenarioKind {
    /// Requests, with a planned stop where the step is one of it.
    Request,
    /// Orders, moves and versions.
    Orders,
    /// Changes of the configuration by operators.
    Configuration,
    /// The planner's lease and its plan.
    Lease,
    /// Registration, membership and the spread of the configuration.
    Membership,
}

impl ScenarioKind {
    /// Runs it once.
    #[must_use]
    pub fn run(self, order: &RunOrder) -> RunReport {
        match self {
            Self::Request => request::run(order),
            Self::Orders => orders::run(order),
            Self::Configuration => configuration::run(order),
            Self::Lease => lease::run(order),
            Self::Membership => membership::run(order),
        }
    }

    /// What the column `test` says.
    #[must_use]
    pub fn test(self) -> &'static str {
        match self {
            Self::Request => "oatpier_faults::request",
            Self::Orders => "oatpier_faults::orders",
            Self::Configuration => "oatpier_faults::configuration",
            Self::Lease => "oatpier_faults::lease",
            Self::Membership => "oatpier_faults::membership",
        }
    }
}

/// How a cell is filled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CellPlan {
    /// By runs.
    Run(ScenarioKind),
    /// Not at all, since the fault can't strike there.
    CannotHappen(&'static str),
    /// Not yet.
    NotRun(&'static str),
}

/// What a cell showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CellOutcome {
    /// All runs kept every promise and came to their end.
    Passed,
    /// A run did not.
    Failed,
    /// A listed gap.
    NotRun,
    /// The fault can't strike there.
    CannotHappen,
}

/// One cell, filled.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MatrixCell {
    /// The fault, or two.
    pub fault: String,
    /// The step.
    pub step: String,
    /// The promise that the step is nearest to; every run checks all.
    pub promise: PromiseName,
    /// What came of it.
    pub outcome: CellOutcome,
    /// What ran it, or why nothing did.
    pub test: String,
    /// Its runs.
    pub runs: u64,
    /// What went wrong, the first run first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<String>,
}

/// Runs one cell over some seeds.
#[must_use]
pub fn run_cell(fault: FaultKind, step: StepName, seeds: u64) -> MatrixCell {
    let empty = |outcome, reason: &str| MatrixCell {
        fault: fault.to_string(),
        step: step.to_string(),
        promise: promise_of(step),
        outcome,
        test: reason.to_owned(),
        runs: 0,
        findings: Vec::new(),
    };
    match plan_of(fault, step) {
        CellPlan::CannotHappen(reason) => empty(CellOutcome::CannotHappen, reason),
        CellPlan::NotRun(reason) => empty(CellOutcome::NotRun, reason),
        CellPlan::Run(scenario) => {
            let findings = run_seeds(scenario, &[(fault, step)], seeds);
            MatrixCell {
                runs: seeds,
                findings,
                ..empty(CellOutcome::Passed, scenario.test())
            }
            .judged()
        }
    }
}

impl MatrixCell {
    pub(super) fn judged(self) -> Self {
        let outcome = if self.findings.is_empty() {
            CellOutcome::Passed
        } else {
            CellOutcome::Failed
        };
        Self { outcome, ..self }
    }
}

/// Runs a scenario with these faults, which strike at other passages with each seed.
pub(super) fn run_seeds(
    scenario: ScenarioKind,
    faults: &[(FaultKind, StepName)],
    seeds: u64,
) -> Vec<String> {
    (0..seeds)
        .flat_map(|seed| {
            let report = run_struck(scenario, faults, seed);
            let found = report.faults_found().into_iter().take(3);
            found.map(move |found| format!("seed {seed}: {found}"))
        })
        .collect()
}

/// A run in which every fault struck: at an earlier passage if there are not so many.
fn run_struck(scenario: ScenarioKind, faults: &[(FaultKind, StepName)], seed: u64) -> RunReport {
    let most = u32::try_from(seed % 6).unwrap_or(0);
    for skip in (0..=most).rev() {
        let strikes = faults
            .iter()
            .enumerate()
            .map(|(place, (fault, step))| FaultStrike {
                fault: *fault,
                step: *step,
                skip: if place == 0 { skip } else { skip / 2 },
            });
        let report = scenario.run(&RunOrder::new(strikes.collect(), seed));
        if report.struck {
            return report;
        }
    }
    RunReport {
        findings: vec!["a fault never struck: the run proves nothing".to_owned()],
        ..RunReport::default()
    }
}
