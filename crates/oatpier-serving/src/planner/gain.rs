//! What a load would gain, and what the models that make room for it weigh.
//!
//! Everything is counted in squared shares of an engine: the sum over all engines of the square of their
//! load, which grows like the waiting there.

use std::time::Duration;

use oatpier_types::names::ModelName;

use super::LoadReason;
use super::round::{EngineShare, EngineView, ModelView, PlanRound};

/// What a load from the weight store weighs, in squared shares of an engine: the others wait for their part of its
/// rate. Little, since demand that rises needs replicas before its holders are full. Priced by the time that such
/// a load takes an engine, one day of the largest fleet was worth 0.66 beside 0.68: one play each, and plays of the
/// same code differ by 0.02.
const STORE_LOAD_PRICE: f64 = 0.05;

/// The same where callers already wait for the model and are refused when it does not come in time.
const STORE_WAIT_PRICE: f64 = 0.3;

/// What a second of an engine's time weighs, in squared shares of an engine: meanwhile it can load nothing
/// else, adapters included, and who waits for that is late. A load takes 0.4 s from its host's memory, about one
/// from its disk, and up to six from the weight store.
const ENGINE_TIME_PRICE_PER_S: f64 = 0.12;

/// What dropping the last holder of a model weighs, in squared shares of an engine: the next request
/// for it is late. An engine that is asked for 1.3 of what it can do turns away some ten requests a
/// second, 0.7 in these units.
const LAST_PRICE: f64 = 0.1;

/// The rate of requests for a model, a second, at which those that wait while it is loaded weigh as much as
/// the engine's time: at four a second about as many are late as one engine turns away in that time.
const LAST_RATE: f64 = 4.0;

/// A model that was asked for within this time is likely to be asked for again.
const RECENT: Duration = Duration::from_secs(10);

/// How likely one is that was not. A guess: on days with 90 models most were asked for every second or two,
/// and few fell silent for this long without having lost their callers.
const OLD_CHANCE: f64 = 0.33;

/// What dropping the last holder weighs where nobody ever asked for the model: little, and not nothing, so
/// that of two such engines the one with room is taken.
const LAST_UNASKED_PRICE: f64 = 0.03;

/// A possible load.
pub(super) struct LoadOption {
    pub(super) engine: usize,
    pub(super) unload: Vec<ModelName>,
    /// By how much the load relieves the fleet, less what it costs, in squared shares of an engine.
    pub(super) gain: f64,
    /// What it weighs that callers wait for the load, beside the shortest one. It tells options for one model
    /// apart, and not whether the model is to be loaded.
    pub(super) delay: f64,
    pub(super) from_store: bool,
    /// Whether the engine's own right to load from the weight store is spent.
    pub(super) needs_right: bool,
    /// Requests a second for the models that go and that nobody else holds.
    pub(super) absent_rate: f64,
}

impl LoadOption {
    /// By which options for one model are compared.
    pub(super) fn rank(&self) -> f64 {
        self.gain - self.delay
    }
}

/// Models that make room for a load.
#[derive(Default)]
pub(super) struct LoadVictims {
    models: Vec<ModelName>,
    /// What losing them weighs.
    loss: f64,
    /// Requests a second for those of them that nobody else holds.
    absent_rate: f64,
}

impl PlanRound<'_> {
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
        let needs_right = from_store && pulse.load_wait_ms > 0;
        if needs_right && self.lenders.is_empty() {
            return None;
        }
        let victims = self.victims(view, model)?;
        let rule = self.rule.model(model)?;
        let longer = rule
            .load_with(&pulse.copies)
            .saturating_sub(rule.load_from_memory);
        let price = match (from_store, reason) {
            (false, _) => 0.0,
            (true, LoadReason::Unreachable) => STORE_WAIT_PRICE,
            (true, _) => STORE_LOAD_PRICE,
        };
        Some(LoadOption {
            engine,
            gain: self.gain(view, model, &victims) - price,
            delay: ENGINE_TIME_PRICE_PER_S * longer.as_secs_f64(),
            unload: victims.models,
            from_store,
            needs_right,
            absent_rate: victims.absent_rate,
        })
    }

    /// The cheapest models that make room; none if there is no room however many go.
    pub(super) fn victims(&self, view: &EngineView<'_>, model: &ModelName) -> Option<LoadVictims> {
        let room = self.rule.model_room_mb();
        let needed = self.rule.model(model)?.size_mb;
        let mut used: f64 = view.held.iter().map(|held| self.size(held)).sum();
        let mut candidates: Vec<(&ModelName, f64)> = view
            .held
            .iter()
            .map(|held| (*held, self.loss(view, held)))
            .collect();
        candidates.sort_by(|one, other| one.1.total_cmp(&other.1));
        let mut victims = LoadVictims::default();
        for (victim, loss) in candidates {
            if used + needed <= room {
                break;
            }
            used -= self.size(victim);
            victims.models.push(victim.clone());
            victims.loss += loss;
            victims.absent_rate += self.absent_rate(victim);
        }
        (used + needed <= room).then_some(victims)
    }

    /// By how much a load relieves the fleet, less what the models that go weigh. Waiting grows faster
    /// than load, so load counts by its square: taking a little from a full engine is worth more than
    /// what the same adds to an idle one.
    fn gain(&self, view: &EngineView<'_>, model: &ModelName, victims: &LoadVictims) -> f64 {
        let Some(wanted) = self.models.get(model) else {
            return 0.0;
        };
        let present = wanted.share();
        let shared = wanted.share_among(wanted.holders() + 1.0);
        let relief: f64 = self
            .other_holders(view, wanted)
            .map(|holder| holder.load.squared() - holder.load.minus(present).plus(shared).squared())
            .sum();
        let leaving = victims
            .models
            .iter()
            .filter_map(|victim| self.models.get(victim))
            .map(ModelView::share)
            .fold(EngineShare::default(), EngineShare::plus);
        let after = view.load.minus(leaving).plus(shared);
        let added = after.squared() - view.load.squared();
        relief - added - victims.loss
    }

    /// What losing a model at an engine weighs: the time until its streams are over, and what its other
    /// holders get on top, or, where there is no other one, the requests that wait until it is loaded again.
    fn loss(&self, view: &EngineView<'_>, model: &ModelName) -> f64 {
        let Some(lost) = self.models.get(model) else {
            return 0.0;
        };
        let streams = self.uses.requests(view.row.record.address, model);
        let drain_s = lost.hold_s * longest_of(streams);
        ENGINE_TIME_PRICE_PER_S * drain_s + self.absence(view, model, lost)
    }

    /// Requests a second for a model, if dropping one holder leaves it without any.
    fn absent_rate(&self, model: &ModelName) -> f64 {
        let lost = self.models.get(model);
        let lost = lost.filter(|lost| lost.served_by.len() <= 1);
        lost.map_or(0.0, |lost| lost.asked_long)
    }

    /// What it weighs that a model is no longer there.
    fn absence(&self, view: &EngineView<'_>, model: &ModelName, lost: &ModelView) -> f64 {
        if lost.served_by.len() > 1 {
            let present = lost.share();
            let shared = lost.share_among(lost.holders() - 1.0);
            let others = self.other_holders(view, lost);
            return others
                .map(|holder| {
                    holder.load.minus(present).plus(shared).squared() - holder.load.squared()
                })
                .sum();
        }
        let chance = match lost.idle {
            None => return LAST_UNASKED_PRICE,
            Some(idle) if idle < RECENT => 1.0,
            Some(_) => OLD_CHANCE,
        };
        let reload_s = self.reload_time(view, model).as_secs_f64();
        let waiting = 1.0 + lost.asked / LAST_RATE;
        let price = LAST_PRICE + ENGINE_TIME_PRICE_PER_S * reload_s * waiting;
        price * chance + lost.share().squared()
    }

    /// How long a model takes to be loaded after an engine has dropped it. That engine has a copy, but
    /// loads something else first. Others that have one can load it soon if one of them is not busy itself:
    /// where loads take five seconds and two in three engines are at one, most copies are of no use.
    fn reload_time(&self, view: &EngineView<'_>, model: &ModelName) -> Duration {
        let Some(rule) = self.rule.model(model) else {
            return Duration::ZERO;
        };
        let own = view.row.pulse(self.now);
        let own_copies = u32::from(own.is_some_and(|pulse| pulse.copies.has(model)));
        let copies = self.models.get(model).map_or(0, |known| known.copies);
        let others = copies.saturating_sub(own_copies);
        let others = i32::try_from(others).unwrap_or(i32::MAX);
        let all_busy = self.busy_share.powi(others);
        rule.load_from_disk.mul_f64(1.0 - all_busy) + rule.load.mul_f64(all_busy)
    }

    fn other_holders(
        &self,
        view: &EngineView<'_>,
        model: &ModelView,
    ) -> impl Iterator<Item = &EngineView<'_>> {
        let own = view.row.index;
        let holders = model.served_by.iter().map(|place| &self.engines[*place]);
        holders.filter(move |holder| holder.row.index != own)
    }
}

/// How long the longest of so many streams goes on, in hold times: their ends come at random, so the first
/// one takes a part of a hold time and the last ones take whole ones.
fn longest_of(streams: u32) -> f64 {
    (1..=streams).map(|left| 1.0 / f64::from(left)).sum()
}
