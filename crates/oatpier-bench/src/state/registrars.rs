//! Effect of the failure of a registrar if its agents' rows are kept, and if they are dropped.
//!
//! First, the membership state machines run and an entry fails. The table of another entry shows which agents it counts
//! as gone, and for how long. Then a run of the policy bench hides the endpoints of these agents for the same time.

use std::time::Duration;

use oatpier_membership::members::{LostRegistrar, MemberChange, MemberState, TableLimits};
use oatpier_types::clock::ClockTime;
use serde::Serialize;

use super::spread::{SpreadSize, run_with_reports, settled_fleet};
use crate::load::deployment::BenchDeployment;
use crate::load::scenario::{BenchCase, BenchScenario, FaultKind, FaultPlan, FaultTarget, RunSpan};
use crate::policy;
use crate::units::as_f64;

/// Time at which the registrar fails in the run of the policy bench.
const DEATH_AT: ClockTime = ClockTime::from_millis(40_000);
/// Time for which the effect of the failure is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(40);
/// Number of engines, and therefore of engine agents, in each deployment.
const AGENTS: usize = 18;

/// Row of the report for one deployment and one treatment of the rows.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct RegistrarRow {
    /// Name of the deployment.
    pub deployment: String,
    /// Treatment of the rows of agents whose registrar failed: `keep` or `drop`.
    pub lost_registrar: String,
    /// Number of agents that another entry counted as gone.
    pub agents_gone: usize,
    /// Longest time for which an agent was counted as gone, in seconds.
    pub longest_s: f64,
    /// Share of requests within target.
    pub attainment: f64,
    /// Number of loads, unloads and role changes.
    pub moves: u64,
}

pub(super) fn run(deployment: &BenchDeployment) -> Vec<RegistrarRow> {
    let choices = [(LostRegistrar::Keep, "keep"), (LostRegistrar::Drop, "drop")];
    let rows = choices.map(|(lost_registrar, label)| row(deployment, lost_registrar, label));
    rows.to_vec()
}

fn row(deployment: &BenchDeployment, lost_registrar: LostRegistrar, label: &str) -> RegistrarRow {
    let absences = absences(lost_registrar);
    let longest = absences.iter().map(|fault| fault.until.since(fault.at));
    let longest_s = longest.max().unwrap_or_default().as_secs_f64();
    let case = BenchCase {
        deployment,
        scenario: BenchScenario::Steady,
        span: RunSpan::WHOLE,
    };
    let agents_gone = absences.len();
    let figures = policy::run_with_faults(case, absences);
    RegistrarRow {
        deployment: deployment.name.to_owned(),
        lost_registrar: label.to_owned(),
        agents_gone,
        longest_s,
        attainment: as_f64(figures.delivered) / as_f64(figures.requests.max(1)),
        moves: figures.moves,
    }
}

/// Returns the periods in which an entry counts agents as gone after another entry failed, as faults.
fn absences(lost_registrar: LostRegistrar) -> Vec<FaultPlan> {
    let size = SpreadSize {
        entries: 3,
        agents: AGENTS,
        zones_by_region: vec![3],
        models: 40,
    };
    let limits = TableLimits {
        lost_registrar,
        ..TableLimits::default()
    };
    let mut fleet = settled_fleet(&size, 0.0, limits);
    let died = fleet.now;
    fleet.kill(0);
    run_with_reports(&mut fleet, OBSERVATION_TIME, &mut 2);
    let seen = &fleet.processes[1].changes;
    let of_agents = (0..AGENTS).filter_map(|agent| {
        let daemon = &fleet.contact(size.entries + agent).daemon;
        let changes = seen
            .iter()
            .filter(|(at, change)| *at > died && change.daemon == *daemon);
        absence(agent, died, changes)
    });
    of_agents.collect()
}

fn absence<'a>(
    agent: usize,
    died: ClockTime,
    changes: impl Iterator<Item = &'a (ClockTime, MemberChange)>,
) -> Option<FaultPlan> {
    let changes: Vec<_> = changes.collect();
    let gone = changes
        .iter()
        .find(|(_, change)| change.state == MemberState::Gone)?;
    let back = changes
        .iter()
        .find(|(at, change)| *at > gone.0 && change.before == MemberState::Gone);
    let end = back.map_or(died + OBSERVATION_TIME, |(at, _)| *at);
    let shift = |at: ClockTime| DEATH_AT + at.since(died);
    Some(FaultPlan {
        at: shift(gone.0),
        until: shift(end),
        target: FaultTarget::Index(agent),
        kind: FaultKind::Unregistered,
    })
}
