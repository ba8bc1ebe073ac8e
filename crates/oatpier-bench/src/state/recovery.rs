//! How long a model is out of reach when the endpoint dies that holds its only replica.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use serde::Serialize;

use crate::load::deployment::BenchDeployment;
use crate::load::scenario::{BenchCase, BenchScenario, FaultKind, FaultPlan, FaultVictim, RunSpan};
use crate::policy;
use crate::units::size_f64;

/// Endpoints that die in one run, one after the other; none comes back.
const DEATHS: u64 = 3;
const FIRST_DEATH: ClockTime = ClockTime::from_millis(30_000);
const DEATH_EVERY: Duration = Duration::from_secs(20);

/// One row of the report.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct RecoveryRow {
    /// The deployment.
    pub deployment: String,
    /// Models that lost their only replica.
    pub models: usize,
    /// Of these, not ready again within the run.
    pub lost: usize,
    /// The mean time until a replica was ready again.
    pub mean_s: f64,
    /// The longest.
    pub max_s: f64,
    /// The time until an entry counts a silent endpoint as gone, in which nothing can be done.
    pub silence_s: f64,
}

pub(super) fn run(deployment: &BenchDeployment) -> RecoveryRow {
    let case = BenchCase {
        deployment,
        scenario: BenchScenario::Steady,
        span: RunSpan::WHOLE,
    };
    let faults = (0..DEATHS).map(death).collect();
    let outages = policy::run_with_faults(case, faults).outages;
    let back: Vec<f64> = outages
        .iter()
        .filter_map(|outage| Some(outage.back_at?.since(outage.lost_at).as_secs_f64()))
        .collect();
    RecoveryRow {
        deployment: deployment.name.to_owned(),
        models: outages.len(),
        lost: outages.len() - back.len(),
        mean_s: back.iter().sum::<f64>() / size_f64(back.len().max(1)),
        max_s: back.iter().copied().fold(0.0, f64::max),
        silence_s: crate::fleet::world::SILENCE.as_secs_f64(),
    }
}

fn death(index: u64) -> FaultPlan {
    let at = FIRST_DEATH + DEATH_EVERY * u32::try_from(index).unwrap_or(0);
    FaultPlan {
        at,
        until: ClockTime::NEVER,
        victim: FaultVictim::OnlyHolder,
        kind: FaultKind::Death,
    }
}
