//! Which engine should load which model next.
//!
//! Demand moves between models within seconds, and a load takes from half a second to four. Each
//! round looks for gaps: models that are asked for and that nobody holds, and models whose holders are
//! much busier than another engine would be with them. What gains most goes first. It answers with one
//! load at a time and engine, the victims included; the sidecar there checks memory and pace.
//!
//! The last holder of a model may be a victim too, where what it makes room for relieves the fleet by more
//! than the next requests for the model lose while it is loaded again. Every model stays reachable: one
//! that was dropped comes back when it is asked for.

pub mod forecast;
mod gain;
mod load_watch;
mod round;
mod wanted;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, ModelName};

use crate::directory::EndpointRow;
use crate::message::LoadAdvice;
use crate::peers::{FleetUses, TotalDemand};
use crate::site::EngineRule;

use gain::LoadOption;
use load_watch::LoadWatch;
use round::{EngineShare, EngineView, PlanRound};
use wanted::WantedLoad;

/// How long advice is waited for before the engine gets other advice: a datagram, a notice to
/// gateways, and an order.
const ADVICE_LIFE: Duration = Duration::from_millis(700);

/// An engine that was named as a lender is not named again for this long: the right is asked for when the
/// borrower's streams have ended, and a lender that was named twice lends once.
const LENDER_LIFE: Duration = Duration::from_secs(2);

/// Loads from the weight store that may be advised at once, as seconds of its rate.
const BURST_S: f64 = 3.0;

/// Advice that an engine was given.
#[derive(Debug, Clone)]
struct GivenAdvice {
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
    /// Why.
    pub reason: LoadReason,
}

/// Why a load is advised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReason {
    /// The model is asked for, and nobody holds it.
    Unreachable,
    /// The model's holders are too busy.
    Busy,
    /// An engine has room, and nobody holds the model, or the engine holds nothing after a restart.
    Room,
}

impl LoadReason {
    /// The word that logs and metrics use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Busy => "busy",
            Self::Room => "room",
        }
    }
}

/// A load that is wanted and that no engine can take now.
#[derive(Debug, Clone, PartialEq)]
pub struct BlockedLoad {
    /// The model.
    pub model: ModelName,
    /// Why it is wanted.
    pub reason: LoadReason,
    /// Engines that its demand would fill.
    pub want: f64,
    /// Engines that hold it.
    pub holders: f64,
    /// Whether the weight store's rate is used up for the moment.
    pub rate_spent: bool,
    /// Whether its loads wait, since they ended the engines that carried them out.
    pub rests: bool,
    /// Engines that are busy with another load, or not heard of.
    pub busy: u32,
    /// Engines that must wait for their part of the weight store's rate.
    pub paced: u32,
    /// Engines where too much would have to go.
    pub full: u32,
    /// Engines that could take it, but where it would gain too little.
    pub idle: u32,
}

/// What a round came to.
#[derive(Debug, Default)]
pub struct PlanOutcome {
    /// Loads to advise.
    pub planned: Vec<PlannedLoad>,
    /// Loads that are wanted and not possible.
    pub blocked: Vec<BlockedLoad>,
}

/// What the gateways' callers ask for and use.
#[derive(Debug, Clone, Copy)]
pub struct FleetDemand<'a> {
    /// The demand for each model.
    pub models: &'a HashMap<ModelName, TotalDemand>,
    /// Requests at engines.
    pub uses: &'a FleetUses,
}

/// Plans loads; remembers what was advised and not yet seen.
#[derive(Debug, Default)]
pub struct LoadPlanner {
    given: HashMap<EndpointName, GivenAdvice>,
    /// Engines that were named as lenders, and when.
    named: HashMap<SocketAddr, ClockTime>,
    /// Models that are asked for and that nobody holds or loads, and since when.
    missing: HashMap<ModelName, ClockTime>,
    /// Which models' loads end the engines that carry them out.
    watch: LoadWatch,
    tokens: f64,
    at: ClockTime,
}

impl LoadPlanner {
    /// Plans the next loads of one service's engines.
    pub fn plan<'a>(
        &mut self,
        rule: &'a EngineRule,
        rows: impl Iterator<Item = &'a EndpointRow>,
        demand: FleetDemand<'a>,
        now: ClockTime,
    ) -> PlanOutcome {
        self.refill(rule, now);
        self.given
            .retain(|_, given| now.since(given.at) < ADVICE_LIFE);
        self.named
            .retain(|_, named_at| now.since(*named_at) < LENDER_LIFE);
        let rows: Vec<&EndpointRow> = rows.collect();
        self.watch.look(&rows, now);
        let mut round = self.round(rule, rows.into_iter(), demand, now);
        self.note_missing(&round);
        let mut outcome = PlanOutcome::default();
        for wanted in round.wanted(&self.missing) {
            if self.watch.rests(&wanted.model, now) {
                let mut blocked = round.blocked(&wanted.model, wanted.reason);
                blocked.rests = true;
                outcome.blocked.push(blocked);
                continue;
            }
            self.advise(&mut round, &wanted, &mut outcome);
        }
        for engine in 0..round.engines.len() {
            self.fill(&mut round, engine, &mut outcome);
        }
        outcome
    }

    /// Loads into free room what an engine has copies of. After a restart engines are empty, and
    /// waiting for requests that can't be served would cost each model its first ones.
    fn fill(&mut self, round: &mut PlanRound<'_>, engine: usize, outcome: &mut PlanOutcome) {
        let Some(model) = round.best_fill(engine) else {
            return;
        };
        if self.watch.rests(&model, round.now) {
            return;
        }
        let Some(option) = round.option(engine, &model, LoadReason::Room) else {
            return;
        };
        if option.from_store || !option.unload.is_empty() {
            return;
        }
        self.give(round, &option, &model, LoadReason::Room, outcome);
    }

    fn note_missing(&mut self, round: &PlanRound<'_>) {
        let since = |model: &ModelName| self.missing.get(model).copied().unwrap_or(round.now);
        let missing = round
            .unreachable()
            .map(|model| (model.clone(), since(model)));
        self.missing = missing.collect();
    }

    fn refill(&mut self, rule: &EngineRule, now: ClockTime) {
        let gained = now.since(self.at).as_secs_f64() * rule.loads_per_s;
        self.tokens = (self.tokens + gained).min((rule.loads_per_s * BURST_S).max(1.0));
        self.at = now;
    }

    fn round<'a>(
        &self,
        rule: &'a EngineRule,
        rows: impl Iterator<Item = &'a EndpointRow>,
        demand: FleetDemand<'a>,
        now: ClockTime,
    ) -> PlanRound<'a> {
        let engines: Vec<EngineView<'a>> = rows
            .filter(|row| row.is_open(now) && !row.is_squeezed(now))
            .map(|row| self.engine_view(row, now))
            .collect();
        let slots = engines.first().map_or(1, |view| view.row.record.slots);
        let mut round = PlanRound {
            rule,
            models: HashMap::new(),
            uses: demand.uses,
            lenders: self.lenders(&engines, now),
            busy_share: busy_share(&engines),
            engines,
            slots: f64::from(slots.max(1)),
            now,
        };
        round.count_models(demand.models);
        round.spread_load();
        round
    }

    /// Engines that may lend their right to load from the weight store.
    fn lenders(&self, engines: &[EngineView<'_>], now: ClockTime) -> Vec<usize> {
        let has_right = |view: &EngineView<'_>| {
            let pulse = view.row.pulse(now);
            pulse.is_some_and(|pulse| pulse.answers && pulse.load_wait_ms == 0)
        };
        let places = engines.iter().enumerate();
        let able = places.filter(|(_, view)| {
            has_right(view) && !self.named.contains_key(&view.row.record.address)
        });
        able.map(|(place, _)| place).collect()
    }

    fn engine_view<'a>(&self, row: &'a EndpointRow, now: ClockTime) -> EngineView<'a> {
        let held = row.models(now).iter().map(|held| &held.model);
        let held = held.filter(|model| row.holds(model, now)).collect();
        let is_idle = |pulse: &crate::message::EnginePulse| {
            pulse.answers && pulse.loading.is_none() && pulse.retiring.is_empty()
        };
        let free = row.pulse(now).is_some_and(is_idle);
        let loading = row.pulse(now).and_then(|pulse| pulse.loading.clone());
        let advised = self.given.get(&row.record.name);
        EngineView {
            row,
            held,
            coming: loading.or_else(|| advised.map(|given| given.model.clone())),
            load: EngineShare::default(),
            free: free && !self.given.contains_key(&row.record.name),
        }
    }

    fn advise(
        &mut self,
        round: &mut PlanRound<'_>,
        wanted: &WantedLoad,
        outcome: &mut PlanOutcome,
    ) {
        let (model, reason) = (&wanted.model, wanted.reason);
        let Some(option) = round.best_option(wanted, self.tokens >= 1.0) else {
            let mut blocked = round.blocked(model, reason);
            blocked.rate_spent = self.tokens < 1.0;
            outcome.blocked.push(blocked);
            return;
        };
        if option.from_store {
            self.tokens -= 1.0;
        }
        self.give(round, &option, model, reason, outcome);
    }

    fn give(
        &mut self,
        round: &mut PlanRound<'_>,
        option: &LoadOption,
        model: &ModelName,
        reason: LoadReason,
        outcome: &mut PlanOutcome,
    ) {
        let load = round.advice(option, model, reason);
        let lenders = load.advice.lenders.iter();
        self.named
            .extend(lenders.map(|lender| (*lender, round.now)));
        self.given.insert(
            load.endpoint.clone(),
            GivenAdvice {
                model: model.clone(),
                at: round.now,
            },
        );
        round.note_advised(option, model);
        outcome.planned.push(load);
    }
}

/// The share of engines that can't be told to load anything now.
fn busy_share(engines: &[EngineView<'_>]) -> f64 {
    let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    let busy = engines.iter().filter(|view| !view.free).count();
    count(busy) / count(engines.len().max(1))
}
