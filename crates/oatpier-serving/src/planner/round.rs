//! One round of the planner: engines and models as they stand, and which loads they call for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::ModelName;
use smallvec::SmallVec;

use super::forecast::{self, HoldTimes};
use super::gain::LoadOption;
use super::{BlockedLoad, LoadReason, PlannedLoad};
use crate::directory::EndpointRow;
use crate::message::{LoadAdvice, ModelSize};
use crate::peers::{FleetUses, TotalDemand};
use crate::site::EngineRule;

/// Engines that one advice names as lenders. By the time at which the right is needed, seconds later where
/// streams have to end first, some have used their own.
const LENDERS_EACH: usize = 3;

/// How much of a place for an adapter counts as load: places that are all in use cost less than slots
/// that are, since one is free as soon as the streams of one adapter have ended.
const ADAPTER_WEIGHT: f64 = 0.7;

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
    pub(super) slots: f64,
    places: f64,
}

impl EngineShare {
    fn divided(self, holders: f64) -> Self {
        Self {
            slots: self.slots / holders,
            places: self.places / holders,
        }
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            slots: self.slots + other.slots,
            places: self.places + other.places,
        }
    }

    pub(super) fn minus(self, other: Self) -> Self {
        Self {
            slots: (self.slots - other.slots).max(0.0),
            places: (self.places - other.places).max(0.0),
        }
    }

    pub(super) fn squared(self) -> f64 {
        self.load().powi(2)
    }

    /// The load by whichever is scarcer.
    pub(super) fn load(self) -> f64 {
        self.slots.max(self.places * ADAPTER_WEIGHT)
    }

    /// What of it counts towards the load of an engine with `whole` on it.
    pub(super) fn part_of(self, whole: Self) -> f64 {
        if whole.slots >= whole.places * ADAPTER_WEIGHT {
            self.slots
        } else {
            self.places * ADAPTER_WEIGHT
        }
    }
}

/// One model during a round.
#[derive(Debug, Clone, Default)]
pub(super) struct ModelView {
    /// Engines that hold it, are loading it, or were advised to: their places in the round.
    pub(super) served_by: SmallVec<[usize; 8]>,
    /// Engines that have a copy of it.
    pub(super) copies: u32,
    /// Engines that its demand would fill.
    want: EngineShare,
    /// Requests a second.
    pub(super) asked: f64,
    /// The same over the last ten seconds or so.
    pub(super) asked_long: f64,
    /// The time since it was asked for last; none if never.
    pub(super) idle: Option<Duration>,
    pub(super) unserved: f64,
    /// How long a request holds a slot, in seconds.
    pub(super) hold_s: f64,
}

impl ModelView {
    pub(super) fn holders(&self) -> f64 {
        f64::from(u32::try_from(self.served_by.len()).unwrap_or(u32::MAX))
    }

    /// What it takes of each of its holders.
    pub(super) fn share(&self) -> EngineShare {
        self.share_among(self.holders())
    }

    /// What it would take of each of so many holders.
    pub(super) fn share_among(&self, holders: f64) -> EngineShare {
        self.want.divided(holders.max(1.0))
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
    pub(super) uses: &'a FleetUses,
    /// Engines whose right to load from the weight store is not spent, and that were not named as lenders
    /// lately: their places in the round.
    pub(super) lenders: Vec<usize>,
    /// The share of engines that can't be told to load anything now.
    pub(super) busy_share: f64,
    pub(super) slots: f64,
    pub(super) now: ClockTime,
}

impl PlanRound<'_> {
    pub(super) fn count_models(&mut self, demand: &HashMap<ModelName, TotalDemand>) {
        let holds = HoldTimes::of_fleet(demand);
        for rule in &self.rule.models {
            let total = demand.get(&rule.name).copied().unwrap_or_default();
            let requests = forecast::slots_wanted(&total, holds, rule.load);
            let places = f64::from(u32::try_from(self.rule.adapter_slots).unwrap_or(u32::MAX));
            let view = ModelView {
                served_by: self.served_by(&rule.name),
                copies: self.copies(&rule.name),
                want: EngineShare {
                    slots: requests / self.slots,
                    places: adapters_in_use(total.adapters, requests) / places.max(1.0),
                },
                asked: total.asked_fast.max(total.asked_slow),
                asked_long: total.asked_long,
                idle: total.idle,
                unserved: total.unserved,
                hold_s: holds.of_model(&total),
            };
            self.models.insert(&rule.name, view);
        }
    }

    fn served_by(&self, model: &ModelName) -> SmallVec<[usize; 8]> {
        let engines = self.engines.iter().enumerate();
        let serving = engines.filter(|(_, view)| view.serves(model));
        serving.map(|(place, _)| place).collect()
    }

    /// Counts a load that has just been advised, so that the next one of this round sees what it changes.
    pub(super) fn note_advised(&mut self, option: &LoadOption, model: &ModelName) {
        let view = &mut self.engines[option.engine];
        view.free = false;
        view.coming = Some(model.clone());
        view.held.retain(|held| !option.unload.contains(*held));
        for victim in &option.unload {
            if let Some(lost) = self.models.get_mut(victim) {
                lost.served_by.retain(|place| *place != option.engine);
            }
        }
        if let Some(wanted) = self.models.get_mut(model) {
            wanted.served_by.push(option.engine);
        }
        self.spread_load();
    }

    pub(super) fn spread_load(&mut self) {
        for view in &mut self.engines {
            let served = view.held.iter().copied().chain(&view.coming);
            let shares = served.filter_map(|model| self.models.get(model));
            let shares = shares.map(ModelView::share);
            view.load = shares.fold(EngineShare::default(), EngineShare::plus);
        }
    }

    /// Models that are asked for and that nobody holds.
    pub(super) fn unreachable(&self) -> impl Iterator<Item = &ModelName> {
        let missing = self
            .models
            .iter()
            .filter(|(_, view)| view.served_by.is_empty() && view.unserved > 0.05);
        missing.map(|(model, _)| *model)
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
            let Some(known) = self.models.get(model) else {
                return 0.0;
            };
            if !known.served_by.is_empty() && !view.held.is_empty() {
                return 0.0;
            }
            f64::from(known.copies) / (known.holders() + 1.0).powi(2)
        };
        let best = local.max_by(|one, other| worth(one).total_cmp(&worth(other)))?;
        (worth(best) > 0.0).then(|| best.clone())
    }

    fn copies(&self, model: &ModelName) -> u32 {
        let pulses = self
            .engines
            .iter()
            .filter_map(|view| view.row.pulse(self.now));
        let copies = pulses.filter(|pulse| pulse.copies.has(model)).count();
        u32::try_from(copies).unwrap_or(u32::MAX)
    }

    /// Why no engine takes a load.
    pub(super) fn blocked(&self, model: &ModelName, reason: LoadReason) -> BlockedLoad {
        let view = self.models.get(model);
        let mut blocked = BlockedLoad {
            model: model.clone(),
            reason,
            want: view.map_or(0.0, |view| view.want.load()),
            holders: view.map_or(0.0, ModelView::holders),
            rate_spent: false,
            rests: false,
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
            let paced = self.lenders.is_empty()
                && pulse.is_some_and(|pulse| pulse.load_wait_ms > 0 && !pulse.copies.has(model));
            if !view.free {
                blocked.busy += 1;
            } else if paced {
                blocked.paced += 1;
            } else if self.victims(view, model).is_none() {
                blocked.full += 1;
            } else {
                blocked.idle += 1;
            }
        }
        blocked
    }

    pub(super) fn size(&self, model: &ModelName) -> f64 {
        // A model that the configuration no longer names takes all room: it is never kept beside
        // another one by a wrong guess.
        let rule = self.rule.model(model);
        rule.map_or(self.rule.weights_mb, |rule| rule.size_mb)
    }

    /// Takes a few engines off the lenders for one advice. Those that are at a load go first: the others may
    /// need their right themselves.
    fn take_lenders(&mut self) -> Vec<SocketAddr> {
        let engines = &self.engines;
        self.lenders
            .sort_by_key(|place| (!engines[*place].free, *place));
        let kept = self.lenders.len().saturating_sub(LENDERS_EACH);
        let taken = self.lenders.split_off(kept);
        let rows = taken.iter().map(|place| engines[*place].row);
        rows.map(|row| row.record.address).collect()
    }

    pub(super) fn advice(
        &mut self,
        option: &LoadOption,
        model: &ModelName,
        reason: LoadReason,
    ) -> PlannedLoad {
        let lenders = if option.needs_right {
            self.take_lenders()
        } else {
            Vec::new()
        };
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
                lenders,
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
