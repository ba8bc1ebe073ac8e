//! Models that interrupted streams need at the software version that began them.
//!
//! A model may be in service everywhere but at that version, so that its demand shows no gap.

use std::collections::BTreeMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;

use super::round::PlanRound;
use super::{LoadPlanner, PlanOutcome};
use crate::message::PinnedModel;

/// Time for which a stream's need counts. Gateways repeat it while the stream waits.
const NEED_EXPIRY: Duration = Duration::from_millis(500);

/// Models that are needed at a version, and when each was last asked for.
#[derive(Debug, Default)]
pub(super) struct PinnedModels {
    asked_at: BTreeMap<PinnedModel, ClockTime>,
}

impl PinnedModels {
    fn retain_recent(&mut self, now: ClockTime) {
        self.asked_at
            .retain(|_, asked_at| now.since(*asked_at) < NEED_EXPIRY);
    }
}

impl LoadPlanner {
    /// Records that a stream waits for a model at the version that began it.
    pub fn note_pinned(&mut self, needed: PinnedModel, now: ClockTime) {
        self.pinned.asked_at.insert(needed, now);
    }

    /// Plans loads of models that streams need at a version, unless an engine of that version holds or loads them.
    pub(super) fn plan_pinned(&mut self, round: &mut PlanRound<'_>, outcome: &mut PlanOutcome) {
        self.pinned.retain_recent(round.now);
        let needed: Vec<PinnedModel> = self.pinned.asked_at.keys().cloned().collect();
        for PinnedModel { model, version } in needed {
            let is_served = round.serves_at(&model, &version);
            if is_served || self.crashes.is_backed_off(&model, round.now) {
                continue;
            }
            let wanted = round.pinned_load(&model, version, &self.missing);
            self.plan_load(round, &wanted, outcome);
        }
    }
}
