//! Plans which engine loads which model next.
//!
//! Demand moves between models within seconds, and a load takes between half a second and four seconds.
//! Each round looks for two kinds of gaps: requested models that no engine holds, and models whose holders
//! are much busier than another engine would be with them. The loads with the largest gain are planned
//! first. The planner advises at most one load at a time per engine, including the models to evict for it.
//! The engine's sidecar checks memory and the store rate before it carries out the advice.
//!
//! The last holder of a model may be evicted too, if the load that replaces it relieves the fleet by more
//! than the next requests for the evicted model lose while it is loaded again. Every model stays reachable,
//! because an evicted model is loaded again when it is requested.
//!
//! Where the sidecars report that engines differ in speed, models are also moved to engines that serve their
//! streams in time, and no last holder of a requested model is evicted for that or for a replica.

mod capacity;
mod crash_tracker;
mod exchange;
pub mod forecast;
mod gain;
mod lateness;
mod moves;
mod pinned;
mod round;
mod wanted;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, ModelName};

use crate::directory::EndpointRow;
use crate::message::LoadAdvice;
use crate::peers::{FleetUses, TotalDemand};
use crate::site::EngineRule;

use capacity::FleetSpeeds;
use crash_tracker::CrashTracker;
use gain::LoadOption;
use moves::MoveLimiter;
use pinned::PinnedModels;
use round::{EngineShare, EngineView, PlanRound};
use wanted::WantedLoad;

/// Time that the planner waits for advice to take effect before it gives the engine other advice. Covers a
/// datagram, the notice to gateways, and an order to the engine.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(700);

/// Minimum time before the same engine is named as a lender again. The borrower requests the right only
/// after its streams have ended, and a lender that is named twice can still lend only once.
const LENDER_COOLDOWN: Duration = Duration::from_secs(2);

/// Burst size of the weight store's load rate, in seconds of that rate.
const BURST_S: f64 = 3.0;

/// Advice that was sent to an engine.
#[derive(Debug, Clone)]
struct SentAdvice {
    model: ModelName,
    at: ClockTime,
}

/// Advice for one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedLoad {
    /// The engine.
    pub endpoint: EndpointName,
    /// The advice.
    pub advice: LoadAdvice,
    /// Reason for the load.
    pub reason: LoadReason,
    /// Figures that led to it.
    pub figures: LoadFigures,
}

/// Figures that led to a load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadFigures {
    /// Gain of the load, or of the swap that it begins, in squared engine shares.
    pub gain: f64,
    /// Capacity of the engine relative to an engine of usual speed.
    pub capacity: f64,
    /// Share of the model's streams that are expected to be late by a pause at the engine.
    pub late_share: f64,
}

/// Reason for a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReason {
    /// The model is requested, and no engine holds it.
    Unreachable,
    /// The holders of the model are too busy.
    Busy,
    /// An engine has free memory, and either no engine holds the model or this engine is empty after a
    /// restart.
    Room,
    /// The model's streams end late where they are served now.
    Speed,
    /// The model is to leave a fast engine for one whose streams end late there. This engine takes it over first.
    Swap,
    /// Interrupted streams can go on only at this software version, and no engine of it holds the model.
    Version,
}

impl LoadReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Busy => "busy",
            Self::Room => "room",
            Self::Speed => "speed",
            Self::Swap => "swap",
            Self::Version => "version",
        }
    }
}

/// A wanted load that no engine can carry out now.
#[derive(Debug, Clone, PartialEq)]
pub struct BlockedLoad {
    /// The model.
    pub model: ModelName,
    /// Reason for the load.
    pub reason: LoadReason,
    /// Number of engines that the demand for the model would fill.
    pub want: f64,
    /// Number of engines that hold the model.
    pub holders: f64,
    /// Whether the load rate of the weight store is used up for now.
    pub rate_spent: bool,
    /// Whether loads of the model are backed off because they crashed the engines that carried them out.
    pub is_backed_off: bool,
    /// Number of engines that are busy with another load, or from which no status is received.
    pub busy: u32,
    /// Number of engines that must wait for their share of the weight store's rate.
    pub paced: u32,
    /// Number of engines that would have to evict too much.
    pub full: u32,
    /// Number of engines that could take the load but would gain too little from it.
    pub idle: u32,
}

/// Result of one planning round.
#[derive(Debug, Default)]
pub struct PlanOutcome {
    /// Loads to advise.
    pub planned: Vec<PlannedLoad>,
    /// Loads that are wanted but not possible.
    pub blocked: Vec<BlockedLoad>,
}

/// Demand and current use as reported by all gateways.
#[derive(Debug, Clone, Copy)]
pub struct FleetDemand<'a> {
    /// Demand for each model.
    pub models: &'a HashMap<ModelName, TotalDemand>,
    /// Requests at each engine.
    pub uses: &'a FleetUses,
}

/// Planner of model loads. Remembers advice that has not taken effect yet.
#[derive(Debug, Default)]
pub struct LoadPlanner {
    advised: HashMap<EndpointName, SentAdvice>,
    /// Engines that were named as lenders, and when.
    named_lenders: HashMap<SocketAddr, ClockTime>,
    /// Requested models that no engine holds or loads, and since when.
    missing: HashMap<ModelName, ClockTime>,
    /// Models whose loads crash the engines that carry them out.
    crashes: CrashTracker,
    moves: MoveLimiter,
    pinned: PinnedModels,
    store_tokens: f64,
    refilled_at: ClockTime,
}

impl LoadPlanner {
    /// Plans the next loads for the engines of one service.
    pub fn plan<'a>(
        &mut self,
        rule: &'a EngineRule,
        rows: impl Iterator<Item = &'a EndpointRow>,
        demand: FleetDemand<'a>,
        now: ClockTime,
    ) -> PlanOutcome {
        self.refill_tokens(rule, now);
        self.advised
            .retain(|_, sent| now.since(sent.at) < ADVICE_TIMEOUT);
        self.named_lenders
            .retain(|_, named_at| now.since(*named_at) < LENDER_COOLDOWN);
        let rows: Vec<&EndpointRow> = rows.collect();
        self.crashes.observe(&rows, now);
        let mut round = self.build_round(rule, rows.into_iter(), demand, now);
        self.update_missing(&round);
        let mut outcome = PlanOutcome::default();
        for wanted in round.wanted_loads(&self.missing) {
            if self.crashes.is_backed_off(&wanted.model, now) {
                let mut blocked = round.describe_blocked(&wanted.model, wanted.reason);
                blocked.is_backed_off = true;
                outcome.blocked.push(blocked);
                continue;
            }
            self.plan_load(&mut round, &wanted, &mut outcome);
        }
        self.plan_pinned(&mut round, &mut outcome);
        if round.speeds.is_uneven {
            self.plan_move(&mut round, &mut outcome);
        }
        for engine in 0..round.engines.len() {
            self.fill_free_memory(&mut round, engine, &mut outcome);
        }
        outcome
    }

    /// Moves a model to an engine that serves its streams in time. Missing models go first: a move waits until all are
    /// loaded or being loaded.
    fn plan_move(&mut self, round: &mut PlanRound<'_>, outcome: &mut PlanOutcome) {
        self.moves.refill(round.engines.len(), round.now);
        if round.unreachable().next().is_some() {
            return;
        }
        let searched = self.moves.begin_search(round.engines.len(), round.now);
        if searched.is_empty() {
            return;
        }
        let has_tokens = self.store_tokens >= 1.0;
        let moves = round.useful_moves(&self.moves, &searched, has_tokens);
        let mut moves = moves.into_iter();
        let allowed = moves.find(|found| !self.crashes.is_backed_off(&found.model, round.now));
        let Some(found) = allowed else {
            return;
        };
        if found.option.from_store {
            self.store_tokens -= 1.0;
        }
        let name = &round.engines[found.option.engine].row.record.name;
        self.moves.note_move(name, round.now);
        self.record_advice(round, &found.option, &found.model, found.reason, outcome);
    }

    /// Loads a model of which the engine has a copy into free memory. Engines are empty after a restart,
    /// and waiting for requests that cannot be served would delay the first requests for every model.
    fn fill_free_memory(
        &mut self,
        round: &mut PlanRound<'_>,
        engine: usize,
        outcome: &mut PlanOutcome,
    ) {
        let Some(model) = round.best_model_for(engine) else {
            return;
        };
        if self.crashes.is_backed_off(&model, round.now) {
            return;
        }
        let Some(option) = round.load_option(engine, &model, LoadReason::Room) else {
            return;
        };
        if option.from_store || !option.unload.is_empty() {
            return;
        }
        self.record_advice(round, &option, &model, LoadReason::Room, outcome);
    }

    fn update_missing(&mut self, round: &PlanRound<'_>) {
        let since = |model: &ModelName| self.missing.get(model).copied().unwrap_or(round.now);
        let missing = round
            .unreachable()
            .map(|model| (model.clone(), since(model)));
        self.missing = missing.collect();
    }

    fn refill_tokens(&mut self, rule: &EngineRule, now: ClockTime) {
        let gained = now.since(self.refilled_at).as_secs_f64() * rule.loads_per_s;
        self.store_tokens = (self.store_tokens + gained).min((rule.loads_per_s * BURST_S).max(1.0));
        self.refilled_at = now;
    }

    fn build_round<'a>(
        &self,
        rule: &'a EngineRule,
        rows: impl Iterator<Item = &'a EndpointRow>,
        demand: FleetDemand<'a>,
        now: ClockTime,
    ) -> PlanRound<'a> {
        let rows: Vec<&EndpointRow> = rows
            .filter(|row| row.is_open(now) && !row.is_throttled(now))
            .collect();
        let speeds = FleetSpeeds::of_rows(&rows, now);
        let engines: Vec<EngineView<'a>> = rows
            .into_iter()
            .map(|row| self.engine_view(row, speeds, now))
            .collect();
        let slots = engines.first().map_or(1, |view| view.row.record.slots);
        let mut round = PlanRound {
            rule,
            models: BTreeMap::new(),
            uses: demand.uses,
            speeds,
            lenders: self.available_lenders(&engines, now),
            busy_share: busy_share(&engines),
            engines,
            slots: f64::from(slots.max(1)),
            now,
        };
        round.add_models(demand.models);
        round.update_utilization();
        round
    }

    /// Returns the engines that can lend their right to load from the weight store.
    fn available_lenders(&self, engines: &[EngineView<'_>], now: ClockTime) -> Vec<usize> {
        let has_right = |view: &EngineView<'_>| {
            let status = view.row.status(now);
            status.is_some_and(|status| status.answers && status.load_wait_ms == 0)
        };
        let indexed = engines.iter().enumerate();
        let eligible = indexed.filter(|(_, view)| {
            has_right(view) && !self.named_lenders.contains_key(&view.row.record.address)
        });
        eligible.map(|(index, _)| index).collect()
    }

    fn engine_view<'a>(
        &self,
        row: &'a EndpointRow,
        speeds: FleetSpeeds,
        now: ClockTime,
    ) -> EngineView<'a> {
        let held = row.models(now).iter().map(|held| &held.model);
        let held = held.filter(|model| row.holds(model, now)).collect();
        let takes_load = |status: &crate::message::EngineStatus| {
            status.answers && status.loading.is_none() && status.retiring.is_empty()
        };
        let is_idle = row.status(now).is_some_and(takes_load);
        let loading = row.status(now).and_then(|status| status.loading.clone());
        let advised = self.advised.get(&row.record.name);
        EngineView {
            row,
            held,
            incoming: loading.or_else(|| advised.map(|sent| sent.model.clone())),
            utilization: EngineShare::default(),
            speed: speeds.of_row(row, now),
            is_free: is_idle && !self.advised.contains_key(&row.record.name),
        }
    }

    fn plan_load(
        &mut self,
        round: &mut PlanRound<'_>,
        wanted: &WantedLoad,
        outcome: &mut PlanOutcome,
    ) {
        let (model, reason) = (&wanted.model, wanted.reason);
        let Some(option) = round.best_option(wanted, self.store_tokens >= 1.0) else {
            let mut blocked = round.describe_blocked(model, reason);
            blocked.rate_spent = self.store_tokens < 1.0;
            outcome.blocked.push(blocked);
            return;
        };
        if option.from_store {
            self.store_tokens -= 1.0;
        }
        self.record_advice(round, &option, model, reason, outcome);
    }

    fn record_advice(
        &mut self,
        round: &mut PlanRound<'_>,
        option: &LoadOption,
        model: &ModelName,
        reason: LoadReason,
        outcome: &mut PlanOutcome,
    ) {
        let load = round.build_advice(option, model, reason);
        let lenders = load.advice.lenders.iter();
        self.named_lenders
            .extend(lenders.map(|lender| (*lender, round.now)));
        self.advised.insert(
            load.endpoint.clone(),
            SentAdvice {
                model: model.clone(),
                at: round.now,
            },
        );
        round.apply_advised(option, model);
        outcome.planned.push(load);
    }
}

/// Returns the share of engines that cannot be told to load anything now.
fn busy_share(engines: &[EngineView<'_>]) -> f64 {
    let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    let busy = engines.iter().filter(|view| !view.is_free).count();
    count(busy) / count(engines.len().max(1))
}
