//! Weights of an engine, and the memory that they use.

use oatpier_types::clock::ClockTime;
use oatpier_types::engine::{EngineRole, HeldWeights, OrderAction, WeightsKey, WeightsState};
use smallvec::SmallVec;

use super::EngineOptions;
use crate::weights::{SharedWeights, WeightStore};

#[derive(Debug)]
struct HeldEntry {
    weights: WeightsKey,
    state: WeightsState,
    mib: u64,
    done: ClockTime,
}

/// Weights and role of an engine. Memory is counted from the start of a load to the end of an
/// unload.
#[derive(Debug)]
pub(super) struct EngineMemory {
    store: SharedWeights,
    held: Vec<HeldEntry>,
    role: EngineRole,
    next_role: Option<(ClockTime, EngineRole)>,
    /// How often a load exceeded the memory.
    pub(super) overcommits: u64,
}

impl EngineMemory {
    pub(super) fn new(options: &EngineOptions, store: SharedWeights) -> Self {
        let mut memory = Self {
            store,
            held: Vec::new(),
            role: options.role,
            next_role: None,
            overcommits: 0,
        };
        for weights in &options.preloaded {
            memory.hold(weights.clone(), WeightsState::Ready, ClockTime::NEVER);
        }
        memory.count_overcommit(options);
        memory
    }

    fn with_store<T>(&self, call: impl FnOnce(&mut WeightStore) -> T) -> T {
        let mut store = self
            .store
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        call(&mut store)
    }

    fn hold(&mut self, weights: WeightsKey, state: WeightsState, done: ClockTime) {
        let mib = self.with_store(|store| store.size_mib(&weights));
        self.held.push(HeldEntry {
            weights,
            state,
            mib,
            done,
        });
    }

    fn count_overcommit(&mut self, options: &EngineOptions) {
        if self.used_mib() > options.memory_mib {
            self.overcommits += 1;
        }
    }

    pub(super) fn used_mib(&self) -> u64 {
        self.held.iter().map(|entry| entry.mib).sum()
    }

    pub(super) fn role(&self) -> EngineRole {
        self.role
    }

    pub(super) fn rows(&self) -> SmallVec<[HeldWeights; 8]> {
        self.held
            .iter()
            .map(|entry| HeldWeights {
                weights: entry.weights.clone(),
                state: entry.state,
            })
            .collect()
    }

    /// Returns the ready weights that serve a model or an adapter with this name. Of several
    /// versions, the one that was loaded last.
    pub(super) fn serving(&self, name: &str) -> Option<&WeightsKey> {
        self.held
            .iter()
            .rev()
            .filter(|entry| entry.state == WeightsState::Ready)
            .map(|entry| &entry.weights)
            .find(|weights| served_name(weights) == name)
    }

    /// Returns the names of the models and adapters that can be served now.
    pub(super) fn served_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self
            .held
            .iter()
            .filter(|entry| entry.state == WeightsState::Ready)
            .map(|entry| served_name(&entry.weights).to_owned())
            .collect();
        names.sort();
        names.dedup();
        names
    }

    /// Executes an order, or returns why it is refused. Weights stop serving when their unload begins.
    pub(super) fn execute(
        &mut self,
        now: ClockTime,
        options: &EngineOptions,
        action: &OrderAction,
    ) -> Result<(), String> {
        match action {
            OrderAction::Load { weights } => self.load(now, options, weights),
            OrderAction::Unload { weights } => self.unload(now, options, weights),
            OrderAction::SetRole { role } => {
                self.next_role = Some((now + options.role_change, *role));
                Ok(())
            }
        }
    }

    fn load(
        &mut self,
        now: ClockTime,
        options: &EngineOptions,
        weights: &WeightsKey,
    ) -> Result<(), String> {
        match self.state_of(weights) {
            Some(WeightsState::Unloading) => return Err("they are being unloaded".to_owned()),
            Some(WeightsState::Loading | WeightsState::Ready) => return Ok(()),
            None => {}
        }
        let has_base = self.serving(weights.model.as_str()).is_some();
        if weights.adapter.is_some() && !has_base {
            return Err("their base model is not ready".to_owned());
        }
        let done = self.with_store(|store| store.begin_load(now, weights));
        self.hold(weights.clone(), WeightsState::Loading, done);
        self.count_overcommit(options);
        Ok(())
    }

    fn unload(
        &mut self,
        now: ClockTime,
        options: &EngineOptions,
        weights: &WeightsKey,
    ) -> Result<(), String> {
        if self.is_last_base(weights) {
            return Err("an adapter needs them".to_owned());
        }
        let entry = self
            .held
            .iter_mut()
            .find(|entry| entry.weights == *weights)
            .filter(|entry| entry.state != WeightsState::Unloading);
        if let Some(entry) = entry {
            entry.state = WeightsState::Unloading;
            entry.done = now + options.unload;
        }
        Ok(())
    }

    /// Returns whether an unload would leave held adapters without their base model.
    fn is_last_base(&self, weights: &WeightsKey) -> bool {
        let same_model = |entry: &&HeldEntry| entry.weights.model == weights.model;
        let is_other_base = |entry: &HeldEntry| {
            entry.weights.adapter.is_none()
                && entry.weights != *weights
                && entry.state == WeightsState::Ready
        };
        weights.adapter.is_none()
            && self.held.iter().filter(same_model).any(|entry| {
                entry.weights.adapter.is_some() && entry.state != WeightsState::Unloading
            })
            && !self.held.iter().filter(same_model).any(is_other_base)
    }

    pub(super) fn state_of(&self, weights: &WeightsKey) -> Option<WeightsState> {
        let mut held = self.held.iter();
        held.find(|entry| entry.weights == *weights)
            .map(|entry| entry.state)
    }

    /// Returns when the next load, unload or change of role ends.
    pub(super) fn next_time(&self) -> ClockTime {
        let role = self.next_role.map(|(at, _)| at);
        self.held
            .iter()
            .map(|entry| entry.done)
            .chain(role)
            .min()
            .unwrap_or(ClockTime::NEVER)
    }

    /// Completes all loads, unloads and changes of role that end by `now`. Returns whether the memory
    /// in use changed.
    pub(super) fn finish(&mut self, now: ClockTime) -> bool {
        if let Some((_, role)) = self.next_role.take_if(|(at, _)| *at <= now) {
            self.role = role;
        }
        let before = self.held.len();
        self.held
            .retain(|entry| entry.state != WeightsState::Unloading || entry.done > now);
        for entry in self.held.iter_mut().filter(|entry| entry.done <= now) {
            entry.state = WeightsState::Ready;
            entry.done = ClockTime::NEVER;
        }
        self.held.len() != before
    }
}

fn served_name(weights: &WeightsKey) -> &str {
    match &weights.adapter {
        Some(adapter) => adapter.as_str(),
        None => weights.model.as_str(),
    }
}
