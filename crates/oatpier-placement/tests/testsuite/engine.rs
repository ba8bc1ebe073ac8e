//! Simulated engine for tests. It executes every order, even one that overcommits its memory.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_placement::orders::OrderOutcome;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{
    EngineOrder, EngineRole, EngineState, HeldWeights, OrderAction, WeightsKey, WeightsState,
};
use oatpier_types::ids::OrderNumber;

#[derive(Debug, Clone)]
pub struct SimulatedEngine {
    pub checks_numbers: bool,
    pub memory_mib: u64,
    pub load_time: Duration,
    held: IndexMap<WeightsKey, (WeightsState, ClockTime)>,
    highest: Option<OrderNumber>,
    role: EngineRole,
}

impl SimulatedEngine {
    pub fn new(checks_numbers: bool, memory_mib: u64) -> Self {
        Self {
            checks_numbers,
            memory_mib,
            load_time: Duration::from_secs(2),
            held: IndexMap::new(),
            highest: None,
            role: EngineRole::Both,
        }
    }

    pub fn put_ready(&mut self, weights: &WeightsKey) {
        self.held
            .insert(weights.clone(), (WeightsState::Ready, ClockTime::NEVER));
    }

    pub fn take(&mut self, order: &EngineOrder, now: ClockTime) -> OrderOutcome {
        if let Some(highest) = self.highest.filter(|_| self.checks_numbers)
            && order.number < highest
        {
            return OrderOutcome::Stale { highest };
        }
        self.highest = self.highest.max(Some(order.number));
        match &order.action {
            OrderAction::Load { weights } => self.load(weights, now),
            OrderAction::Unload { weights } => self.unload(weights, now),
            OrderAction::SetRole { role } => self.role = *role,
        }
        OrderOutcome::Accepted
    }

    fn load(&mut self, weights: &WeightsKey, now: ClockTime) {
        let until = now + self.load_time;
        let entry = self
            .held
            .entry(weights.clone())
            .or_insert((WeightsState::Loading, until));
        if entry.0 == WeightsState::Unloading {
            *entry = (WeightsState::Loading, until);
        }
    }

    fn unload(&mut self, weights: &WeightsKey, now: ClockTime) {
        if let Some(entry) = self.held.get_mut(weights) {
            *entry = (WeightsState::Unloading, now + Duration::from_millis(300));
        }
    }

    pub fn advance(&mut self, now: ClockTime) {
        for entry in self.held.values_mut() {
            if entry.0 == WeightsState::Loading && now >= entry.1 {
                *entry = (WeightsState::Ready, ClockTime::NEVER);
            }
        }
        self.held
            .retain(|_, entry| entry.0 != WeightsState::Unloading || now < entry.1);
    }

    pub fn state(&self) -> EngineState {
        let held = self.held.iter().map(|(weights, entry)| HeldWeights {
            weights: weights.clone(),
            state: entry.0,
        });
        EngineState {
            held: held.collect(),
            role: self.role,
            highest: self.highest,
            memory_mib: self.memory_mib,
        }
    }

    pub fn used_mib(&self, config: &FleetConfig) -> u64 {
        self.held
            .keys()
            .map(|weights| config.memory_of(weights).unwrap())
            .sum()
    }

    pub fn is_ready(&self, weights: &WeightsKey) -> bool {
        self.held
            .get(weights)
            .is_some_and(|entry| entry.0 == WeightsState::Ready)
    }

    /// Returns whether the engine can serve requests for these weights, in any version.
    pub fn serves(&self, weights: &WeightsKey) -> bool {
        let ready = |adapter| {
            self.held.iter().any(|(held, entry)| {
                let same = held.model == weights.model && held.adapter == adapter;
                same && entry.0 == WeightsState::Ready
            })
        };
        ready(None) && ready(weights.adapter.clone())
    }
}
