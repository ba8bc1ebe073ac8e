//! Releases and finishes: how the requests that asked for a key ended.

use oatpier_types::clock::ClockTime;
use oatpier_types::verdict::RunVerdict;

use super::{ClaimLog, LogIntent, LogStage, OutcomeNote};
use crate::event::{ClaimAction, ClaimActions};
use crate::message::{ClaimFinish, ClaimRelease};
use crate::table::KeyPhase;

impl ClaimLog {
    /// Takes what an entry says of a request's end. One that comes before the partition is loaded
    /// is kept until then; one that comes after the partition moved is dropped, and the entry
    /// sends it again, to the new claimer.
    pub(super) fn noted(&mut self, note: OutcomeNote, now: ClockTime, actions: &mut ClaimActions) {
        if self.stage == LogStage::Owning {
            self.settle(note, now, actions);
            return;
        }
        if self.moved(now).is_some() || self.notes.len() >= self.settings.waiting {
            return;
        }
        self.notes.push(note);
        if !self.is_away(now) {
            self.take_over(now, actions);
        }
    }

    pub(super) fn settle(&mut self, note: OutcomeNote, now: ClockTime, actions: &mut ClaimActions) {
        match note {
            OutcomeNote::Release(release) => self.released(release, now, actions),
            OutcomeNote::Finish(finish) => self.finished(finish, now, actions),
        }
    }

    fn released(&mut self, release: ClaimRelease, now: ClockTime, actions: &mut ClaimActions) {
        let ClaimRelease { key, request } = release;
        // A late ask of this request must not claim the key for a request that never runs.
        self.table.give_up(request);
        let phase = self.table.get_own(key, request).map(|entry| entry.phase);
        let recorded = match phase {
            // Its end was not known, and now it is: it never ran. Only its own entry can say so,
            // and only of the claim that is still its own.
            Some(KeyPhase::Held | KeyPhase::Finished { ran: false }) => {
                self.release_taken(release, now);
                false
            }
            Some(KeyPhase::Pending { .. }) => self.abandon(key, request),
            // It ran: a release of it is not true and changes nothing.
            Some(KeyPhase::Finished { ran: true }) => true,
            None => !self.is_unwritten(release),
        };
        if recorded {
            actions.push(recorded_word(release, RunVerdict::NotRun));
        }
    }

    /// Frees a taken key at once; the record goes with a later write. A claim of the key that
    /// comes meanwhile is written after it.
    pub(super) fn release_taken(&mut self, release: ClaimRelease, now: ClockTime) {
        if let Some(entry) = self.table.remove(release.key, release.request) {
            let claim = entry.position;
            self.intents.push(LogIntent::Release { claim, release });
            self.lazy_since.get_or_insert(now);
        }
    }

    fn finished(&mut self, finish: ClaimFinish, now: ClockTime, actions: &mut ClaimActions) {
        let ClaimFinish { key, request, .. } = finish;
        let ran = finish.verdict == RunVerdict::Ran;
        let word = recorded_word(ClaimRelease { key, request }, finish.verdict);
        let Some(entry) = self.table.get_own(key, request) else {
            // A late copy of "may have run" that comes after the release must not be taken for it.
            if !self.is_unwritten(ClaimRelease { key, request }) {
                actions.push(word);
            }
            return;
        };
        match entry.phase {
            KeyPhase::Pending { .. } => return,
            KeyPhase::Finished { ran: known } if known || !ran => {
                if !self.is_finish_unwritten(finish) {
                    actions.push(word);
                }
                return;
            }
            KeyPhase::Held | KeyPhase::Finished { .. } => {}
        }
        entry.phase = KeyPhase::Finished { ran };
        let claim = entry.position;
        self.intents.push(LogIntent::Finish { claim, finish });
        self.lazy_since.get_or_insert(now);
    }

    pub(super) fn is_unwritten(&self, release: ClaimRelease) -> bool {
        self.unwritten().any(|intent| {
            matches!(intent, LogIntent::Release { release: other, .. } if *other == release)
        })
    }

    fn is_finish_unwritten(&self, finish: ClaimFinish) -> bool {
        self.unwritten().any(|intent| {
            matches!(intent, LogIntent::Finish { finish: other, .. }
                if other.request == finish.request)
        })
    }

    fn unwritten(&self) -> impl Iterator<Item = &LogIntent> {
        self.intents.iter().chain(self.flying_batch())
    }
}

fn recorded_word(of: ClaimRelease, verdict: RunVerdict) -> ClaimAction {
    let ClaimRelease { key, request } = of;
    ClaimAction::Recorded {
        key,
        request,
        verdict,
    }
}
