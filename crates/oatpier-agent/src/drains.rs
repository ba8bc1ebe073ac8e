//! Attempts that still run on weights which are to go.
//!
//! From the word that weights drain, no new attempt starts on them: either they count as not
//! ready, or the engine runs new attempts on another version. So it is enough to wait for the
//! attempts that ran at that word. The exception is an older version that is to stay while the
//! newer one goes: the engine would run new attempts on the newer one, and they count as well.

use indexmap::IndexMap;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::AttemptId;
use oatpier_types::request::RequestGoal;

use crate::news::{DrainCount, DrainRound, DrainingWeights};

/// One drain.
#[derive(Debug, Clone)]
struct Drain {
    preferred: bool,
    running: Vec<AttemptId>,
}

/// All drains of the endpoint.
#[derive(Debug, Clone, Default)]
pub struct DrainBoard {
    round: DrainRound,
    drains: IndexMap<WeightsKey, Drain>,
}

impl DrainBoard {
    /// Takes the word on drains. `started` are the attempts that run now; the word comes before
    /// any of the attempts that start after it.
    pub fn take<'a>(
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
                    .filter(|(_, goal)| runs_on(goal, &row.weights))
                    .map(|(attempt, _)| attempt)
                    .collect(),
            });
            drain.preferred = row.preferred;
        }
    }

    /// An attempt starts.
    pub fn started(&mut self, attempt: AttemptId, goal: &RequestGoal) {
        for (weights, drain) in &mut self.drains {
            if drain.preferred && runs_on(goal, weights) {
                drain.running.push(attempt);
            }
        }
    }

    /// An attempt is over at the endpoint.
    pub fn over(&mut self, attempt: AttemptId) {
        for drain in self.drains.values_mut() {
            drain.running.retain(|running| *running != attempt);
        }
    }

    /// Whether any weights drain.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.drains.is_empty()
    }

    /// The word that the counts are for.
    #[must_use]
    pub fn round(&self) -> DrainRound {
        self.round
    }

    /// What still runs.
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

/// Whether an attempt needs these weights in some version: an adapter needs its base model.
fn runs_on(goal: &RequestGoal, weights: &WeightsKey) -> bool {
    let RequestGoal::Model { model, adapter } = goal else {
        return false;
    };
    *model == weights.model && (weights.adapter.is_none() || weights.adapter == *adapter)
}
