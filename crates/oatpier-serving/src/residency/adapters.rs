//! Decides which adapters an engine loads and unloads.

use std::time::Duration;

use oatpier_types::clock::ClockTime;

use super::{EngineResidency, TimedAdapter};
use crate::engine::{AdapterKey, EngineOrder, EngineReport, HeldModel};

/// Time after which a request for an adapter expires. A gateway that still waits repeats its request.
const ADAPTER_REQUEST_TTL: Duration = Duration::from_millis(300);

/// An adapter counts as in use for this long after a gateway last named it, because a request may be on its
/// way to it.
const ADAPTER_IDLE_TIME: Duration = Duration::from_millis(40);

/// Time after which an adapter that was to be unloaded is offered again. Its requests take longer than the
/// gateway that needs the slot waits.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of adapters that an engine may load at the same time, as defined by its interface.
const MAX_ADAPTER_LOADS: usize = 4;

impl EngineResidency {
    /// Returns the next order for a requested adapter.
    pub(super) fn adapter_order(&mut self, now: ClockTime) -> Option<EngineOrder> {
        let report = self.report.as_ref()?;
        self.draining
            .retain(|entry| now.since(entry.at) < DRAIN_TIMEOUT);
        self.requested.retain(|requested| {
            now.since(requested.at) < ADAPTER_REQUEST_TTL && is_needed(report, &requested.key)
        });
        let requested = self.requested.front()?;
        if report.coming.len() >= MAX_ADAPTER_LOADS {
            return None;
        }
        if slots_taken(report) < self.adapter_slots {
            return Some(EngineOrder::LoadAdapter(requested.key.clone()));
        }
        let idle = held_adapters(&report.models).filter(|key| self.is_idle(key, now));
        if let Some(idlest) = idle.min_by_key(|key| self.last_used_at(key)) {
            return Some(EngineOrder::UnloadAdapter(idlest));
        }
        // Each draining adapter makes room for one request. Draining more would remove adapters that are in
        // use.
        if self.draining.len() < self.requested.len() {
            let next = held_adapters(&report.models)
                .filter(|key| !self.is_draining(key))
                .min_by_key(|key| self.last_used_at(key))?;
            self.draining.push(TimedAdapter { key: next, at: now });
        }
        None
    }

    fn is_idle(&self, key: &AdapterKey, now: ClockTime) -> bool {
        let in_use = self
            .in_use
            .values()
            .any(|gateway| gateway.keys.contains(key));
        !in_use && now.since(self.last_used_at(key)) >= ADAPTER_IDLE_TIME
    }

    fn last_used_at(&self, key: &AdapterKey) -> ClockTime {
        self.last_used.get(key).copied().unwrap_or(ClockTime::ZERO)
    }

    fn is_draining(&self, key: &AdapterKey) -> bool {
        self.draining.iter().any(|entry| entry.key == *key)
    }

    /// Returns the models and adapters that gateways may send requests for.
    #[must_use]
    pub fn offered_models(&self) -> Vec<HeldModel> {
        let mut models = match &self.report {
            Some(report) => report.models.clone(),
            None => Vec::new(),
        };
        for entry in &self.draining {
            for held in models
                .iter_mut()
                .filter(|held| held.model == entry.key.model)
            {
                held.adapters
                    .retain(|adapter| *adapter != entry.key.adapter);
            }
        }
        models
    }

    /// Returns the number of adapters that could be loaded without waiting for requests that use other
    /// adapters.
    #[must_use]
    pub fn adapter_room(&self, now: ClockTime) -> u32 {
        let Some(report) = &self.report else {
            return 0;
        };
        let free = self.adapter_slots.saturating_sub(slots_taken(report));
        let idle = held_adapters(&report.models)
            .filter(|key| self.is_idle(key, now))
            .count();
        u32::try_from((free + idle).saturating_sub(self.requested.len())).unwrap_or(u32::MAX)
    }
}

/// Returns the number of adapter slots in use, including those of adapters that are being loaded.
fn slots_taken(report: &EngineReport) -> usize {
    let held: usize = report.models.iter().map(|held| held.adapters.len()).sum();
    held + report.coming.len()
}

/// Returns the adapters of `models`.
pub fn held_adapters(models: &[HeldModel]) -> impl Iterator<Item = AdapterKey> {
    models.iter().flat_map(|held| {
        held.adapters.iter().map(|adapter| AdapterKey {
            model: held.model.clone(),
            adapter: adapter.clone(),
        })
    })
}

/// Returns whether a requested adapter still needs an order: its model is held, and the adapter is neither
/// held nor being loaded.
fn is_needed(report: &EngineReport, key: &AdapterKey) -> bool {
    let held = report.models.iter().find(|held| held.model == key.model);
    held.is_some_and(|held| !held.adapters.contains(&key.adapter)) && !report.coming.contains(key)
}
