//! Search for one step: which weights to load, which may be unloaded, and in which order.

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::{OrderAction, WeightsKey, WeightsState};

use super::{PlacementStep, StepInput, StepWait};
use crate::orders::OrderKeeper;
use crate::release::{ReleaseKeeper, ReleaseState};

fn is_base_of(held: &WeightsKey, weights: &WeightsKey) -> bool {
    held.adapter.is_none() && held.model == weights.model
}

/// Returns whether weights have to stay.
///
/// A planned adapter has to be unloaded while its base model changes version without memory for
/// both versions, because the old base model cannot be unloaded before the adapter.
pub(super) fn is_wanted(
    input: StepInput<'_>,
    keeper: &OrderKeeper,
    weights: &WeightsKey,
    now: ClockTime,
) -> bool {
    input.plan.weights.contains(weights) && !must_yield_to_base(input, keeper, weights, now)
}

fn must_yield_to_base(
    input: StepInput<'_>,
    keeper: &OrderKeeper,
    weights: &WeightsKey,
    now: ClockTime,
) -> bool {
    if weights.adapter.is_none() {
        return false;
    }
    let base = input
        .plan
        .weights
        .iter()
        .find(|wanted| is_base_of(wanted, weights));
    let Some(base) = base else {
        return true;
    };
    let has_old_base = keeper
        .ledger()
        .ready()
        .any(|held| is_base_of(held, weights) && held != base);
    let is_base_absent =
        keeper.ledger().state_of(base).is_none() && !keeper.has_pending_order(base);
    let size = input.config.memory_of(base).unwrap_or(u64::MAX);
    has_old_base && is_base_absent && !keeper.ledger().fits(base, size, now)
}

pub(super) struct StepSearch<'a> {
    pub(super) input: StepInput<'a>,
    pub(super) keeper: &'a mut OrderKeeper,
    pub(super) releases: &'a mut ReleaseKeeper,
    pub(super) draining: &'a mut IndexMap<WeightsKey, ClockTime>,
    pub(super) wait: StepWait,
}

impl StepSearch<'_> {
    pub(super) fn find_step(&mut self, now: ClockTime) -> Option<PlacementStep> {
        if let Some(step) = self.role_step(now) {
            return Some(step);
        }
        if let Some(step) = self.load_step(now) {
            return Some(step);
        }
        self.unload_step(now)
    }

    fn role_step(&mut self, now: ClockTime) -> Option<PlacementStep> {
        let role = self.input.plan.role;
        if self.keeper.role() == Some(role) || self.keeper.has_pending_role_order() {
            return None;
        }
        self.start_order(OrderAction::SetRole { role }, now)
    }

    /// Loads the first planned weights that are missing, fit, and have their base model ready.
    fn load_step(&mut self, now: ClockTime) -> Option<PlacementStep> {
        let missing: Vec<WeightsKey> = self
            .input
            .plan
            .weights
            .iter()
            .filter(|weights| self.keeper.ledger().state_of(weights).is_none())
            .filter(|weights| !self.keeper.has_pending_order(weights))
            .cloned()
            .collect();
        for weights in missing {
            if !self.base_is_ready(&weights) {
                self.set_wait(StepWait::Busy);
                continue;
            }
            let action = OrderAction::Load {
                weights: weights.clone(),
            };
            if let Some(step) = self.start_order(action, now) {
                return Some(step);
            }
            self.set_wait(StepWait::NoMemory(weights));
        }
        None
    }

    /// Returns whether weights are a base model, or their base model is ready and in the plan.
    ///
    /// With a base model that is not in the plan, the adapter would have to be unloaded together with
    /// it.
    fn base_is_ready(&self, weights: &WeightsKey) -> bool {
        weights.adapter.is_none()
            || self
                .keeper
                .ledger()
                .ready()
                .any(|held| is_base_of(held, weights) && self.input.plan.weights.contains(held))
    }

    /// Unloads the first weights that are not wanted and may be unloaded, adapters first.
    fn unload_step(&mut self, now: ClockTime) -> Option<PlacementStep> {
        let mut extra: Vec<WeightsKey> = self
            .keeper
            .ledger()
            .charges()
            .filter(|(_, charge)| charge.held.is_some() || charge.is_ordered)
            .filter(|(weights, _)| !is_wanted(self.input, self.keeper, weights, now))
            .map(|(weights, _)| weights.clone())
            .collect();
        extra.sort_by_key(|weights| weights.adapter.is_none());
        extra
            .into_iter()
            .find_map(|weights| self.unload_one(&weights, now))
    }

    fn unload_one(&mut self, weights: &WeightsKey, now: ClockTime) -> Option<PlacementStep> {
        let is_moving = self.keeper.has_pending_order(weights);
        let state = self.keeper.ledger().state_of(weights);
        if state == Some(WeightsState::Unloading) || (is_moving && state.is_some()) {
            self.set_wait(StepWait::Busy);
            return None;
        }
        // A load that never completed serves no callers: it is canceled without a release.
        if state.is_none() {
            return self.order_unload(weights, now);
        }
        if self.is_base_in_use(weights, now) || self.is_replacement_loading(weights) {
            self.set_wait(StepWait::Busy);
            return None;
        }
        match self.releases.state(weights) {
            ReleaseState::Granted => self.drain_or_unload(weights, now),
            ReleaseState::Requested => {
                self.set_wait(StepWait::Busy);
                None
            }
            ReleaseState::None => self.request_release(weights, now),
        }
    }

    /// Returns whether these weights are the only version of a base model that adapters here still
    /// need.
    fn is_base_in_use(&self, weights: &WeightsKey, now: ClockTime) -> bool {
        if weights.adapter.is_some() {
            return false;
        }
        let ledger = self.keeper.ledger();
        let has_other_base = ledger.ready().any(|held| {
            is_base_of(held, weights) && held != weights && !self.keeper.may_be_unloaded(held, now)
        });
        let has_adapters = ledger.charges().any(|(held, charge)| {
            let is_there = charge.held.is_some() || charge.is_ordered;
            held.adapter.is_some() && held.model == weights.model && is_there
        });
        has_adapters && !has_other_base
    }

    /// Returns whether the planned version of these weights is being loaded. The old one serves until then.
    fn is_replacement_loading(&self, weights: &WeightsKey) -> bool {
        self.input.plan.weights.iter().any(|wanted| {
            let has_same_name = wanted.model == weights.model && wanted.adapter == weights.adapter;
            let is_loading = self.keeper.ledger().state_of(wanted) == Some(WeightsState::Loading);
            has_same_name
                && wanted != weights
                && (is_loading || self.keeper.has_pending_order(wanted))
        })
    }

    fn drain_or_unload(&mut self, weights: &WeightsKey, now: ClockTime) -> Option<PlacementStep> {
        if !self.draining.contains_key(weights) {
            self.draining.insert(weights.clone(), now);
            return Some(PlacementStep::StartDrain(weights.clone()));
        }
        // An unload now would abort the attempts that run on these weights.
        if self.input.attempts.in_flight(weights) > 0 {
            self.set_wait(StepWait::Busy);
            return None;
        }
        self.order_unload(weights, now)
    }

    fn request_release(&mut self, weights: &WeightsKey, now: ClockTime) -> Option<PlacementStep> {
        let Some(current) = self.current_version(weights) else {
            // The weights are no longer configured, so no request can name them.
            self.releases.grant_without_request(weights);
            return self.drain_or_unload(weights, now);
        };
        if self.stays_ready_here(weights, &current, now) {
            self.releases.grant_without_request(weights);
            return self.drain_or_unload(weights, now);
        }
        if !self.releases.can_request(weights, now) {
            self.set_wait(StepWait::Busy);
            return None;
        }
        self.request_from_next_holder(weights, &current, now)
    }

    fn current_version(&self, weights: &WeightsKey) -> Option<WeightsKey> {
        match &weights.adapter {
            Some(adapter) => self.input.config.adapter_weights(adapter),
            None => self.input.config.model_weights(&weights.model),
        }
    }

    /// Returns whether the current version stays ready on this endpoint.
    fn stays_ready_here(&self, weights: &WeightsKey, current: &WeightsKey, now: ClockTime) -> bool {
        weights != current
            && self.keeper.is_stable(current, now)
            && !self.releases.is_releasing(current)
    }

    /// Asks another holder for the release of these weights.
    ///
    /// Holders of the current version are asked first. If there are none, during a version change
    /// without memory for both versions, holders of the same old version are asked, then holders of
    /// any other version.
    fn request_from_next_holder(
        &mut self,
        weights: &WeightsKey,
        current: &WeightsKey,
        now: ClockTime,
    ) -> Option<PlacementStep> {
        let replicas = self.input.replicas;
        let others = replicas.other_versions(weights);
        let found = [current, weights]
            .into_iter()
            .chain(&others)
            .find_map(|keep| {
                let holders = replicas.ready_elsewhere(keep);
                let to = holders.get(self.releases.next_holder(holders.len()));
                to.map(|to| (to.clone(), keep.clone()))
            });
        let Some((to, keep)) = found else {
            self.set_wait(StepWait::LastReplica(weights.clone()));
            return None;
        };
        let request = self.releases.request(weights, &keep, now);
        Some(PlacementStep::RequestRelease { to, request })
    }

    fn order_unload(&mut self, weights: &WeightsKey, now: ClockTime) -> Option<PlacementStep> {
        let action = OrderAction::Unload {
            weights: weights.clone(),
        };
        let step = self.start_order(action, now);
        if step.is_none() {
            self.set_wait(StepWait::Busy);
        }
        step
    }

    fn start_order(&mut self, action: OrderAction, now: ClockTime) -> Option<PlacementStep> {
        self.keeper
            .begin(action.clone(), self.input.config, now)
            .ok()?;
        Some(PlacementStep::Ordered(action))
    }

    fn set_wait(&mut self, wait: StepWait) {
        if matches!(self.wait, StepWait::Done | StepWait::Busy) {
            self.wait = wait;
        }
    }
}
