//! Time for which a model is unavailable after the endpoint with its only replica fails.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use serde::Serialize;

use crate::load::deployment::BenchDeployment;
use crate::load::scenario::{BenchCase, BenchScenario, FaultKind, FaultPlan, FaultTarget, RunSpan};
use crate::policy;
use crate::units::size_f64;

/// Number of endpoints that fail in one run, one after the other. None of them restarts.
const DEATHS: u64 = 3;
const FIRST_DEATH: ClockTime = ClockTime::from_millis(30_000);
const DEATH_INTERVAL: Duration = Duration::from_secs(20);

/// Row of the report for one deployment.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct RecoveryRow {
    /// Name of the deployment.
    pub deployment: String,
    /// Number of models that lost their only replica.
    pub models: usize,
    /// Number of these that were not ready again within the run.
    pub lost: usize,
    /// Mean time until a replica was ready again, in seconds.
    pub mean_s: f64,
    /// Longest time until a replica was ready again, in seconds.
    pub max_s: f64,
    /// Time in seconds until an entry removes a silent endpoint. Recovery cannot start earlier.
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
        silence_s: crate::fleet::world::SILENCE_TIMEOUT.as_secs_f64(),
    }
}

fn death(index: u64) -> FaultPlan {
    let at = FIRST_DEATH + DEATH_INTERVAL * u32::try_from(index).unwrap_or(0);
    FaultPlan {
        at,
        until: ClockTime::NEVER,
        target: FaultTarget::OnlyHolder,
        kind: FaultKind::Death,
    }
}
