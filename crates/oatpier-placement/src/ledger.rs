//! Upper bound on the use of an accelerator's memory.
//!
//! The ledger charges for weights that the engine reports as loaded, loading or unloading, and
//! for each load order whose outcome is unknown. It frees memory only on evidence from the
//! engine, never on an assumption of the agent.

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{EngineState, WeightsKey, WeightsState};

/// A charge for weights, with the reasons for it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WeightsCharge {
    /// Size of the weights in MiB; `None` if no configuration has specified it.
    pub size_mib: Option<u64>,
    /// Last state that the engine reported; `None` if it does not hold the weights.
    pub held: Option<WeightsState>,
    /// Whether a load was ordered, or is about to be, and its outcome is unknown.
    pub is_ordered: bool,
    /// Time until which a delayed copy of a load order could still arrive and be executed.
    pub late_copy_until: ClockTime,
}

impl WeightsCharge {
    /// Returns whether the weights use memory, or could use it.
    #[must_use]
    pub fn is_counted(&self, now: ClockTime) -> bool {
        self.held.is_some() || self.is_ordered || now < self.late_copy_until
    }
}

/// Memory account of one endpoint, charged for all weights that could be in memory.
#[derive(Debug, Clone, Default)]
pub struct MemoryLedger {
    capacity_mib: u64,
    charges: IndexMap<WeightsKey, WeightsCharge>,
}

impl MemoryLedger {
    /// Creates a ledger of an endpoint with the given memory for weights.
    #[must_use]
    pub fn new(capacity_mib: u64) -> Self {
        Self {
            capacity_mib,
            charges: IndexMap::new(),
        }
    }

    /// Updates the charges from a state report of the engine.
    ///
    /// The capacity is the lower of the configured memory and the memory that the engine reports.
    pub fn observe(&mut self, state: &EngineState, config: &FleetConfig, now: ClockTime) {
        if state.memory_mib > 0 {
            self.capacity_mib = self.capacity_mib.min(state.memory_mib);
        }
        for charge in self.charges.values_mut() {
            charge.held = None;
        }
        for held in &state.held {
            let charge = self.charge_entry(&held.weights, config);
            charge.held = Some(held.state);
        }
        self.charges.retain(|_, charge| charge.is_counted(now));
    }

    /// Charges for a load that is about to be ordered, until [`MemoryLedger::end_order_charge`].
    pub fn charge_order(&mut self, weights: &WeightsKey, config: &FleetConfig) {
        self.charge_entry(weights, config).is_ordered = true;
    }

    /// Charges until `until` for a delayed copy of a load order that could still be executed.
    pub fn charge_late_copy(
        &mut self,
        weights: &WeightsKey,
        until: ClockTime,
        config: &FleetConfig,
    ) {
        let charge = self.charge_entry(weights, config);
        charge.late_copy_until = charge.late_copy_until.max(until);
    }

    /// Ends the charge for a load order whose outcome is known.
    ///
    /// From then on, only what the engine reports is charged.
    pub fn end_order_charge(&mut self, weights: &WeightsKey) {
        if let Some(charge) = self.charges.get_mut(weights) {
            charge.is_ordered = false;
        }
    }

    /// Returns the memory that is, or could be, in use, in MiB.
    ///
    /// Weights of unknown size are charged the full capacity, so that nothing is loaded beside them.
    #[must_use]
    pub fn charged_mib(&self, now: ClockTime) -> u64 {
        self.charges
            .values()
            .filter(|charge| charge.is_counted(now))
            .map(|charge| charge.size_mib.unwrap_or(self.capacity_mib))
            .fold(0, u64::saturating_add)
    }

    /// Returns the memory for weights, in MiB.
    #[must_use]
    pub fn capacity_mib(&self) -> u64 {
        self.capacity_mib
    }

    /// Returns the memory that is certainly free, in MiB.
    #[must_use]
    pub fn free_mib(&self, now: ClockTime) -> u64 {
        self.capacity_mib.saturating_sub(self.charged_mib(now))
    }

    /// Returns whether a load of these weights fits beside all charges.
    #[must_use]
    pub fn fits(&self, weights: &WeightsKey, size_mib: u64, now: ClockTime) -> bool {
        let counted = self
            .charges
            .get(weights)
            .is_some_and(|charge| charge.is_counted(now));
        let extra = if counted { 0 } else { size_mib };
        self.charged_mib(now).saturating_add(extra) <= self.capacity_mib
    }

    /// Returns the state of weights that the engine last reported.
    #[must_use]
    pub fn state_of(&self, weights: &WeightsKey) -> Option<WeightsState> {
        self.charges.get(weights).and_then(|charge| charge.held)
    }

    /// Returns all charged weights, in the order of their first charge.
    pub fn charges(&self) -> impl Iterator<Item = (&WeightsKey, &WeightsCharge)> {
        self.charges.iter()
    }

    /// Returns all weights that the engine last reported as ready.
    pub fn ready(&self) -> impl Iterator<Item = &WeightsKey> {
        self.charges
            .iter()
            .filter(|(_, charge)| charge.held == Some(WeightsState::Ready))
            .map(|(weights, _)| weights)
    }

    /// Returns the charge for weights, and creates it if there is none.
    ///
    /// The size of an existing charge never decreases: a configuration that makes a model smaller
    /// does not change the size of the copy that was loaded under the previous one.
    fn charge_entry(&mut self, weights: &WeightsKey, config: &FleetConfig) -> &mut WeightsCharge {
        let size = config.memory_of(weights);
        let charge = self.charges.entry(weights.clone()).or_default();
        charge.size_mib = charge.size_mib.max(size);
        charge
    }
}
