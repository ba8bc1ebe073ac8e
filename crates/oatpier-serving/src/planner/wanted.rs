//! Which loads a round calls for, and in which order.

use std::collections::HashMap;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::ModelName;

use super::LoadReason;
use super::gain::LoadOption;
use super::round::PlanRound;

/// What a replica must gain, beyond its costs, in squared shares of an engine. The only holder of a
/// model that takes 0.6 of it gains 0.18 by a second one.
const REPLICA_GAIN: f64 = 0.05;

/// What one request a second for a model weighs that nobody holds. An engine that is asked for 1.3 of what
/// it can do turns away some ten a second, 0.07 for each; these are all turned away, and not one in four.
const MISSING_PRICE: f64 = 0.2;

/// What each second weighs for which a model that is asked for has been missing. Its callers are few, but
/// wait for it: after some two seconds it goes before replicas that bring little.
const WAITING_PRICE_PER_S: f64 = 0.2;

/// A model that nobody holds takes the place of the last holder of one that is asked for at most this part as
/// often. With equal ones, the one that goes would be the next one's turn at once: where more models are
/// in demand than there are places free, of two loads one only put a model in another's place, a median of
/// 0.8 s after its own was taken, and each takes an engine five seconds.
const TURN_SHARE: f64 = 0.5;

/// With each second that such a model is missing it counts as asked for by so much more a second: one that is
/// asked for every other second takes another such one's place after five, the longest time of a load.
const TURN_RATE_PER_S: f64 = 0.05;

/// A model that takes less than this share of an engine gets no further replica: another model there
/// is the cause of the load.
const LEAST_SHARE: f64 = 0.1;

/// The share of its slots above which an engine's models get replicas.
const BUSY_SHARE: f64 = 0.35;

/// A load that is called for.
#[derive(Debug)]
pub(super) struct WantedLoad {
    pub(super) model: ModelName,
    pub(super) reason: LoadReason,
    /// What it gains, in engines' loads as [`EngineShare::squared`] counts them.
    worth: f64,
    /// The rate of requests, a second, up to which other models may lose their last holder for it.
    turn_rate: f64,
}

impl PlanRound<'_> {
    /// The loads that are called for, what gains most first: each takes an engine for seconds and one of
    /// the weight store's loads, so the order says who gets them.
    pub(super) fn wanted(&self, missing: &HashMap<ModelName, ClockTime>) -> Vec<WantedLoad> {
        let unreachable = self
            .unreachable()
            .map(|model| self.wanted_missing(model, missing));
        let busy = self
            .busiest()
            .into_iter()
            .map(|model| self.wanted_replica(model));
        let mut wanted: Vec<WantedLoad> = unreachable.chain(busy).collect();
        wanted.sort_by(|one, other| {
            let by_worth = other.worth.total_cmp(&one.worth);
            by_worth.then(one.model.cmp(&other.model))
        });
        wanted
    }

    fn wanted_missing(
        &self,
        model: &ModelName,
        missing: &HashMap<ModelName, ClockTime>,
    ) -> WantedLoad {
        let known = self.models.get(model);
        let rate = known.map_or(0.0, |view| view.unserved.max(view.asked));
        let long_rate = known.map_or(0.0, |view| view.asked_long);
        let since = missing.get(model).copied().unwrap_or(self.now);
        let waited_s = self.now.since(since).as_secs_f64();
        WantedLoad {
            model: model.clone(),
            reason: LoadReason::Unreachable,
            worth: rate * MISSING_PRICE + waited_s * WAITING_PRICE_PER_S,
            turn_rate: long_rate * TURN_SHARE + waited_s * TURN_RATE_PER_S,
        }
    }

    fn wanted_replica(&self, model: ModelName) -> WantedLoad {
        let mut wanted = WantedLoad {
            model,
            reason: LoadReason::Busy,
            worth: 0.0,
            turn_rate: f64::INFINITY,
        };
        let best = self.best_option(&wanted, true);
        wanted.worth = best.map_or(0.0, |option| option.gain);
        wanted
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

    /// The engine where a load gains most, if it gains enough and takes no place from callers who lose more.
    pub(super) fn best_option(&self, wanted: &WantedLoad, store_open: bool) -> Option<LoadOption> {
        let options = (0..self.engines.len())
            .filter_map(|engine| self.option(engine, &wanted.model, wanted.reason));
        let best = options
            .filter(|option| store_open || !option.from_store)
            .filter(|option| option.absent_rate <= wanted.turn_rate)
            .max_by(|one, other| one.rank().total_cmp(&other.rank()))?;
        match wanted.reason {
            LoadReason::Unreachable | LoadReason::Room => Some(best),
            LoadReason::Busy => (best.gain > REPLICA_GAIN).then_some(best),
        }
    }
}
