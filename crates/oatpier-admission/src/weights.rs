//! Model weights that are ready or loading at the endpoint.

use oatpier_types::clock::ClockTime;
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::{AdapterName, ModelName};
use oatpier_types::request::RequestGoal;

use crate::event::LoadingWeights;

/// Availability of the weights that an attempt needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightsAvailability {
    /// Ready now.
    Ready,
    /// Expected to be ready at about this time.
    ReadyAt(ClockTime),
    /// Neither ready nor known to be loading.
    Missing,
}

/// The model weights that are ready or loading at the endpoint.
#[derive(Debug, Clone, Default)]
pub struct WeightsTable {
    ready: Vec<WeightsKey>,
    loading: Vec<(WeightsKey, ClockTime)>,
}

impl WeightsTable {
    /// Replaces both lists.
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

    /// Returns when an attempt's weights are available. A plain service needs no weights.
    #[must_use]
    pub fn availability(&self, goal: &RequestGoal) -> WeightsAvailability {
        let RequestGoal::Model { model, adapter } = goal else {
            return WeightsAvailability::Ready;
        };
        let base = self.ready_from(model, None);
        let adapter = match adapter {
            Some(adapter) => self.ready_from(model, Some(adapter)),
            None => Some(ClockTime::ZERO),
        };
        match (base, adapter) {
            (Some(ClockTime::ZERO), Some(ClockTime::ZERO)) => WeightsAvailability::Ready,
            (Some(base), Some(adapter)) => WeightsAvailability::ReadyAt(base.max(adapter)),
            _ => WeightsAvailability::Missing,
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
