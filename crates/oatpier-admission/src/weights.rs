//! Which weights are ready at the endpoint, and which soon will be.

use oatpier_types::clock::ClockTime;
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::{AdapterName, ModelName};
use oatpier_types::request::RequestGoal;

use crate::event::LoadingWeights;

/// When the weights for an attempt are there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightsOutlook {
    /// Now.
    Ready,
    /// From about this point.
    From(ClockTime),
    /// Not as far as known.
    Missing,
}

/// Which weights are ready at the endpoint, and which soon will be.
#[derive(Debug, Clone, Default)]
pub struct WeightsTable {
    ready: Vec<WeightsKey>,
    loading: Vec<(WeightsKey, ClockTime)>,
}

impl WeightsTable {
    /// Replaces what is known.
    pub fn replace(
        &mut self,
        ready: Vec<WeightsKey>,
        loading: Vec<LoadingWeights>,
        now: ClockTime,
    ) {
        self.ready = ready;
        self.loading = loading
            .into_iter()
            .map(|loading| (loading.weights, now + loading.ready_in))
            .collect();
    }

    /// When an attempt's weights are there. A plain service needs none.
    #[must_use]
    pub fn outlook(&self, goal: &RequestGoal) -> WeightsOutlook {
        let RequestGoal::Model { model, adapter } = goal else {
            return WeightsOutlook::Ready;
        };
        let base = self.ready_from(model, None);
        let adapter = match adapter {
            Some(adapter) => self.ready_from(model, Some(adapter)),
            None => Some(ClockTime::ZERO),
        };
        match (base, adapter) {
            (Some(ClockTime::ZERO), Some(ClockTime::ZERO)) => WeightsOutlook::Ready,
            (Some(base), Some(adapter)) => WeightsOutlook::From(base.max(adapter)),
            _ => WeightsOutlook::Missing,
        }
    }

    fn ready_from(&self, model: &ModelName, adapter: Option<&AdapterName>) -> Option<ClockTime> {
        let is_wanted = |key: &WeightsKey| key.model == *model && key.adapter.as_ref() == adapter;
        if self.ready.iter().any(is_wanted) {
            return Some(ClockTime::ZERO);
        }
        self.loading
            .iter()
            .filter(|(key, _)| is_wanted(key))
            .map(|(_, at)| (*at).max(ClockTime::from_micros(1)))
            .min()
    }
}
