//! What could be in an accelerator's memory.
//!
//! The ledger charges for weights that are loaded, being loaded or being unloaded as the engine
//! says, and for each load whose end is not known. It never frees on an agent's own belief.

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{EngineState, WeightsKey, WeightsState};

/// Why weights are charged.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WeightsCharge {
    /// Their size in MiB; none if no configuration told it.
    pub size_mib: Option<u64>,
    /// Where they stand, as the engine last said; none if it does not hold them.
    pub held: Option<WeightsState>,
    /// Whether a load of them was ordered, or is about to be, and has no known end.
    pub ordered: bool,
    /// Until when a copy of a load order could still arrive and be carried out.
    pub hold_until: ClockTime,
}

impl WeightsCharge {
    /// Whether the weights take memory, or could.
    #[must_use]
    pub fn counts(&self, now: ClockTime) -> bool {
        self.held.is_some() || self.ordered || now < self.hold_until
    }
}

/// The memory of one endpoint, charged for everything that could be there.
#[derive(Debug, Clone, Default)]
pub struct MemoryLedger {
    capacity_mib: u64,
    charges: IndexMap<WeightsKey, WeightsCharge>,
}

impl MemoryLedger {
    /// A ledger of an endpoint with this much memory for weights.
    #[must_use]
    pub fn new(capacity_mib: u64) -> Self {
        Self {
            capacity_mib,
            charges: IndexMap::new(),
        }
    }

    /// Takes over what the engine says that it holds.
    ///
    /// The lower of the configured and the engine's own memory counts.
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
        self.charges.retain(|_, charge| charge.counts(now));
    }

    /// Charges for a load that is about to be ordered.
    pub fn charge_order(&mut self, weights: &WeightsKey, config: &FleetConfig) {
        self.charge_entry(weights, config).ordered = true;
    }

    /// Charges for a copy of a load order that could be carried out until `until`.
    pub fn hold_copy(&mut self, weights: &WeightsKey, until: ClockTime, config: &FleetConfig) {
        let charge = self.charge_entry(weights, config);
        charge.hold_until = charge.hold_until.max(until);
    }

    /// The load has a known end: from now on the engine's word alone is charged.
    pub fn settle_order(&mut self, weights: &WeightsKey) {
        if let Some(charge) = self.charges.get_mut(weights) {
            charge.ordered = false;
        }
    }

    /// Memory that is, or could be, in use, in MiB.
    ///
    /// Weights of unknown size are charged the whole memory: nothing is loaded beside them.
    #[must_use]
    pub fn charged_mib(&self, now: ClockTime) -> u64 {
        self.charges
            .values()
            .filter(|charge| charge.counts(now))
            .map(|charge| charge.size_mib.unwrap_or(self.capacity_mib))
            .fold(0, u64::saturating_add)
    }

    /// Memory for weights, in MiB.
    #[must_use]
    pub fn capacity_mib(&self) -> u64 {
        self.capacity_mib
    }

    /// Memory that is surely free, in MiB.
    #[must_use]
    pub fn free_mib(&self, now: ClockTime) -> u64 {
        self.capacity_mib.saturating_sub(self.charged_mib(now))
    }

    /// Whether a load of these weights fits beside all that could be there.
    #[must_use]
    pub fn fits(&self, weights: &WeightsKey, size_mib: u64, now: ClockTime) -> bool {
        let counted = self
            .charges
            .get(weights)
            .is_some_and(|charge| charge.counts(now));
        let extra = if counted { 0 } else { size_mib };
        self.charged_mib(now).saturating_add(extra) <= self.capacity_mib
    }

    /// Where weights stand, as the engine last said.
    #[must_use]
    pub fn state_of(&self, weights: &WeightsKey) -> Option<WeightsState> {
        self.charges.get(weights).and_then(|charge| charge.held)
    }

    /// All weights that are charged, in the order of their first charge.
    pub fn charges(&self) -> impl Iterator<Item = (&WeightsKey, &WeightsCharge)> {
        self.charges.iter()
    }

    /// All weights that the engine last said are ready.
    pub fn ready(&self) -> impl Iterator<Item = &WeightsKey> {
        self.charges
            .iter()
            .filter(|(_, charge)| charge.held == Some(WeightsState::Ready))
            .map(|(weights, _)| weights)
    }

    /// A charge never shrinks while it stands: a configuration that makes a model smaller says
    /// nothing of the copy that was loaded under the former one.
    fn charge_entry(&mut self, weights: &WeightsKey, config: &FleetConfig) -> &mut WeightsCharge {
        let size = config.memory_of(weights);
        let charge = self.charges.entry(weights.clone()).or_default();
        charge.size_mib = charge.size_mib.max(size);
        charge
    }
}
