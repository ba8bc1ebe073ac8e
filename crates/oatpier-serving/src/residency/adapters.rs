//! Which adapters come and go.

use std::time::Duration;

use oatpier_types::clock::ClockTime;

use super::{EngineResidency, KeptWish};
use crate::engine::{AdapterKey, EngineOrder, EngineReport, HeldModel};

/// A wish for an adapter that is this old is dropped; who still waits repeats it.
const WISH_LIFE: Duration = Duration::from_millis(300);

/// An adapter counts as in use for this long after a gateway last named it: a request may be on its
/// way to it.
const ADAPTER_REST: Duration = Duration::from_millis(40);

/// An adapter that was to make room is offered again after this long: its requests take longer than
/// whoever wished for the room waits.
const YIELD_LIFE: Duration = Duration::from_secs(4);

/// Adapters that an engine may have on their way at the same time, by its interface.
const ADAPTERS_COMING: usize = 4;

impl EngineResidency {
    /// The next order for an adapter that is wished for.
    pub(super) fn adapter_order(&mut self, now: ClockTime) -> Option<EngineOrder> {
        let report = self.report.as_ref()?;
        self.yielding.retain(|kept| now.since(kept.at) < YIELD_LIFE);
        self.wishes
            .retain(|wish| now.since(wish.at) < WISH_LIFE && is_needed(report, &wish.key));
        let wish = self.wishes.front()?;
        if report.coming.len() >= ADAPTERS_COMING {
            return None;
        }
        if places_taken(report) < self.slots {
            return Some(EngineOrder::LoadAdapter(wish.key.clone()));
        }
        let idle = held_adapters(&report.models).filter(|key| self.is_idle(key, now));
        if let Some(idlest) = idle.min_by_key(|key| self.used_at(key)) {
            return Some(EngineOrder::UnloadAdapter(idlest));
        }
        // Each one that yields makes room for one wish; more would throw out what is in use.
        if self.yielding.len() < self.wishes.len() {
            let next = held_adapters(&report.models)
                .filter(|key| !self.is_yielding(key))
                .min_by_key(|key| self.used_at(key))?;
            self.yielding.push(KeptWish { key: next, at: now });
        }
        None
    }

    fn is_idle(&self, key: &AdapterKey, now: ClockTime) -> bool {
        let in_use = self
            .in_use
            .values()
            .any(|gateway| gateway.keys.contains(key));
        !in_use && now.since(self.used_at(key)) >= ADAPTER_REST
    }

    fn used_at(&self, key: &AdapterKey) -> ClockTime {
        self.used.get(key).copied().unwrap_or(ClockTime::ZERO)
    }

    fn is_yielding(&self, key: &AdapterKey) -> bool {
        self.yielding.iter().any(|kept| kept.key == *key)
    }

    /// What gateways may send requests for.
    #[must_use]
    pub fn offered(&self) -> Vec<HeldModel> {
        let mut models = match &self.report {
            Some(report) => report.models.clone(),
            None => Vec::new(),
        };
        for kept in &self.yielding {
            for held in models
                .iter_mut()
                .filter(|held| held.model == kept.key.model)
            {
                held.adapters.retain(|adapter| *adapter != kept.key.adapter);
            }
        }
        models
    }

    /// Adapters that could be loaded without waiting for requests that use others.
    #[must_use]
    pub fn adapter_room(&self, now: ClockTime) -> u32 {
        let Some(report) = &self.report else {
            return 0;
        };
        let free = self.slots.saturating_sub(places_taken(report));
        let idle = held_adapters(&report.models)
            .filter(|key| self.is_idle(key, now))
            .count();
        u32::try_from((free + idle).saturating_sub(self.wishes.len())).unwrap_or(u32::MAX)
    }
}

/// Places for adapters that are taken.
fn places_taken(report: &EngineReport) -> usize {
    let held: usize = report.models.iter().map(|held| held.adapters.len()).sum();
    held + report.coming.len()
}

/// The adapters of these models.
pub fn held_adapters(models: &[HeldModel]) -> impl Iterator<Item = AdapterKey> {
    models.iter().flat_map(|held| {
        held.adapters.iter().map(|adapter| AdapterKey {
            model: held.model.clone(),
            adapter: adapter.clone(),
        })
    })
}

/// Whether a wish still needs an order: its model is there, and the adapter neither there nor
/// coming.
fn is_needed(report: &EngineReport, key: &AdapterKey) -> bool {
    let held = report.models.iter().find(|held| held.model == key.model);
    held.is_some_and(|held| !held.adapters.contains(&key.adapter)) && !report.coming.contains(key)
}
