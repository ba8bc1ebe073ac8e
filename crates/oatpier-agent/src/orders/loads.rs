//! Availability of the endpoint's weights.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_admission::event::LoadingWeights;
use oatpier_placement::orders::OrderKeeper;
use oatpier_placement::steps::MoveStepper;
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::{WeightsKey, WeightsState};

use crate::channels::{DrainingWeights, WeightsUpdate};

/// Assumed duration of a load, as the actual one is not known in advance.
const ASSUMED_LOAD: Duration = Duration::from_secs(4);

/// Tracks when loads began, and determines which weights are ready, loading or draining.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    loading_since: IndexMap<WeightsKey, ClockTime>,
}

impl LoadTracker {
    /// Records when loads began.
    pub fn observe(&mut self, keeper: &OrderKeeper, now: ClockTime) {
        let loading: Vec<WeightsKey> = loading(keeper).cloned().collect();
        self.loading_since
            .retain(|weights, _| loading.contains(weights));
        for weights in loading {
            self.loading_since.entry(weights).or_insert(now);
        }
    }

    /// Sets the ready, loading and draining weights. Weights that an order may unload at any moment
    /// count as neither ready nor draining: attempts on them would be interrupted.
    pub fn fill(
        &self,
        update: &mut WeightsUpdate,
        keeper: &OrderKeeper,
        stepper: &MoveStepper,
        now: ClockTime,
    ) {
        let loaded = keeper.ledger().ready();
        let loaded = loaded.filter(|weights| !keeper.may_be_unloaded(weights, now));
        let (ready, leaving): (Vec<_>, Vec<_>) = loaded
            .cloned()
            .partition(|weights| stepper.accepts_new(weights));
        let draining = leaving.into_iter().map(|weights| DrainingWeights {
            preferred: is_newest(keeper, &weights),
            weights,
        });
        let loading = loading(keeper).map(|weights| LoadingWeights {
            weights: weights.clone(),
            ready_in: self.remaining_load(weights, now),
        });
        update.ready = ready;
        update.loading = loading.collect();
        update.draining = draining.collect();
    }

    fn remaining_load(&self, weights: &WeightsKey, now: ClockTime) -> Duration {
        let since = self.loading_since.get(weights).copied().unwrap_or(now);
        ASSUMED_LOAD.saturating_sub(now.since(since))
    }
}

fn loading(keeper: &OrderKeeper) -> impl Iterator<Item = &WeightsKey> {
    let charges = keeper.ledger().charges();
    charges
        .filter(|(_, charge)| charge.held == Some(WeightsState::Loading))
        .map(|(weights, _)| weights)
}

/// Returns whether no version of the same weights is known to have been loaded after these. The
/// ledger keeps the order of loads.
fn is_newest(keeper: &OrderKeeper, weights: &WeightsKey) -> bool {
    let is_sibling =
        |other: &&WeightsKey| other.model == weights.model && other.adapter == weights.adapter;
    let versions = keeper.ledger().ready().filter(is_sibling);
    versions.last() == Some(weights)
}
