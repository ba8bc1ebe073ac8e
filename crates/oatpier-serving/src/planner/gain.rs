//! Computes the gain of a load and the cost of the evictions that make room for it.
//!
//! All values are in squared engine shares: the sum of the squared utilizations of all engines, which grows
//! like the waiting time there.

use std::time::Duration;

use oatpier_types::names::ModelName;

use super::LoadReason;
use super::round::{EngineShare, EngineView, ModelView, PlanRound};

/// Cost of a load from the weight store, in squared engine shares. Other engines wait for their share of
/// the store's rate. The cost is low because rising demand needs replicas before the current holders are
/// full. When the cost was instead derived from the engine time of such a load, a full-day run of the
/// largest fleet scored 0.66 rather than 0.68. That is one run each, and runs of the same code differ by
/// 0.02.
const STORE_LOAD_COST: f64 = 0.05;

/// Cost of a load from the weight store for a model that no engine holds: its callers already wait, and are
/// refused if it is not loaded in time.
const MISSING_STORE_LOAD_COST: f64 = 0.3;

/// Cost of one second of engine time, in squared engine shares. During a load the engine can load nothing
/// else, including adapters, and requests that wait for those become late. A load takes 0.4 s from the
/// host's memory, about one second from its disk, and up to six from the weight store.
const ENGINE_TIME_COST_PER_S: f64 = 0.12;

/// Cost of evicting the last holder of a model, in squared engine shares: the next request for the model
/// becomes late. For comparison, an engine with a demand of 1.3 times its capacity refuses about ten
/// requests per second, which is 0.7 in this unit.
const LAST_HOLDER_COST: f64 = 0.1;

/// Request rate of a model, per second, at which the requests that wait for its reload cost as much as the
/// engine time. At four requests per second, about as many are late as one engine refuses during that time.
const RELOAD_WAIT_RATE_PER_S: f64 = 4.0;

/// A model that was requested within this time is likely to be requested again.
const RECENT_WINDOW: Duration = Duration::from_secs(10);

/// Probability that a model is requested again if its last request is older than [`RECENT_WINDOW`]. With 90
/// models, most are requested every second or two, and few stay idle for this long without having lost
/// their callers.
const IDLE_RETURN_PROBABILITY: f64 = 0.33;

/// Cost of evicting the last holder of a model that was never requested. Low but not zero, so that of two
/// such engines the one with free memory is selected.
const UNREQUESTED_HOLDER_COST: f64 = 0.03;

/// A possible load on one engine.
pub(super) struct LoadOption {
    pub(super) engine: usize,
    pub(super) unload: Vec<ModelName>,
    /// Reduction of the fleet's summed squared utilization minus the costs of the load.
    pub(super) gain: f64,
    /// Cost of the time that callers wait for the load beyond the shortest possible load. Used only to
    /// compare options for the same model, not to decide whether to load it.
    pub(super) delay_cost: f64,
    /// Cost of the load itself and of the evictions' streams.
    pub(super) load_cost: f64,
    pub(super) from_store: bool,
    /// Whether the engine has used up its own right to load from the weight store.
    pub(super) needs_right: bool,
    /// Requests per second for the evicted models that no other engine holds.
    pub(super) displaced_rate: f64,
}

impl LoadOption {
    /// Returns the value by which options for the same model are compared.
    pub(super) fn rank(&self) -> f64 {
        self.gain - self.delay_cost
    }
}

/// Models that are evicted to make room for a load.
#[derive(Default)]
pub(super) struct LoadVictims {
    models: Vec<ModelName>,
    /// Cost of evicting them.
    cost: f64,
    /// The part of this cost that is due to the streams that end first.
    drain_cost: f64,
    /// Requests per second for those of them that no other engine holds.
    displaced_rate: f64,
}

impl PlanRound<'_> {
    pub(super) fn load_option(
        &self,
        engine: usize,
        model: &ModelName,
        reason: LoadReason,
    ) -> Option<LoadOption> {
        let victims = self.victims(&self.engines[engine], model)?;
        self.load_option_evicting(engine, model, reason, victims)
    }

    /// Returns the load of a model in the place of another one, or in a free place.
    pub(super) fn replacing_option(
        &self,
        engine: usize,
        model: &ModelName,
        replaced: Option<&ModelName>,
    ) -> Option<LoadOption> {
        let view = &self.engines[engine];
        let mut victims = LoadVictims::default();
        if let Some(replaced) = replaced {
            let cost = self.eviction_cost(view, replaced);
            self.add_victim(&mut victims, view, replaced, cost);
        }
        self.load_option_evicting(engine, model, LoadReason::Swap, victims)
    }

    fn load_option_evicting(
        &self,
        engine: usize,
        model: &ModelName,
        reason: LoadReason,
        victims: LoadVictims,
    ) -> Option<LoadOption> {
        let view = &self.engines[engine];
        if !view.is_free || view.held.contains(&model) {
            return None;
        }
        let status = view.row.status(self.now)?;
        let from_store = !status.copies.has(model);
        let needs_right = from_store && status.load_wait_ms > 0;
        if needs_right && self.lenders.is_empty() {
            return None;
        }
        let rule = self.rule.model(model)?;
        let extra_time = rule
            .load_with(&status.copies)
            .saturating_sub(rule.load_from_memory);
        let cost = match (from_store, reason) {
            (false, _) => 0.0,
            (true, LoadReason::Unreachable) => MISSING_STORE_LOAD_COST,
            (true, _) => STORE_LOAD_COST,
        };
        Some(LoadOption {
            engine,
            gain: self.gain(view, model, &victims) - cost,
            delay_cost: extra_time.as_secs_f64() * self.delay_cost_per_s(model, reason),
            load_cost: cost + victims.drain_cost,
            unload: victims.models,
            from_store,
            needs_right,
            displaced_rate: victims.displaced_rate,
        })
    }

    /// Returns the cost of each second for which a load takes longer than the shortest possible one. The callers of a
    /// model without holder wait for it. Where engines differ, a load from a slow engine's copy competes with one from
    /// the weight store on a fast engine, and the number of callers decides.
    fn delay_cost_per_s(&self, model: &ModelName, reason: LoadReason) -> f64 {
        let known = self.models.get(model).filter(|_| self.speeds.is_uneven);
        let waiting = match reason {
            LoadReason::Unreachable => {
                known.map_or(0.0, |view| view.unserved.max(view.request_rate))
            }
            _ => 0.0,
        };
        ENGINE_TIME_COST_PER_S * (1.0 + waiting / RELOAD_WAIT_RATE_PER_S)
    }

    /// Returns the cheapest models to evict, or `None` if evicting all of them would not make enough room.
    pub(super) fn victims(&self, view: &EngineView<'_>, model: &ModelName) -> Option<LoadVictims> {
        let room = self.rule.model_room_mb();
        let needed = self.rule.model(model)?.size_mb;
        let mut used: f64 = view.held.iter().map(|held| self.size_mb(held)).sum();
        let mut candidates: Vec<(&ModelName, f64)> = view
            .held
            .iter()
            .map(|held| (*held, self.eviction_cost(view, held)))
            .collect();
        candidates.sort_by(|one, other| one.1.total_cmp(&other.1));
        let mut victims = LoadVictims::default();
        for (victim, cost) in candidates {
            if used + needed <= room {
                break;
            }
            used -= self.size_mb(victim);
            self.add_victim(&mut victims, view, victim, cost);
        }
        (used + needed <= room).then_some(victims)
    }

    fn add_victim(
        &self,
        victims: &mut LoadVictims,
        view: &EngineView<'_>,
        victim: &ModelName,
        cost: f64,
    ) {
        victims.models.push(victim.clone());
        victims.cost += cost;
        victims.drain_cost += self.drain_cost(view, victim);
        victims.displaced_rate += self.displaced_rate(victim);
    }

    /// Returns the reduction of the fleet's summed squared utilization by a load, minus the cost of its
    /// evictions.
    /// Waiting time grows faster than utilization, so utilization is squared. Removing a small share from a
    /// full engine gains more than adding the same share to an idle one costs.
    fn gain(&self, view: &EngineView<'_>, model: &ModelName, victims: &LoadVictims) -> f64 {
        let Some(wanted) = self.models.get(model) else {
            return 0.0;
        };
        let present = wanted.share();
        let shared = wanted.share_with(view);
        let relief: f64 = self
            .other_holders(view, wanted)
            .map(|holder| {
                let after = holder.utilization.saturating_minus(present).plus(shared);
                holder.weighted_square(holder.utilization) - holder.weighted_square(after)
            })
            .sum();
        let leaving = victims
            .models
            .iter()
            .filter_map(|victim| self.models.get(victim))
            .map(ModelView::share)
            .fold(EngineShare::default(), EngineShare::plus);
        let after = view.utilization.saturating_minus(leaving).plus(shared);
        let added = view.weighted_square(after) - view.weighted_square(view.utilization);
        relief - added - victims.cost + self.lateness_relief(view, wanted)
    }

    /// Returns the cost of evicting a model from an engine. It consists of the time until the model's
    /// streams have ended there and the share that its other holders take over. If there is no other
    /// holder, the second part is the cost of the requests that wait until the model is loaded again.
    fn eviction_cost(&self, view: &EngineView<'_>, model: &ModelName) -> f64 {
        let Some(lost) = self.models.get(model) else {
            return 0.0;
        };
        let removal = self.removal_cost(view, model, lost) + self.lateness_growth(view, lost);
        self.drain_cost(view, model) + removal
    }

    /// Returns the cost of the engine time until the streams of a model have ended.
    fn drain_cost(&self, view: &EngineView<'_>, model: &ModelName) -> f64 {
        let Some(lost) = self.models.get(model) else {
            return 0.0;
        };
        let streams = self.uses.requests(view.row.record.address, model);
        ENGINE_TIME_COST_PER_S * lost.slot_time_s * expected_longest(streams)
    }

    /// Returns the requests per second for a model that would have no holder left after one eviction, or 0
    /// if it has other holders.
    fn displaced_rate(&self, model: &ModelName) -> f64 {
        let lost = self.models.get(model);
        let lost = lost.filter(|lost| self.holders_left(model, lost) == 0);
        lost.map_or(0.0, |lost| lost.long_request_rate)
    }

    /// Returns the number of holders that a model has left after one eviction. Where models are moved, a load in
    /// progress does not count: the model that it is to free elsewhere would have no holder until it is done.
    pub(super) fn holders_left(&self, name: &ModelName, model: &ModelView) -> usize {
        let holds = |index: &&usize| self.engines[**index].held.contains(&name);
        let holders = if self.speeds.is_uneven {
            model.served_by.iter().filter(holds).count()
        } else {
            model.served_by.len()
        };
        holders.saturating_sub(1)
    }

    /// Returns the cost of having one holder less for a model.
    fn removal_cost(&self, view: &EngineView<'_>, model: &ModelName, lost: &ModelView) -> f64 {
        if lost.served_by.len() > 1 {
            let present = lost.share();
            let shared = lost.share_without(view);
            let others = self.other_holders(view, lost);
            return others
                .map(|holder| {
                    let after = holder.utilization.saturating_minus(present).plus(shared);
                    holder.weighted_square(after) - holder.weighted_square(holder.utilization)
                })
                .sum();
        }
        let return_probability = match lost.idle {
            None => return UNREQUESTED_HOLDER_COST,
            Some(idle) if idle < RECENT_WINDOW => 1.0,
            Some(_) => IDLE_RETURN_PROBABILITY,
        };
        let reload_s = self.reload_time(view, model).as_secs_f64();
        let waiting = 1.0 + lost.request_rate / RELOAD_WAIT_RATE_PER_S;
        let cost = LAST_HOLDER_COST + ENGINE_TIME_COST_PER_S * reload_s * waiting;
        cost * return_probability + lost.share().squared()
    }

    /// Returns the expected time to load a model again after an engine has evicted it. That engine has a
    /// copy of the weights but loads another model first. Other engines with a copy can load it soon if at
    /// least one of them is not busy: if loads take five seconds and two in three engines are loading, most
    /// copies are of no use.
    fn reload_time(&self, view: &EngineView<'_>, model: &ModelName) -> Duration {
        let Some(rule) = self.rule.model(model) else {
            return Duration::ZERO;
        };
        let own = view.row.status(self.now);
        let own_copies = u32::from(own.is_some_and(|status| status.copies.has(model)));
        let copies = self.models.get(model).map_or(0, |known| known.copies);
        let others = copies.saturating_sub(own_copies);
        let others = i32::try_from(others).unwrap_or(i32::MAX);
        let all_busy = self.busy_share.powi(others);
        rule.load_from_disk.mul_f64(1.0 - all_busy) + rule.load.mul_f64(all_busy)
    }

    pub(super) fn other_holders(
        &self,
        view: &EngineView<'_>,
        model: &ModelView,
    ) -> impl Iterator<Item = &EngineView<'_>> {
        let own = view.row.index;
        let holders = model.served_by.iter().map(|index| &self.engines[*index]);
        holders.filter(move |holder| holder.row.index != own)
    }
}

/// Returns the expected remaining time of the longest of `streams` streams, in slot times. Streams end at
/// random times, so the first end takes a fraction of a slot time and the last ones take whole slot times.
fn expected_longest(streams: u32) -> f64 {
    (1..=streams).map(|left| 1.0 / f64::from(left)).sum()
}
