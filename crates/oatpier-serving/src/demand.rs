//! Tracks how much a gateway's callers request each model.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{AdapterName, ModelName};

use crate::call::WeightsKey;
use crate::message::ModelDemand;

/// Time constant of the exponential decay of demand. Demand moves to other models within 4 to 6 s.
const DEMAND_DECAY: Duration = Duration::from_millis(1_500);

/// Time constants of the two request rates whose difference reveals a rise. Demand that moves to another
/// model rises for 4 to 6 s, and a load takes up to 4 s. The fast rate must lag by no more than one or two
/// rounds of the planner, and the slow one must still cover the time before the rise.
pub(crate) const FAST_DECAY: Duration = Duration::from_millis(800);
pub(crate) const SLOW_DECAY: Duration = Duration::from_millis(2_400);

/// Time constant of the rate by which rarely requested models are compared. These are requested every few
/// seconds, so with a shorter time constant the most recently requested model would appear to be in the
/// highest demand.
const LONG_DECAY: Duration = Duration::from_secs(6);

/// A model that was not requested for this long is no longer reported. By then a thirtieth of its rates is
/// left. Within this time each gateway receives requests for a few dozen of several hundred models.
const REPORT_WINDOW: Duration = Duration::from_secs(8);

/// An adapter that was requested within this time, which is one or two streams, is likely to be requested
/// again soon.
const ADAPTER_WINDOW: Duration = Duration::from_secs(2);

/// Returns the fraction of an exponentially decaying mean that is left after `age`, given the time
/// constant.
fn remaining_fraction(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// An exponentially decaying rate of events per second.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingRate {
    per_s: f64,
}

impl DecayingRate {
    fn decay(&mut self, age: Duration, time_constant: Duration) {
        self.per_s *= remaining_fraction(age, time_constant);
    }

    fn count(&mut self, time_constant: Duration) {
        self.per_s += 1.0 / time_constant.as_secs_f64();
    }
}

/// Demand for one model.
#[derive(Debug, Clone)]
struct DemandRow {
    running: u32,
    running_mean: f64,
    sent: DecayingRate,
    unserved: DecayingRate,
    asked_fast: DecayingRate,
    asked_slow: DecayingRate,
    asked_long: DecayingRate,
    updated_at: ClockTime,
    asked_at: ClockTime,
    adapters: HashMap<AdapterName, ClockTime>,
}

impl DemandRow {
    fn new(now: ClockTime) -> Self {
        Self {
            running: 0,
            running_mean: 0.0,
            sent: DecayingRate::default(),
            unserved: DecayingRate::default(),
            asked_fast: DecayingRate::default(),
            asked_slow: DecayingRate::default(),
            asked_long: DecayingRate::default(),
            updated_at: now,
            asked_at: now,
            adapters: HashMap::new(),
        }
    }

    /// Advances the means to `now`.
    fn advance(&mut self, now: ClockTime) {
        let age = now.since(self.updated_at);
        let remaining = remaining_fraction(age, DEMAND_DECAY);
        self.running_mean =
            self.running_mean * remaining + f64::from(self.running) * (1.0 - remaining);
        self.sent.decay(age, DEMAND_DECAY);
        self.unserved.decay(age, DEMAND_DECAY);
        self.asked_fast.decay(age, FAST_DECAY);
        self.asked_slow.decay(age, SLOW_DECAY);
        self.asked_long.decay(age, LONG_DECAY);
        self.adapters
            .retain(|_, asked| now.since(*asked) < ADAPTER_WINDOW);
        self.updated_at = now;
    }
}

/// Demand for all models.
#[derive(Debug, Default)]
pub struct DemandTracker {
    rows: HashMap<ModelName, DemandRow>,
    /// Models with requests that could not be served since the last summary of any kind.
    unserved_models: HashSet<ModelName>,
}

impl DemandTracker {
    /// Records the arrival of a request.
    pub fn note_arrival(&mut self, weights: &WeightsKey, now: ClockTime) {
        let row = self.row(&weights.model, now);
        row.asked_at = now;
        row.asked_fast.count(FAST_DECAY);
        row.asked_slow.count(SLOW_DECAY);
        row.asked_long.count(LONG_DECAY);
        if let Some(adapter) = &weights.adapter {
            row.adapters.insert(adapter.clone(), now);
        }
    }

    /// Records that a request for the model was sent to an endpoint.
    pub fn note_sent(&mut self, model: &ModelName, now: ClockTime) {
        let row = self.row(model, now);
        row.running += 1;
        row.sent.count(DEMAND_DECAY);
    }

    /// Records that a request for the model ended at its endpoint.
    pub fn note_ended(&mut self, model: &ModelName, now: ClockTime) {
        let row = self.row(model, now);
        row.running = row.running.saturating_sub(1);
    }

    /// Records that a request for the model could not be served: it waits for the weights, or was refused.
    pub fn note_unserved(&mut self, model: &ModelName, now: ClockTime) {
        self.row(model, now).unserved.count(DEMAND_DECAY);
        self.unserved_models.insert(model.clone());
    }

    /// Returns the demand for the models with requests that could not be served since the last summary of
    /// any kind.
    pub fn unserved_summary(&mut self, now: ClockTime) -> Vec<ModelDemand> {
        let unserved_models = std::mem::take(&mut self.unserved_models);
        let rows = unserved_models.into_iter().filter_map(|model| {
            let row = self.rows.get_mut(&model)?;
            row.advance(now);
            Some(model_demand(&model, row, now))
        });
        rows.collect()
    }

    /// Returns the demand for all recently requested models.
    pub fn summary(&mut self, now: ClockTime) -> Vec<ModelDemand> {
        self.unserved_models.clear();
        self.rows.retain(|_, row| {
            row.advance(now);
            row.running > 0 || now.since(row.asked_at) < REPORT_WINDOW
        });
        let mut summary: Vec<ModelDemand> = self
            .rows
            .iter()
            .map(|(model, row)| model_demand(model, row, now))
            .collect();
        summary.sort_by(|one, other| one.model.cmp(&other.model));
        summary
    }

    fn row(&mut self, model: &ModelName, now: ClockTime) -> &mut DemandRow {
        let row = self
            .rows
            .entry(model.clone())
            .or_insert_with(|| DemandRow::new(now));
        row.advance(now);
        row
    }
}

#[expect(clippy::cast_possible_truncation, reason = "rates need no more digits")]
fn model_demand(model: &ModelName, row: &DemandRow, now: ClockTime) -> ModelDemand {
    let idle_ms = now.since(row.asked_at).as_millis();
    ModelDemand {
        model: model.clone(),
        running: row.running_mean as f32,
        sent: row.sent.per_s as f32,
        unserved: row.unserved.per_s as f32,
        asked_fast: row.asked_fast.per_s as f32,
        asked_slow: row.asked_slow.per_s as f32,
        asked_long: row.asked_long.per_s as f32,
        adapters: u32::try_from(row.adapters.len()).unwrap_or(u32::MAX),
        idle_ms: u32::try_from(idle_ms).unwrap_or(u32::MAX),
    }
}
