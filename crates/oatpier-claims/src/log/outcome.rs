//! Releases and finishes: outcomes of the requests that claimed a key.

use oatpier_types::clock::ClockTime;
use oatpier_types::verdict::RunVerdict;

use super::{ClaimLog, LogStage, QueuedRecord, RequestOutcome};
use crate::event::{ClaimAction, ClaimActions};
use crate::message::{ClaimFinish, ClaimRelease};
use crate::table::KeyPhase;

impl ClaimLog {
    /// Handles the outcome of a request, as reported by its entry. An outcome that arrives before
    /// the partition is loaded is kept until then. One that arrives after the partition moved is
    /// dropped, and the entry sends it again to the new claimer.
    pub(super) fn handle_outcome(
        &mut self,
        outcome: RequestOutcome,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        if self.stage == LogStage::Owning {
            self.apply_outcome(outcome, now, actions);
            return;
        }
        if self.moved_answer(now).is_some()
            || self.early_outcomes.len() >= self.settings.max_waiting
        {
            return;
        }
        self.early_outcomes.push(outcome);
        if !self.is_store_unavailable(now) {
            self.take_over(now, actions);
        }
    }

    pub(super) fn apply_outcome(
        &mut self,
        outcome: RequestOutcome,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        match outcome {
            RequestOutcome::Release(release) => self.apply_release(release, now, actions),
            RequestOutcome::Finish(finish) => self.apply_finish(finish, now, actions),
        }
    }

    fn apply_release(&mut self, release: ClaimRelease, now: ClockTime, actions: &mut ClaimActions) {
        let ClaimRelease { key, request } = release;
        // A late query of this request must not claim the key for a request that never runs.
        self.table.give_up(request);
        let phase = self.table.get_own(key, request).map(|entry| entry.phase);
        let recorded = match phase {
            // The outcome was unknown until now: the request never ran. Only its own entry can
            // report this, and only for the claim that is still its own.
            Some(KeyPhase::Held | KeyPhase::Finished { ran: false }) => {
                self.release_key(release, now);
                false
            }
            Some(KeyPhase::Pending { .. }) => self.abandon(key, request),
            // It ran: the release is wrong and changes nothing.
            Some(KeyPhase::Finished { ran: true }) => true,
            None => !self.is_unwritten(release),
        };
        if recorded {
            actions.push(recorded_action(release, RunVerdict::NotRun));
        }
    }

    /// Frees a claimed key at once; the record is written later. A claim of the key that arrives in
    /// between is written after it.
    pub(super) fn release_key(&mut self, release: ClaimRelease, now: ClockTime) {
        if let Some(entry) = self.table.remove(release.key, release.request) {
            let claim = entry.position;
            self.queued_records
                .push(QueuedRecord::Release { claim, release });
            self.deferred_since.get_or_insert(now);
        }
    }

    fn apply_finish(&mut self, finish: ClaimFinish, now: ClockTime, actions: &mut ClaimActions) {
        let ClaimFinish { key, request, .. } = finish;
        let ran = finish.verdict == RunVerdict::Ran;
        let recorded = recorded_action(ClaimRelease { key, request }, finish.verdict);
        let Some(entry) = self.table.get_own(key, request) else {
            // A late copy of "may have run" that arrives after the release must not confirm the
            // release.
            if !self.is_unwritten(ClaimRelease { key, request }) {
                actions.push(recorded);
            }
            return;
        };
        match entry.phase {
            KeyPhase::Pending { .. } => return,
            KeyPhase::Finished { ran: known } if known || !ran => {
                if !self.is_finish_unwritten(finish) {
                    actions.push(recorded);
                }
                return;
            }
            KeyPhase::Held | KeyPhase::Finished { .. } => {}
        }
        entry.phase = KeyPhase::Finished { ran };
        let claim = entry.position;
        self.queued_records
            .push(QueuedRecord::Finish { claim, finish });
        self.deferred_since.get_or_insert(now);
    }

    pub(super) fn is_unwritten(&self, release: ClaimRelease) -> bool {
        self.unwritten().any(|queued| {
            matches!(queued, QueuedRecord::Release { release: other, .. } if *other == release)
        })
    }

    fn is_finish_unwritten(&self, finish: ClaimFinish) -> bool {
        self.unwritten().any(|queued| {
            matches!(queued, QueuedRecord::Finish { finish: other, .. }
                if other.request == finish.request)
        })
    }

    fn unwritten(&self) -> impl Iterator<Item = &QueuedRecord> {
        self.queued_records.iter().chain(self.in_flight_batch())
    }
}

fn recorded_action(of: ClaimRelease, verdict: RunVerdict) -> ClaimAction {
    let ClaimRelease { key, request } = of;
    ClaimAction::Recorded {
        key,
        request,
        verdict,
    }
}
