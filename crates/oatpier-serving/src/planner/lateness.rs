//! Costs of streams that are late by a pause, which depend on the engines that hold their model.

use oatpier_types::names::ModelName;

use super::capacity::EngineSpeed;
use super::round::{EngineView, ModelView, PlanRound};

/// Cost of an engine's share of streams that are late, in squared engine shares. A late stream fails its caller as a
/// refusal does. A full engine refuses what is added to its demand, and there the squared share grows by twice as much.
const LATE_SHARE_COST: f64 = 2.0;

/// Number of models with the most late streams that are considered per round.
const LATE_MODELS: usize = 4;

/// Cost of late streams below which no engine is changed for a model, in squared engine shares.
const MIN_LATE_COST: f64 = 0.03;

impl PlanRound<'_> {
    /// Returns the models with the most late streams, those with the highest cost first.
    pub(super) fn late_models(&self) -> Vec<ModelName> {
        let costs = self.models.iter().map(|(name, view)| {
            let holders = view.served_by.iter().map(|index| &self.engines[*index]);
            (*name, late_cost(view, holders))
        });
        let mut late: Vec<(&ModelName, f64)> =
            costs.filter(|(_, cost)| *cost >= MIN_LATE_COST).collect();
        late.sort_by(|one, other| other.1.total_cmp(&one.1).then(one.0.cmp(other.0)));
        late.truncate(LATE_MODELS);
        late.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Returns how much one more holder lowers the cost of a model's late streams. Negative if it receives streams
    /// that are in time elsewhere.
    pub(super) fn lateness_relief(&self, view: &EngineView<'_>, model: &ModelView) -> f64 {
        if !self.speeds.is_uneven {
            return 0.0;
        }
        let before = late_cost(model, self.other_holders(view, model));
        before - late_cost(model, self.other_holders(view, model).chain([view]))
    }

    /// Returns how much the cost of a model's late streams grows if an engine evicts it. The last holder's streams are
    /// expected to move to a typical engine.
    pub(super) fn lateness_growth(&self, view: &EngineView<'_>, model: &ModelView) -> f64 {
        if !self.speeds.is_uneven {
            return 0.0;
        }
        if model.served_by.len() > 1 {
            return self.lateness_relief(view, model);
        }
        let here = stream_cost(model, view.speed);
        stream_cost(model, self.speeds.typical()) - here
    }
}

/// Returns the cost of a model's late streams if its holders share its requests by their capacity.
pub(super) fn late_cost<'a>(
    model: &ModelView,
    holders: impl Iterator<Item = &'a EngineView<'a>>,
) -> f64 {
    let (mut capacity, mut cost) = (0.0, 0.0);
    for holder in holders {
        capacity += holder.speed.capacity;
        cost += holder.speed.capacity * stream_cost(model, holder.speed);
    }
    if capacity > 0.0 { cost / capacity } else { 0.0 }
}

/// Returns the cost of a model's late streams if all are served at one speed.
fn stream_cost(model: &ModelView, speed: EngineSpeed) -> f64 {
    LATE_SHARE_COST * model.steady_share * speed.late_share(model.usual_time_s)
}
