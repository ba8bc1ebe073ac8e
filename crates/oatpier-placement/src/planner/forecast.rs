//! What a planned stop or a configuration would mean for reachability, before it happens.

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

/// What a planned stop would cost.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StopForecast {
    /// Weights that have to be ready elsewhere before the stop.
    pub replacements: Vec<WeightsKey>,
    /// Weights that would not be reachable any more, as no memory is left for them.
    pub unreachable: Vec<MemoryShortage>,
}

/// Weights that no endpoint has memory for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryShortage {
    /// Which.
    pub weights: WeightsKey,
    /// What they need, with their base model where it is not there, in MiB.
    pub needed_mib: u64,
    /// The most that is left on one endpoint of their pool, in MiB.
    pub largest_free_mib: u64,
}

impl PlacementPlanner {
    /// What stopping these endpoints would cost. Changes nothing.
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
        let replacements = only_at(&views, stopping);
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

/// Weights that are ready on stopping endpoints alone.
fn only_at(views: &[EndpointView], stopping: &[EndpointName]) -> Vec<WeightsKey> {
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

/// Whether all models and adapters of a configuration find memory on its endpoints at once.
///
/// # Errors
///
/// Names what does not fit, and by how much.
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

/// All engine endpoints of a configuration, alive and empty, sorted by name.
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
