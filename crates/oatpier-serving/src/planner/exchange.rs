//! Value of changing the places of several models together.
//!
//! The loads that a change takes are each of little value alone: a model that leaves a fast engine gains nothing, and
//! the model that is to take its place cannot before it has left.

use oatpier_types::names::ModelName;
use smallvec::SmallVec;

use super::lateness::late_cost;
use super::round::{EngineShare, EngineView, ModelView, PlanRound};

/// Utilization up to which the remaining holders of a model may be filled when it gives up one: requests still find a
/// slot.
const MAX_FILL: f64 = 1.0;

/// Number of places for which a refuge is searched for the model that leaves.
const SEARCHED_PLACES: usize = 4;

/// Request rate, per second over about ten seconds, up to which a model's last holder may be given up.
pub(super) const UNUSED_RATE_PER_S: f64 = 0.02;

/// Utilization of engines after a change.
type ChangedShares = SmallVec<[(usize, EngineShare); 16]>;

/// A model that gives up an engine, takes one, or both.
struct PlaceChange<'a> {
    model: &'a ModelView,
    from: Option<usize>,
    to: Option<usize>,
}

impl PlaceChange<'_> {
    fn holders_after(&self) -> impl Iterator<Item = usize> {
        let kept = self.model.served_by.iter().copied();
        kept.filter(|index| Some(*index) != self.from)
            .chain(self.to)
    }
}

/// A change in which `leaving` moves from `target` to `refuge`, and the model that it makes room for moves to `target`.
#[derive(Debug, Clone)]
pub(super) struct PlaceSwap {
    pub(super) leaving: ModelName,
    pub(super) target: usize,
    pub(super) refuge: usize,
    /// The model that gives up its place at `refuge`, if there is no free one.
    pub(super) replaced: Option<ModelName>,
    /// Reduction of the fleet's cost by the first of the two loads, before its own costs; usually negative.
    pub(super) first_gain: f64,
    /// Reduction of the fleet's cost by both loads, before their own costs.
    pub(super) gain: f64,
}

impl PlanRound<'_> {
    /// Returns the best swap among some engines that brings `model` to another engine.
    pub(super) fn best_swap(&self, model: &ModelName, searched: &[usize]) -> Option<PlaceSwap> {
        let wanted = self.models.get(model)?;
        let worst = self.worst_holder(wanted)?;
        let targets = searched.iter().copied().filter(|target| {
            let view = &self.engines[*target];
            view.is_free && !view.held.contains(&model)
        });
        let pairs = targets.flat_map(|target| {
            let held = self.engines[target].held.iter().copied();
            held.map(move |leaving| (target, leaving))
        });
        let gains = pairs.filter_map(|(target, leaving)| {
            let view = self.models.get(leaving)?;
            let gain = self.change_gain(&[taking(wanted, target), moving(view, target, worst)]);
            Some((target, leaving, gain))
        });
        // The refuge hardly matters for which model leaves, so that each part is searched alone.
        let mut gains: Vec<(usize, &ModelName, f64)> = gains.collect();
        gains.sort_by(|one, other| other.2.total_cmp(&one.2));
        let best = gains.into_iter().take(SEARCHED_PLACES);
        let swaps = best
            .filter_map(|(target, leaving, _)| self.best_refuge(model, target, leaving, searched));
        swaps.max_by(|one, other| one.gain.total_cmp(&other.gain))
    }

    /// Returns the best swap in which `model` takes the place of `leaving` at `target`.
    fn best_refuge(
        &self,
        model: &ModelName,
        target: usize,
        leaving: &ModelName,
        searched: &[usize],
    ) -> Option<PlaceSwap> {
        let refuges = searched.iter().copied().filter(|refuge| {
            let view = &self.engines[*refuge];
            *refuge != target && view.is_free && !view.held.contains(&leaving)
        });
        let swaps = refuges.flat_map(|refuge| {
            let replaced = self.replaceable(refuge, leaving).into_iter();
            replaced.filter_map(move |replaced| {
                self.swap_with(model, (target, leaving), (refuge, replaced))
            })
        });
        swaps.max_by(|one, other| one.gain.total_cmp(&other.gain))
    }

    fn swap_with(
        &self,
        model: &ModelName,
        (target, leaving): (usize, &ModelName),
        (refuge, replaced): (usize, Option<&ModelName>),
    ) -> Option<PlaceSwap> {
        let wanted = self.models.get(model)?;
        let left = self.models.get(leaving)?;
        let mut changes: SmallVec<[PlaceChange<'_>; 3]> = SmallVec::new();
        changes.push(taking(left, refuge));
        if let Some(name) = replaced {
            changes.push(dropping(self.models.get(name)?, refuge));
        }
        let first_gain = self.change_gain(&changes);
        changes.clear();
        changes.push(moving(left, target, refuge));
        match replaced {
            Some(name) if name == model => changes.push(moving(wanted, refuge, target)),
            Some(name) => {
                changes.push(taking(wanted, target));
                changes.push(dropping(self.models.get(name)?, refuge));
            }
            None => changes.push(taking(wanted, target)),
        }
        Some(PlaceSwap {
            leaving: leaving.clone(),
            target,
            refuge,
            replaced: replaced.cloned(),
            first_gain,
            gain: self.change_gain(&changes),
        })
    }

    /// Returns the holder of a model at which most of its streams are late.
    fn worst_holder(&self, model: &ModelView) -> Option<usize> {
        let late = |index: &usize| self.engines[*index].speed.late_share(model.usual_time_s);
        let holders = model.served_by.iter().copied();
        holders.max_by(|one, other| late(one).total_cmp(&late(other)))
    }

    /// Returns which models may give up their place at an engine for another model; `None` for a free place.
    fn replaceable(&self, engine: usize, model: &ModelName) -> SmallVec<[Option<&ModelName>; 4]> {
        let view = &self.engines[engine];
        let used: f64 = view.held.iter().map(|held| self.size_mb(held)).sum();
        let missing = used + self.size_mb(model) - self.rule.model_room_mb();
        if missing <= 0.0 {
            return [None].into_iter().collect();
        }
        let held = view.held.iter().copied();
        held.filter(|held| self.size_mb(held) >= missing && self.bears_removal(held, view))
            .map(Some)
            .collect()
    }

    /// Returns whether the other holders of a model have room for the requests of one of them.
    fn bears_removal(&self, name: &ModelName, view: &EngineView<'_>) -> bool {
        let Some(model) = self.models.get(name) else {
            return true;
        };
        if self.holders_left(name, model) == 0 {
            return model.long_request_rate <= UNUSED_RATE_PER_S;
        }
        let present = model.share();
        let shared = model.share_without(view);
        self.other_holders(view, model).all(|holder| {
            let after = holder.utilization.saturating_minus(present).plus(shared);
            after.dominant_share() < MAX_FILL
        })
    }

    /// Returns the reduction of the fleet's cost by a change: of the squared utilization and of late streams.
    fn change_gain(&self, changes: &[PlaceChange<'_>]) -> f64 {
        let mut after_shares = ChangedShares::new();
        let mut gain = 0.0;
        for change in changes {
            let present = change.model.share();
            let before = change.model.served_by.iter().copied();
            for index in before.clone() {
                let after = self.share_after(&mut after_shares, index);
                *after = after.saturating_minus(present);
            }
            let shared = change
                .model
                .share_at(self.capacity_of(change.holders_after()));
            for index in change.holders_after() {
                let after = self.share_after(&mut after_shares, index);
                *after = after.plus(shared);
            }
            gain += late_cost(change.model, before.map(|index| &self.engines[index]));
            let after = change.holders_after().map(|index| &self.engines[index]);
            gain -= late_cost(change.model, after);
        }
        let relief = after_shares.iter().map(|(index, after)| {
            let view = &self.engines[*index];
            view.weighted_square(view.utilization) - view.weighted_square(*after)
        });
        gain + relief.sum::<f64>()
    }

    fn share_after<'b>(&self, changed: &'b mut ChangedShares, index: usize) -> &'b mut EngineShare {
        let known = changed.iter().position(|(known, _)| *known == index);
        let place = known.unwrap_or_else(|| {
            changed.push((index, self.engines[index].utilization));
            changed.len() - 1
        });
        &mut changed[place].1
    }
}

fn taking(model: &ModelView, to: usize) -> PlaceChange<'_> {
    PlaceChange {
        model,
        from: None,
        to: Some(to),
    }
}

fn moving(model: &ModelView, from: usize, to: usize) -> PlaceChange<'_> {
    PlaceChange {
        model,
        from: Some(from),
        to: Some(to),
    }
}

fn dropping(model: &ModelView, from: usize) -> PlaceChange<'_> {
    PlaceChange {
        model,
        from: Some(from),
        to: None,
    }
}
