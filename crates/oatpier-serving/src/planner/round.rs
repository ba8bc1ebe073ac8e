//! One round of the planner: engines and models as they stand, and what a load would gain and cost.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::ModelName;

use super::{BlockedLoad, LoadReason, PlannedLoad};
use crate::directory::EndpointRow;
use crate::message::{LoadAdvice, ModelSize};
use crate::peers::TotalDemand;
use crate::site::EngineRule;

/// How long a request holds a slot, for turning refusals a second into slots. Between the means of
/// long and short streams.
const HOLD_S: f64 = 0.7;

/// What a replica must gain, beyond its costs, in squared shares of an engine. The only holder of a
/// model that takes 0.6 of it gains 0.18 by a second one.
const REPLICA_GAIN: f64 = 0.08;

/// How much of a place for an adapter counts as load: places that are all in use cost less than slots
/// that are, since one is free as soon as the streams of one adapter have ended.
const ADAPTER_WEIGHT: f64 = 0.7;

/// A model that takes less than this share of an engine gets no further replica: another model there
/// is the cause of the load.
const LEAST_SHARE: f64 = 0.1;

/// The share of its slots above which an engine's models get replicas.
const BUSY_SHARE: f64 = 0.35;

/// What a load from the weight store weighs against one from the engine's own copies, in shares
/// of an engine's slots.
const STORE_LOAD_PRICE: f64 = 0.05;

/// A model that was asked for within this time is likely to be asked for again.
const RECENT: Duration = Duration::from_secs(10);

/// What dropping the last holder of a model weighs, in shares of an engine's slots: a model that
/// was asked for lately, one that was asked for long ago, and one that nobody ever asked for.
const LAST_RECENT_PRICE: f64 = 0.6;
const LAST_OLD_PRICE: f64 = 0.2;
const LAST_UNASKED_PRICE: f64 = 0.05;

/// One engine during a round.
#[derive(Debug)]
pub(super) struct EngineView<'a> {
    pub(super) row: &'a EndpointRow,
    /// Models that are there and stay.
    pub(super) held: Vec<&'a ModelName>,
    /// The model that is being loaded, or was advised: it takes its share soon.
    pub(super) coming: Option<ModelName>,
    /// What its models' demand takes of it.
    pub(super) load: EngineShare,
    pub(super) free: bool,
}

/// A part of an engine, as its requests take slots and its adapters take places.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EngineShare {
    slots: f64,
    places: f64,
}

impl EngineShare {
    fn divided(self, holders: f64) -> Self {
        Self {
            slots: self.slots / holders,
            places: self.places / holders,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            slots: self.slots + other.slots,
            places: self.places + other.places,
        }
    }

    /// The load by whichever is scarcer.
    fn load(self) -> f64 {
        self.slots.max(self.places * ADAPTER_WEIGHT)
    }

    /// What of it counts towards the load of an engine with `whole` on it.
    fn part_of(self, whole: Self) -> f64 {
        if whole.slots >= whole.places * ADAPTER_WEIGHT {
            self.slots
        } else {
            self.places * ADAPTER_WEIGHT
        }
    }
}

/// One model during a round.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ModelView {
    holders: f64,
    /// Engines that its demand would fill.
    want: EngineShare,
    idle: Option<Duration>,
    unserved: f64,
}

impl ModelView {
    /// What it takes of each of its holders.
    fn share(&self) -> EngineShare {
        self.want.divided(self.holders.max(1.0))
    }
}

impl EngineView<'_> {
    /// Whether it holds a model, or soon will.
    fn serves(&self, model: &ModelName) -> bool {
        self.held.contains(&model) || self.coming.as_ref() == Some(model)
    }
}

/// What a round works on.
pub(super) struct PlanRound<'a> {
    pub(super) rule: &'a EngineRule,
    pub(super) engines: Vec<EngineView<'a>>,
    pub(super) models: HashMap<&'a ModelName, ModelView>,
    pub(super) slots: f64,
    pub(super) now: ClockTime,
}

/// A possible load.
pub(super) struct LoadOption {
    pub(super) engine: usize,
    pub(super) unload: Vec<ModelName>,
    /// What the load and the models that go weigh.
    costs: f64,
    /// The costs, and the load of the engine.
    price: f64,
    pub(super) from_store: bool,
}

impl PlanRound<'_> {
    pub(super) fn count_models(&mut self, demand: &HashMap<ModelName, TotalDemand>) {
        for rule in &self.rule.models {
            let total = demand.get(&rule.name).copied().unwrap_or_default();
            let holders = self.holders(&rule.name);
            let requests = total.running + total.unserved * HOLD_S;
            let places = f64::from(u32::try_from(self.rule.adapter_slots).unwrap_or(u32::MAX));
            let view = ModelView {
                holders,
                want: EngineShare {
                    slots: requests / self.slots,
                    places: adapters_in_use(total.adapters, requests) / places.max(1.0),
                },
                idle: total.idle,
                unserved: total.unserved,
            };
            self.models.insert(&rule.name, view);
        }
    }

    /// Engines that hold the model, are loading it, or were advised to.
    fn holders(&self, model: &ModelName) -> f64 {
        let holders = self
            .engines
            .iter()
            .filter(|view| view.serves(model))
            .count();
        f64::from(u32::try_from(holders).unwrap_or(u32::MAX))
    }

    pub(super) fn spread_load(&mut self) {
        for view in &mut self.engines {
            let served = view.held.iter().copied().chain(&view.coming);
            let shares = served.filter_map(|model| self.models.get(model));
            let shares = shares.map(ModelView::share);
            view.load = shares.fold(EngineShare::default(), EngineShare::plus);
        }
    }

    /// Models that are asked for and that nobody holds, the most wanted first.
    pub(super) fn unreachable(&self) -> Vec<ModelName> {
        let mut missing: Vec<(&ModelName, f64)> = self
            .models
            .iter()
            .filter(|(_, view)| view.holders < 1.0 && view.unserved > 0.05)
            .map(|(model, view)| (*model, view.unserved))
            .collect();
        missing.sort_by(|one, other| other.1.total_cmp(&one.1).then(one.0.cmp(other.0)));
        missing
            .into_iter()
            .map(|(model, _)| model.clone())
            .collect()
    }

    /// Models of the busiest engines, those that bring them most load first.
    pub(super) fn busiest(&self) -> Vec<ModelName> {
        let busy = self
            .engines
            .iter()
            .filter(|view| view.load.load() > BUSY_SHARE);
        let mut models: Vec<(&ModelName, f64)> = busy
            .flat_map(|view| view.held.iter().map(|model| (*model, view.load)))
            .filter_map(|(model, load)| {
                Some((model, self.models.get(model)?.share().part_of(load)))
            })
            .filter(|(_, part)| *part >= LEAST_SHARE)
            .collect();
        models.sort_by(|one, other| other.1.total_cmp(&one.1).then(one.0.cmp(other.0)));
        let mut names: Vec<ModelName> =
            models.into_iter().map(|(model, _)| model.clone()).collect();
        names.dedup();
        names.truncate(4);
        names
    }

    /// The model that an engine with room should hold: one that nobody holds, or, where the engine
    /// holds nothing, one that many engines have copies of beside those that hold it. A model that
    /// had many replicas was much asked for.
    pub(super) fn best_fill(&self, engine: usize) -> Option<ModelName> {
        let view = &self.engines[engine];
        let copies = &view.row.pulse(self.now)?.copies;
        let local = copies.in_memory.iter().chain(&copies.on_disk);
        let local = local.filter(|model| !view.held.contains(model));
        let worth = |model: &ModelName| {
            let holders = self.holders(model);
            if holders >= 1.0 && !view.held.is_empty() {
                return 0.0;
            }
            self.copies(model) / (holders + 1.0).powi(2)
        };
        let best = local.max_by(|one, other| worth(one).total_cmp(&worth(other)))?;
        (worth(best) > 0.0).then(|| best.clone())
    }

    /// Engines that have a copy of the model.
    fn copies(&self, model: &ModelName) -> f64 {
        let pulses = self
            .engines
            .iter()
            .filter_map(|view| view.row.pulse(self.now));
        let copies = pulses.filter(|pulse| pulse.copies.has(model)).count();
        f64::from(u32::try_from(copies).unwrap_or(u32::MAX))
    }

    pub(super) fn best_option(
        &self,
        model: &ModelName,
        reason: LoadReason,
        store_open: bool,
    ) -> Option<LoadOption> {
        let options =
            (0..self.engines.len()).filter_map(|engine| self.option(engine, model, reason));
        let options = options.filter(|option| store_open || !option.from_store);
        let best = options.min_by(|one, other| one.price.total_cmp(&other.price))?;
        match reason {
            LoadReason::Unreachable | LoadReason::Room => Some(best),
            LoadReason::Busy => self.is_worth_it(&best, model).then_some(best),
        }
    }

    /// Why no engine takes a load.
    pub(super) fn blocked(&self, model: &ModelName, reason: LoadReason) -> BlockedLoad {
        let view = self.models.get(model);
        let mut blocked = BlockedLoad {
            model: model.clone(),
            reason,
            want: view.map_or(0.0, |view| view.want.load()),
            holders: view.map_or(0.0, |view| view.holders),
            rate_spent: false,
            busy: 0,
            paced: 0,
            full: 0,
            idle: 0,
        };
        let others = self
            .engines
            .iter()
            .filter(|view| !view.held.contains(&model));
        for view in others {
            let pulse = view.row.pulse(self.now);
            let paced =
                pulse.is_some_and(|pulse| pulse.load_wait_ms > 0 && !pulse.copies.has(model));
            if !view.free {
                blocked.busy += 1;
            } else if paced {
                blocked.paced += 1;
            } else if self.victims(view, model, reason).is_none() {
                blocked.full += 1;
            } else {
                blocked.idle += 1;
            }
        }
        blocked
    }

    /// Whether one more replica there relieves its present holders by more than it costs. Waiting
    /// grows faster than load, so load counts by its square: taking a little from a full engine is
    /// worth more than what the same adds to an idle one.
    fn is_worth_it(&self, option: &LoadOption, model: &ModelName) -> bool {
        let Some(view) = self.models.get(model) else {
            return false;
        };
        let present = view.share().load();
        let shared = view.want.divided(view.holders + 1.0).load();
        let holders = self.engines.iter().filter(|view| view.serves(model));
        let relief: f64 = holders
            .map(|view| view.load.load())
            .map(|load| load.powi(2) - (load - (present - shared)).max(0.0).powi(2))
            .sum();
        let load = self.engines[option.engine].load.load();
        let added = (load + shared).powi(2) - load.powi(2);
        relief - added - option.costs > REPLICA_GAIN
    }

    pub(super) fn option(
        &self,
        engine: usize,
        model: &ModelName,
        reason: LoadReason,
    ) -> Option<LoadOption> {
        let view = &self.engines[engine];
        if !view.free || view.held.contains(&model) {
            return None;
        }
        let pulse = view.row.pulse(self.now)?;
        let from_store = !pulse.copies.has(model);
        if from_store && pulse.load_wait_ms > 0 {
            return None;
        }
        let (unload, victims_price) = self.victims(view, model, reason)?;
        let store_price = if from_store { STORE_LOAD_PRICE } else { 0.0 };
        Some(LoadOption {
            engine,
            unload,
            costs: victims_price + store_price,
            price: view.load.load() + victims_price + store_price,
            from_store,
        })
    }

    /// The cheapest models that make room, and what losing them weighs.
    fn victims(
        &self,
        view: &EngineView<'_>,
        model: &ModelName,
        reason: LoadReason,
    ) -> Option<(Vec<ModelName>, f64)> {
        let room = self.rule.model_room_mb();
        let needed = self.rule.model(model)?.size_mb;
        let mut used: f64 = view.held.iter().map(|held| self.size(held)).sum();
        let mut candidates: Vec<(&ModelName, f64)> = view
            .held
            .iter()
            .map(|held| (*held, self.loss(held)))
            .collect();
        candidates.sort_by(|one, other| one.1.total_cmp(&other.1));
        let mut unload = Vec::new();
        let mut price = 0.0;
        for (victim, loss) in candidates {
            if used + needed <= room {
                break;
            }
            if reason != LoadReason::Unreachable && loss >= LAST_RECENT_PRICE {
                return None;
            }
            used -= self.size(victim);
            price += loss;
            unload.push(victim.clone());
        }
        (used + needed <= room).then_some((unload, price))
    }

    fn size(&self, model: &ModelName) -> f64 {
        // A model that the configuration no longer names takes all room: it is never kept beside
        // another one by a wrong guess.
        let rule = self.rule.model(model);
        rule.map_or(self.rule.weights_mb, |rule| rule.size_mb)
    }

    /// What losing a model at one engine weighs, in shares of an engine's slots.
    fn loss(&self, model: &ModelName) -> f64 {
        let Some(view) = self.models.get(model) else {
            return 0.0;
        };
        let spread = view.share().load();
        if view.holders > 1.0 {
            return spread / (view.holders - 1.0);
        }
        match view.idle {
            Some(idle) if idle < RECENT => LAST_RECENT_PRICE + spread,
            Some(_) => LAST_OLD_PRICE,
            None => LAST_UNASKED_PRICE,
        }
    }

    pub(super) fn advice(
        &self,
        option: &LoadOption,
        model: &ModelName,
        reason: LoadReason,
    ) -> PlannedLoad {
        let view = &self.engines[option.engine];
        let held = view.row.models(self.now).iter().map(|held| &held.model);
        let sizes = held.chain([model]).map(|model| ModelSize {
            model: model.clone(),
            size_mb: self.size(model),
        });
        PlannedLoad {
            endpoint: view.row.record.name.clone(),
            advice: LoadAdvice {
                load: model.clone(),
                unload: option.unload.clone(),
                sizes: sizes.collect(),
                room_mb: self.rule.model_room_mb(),
            },
            reason,
        }
    }
}

/// How many of `adapters` are in use at the same time by `requests` that are spread over them evenly.
fn adapters_in_use(adapters: f64, requests: f64) -> f64 {
    if adapters < 1.0 {
        return 0.0;
    }
    adapters * (1.0 - (-requests / adapters).exp())
}
