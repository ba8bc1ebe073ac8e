//! Checks how a planned stop or a configuration would affect reachability, before it is applied.

use oatpier_types::clock::ClockTime;
use oatpier_types::config::{FleetConfig, PoolKind};
use oatpier_types::engine::{EngineRole, WeightsKey, WeightsState};
use oatpier_types::ids::{Generation, Term};
use oatpier_types::names::EndpointName;
use smallvec::SmallVec;

use super::{
    EndpointView, FleetPlanner, PlacementPlanner, PlanNote, PlannerInput, PlannerSettings,
};
use crate::demand::DemandSummary;

/// Effects of a planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StopForecast {
    /// Weights that have to become ready elsewhere before the stop.
    pub replacements: Vec<WeightsKey>,
    /// Weights that would become unreachable because no endpoint has memory for them.
    pub unreachable: Vec<MemoryShortage>,
}

/// A memory shortage: weights that no endpoint has memory for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryShortage {
    /// The weights.
    pub weights: WeightsKey,
    /// Memory that the weights need, including their base model if they are an adapter, in MiB.
    pub needed_mib: u64,
    /// Largest free memory of any endpoint in their pool, in MiB.
    pub largest_free_mib: u64,
}

impl PlacementPlanner {
    /// Returns the effects of stopping these endpoints, without changing the planner.
    #[must_use]
    pub fn forecast_stop(
        &self,
        input: &PlannerInput<'_>,
        stopping: &[EndpointName],
        now: ClockTime,
    ) -> StopForecast {
        let mut views = input.endpoints.to_vec();
        for view in &mut views {
            view.leaving |= stopping.contains(&view.endpoint);
        }
        let replacements = ready_only_on(&views, stopping);
        let input = PlannerInput {
            endpoints: &views,
            ..*input
        };
        let outcome = Self::new(*self.settings()).plan(&input, now);
        StopForecast {
            replacements,
            unreachable: shortages(outcome.notes),
        }
    }
}

/// Returns the weights that are ready only on endpoints that stop.
fn ready_only_on(views: &[EndpointView], stopping: &[EndpointName]) -> Vec<WeightsKey> {
    let ready = |view: &EndpointView| -> Vec<WeightsKey> {
        view.held
            .iter()
            .filter(|held| held.state == WeightsState::Ready)
            .map(|held| held.weights.clone())
            .collect()
    };
    let stays = |view: &&EndpointView| view.alive && !view.leaving;
    let kept: std::collections::HashSet<WeightsKey> =
        views.iter().filter(stays).flat_map(ready).collect();
    let mut lost: Vec<WeightsKey> = views
        .iter()
        .filter(|view| stopping.contains(&view.endpoint))
        .flat_map(ready)
        .filter(|weights| !kept.contains(weights))
        .collect();
    lost.sort();
    lost.dedup();
    lost
}

/// Checks that all models and adapters of a configuration fit on its endpoints at the same time.
///
/// # Errors
///
/// Returns the weights that do not fit, with the memory that they need and the largest that is free.
pub fn check_reachable(config: &FleetConfig) -> Result<(), Vec<MemoryShortage>> {
    let views = empty_views(config);
    let input = PlannerInput {
        config,
        generation: Generation::default(),
        term: Term::default(),
        demand: &DemandSummary::default(),
        endpoints: &views,
        previous: None,
    };
    let outcome = PlacementPlanner::new(PlannerSettings::default()).plan(&input, ClockTime::ZERO);
    let shortages = shortages(outcome.notes);
    if shortages.is_empty() {
        Ok(())
    } else {
        Err(shortages)
    }
}

fn shortages(notes: Vec<PlanNote>) -> Vec<MemoryShortage> {
    notes
        .into_iter()
        .filter_map(|note| match note {
            PlanNote::Unplaced {
                weights,
                needed_mib,
                largest_free_mib,
            } => Some(MemoryShortage {
                weights,
                needed_mib,
                largest_free_mib,
            }),
            _ => None,
        })
        .collect()
}

/// Returns views of all engine endpoints of a configuration, alive and empty, sorted by name.
pub(super) fn empty_views(config: &FleetConfig) -> Vec<EndpointView> {
    let mut views: Vec<EndpointView> = config
        .pools
        .iter()
        .filter(|(_, pool)| matches!(pool.kind, PoolKind::Engine { .. }))
        .flat_map(|(name, pool)| {
            pool.endpoints.iter().map(|(endpoint, zone)| EndpointView {
                endpoint: endpoint.clone(),
                pool: name.clone(),
                zone: zone.clone(),
                alive: true,
                leaving: false,
                held: SmallVec::new(),
                role: EngineRole::Both,
                prompt_token_ns: 0,
                step_us: 0,
            })
        })
        .collect();
    views.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
    views
}
