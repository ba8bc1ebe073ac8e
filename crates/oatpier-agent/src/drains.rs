//! Attempts that still run on draining weights.
//!
//! After a drain is announced, no new attempt starts on its weights: either they count as not
//! ready, or the engine runs new attempts on another version. It is therefore enough to wait for
//! the attempts that were running at the announcement. The exception is a newer version that
//! drains while an older one stays: the engine would run new attempts on the newer version, so
//! these count as well.

use indexmap::IndexMap;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::AttemptId;
use oatpier_types::request::RequestGoal;

use crate::channels::{DrainCount, DrainRound, DrainingWeights};

/// The drain of one set of weights.
#[derive(Debug, Clone)]
struct Drain {
    preferred: bool,
    running: Vec<AttemptId>,
}

/// Tracks all drains of the endpoint.
#[derive(Debug, Clone, Default)]
pub struct DrainTracker {
    round: DrainRound,
    drains: IndexMap<WeightsKey, Drain>,
}

impl DrainTracker {
    /// Replaces the set of draining weights. `started` are the attempts that run now. The update
    /// is applied before any attempt that starts after it.
    pub fn update<'a>(
        &mut self,
        round: DrainRound,
        draining: &[DrainingWeights],
        started: &(impl Iterator<Item = (AttemptId, &'a RequestGoal)> + Clone),
    ) {
        self.round = round;
        self.drains
            .retain(|weights, _| draining.iter().any(|row| row.weights == *weights));
        for row in draining {
            let drain = self.drains.entry(row.weights.clone());
            let drain = drain.or_insert_with(|| Drain {
                preferred: row.preferred,
                running: started
                    .clone()
                    .filter(|(_, goal)| uses_weights(goal, &row.weights))
                    .map(|(attempt, _)| attempt)
                    .collect(),
            });
            drain.preferred = row.preferred;
        }
    }

    /// Records that an attempt starts.
    pub fn start(&mut self, attempt: AttemptId, goal: &RequestGoal) {
        for (weights, drain) in &mut self.drains {
            if drain.preferred && uses_weights(goal, weights) {
                drain.running.push(attempt);
            }
        }
    }

    /// Records that an attempt ended at the endpoint.
    pub fn finish(&mut self, attempt: AttemptId) {
        for drain in self.drains.values_mut() {
            drain.running.retain(|running| *running != attempt);
        }
    }

    /// Returns whether no weights drain.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.drains.is_empty()
    }

    /// Returns the round that the counts belong to.
    #[must_use]
    pub fn round(&self) -> DrainRound {
        self.round
    }

    /// Returns the number of attempts that still run, for each of the draining weights.
    #[must_use]
    pub fn counts(&self) -> Vec<DrainCount> {
        let drains = self.drains.iter();
        drains
            .map(|(weights, drain)| DrainCount {
                weights: weights.clone(),
                running: u32::try_from(drain.running.len()).unwrap_or(u32::MAX),
            })
            .collect()
    }
}

/// Returns whether an attempt needs some version of these weights. An adapter also needs its base
/// model.
fn uses_weights(goal: &RequestGoal, weights: &WeightsKey) -> bool {
    let RequestGoal::Model { model, adapter } = goal else {
        return false;
    };
    *model == weights.model && (weights.adapter.is_none() || weights.adapter == *adapter)
}
