//! State of one planning round: the engines and models, and the advice that results from them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::ModelName;
use oatpier_types::software::SoftwareVersion;
use smallvec::SmallVec;

use super::capacity::{EngineSpeed, FleetSpeeds};
use super::forecast::{self, SlotTimes};
use super::gain::LoadOption;
use super::{BlockedLoad, LoadFigures, LoadReason, PlannedLoad};
use crate::directory::EndpointRow;
use crate::message::{LoadAdvice, ModelSize};
use crate::peers::{FleetUses, TotalDemand};
use crate::site::EngineRule;

/// Number of engines that one piece of advice names as lenders. The right is needed seconds later if
/// streams have to end first, and by then some lenders have used their own right.
const LENDERS_PER_ADVICE: usize = 3;

/// Weight of a used adapter slot in the utilization. Full adapter slots cost less than full request slots,
/// because an adapter slot is free as soon as the streams of one adapter have ended.
const ADAPTER_WEIGHT: f64 = 0.7;

/// Summed capacity below which a model counts as without holder. Sums of fractions leave a remainder.
const MIN_CAPACITY: f64 = 0.1;

/// One engine during a round.
#[derive(Debug)]
pub(super) struct EngineView<'a> {
    pub(super) row: &'a EndpointRow,
    /// Models that the engine holds and is not about to unload.
    pub(super) held: Vec<&'a ModelName>,
    /// The model that is being loaded or was advised. It receives a share of the requests soon.
    pub(super) incoming: Option<ModelName>,
    /// Share of the engine that the demand for its models takes.
    pub(super) utilization: EngineShare,
    pub(super) speed: EngineSpeed,
    pub(super) is_free: bool,
}

/// A share of an engine's capacity, in request slots and adapter slots.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EngineShare {
    pub(super) slots: f64,
    adapter_slots: f64,
}

impl EngineShare {
    fn divided(self, capacity: f64) -> Self {
        Self {
            slots: self.slots / capacity,
            adapter_slots: self.adapter_slots / capacity,
        }
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            slots: self.slots + other.slots,
            adapter_slots: self.adapter_slots + other.adapter_slots,
        }
    }

    pub(super) fn saturating_minus(self, other: Self) -> Self {
        Self {
            slots: (self.slots - other.slots).max(0.0),
            adapter_slots: (self.adapter_slots - other.adapter_slots).max(0.0),
        }
    }

    pub(super) fn squared(self) -> f64 {
        self.dominant_share().powi(2)
    }

    /// Returns the share of the scarcer resource.
    pub(super) fn dominant_share(self) -> f64 {
        self.slots.max(self.adapter_slots * ADAPTER_WEIGHT)
    }

    /// Returns the part of this share that counts towards the utilization of an engine whose total is
    /// `whole`.
    pub(super) fn dominant_part_in(self, whole: Self) -> f64 {
        if whole.slots >= whole.adapter_slots * ADAPTER_WEIGHT {
            self.slots
        } else {
            self.adapter_slots * ADAPTER_WEIGHT
        }
    }
}

/// One model during a round.
#[derive(Debug, Clone, Default)]
pub(super) struct ModelView {
    /// Indices of the engines that hold the model, are loading it, or were advised to load it.
    pub(super) served_by: SmallVec<[usize; 8]>,
    /// Summed capacity of these engines.
    capacity: f64,
    /// Number of engines that have a local copy of the weights.
    pub(super) copies: u32,
    /// Demand for the model, in engines of usual speed that it would fill.
    demand: EngineShare,
    /// The same over about the last ten seconds, in slots.
    pub(super) steady_share: f64,
    /// Requests per second.
    pub(super) request_rate: f64,
    /// Requests per second over about the last ten seconds.
    pub(super) long_request_rate: f64,
    /// Time since the last request; `None` if there was none.
    pub(super) idle: Option<Duration>,
    pub(super) unserved: f64,
    /// Time that a request occupies a slot, in seconds.
    pub(super) slot_time_s: f64,
    /// Time that a request would occupy a slot of an engine of usual speed, in seconds.
    pub(super) usual_time_s: f64,
}

impl ModelView {
    pub(super) fn holders(&self) -> f64 {
        f64::from(u32::try_from(self.served_by.len()).unwrap_or(u32::MAX))
    }

    /// Returns the share that the model takes of each of its holders.
    pub(super) fn share(&self) -> EngineShare {
        self.share_at(self.capacity)
    }

    /// Returns the share that the model would take of each holder if one more held it.
    pub(super) fn share_with(&self, engine: &EngineView<'_>) -> EngineShare {
        self.share_at(self.capacity + engine.speed.capacity)
    }

    /// Returns the share that the model would take of each other holder if one held it no longer.
    pub(super) fn share_without(&self, engine: &EngineView<'_>) -> EngineShare {
        self.share_at(self.capacity - engine.speed.capacity)
    }

    /// Returns the share that the model takes of each holder. Holders serve requests in proportion to their capacity,
    /// so that the share is the same for all.
    pub(super) fn share_at(&self, capacity: f64) -> EngineShare {
        self.demand.divided(if capacity > MIN_CAPACITY {
            capacity
        } else {
            1.0
        })
    }
}

impl EngineView<'_> {
    /// Returns whether the engine holds a model or will hold it soon.
    fn serves(&self, model: &ModelName) -> bool {
        self.held.contains(&model) || self.incoming.as_ref() == Some(model)
    }

    /// Returns the squared utilization, weighted by the capacity that it concerns.
    pub(super) fn weighted_square(&self, utilization: EngineShare) -> f64 {
        self.speed.capacity * utilization.squared()
    }
}

/// Input and working state of one round.
pub(super) struct PlanRound<'a> {
    pub(super) rule: &'a EngineRule,
    pub(super) engines: Vec<EngineView<'a>>,
    /// Sorted by name, so that the same input gives the same plan.
    pub(super) models: BTreeMap<&'a ModelName, ModelView>,
    pub(super) uses: &'a FleetUses,
    pub(super) speeds: FleetSpeeds,
    /// Indices of the engines whose right to load from the weight store is unused and that were not named
    /// as lenders recently.
    pub(super) lenders: Vec<usize>,
    /// Share of engines that cannot be told to load anything now.
    pub(super) busy_share: f64,
    pub(super) slots: f64,
    pub(super) now: ClockTime,
}

impl PlanRound<'_> {
    pub(super) fn add_models(&mut self, demand: &HashMap<ModelName, TotalDemand>) {
        let slot_times = SlotTimes::of_fleet(demand);
        for rule in &self.rule.models {
            let total = demand.get(&rule.name).copied().unwrap_or_default();
            let held_s = slot_times.of_model(&total);
            // Requests occupy the slots of slow engines for longer.
            let pace = self.usual_capacity(&rule.name);
            let requests = forecast::slots_wanted(&total, slot_times, rule.load) * pace;
            let adapter_slots =
                f64::from(u32::try_from(self.rule.adapter_slots).unwrap_or(u32::MAX));
            let served_by = self.served_by(&rule.name);
            let view = ModelView {
                capacity: self.capacity_of(served_by.iter().copied()),
                served_by,
                copies: self.count_copies(&rule.name),
                demand: EngineShare {
                    slots: requests / self.slots,
                    adapter_slots: adapters_in_use(total.adapters, requests)
                        / adapter_slots.max(1.0),
                },
                steady_share: total.asked_long * held_s * pace / self.slots,
                request_rate: total.asked_fast.max(total.asked_slow),
                long_request_rate: total.asked_long,
                idle: total.idle,
                unserved: total.unserved,
                slot_time_s: held_s,
                usual_time_s: held_s * pace,
            };
            self.models.insert(&rule.name, view);
        }
    }

    fn served_by(&self, model: &ModelName) -> SmallVec<[usize; 8]> {
        let engines = self.engines.iter().enumerate();
        let serving = engines.filter(|(_, view)| view.serves(model));
        serving.map(|(index, _)| index).collect()
    }

    /// Returns the mean capacity of the engines that hold a model; 1 if none does. Its requests have been served there.
    fn usual_capacity(&self, model: &ModelName) -> f64 {
        let holders = self
            .engines
            .iter()
            .filter(|view| view.held.contains(&model));
        let (count, sum) = holders.fold((0.0, 0.0), |(count, sum), view| {
            (count + 1.0, sum + view.speed.capacity)
        });
        if count > 0.0 { sum / count } else { 1.0 }
    }

    pub(super) fn capacity_of(&self, served_by: impl Iterator<Item = usize>) -> f64 {
        served_by
            .map(|index| self.engines[index].speed.capacity)
            .sum()
    }

    /// Accounts for a load that was just advised, so that the next decision of this round sees its effect.
    pub(super) fn apply_advised(&mut self, option: &LoadOption, model: &ModelName) {
        let view = &mut self.engines[option.engine];
        view.is_free = false;
        view.incoming = Some(model.clone());
        view.held.retain(|held| !option.unload.contains(*held));
        let capacity = view.speed.capacity;
        for victim in &option.unload {
            if let Some(lost) = self.models.get_mut(victim) {
                lost.served_by.retain(|index| *index != option.engine);
                lost.capacity -= capacity;
            }
        }
        self.add_holder(model, option.engine);
        self.update_utilization();
    }

    pub(super) fn add_holder(&mut self, model: &ModelName, engine: usize) {
        if let Some(wanted) = self.models.get_mut(model) {
            wanted.served_by.push(engine);
            wanted.capacity += self.engines[engine].speed.capacity;
        }
    }

    pub(super) fn update_utilization(&mut self) {
        for view in &mut self.engines {
            let served = view.held.iter().copied().chain(&view.incoming);
            let shares = served.filter_map(|model| self.models.get(model));
            let shares = shares.map(ModelView::share);
            view.utilization = shares.fold(EngineShare::default(), EngineShare::plus);
        }
    }

    /// Returns whether an engine of a software version holds a model or will hold it soon.
    pub(super) fn serves_at(&self, model: &ModelName, version: &SoftwareVersion) -> bool {
        let known = self.models.get(model);
        let mut served_by = known.into_iter().flat_map(|view| &view.served_by);
        served_by.any(|engine| self.has_version(*engine, Some(version)))
    }

    /// Returns whether an engine has a software version, or whether none is asked for.
    pub(super) fn has_version(&self, engine: usize, version: Option<&SoftwareVersion>) -> bool {
        version.is_none() || self.engines[engine].row.record.version.as_ref() == version
    }

    /// Returns the requested models that no engine holds.
    pub(super) fn unreachable(&self) -> impl Iterator<Item = &ModelName> {
        let missing = self
            .models
            .iter()
            .filter(|(_, view)| view.served_by.is_empty() && view.unserved > 0.05);
        missing.map(|(model, _)| *model)
    }

    /// Returns the model that an engine should load into its free memory. This is a model that no engine
    /// holds or, if the engine is empty, one with many local copies across the fleet relative to its
    /// current holders. A model that had many replicas was in high demand.
    pub(super) fn best_model_for(&self, engine: usize) -> Option<ModelName> {
        let view = &self.engines[engine];
        let copies = &view.row.status(self.now)?.copies;
        let local = copies.in_memory.iter().chain(&copies.on_disk);
        let local = local.filter(|model| !view.held.contains(model));
        let value = |model: &ModelName| {
            let Some(known) = self.models.get(model) else {
                return 0.0;
            };
            if !known.served_by.is_empty() && !view.held.is_empty() {
                return 0.0;
            }
            f64::from(known.copies) / (known.holders() + 1.0).powi(2)
        };
        let best = local.max_by(|one, other| value(one).total_cmp(&value(other)))?;
        (value(best) > 0.0).then(|| best.clone())
    }

    fn count_copies(&self, model: &ModelName) -> u32 {
        let statuses = self
            .engines
            .iter()
            .filter_map(|view| view.row.status(self.now));
        let copies = statuses.filter(|status| status.copies.has(model)).count();
        u32::try_from(copies).unwrap_or(u32::MAX)
    }

    /// Counts the reasons why no engine carries out a load.
    pub(super) fn describe_blocked(&self, model: &ModelName, reason: LoadReason) -> BlockedLoad {
        let view = self.models.get(model);
        let mut blocked = BlockedLoad {
            model: model.clone(),
            reason,
            want: view.map_or(0.0, |view| view.demand.dominant_share()),
            holders: view.map_or(0.0, ModelView::holders),
            rate_spent: false,
            is_backed_off: false,
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
            let status = view.row.status(self.now);
            let paced = self.lenders.is_empty()
                && status
                    .is_some_and(|status| status.load_wait_ms > 0 && !status.copies.has(model));
            if !view.is_free {
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

    pub(super) fn size_mb(&self, model: &ModelName) -> f64 {
        // A model that is no longer in the configuration counts as taking all memory, so that a wrong size
        // never places another model beside it.
        let rule = self.rule.model(model);
        rule.map_or(self.rule.weights_mb, |rule| rule.size_mb)
    }

    /// Removes a few engines from the lenders for one piece of advice. Engines that are loading go first,
    /// because the others may need their right themselves.
    fn take_lenders(&mut self) -> Vec<SocketAddr> {
        let engines = &self.engines;
        self.lenders
            .sort_by_key(|index| (!engines[*index].is_free, *index));
        let remaining = self.lenders.len().saturating_sub(LENDERS_PER_ADVICE);
        let taken = self.lenders.split_off(remaining);
        let rows = taken.iter().map(|index| engines[*index].row);
        rows.map(|row| row.record.address).collect()
    }

    pub(super) fn build_advice(
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
        let usual_time_s = self
            .models
            .get(model)
            .map_or(0.0, |known| known.usual_time_s);
        let view = &self.engines[option.engine];
        let held = view.row.models(self.now).iter().map(|held| &held.model);
        let sizes = held.chain([model]).map(|model| ModelSize {
            model: model.clone(),
            size_mb: self.size_mb(model),
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
            figures: LoadFigures {
                gain: option.gain,
                capacity: view.speed.capacity,
                late_share: view.speed.late_share(usual_time_s),
            },
        }
    }
}

/// Returns how many of `adapters` are in use at the same time by `requests` that are spread over them
/// evenly.
fn adapters_in_use(adapters: f64, requests: f64) -> f64 {
    if adapters < 1.0 {
        return 0.0;
    }
    adapters * (1.0 - (-requests / adapters).exp())
}
