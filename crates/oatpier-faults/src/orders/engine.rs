//! A modelled engine: it executes every order that it accepts, even if that overcommits its memory.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_placement::orders::OrderOutcome;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{
    EngineOrder, EngineRole, EngineState, HeldWeights, OrderAction, WeightsKey, WeightsState,
};
use oatpier_types::ids::OrderNumber;
use oatpier_types::names::ModelName;

/// Duration of a load.
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Duration of an unload.
const UNLOAD_TIME: Duration = Duration::from_millis(300);

#[derive(Debug, Clone)]
pub struct OrderedEngine {
    checks_numbers: bool,
    memory_mib: u64,
    held: IndexMap<WeightsKey, (WeightsState, ClockTime)>,
    highest: Option<OrderNumber>,
    role: EngineRole,
    pub slow_until: ClockTime,
}

impl OrderedEngine {
    pub fn new(checks_numbers: bool, memory_mib: u64) -> Self {
        Self {
            checks_numbers,
            memory_mib,
            held: IndexMap::new(),
            highest: None,
            role: EngineRole::Both,
            slow_until: ClockTime::ZERO,
        }
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
        let slow = now < self.slow_until;
        let latency = if slow { LOAD_TIME * 4 } else { LOAD_TIME };
        let until = now + latency;
        let entry = self.held.entry(weights.clone());
        let entry = entry.or_insert((WeightsState::Loading, until));
        if entry.0 == WeightsState::Unloading {
            *entry = (WeightsState::Loading, until);
        }
    }

    fn unload(&mut self, weights: &WeightsKey, now: ClockTime) {
        if let Some(entry) = self.held.get_mut(weights) {
            *entry = (WeightsState::Unloading, now + UNLOAD_TIME);
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
        let sizes = self
            .held
            .keys()
            .filter_map(|weights| config.memory_of(weights));
        sizes.sum()
    }

    pub fn is_ready(&self, weights: &WeightsKey) -> bool {
        let entry = self.held.get(weights);
        entry.is_some_and(|entry| entry.0 == WeightsState::Ready)
    }

    /// Returns whether any version of the model is ready.
    pub fn serves(&self, model: &ModelName) -> bool {
        let mut held = self.held.iter();
        held.any(|(weights, entry)| weights.model == *model && entry.0 == WeightsState::Ready)
    }

    /// Returns whether the engine holds exactly these weights, all ready.
    pub fn holds_exactly(&self, wanted: &[WeightsKey]) -> bool {
        self.held.len() == wanted.len() && wanted.iter().all(|weights| self.is_ready(weights))
    }
}
