//! Selects the loads that a round needs, and their order.

use std::collections::HashMap;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::ModelName;
use oatpier_types::software::SoftwareVersion;

use super::LoadReason;
use super::exchange::UNUSED_RATE_PER_S;
use super::gain::LoadOption;
use super::round::PlanRound;

/// Minimum gain of an additional replica after its costs, in squared engine shares. A second replica of a
/// model that takes 0.6 of its only holder gains 0.18.
const MIN_REPLICA_GAIN: f64 = 0.05;

/// Weight of one request per second for a model that no engine holds. An engine with a demand of 1.3 times
/// its capacity refuses about ten requests per second, at a weight of 0.07 each. For a missing model all
/// requests are refused instead of one in four.
const MISSING_RATE_WEIGHT: f64 = 0.2;

/// Weight of each second for which a requested model has been missing. Few callers request it, but they
/// wait for it. After about two seconds its load takes precedence over replicas with a small gain.
const MISSING_WEIGHT_PER_S: f64 = 0.2;

/// A model that no engine holds may evict the last holder of another model whose request rate is at most
/// this fraction of its own. With equal rates allowed, the evicted model would be the next one to be
/// loaded. If more models are in demand than fit, every second load would then only swap two models, at a
/// median of 0.8 s after the evicted one was loaded, and each load takes five seconds of engine time.
const DISPLACED_RATE_SHARE: f64 = 0.5;

/// Request rate that is added to a missing model's own for each second that it is missing. A model that is
/// requested every other second evicts a similar one after five seconds, the longest duration of a load.
const DISPLACED_RATE_PER_S: f64 = 0.05;

/// A model that takes less than this share of an engine gets no additional replica, because another model
/// causes the engine's load.
const MIN_REPLICA_SHARE: f64 = 0.1;

/// Utilization above which an engine's models get replicas.
const BUSY_UTILIZATION: f64 = 0.35;

/// A load that the round needs.
#[derive(Debug)]
pub(super) struct WantedLoad {
    pub(super) model: ModelName,
    pub(super) reason: LoadReason,
    /// The software version that the engine must have, if it matters.
    pub(super) version: Option<SoftwareVersion>,
    /// Gain of the load, in squared engine shares as counted by [`EngineShare::squared`].
    priority: f64,
    /// Request rate per second up to which other models may lose their last holder to this load.
    max_displaced_rate: f64,
}

impl PlanRound<'_> {
    /// Returns the loads that are needed, those with the largest gain first. Each load takes seconds of
    /// engine time and one load of the weight store's rate, so the order decides which models get them.
    pub(super) fn wanted_loads(&self, missing: &HashMap<ModelName, ClockTime>) -> Vec<WantedLoad> {
        let unreachable = self
            .unreachable()
            .map(|model| self.missing_load(model, missing));
        let busy = self
            .busiest_models()
            .into_iter()
            .map(|model| self.replica_load(model));
        let mut wanted: Vec<WantedLoad> = unreachable.chain(busy).collect();
        wanted.sort_by(|one, other| {
            let by_priority = other.priority.total_cmp(&one.priority);
            by_priority.then(one.model.cmp(&other.model))
        });
        wanted
    }

    fn missing_load(
        &self,
        model: &ModelName,
        missing: &HashMap<ModelName, ClockTime>,
    ) -> WantedLoad {
        let known = self.models.get(model);
        let rate = known.map_or(0.0, |view| view.unserved.max(view.request_rate));
        let long_rate = known.map_or(0.0, |view| view.long_request_rate);
        let since = missing.get(model).copied().unwrap_or(self.now);
        let missing_s = self.now.since(since).as_secs_f64();
        WantedLoad {
            model: model.clone(),
            reason: LoadReason::Unreachable,
            version: None,
            priority: rate * MISSING_RATE_WEIGHT + missing_s * MISSING_WEIGHT_PER_S,
            max_displaced_rate: long_rate * DISPLACED_RATE_SHARE + missing_s * DISPLACED_RATE_PER_S,
        }
    }

    /// Returns the load of a model that streams need at a software version, as urgent as that of a missing model.
    pub(super) fn pinned_load(
        &self,
        model: &ModelName,
        version: SoftwareVersion,
        missing: &HashMap<ModelName, ClockTime>,
    ) -> WantedLoad {
        WantedLoad {
            reason: LoadReason::Version,
            version: Some(version),
            ..self.missing_load(model, missing)
        }
    }

    fn replica_load(&self, model: ModelName) -> WantedLoad {
        let mut wanted = WantedLoad {
            model,
            reason: LoadReason::Busy,
            version: None,
            priority: 0.0,
            max_displaced_rate: if self.speeds.is_uneven {
                UNUSED_RATE_PER_S
            } else {
                f64::INFINITY
            },
        };
        let best = self.best_option(&wanted, true);
        wanted.priority = best.map_or(0.0, |option| option.gain);
        wanted
    }

    /// Returns models of the busiest engines, those with the largest contribution to the utilization first.
    pub(super) fn busiest_models(&self) -> Vec<ModelName> {
        let busy = self
            .engines
            .iter()
            .filter(|view| view.utilization.dominant_share() > BUSY_UTILIZATION);
        let mut models: Vec<(&ModelName, f64)> = busy
            .flat_map(|view| view.held.iter().map(|model| (*model, view.utilization)))
            .filter_map(|(model, load)| {
                Some((
                    model,
                    self.models.get(model)?.share().dominant_part_in(load),
                ))
            })
            .filter(|(_, part)| *part >= MIN_REPLICA_SHARE)
            .collect();
        models.sort_by(|one, other| other.1.total_cmp(&one.1).then(one.0.cmp(other.0)));
        let mut names: Vec<ModelName> =
            models.into_iter().map(|(model, _)| model.clone()).collect();
        names.dedup();
        names.truncate(4);
        names
    }

    /// Returns the engine on which a load gains most, if the gain is large enough and the load evicts no
    /// model whose callers lose more.
    pub(super) fn best_option(
        &self,
        wanted: &WantedLoad,
        store_has_tokens: bool,
    ) -> Option<LoadOption> {
        let options = (0..self.engines.len())
            .filter(|engine| self.has_version(*engine, wanted.version.as_ref()))
            .filter_map(|engine| self.load_option(engine, &wanted.model, wanted.reason));
        let best = options
            .filter(|option| store_has_tokens || !option.from_store)
            .filter(|option| option.displaced_rate <= wanted.max_displaced_rate)
            .max_by(|one, other| one.rank().total_cmp(&other.rank()))?;
        match wanted.reason {
            LoadReason::Unreachable | LoadReason::Room | LoadReason::Version => Some(best),
            LoadReason::Busy | LoadReason::Speed | LoadReason::Swap => {
                (best.gain > MIN_REPLICA_GAIN).then_some(best)
            }
        }
    }
}
