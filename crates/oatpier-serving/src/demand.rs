//! How much a gateway's callers ask for each model.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{AdapterName, ModelName};

use crate::call::WeightsKey;
use crate::message::ModelDemand;

/// How fast old demand is forgotten. Demand moves to other models within 4 to 6 s.
const DEMAND_LIFE: Duration = Duration::from_millis(1_500);

/// How fast the rates of requests are forgotten from whose difference a rise is seen. Demand that moves
/// to another model rises for 4 to 6 s and a load takes up to 4 s: the fast one must not be older than a
/// round or two of the planner, and the slow one must still remember the time before the rise.
pub(crate) const FAST_LIFE: Duration = Duration::from_millis(800);
pub(crate) const SLOW_LIFE: Duration = Duration::from_millis(2_400);

/// How fast the rate is forgotten by which rare models are compared. They are asked for every few seconds: by
/// a shorter one, whichever was asked for last would seem to be asked for most.
const LONG_LIFE: Duration = Duration::from_secs(6);

/// A model that nobody asked for during this long is no longer reported: of its rates a thirtieth is left.
/// Each gateway is asked for a few dozen of hundreds of models within it.
const REPORT_LIFE: Duration = Duration::from_secs(8);

/// An adapter that was asked for within this time is likely to be asked for again soon: a stream or
/// two.
const ADAPTER_LIFE: Duration = Duration::from_secs(2);

/// What is left of a mean after `age`, where it is forgotten within about `life`.
fn kept_share(age: Duration, life: Duration) -> f64 {
    (-age.as_secs_f64() / life.as_secs_f64()).exp()
}

/// Events a second, the newest ones counting most.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingRate {
    per_s: f64,
}

impl DecayingRate {
    fn fade(&mut self, age: Duration, life: Duration) {
        self.per_s *= kept_share(age, life);
    }

    fn count(&mut self, life: Duration) {
        self.per_s += 1.0 / life.as_secs_f64();
    }
}

/// The demand for one model.
#[derive(Debug, Clone)]
struct DemandRow {
    running: u32,
    running_mean: f64,
    sent: DecayingRate,
    unserved: DecayingRate,
    asked_fast: DecayingRate,
    asked_slow: DecayingRate,
    asked_long: DecayingRate,
    at: ClockTime,
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
            at: now,
            asked_at: now,
            adapters: HashMap::new(),
        }
    }

    /// Moves the means on to `now`.
    fn advance(&mut self, now: ClockTime) {
        let age = now.since(self.at);
        let kept = kept_share(age, DEMAND_LIFE);
        self.running_mean = self.running_mean * kept + f64::from(self.running) * (1.0 - kept);
        self.sent.fade(age, DEMAND_LIFE);
        self.unserved.fade(age, DEMAND_LIFE);
        self.asked_fast.fade(age, FAST_LIFE);
        self.asked_slow.fade(age, SLOW_LIFE);
        self.asked_long.fade(age, LONG_LIFE);
        self.adapters
            .retain(|_, asked| now.since(*asked) < ADAPTER_LIFE);
        self.at = now;
    }
}

/// The demand for all models.
#[derive(Debug, Default)]
pub struct DemandBook {
    rows: HashMap<ModelName, DemandRow>,
    /// Models with requests that could not be served since the last summary of any kind.
    pressed: HashSet<ModelName>,
}

impl DemandBook {
    /// A request came in.
    pub fn note_asked(&mut self, weights: &WeightsKey, now: ClockTime) {
        let row = self.row(&weights.model, now);
        row.asked_at = now;
        row.asked_fast.count(FAST_LIFE);
        row.asked_slow.count(SLOW_LIFE);
        row.asked_long.count(LONG_LIFE);
        if let Some(adapter) = &weights.adapter {
            row.adapters.insert(adapter.clone(), now);
        }
    }

    /// A request for the model was sent to an endpoint.
    pub fn note_sent(&mut self, model: &ModelName, now: ClockTime) {
        let row = self.row(model, now);
        row.running += 1;
        row.sent.count(DEMAND_LIFE);
    }

    /// A request for the model is over at its endpoint.
    pub fn note_ended(&mut self, model: &ModelName, now: ClockTime) {
        let row = self.row(model, now);
        row.running = row.running.saturating_sub(1);
    }

    /// A request for the model could not be served: it waits for the weights, or was turned away.
    pub fn note_unserved(&mut self, model: &ModelName, now: ClockTime) {
        self.row(model, now).unserved.count(DEMAND_LIFE);
        self.pressed.insert(model.clone());
    }

    /// The demand for the models whose requests could not be served since the last summary of any kind.
    pub fn pressed_summary(&mut self, now: ClockTime) -> Vec<ModelDemand> {
        let pressed = std::mem::take(&mut self.pressed);
        let rows = pressed.into_iter().filter_map(|model| {
            let row = self.rows.get_mut(&model)?;
            row.advance(now);
            Some(demand_of(&model, row, now))
        });
        rows.collect()
    }

    /// The demand for all models that were asked for lately.
    pub fn summary(&mut self, now: ClockTime) -> Vec<ModelDemand> {
        self.pressed.clear();
        self.rows.retain(|_, row| {
            row.advance(now);
            row.running > 0 || now.since(row.asked_at) < REPORT_LIFE
        });
        let mut summary: Vec<ModelDemand> = self
            .rows
            .iter()
            .map(|(model, row)| demand_of(model, row, now))
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
fn demand_of(model: &ModelName, row: &DemandRow, now: ClockTime) -> ModelDemand {
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
