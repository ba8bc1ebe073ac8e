//! Moves of models to engines whose speed suits their streams.
//!
//! A move may take two loads: a model that few request leaves a fast engine for a slow one, and a model with many long
//! streams takes its place. The first load alone is planned here. Once it is done, the second one is found like any
//! other, so that a gateway that takes over the planning needs no record of the first.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, ModelName};

use super::LoadReason;
use super::exchange::UNUSED_RATE_PER_S;
use super::gain::LoadOption;
use super::round::PlanRound;

/// Mean time between two moves of one engine. A load takes up to six seconds of an engine's time, so that moves take a
/// tenth of it at most.
const ENGINE_MOVE_INTERVAL: Duration = Duration::from_mins(1);

/// Largest number of moves at once, as a share of the engines.
const MAX_BURST_SHARE: f64 = 0.1;

/// Minimum time between two moves at one engine: two of the longest loads and the streams that end before them.
const MIN_MOVE_PAUSE: Duration = Duration::from_secs(10);

/// Minimum time between two searches for moves. A search takes as long as several rounds without one.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// Number of engines among which a search looks for pairs of places, so that its time does not grow with the fleet.
/// The next search takes the next ones.
const SEARCHED_ENGINES: usize = 64;

/// Minimum gain of a move after the costs of its loads, in squared engine shares. Less than the gain of a replica, which
/// may be needed for seconds only: speeds last. Twice the error that noise of a tenth in the paces makes.
const MIN_MOVE_GAIN: f64 = 0.03;

/// Limits the rate of moves.
#[derive(Debug, Default)]
pub(super) struct MoveLimiter {
    moved_at: HashMap<EndpointName, ClockTime>,
    tokens: f64,
    refilled_at: ClockTime,
    searched_at: Option<ClockTime>,
    /// Number of the first engine of the next search.
    next_engine: usize,
}

impl MoveLimiter {
    pub(super) fn refill(&mut self, engines: usize, now: ClockTime) {
        let engines = f64::from(u32::try_from(engines).unwrap_or(u32::MAX));
        let gained = now.since(self.refilled_at).as_secs_f64() / ENGINE_MOVE_INTERVAL.as_secs_f64();
        let burst = (engines * MAX_BURST_SHARE).max(1.0);
        self.tokens = (self.tokens + gained * engines).min(burst);
        self.refilled_at = now;
        self.moved_at
            .retain(|_, moved_at| now.since(*moved_at) < MIN_MOVE_PAUSE);
    }

    /// Returns the engines among which to search for moves now; none if it is not time for a search.
    pub(super) fn begin_search(&mut self, engines: usize, now: ClockTime) -> Vec<usize> {
        let is_early = self
            .searched_at
            .is_some_and(|searched_at| now.since(searched_at) < SEARCH_INTERVAL);
        if self.tokens < 1.0 || is_early || engines == 0 {
            return Vec::new();
        }
        self.searched_at = Some(now);
        let searched = engines.min(SEARCHED_ENGINES);
        let first = self.next_engine % engines;
        self.next_engine = first + searched;
        (first..first + searched)
            .map(|engine| engine % engines)
            .collect()
    }

    /// Returns whether an engine's models were not moved lately.
    pub(super) fn allows(&self, engine: &EndpointName) -> bool {
        !self.moved_at.contains_key(engine)
    }

    pub(super) fn note_move(&mut self, engine: &EndpointName, now: ClockTime) {
        self.tokens -= 1.0;
        self.moved_at.insert(engine.clone(), now);
    }
}

/// A load that moves a model.
pub(super) struct ModelMove {
    pub(super) option: LoadOption,
    pub(super) model: ModelName,
    pub(super) reason: LoadReason,
}

impl PlanRound<'_> {
    /// Returns the loads that gain enough, those with the largest gain first.
    pub(super) fn useful_moves(
        &self,
        limiter: &MoveLimiter,
        searched: &[usize],
        has_tokens: bool,
    ) -> Vec<ModelMove> {
        let mut moves: Vec<ModelMove> = Vec::new();
        for model in self.models_to_move() {
            let direct = self.direct_move(&model, limiter, has_tokens);
            let found = direct.or_else(|| self.swap_move(&model, limiter, searched, has_tokens));
            moves.extend(found);
        }
        moves.sort_by(|one, other| other.option.gain.total_cmp(&one.option.gain));
        moves
    }

    fn models_to_move(&self) -> Vec<ModelName> {
        let mut models = self.late_models();
        for model in self.busiest_models() {
            if !models.contains(&model) {
                models.push(model);
            }
        }
        models
    }

    /// Returns a load of `model` that evicts no last holder of a requested model.
    fn direct_move(
        &self,
        model: &ModelName,
        limiter: &MoveLimiter,
        has_tokens: bool,
    ) -> Option<ModelMove> {
        let option = self
            .move_options(model, LoadReason::Speed, limiter, has_tokens)
            .filter(|option| option.displaced_rate <= UNUSED_RATE_PER_S)
            .max_by(|one, other| one.rank().total_cmp(&other.rank()))?;
        (option.gain > MIN_MOVE_GAIN).then_some(ModelMove {
            option,
            model: model.clone(),
            reason: LoadReason::Speed,
        })
    }

    /// Returns the first load of a swap: the model that is to leave a better engine for `model` gets another holder.
    fn swap_move(
        &self,
        model: &ModelName,
        limiter: &MoveLimiter,
        searched: &[usize],
        has_tokens: bool,
    ) -> Option<ModelMove> {
        let swap = self.best_swap(model, searched)?;
        if !limiter.allows(&self.engines[swap.refuge].row.record.name) {
            return None;
        }
        let option = self.replacing_option(swap.refuge, &swap.leaving, swap.replaced.as_ref())?;
        let second = self.replacing_option(swap.target, model, Some(&swap.leaving))?;
        let gain = swap.gain - option.load_cost - second.load_cost;
        let second_gain = swap.gain - swap.first_gain - second.load_cost;
        let is_possible = has_tokens || !option.from_store;
        // The second load has to be worth it once the first one is done. Otherwise the next swap would be planned.
        let is_worth_it = gain.min(second_gain) > MIN_MOVE_GAIN;
        (is_possible && is_worth_it).then_some(ModelMove {
            option: LoadOption { gain, ..option },
            model: swap.leaving,
            reason: LoadReason::Swap,
        })
    }

    fn move_options<'a>(
        &'a self,
        model: &'a ModelName,
        reason: LoadReason,
        limiter: &'a MoveLimiter,
        has_tokens: bool,
    ) -> impl Iterator<Item = LoadOption> + 'a {
        (0..self.engines.len())
            .filter(|engine| limiter.allows(&self.engines[*engine].row.record.name))
            .filter_map(move |engine| self.load_option(engine, model, reason))
            .filter(move |option| has_tokens || !option.from_store)
    }
}
