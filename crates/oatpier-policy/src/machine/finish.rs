//! Ends a request with exactly one final answer.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::config::ClassTarget;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::verdict::{Repeat, RunVerdict};

use super::attempt::{LiveAttempt, SealState};
use super::{EventTurn, PendingSeal, RequestMachine, RequestPhase};
use crate::action::{CancelMode, EntryAction};
use crate::outcome::{FinalAnswer, FinalCause};

impl RequestMachine {
    /// Ends a request that has no live attempt with a refusal.
    pub(super) fn finish_refused(&mut self, refusal: Refusal, turn: &mut EventTurn<'_>) {
        if self.has_begun() {
            self.finish_failed(FinalCause::Incomplete, turn);
            return;
        }
        let refusal = self.most_specific_refusal(refusal);
        let cause = FinalCause::Refused(refusal.cause);
        let verdict = self.verdict();
        let answer = FinalAnswer::failed(cause, verdict, refusal.retry_after);
        self.finish(answer, turn);
    }

    /// Ends a request without a complete answer and cancels its live attempt.
    pub(super) fn finish_failed(&mut self, cause: FinalCause, turn: &mut EventTurn<'_>) {
        let verdict = self.verdict();
        if let Some(live) = self.live {
            self.cancel_live(live, turn);
            self.pending_seal = self.unanswered_seal(&live);
            self.release_live(live, turn);
        }
        let is_useful = cause != FinalCause::CallerGone && self.may_resubmit(verdict);
        let retry_after = is_useful.then_some(self.settings.retry_after);
        let has_begun = self.has_begun();
        let answer = FinalAnswer {
            has_begun,
            ..FinalAnswer::failed(cause, verdict, retry_after)
        };
        self.finish(answer, turn);
    }

    pub(super) fn finish_complete(&mut self, turn: &mut EventTurn<'_>) {
        let in_time = self.is_in_time(turn.now);
        let answer = FinalAnswer::complete(self.has_begun(), in_time);
        self.finish(answer, turn);
    }

    pub(super) fn endpoint_down(&self) -> Refusal {
        Refusal {
            cause: RefusalCause::EndpointDown,
            retry_after: Some(self.settings.retry_after),
        }
    }

    pub(super) fn targets_whole_answer(&self) -> bool {
        matches!(self.lookup.target, ClassTarget::Whole { .. })
    }

    /// Returns the time remaining for another attempt: until the deadline, or the stall timeout of
    /// a stream that has begun.
    pub(super) fn remaining(&self, now: ClockTime) -> Duration {
        if self.has_begun() {
            return self.stall_timeout();
        }
        self.give_up_at.since(now)
    }

    fn finish(&mut self, answer: FinalAnswer, turn: &mut EventTurn<'_>) {
        self.phase = RequestPhase::Done;
        if let Some(key) = self.key_to_claim().filter(|_| self.has_claim) {
            turn.actions.push(EntryAction::SettleClaim {
                key,
                verdict: answer.verdict,
            });
        }
        turn.actions.push(EntryAction::Answer(answer));
    }

    /// Cancels the live attempt of a request that ends.
    ///
    /// An at-most-once attempt that may be running is left to complete, because a partially applied
    /// change is worse than a complete one. It is stopped only if it has not reached its endpoint.
    fn cancel_live(&self, live: LiveAttempt, turn: &mut EventTurn<'_>) {
        let mode = match self.intake.repeat {
            Repeat::Idempotent => CancelMode::Abort,
            Repeat::AtMostOnce => CancelMode::SealOnly,
        };
        if mode == CancelMode::Abort || live.seal == SealState::NotRequested {
            turn.cancel(&live, mode);
        }
    }

    /// Returns the unanswered seal of a request with a claimed key, if its answer can still
    /// establish that nothing ran.
    ///
    /// That is not possible if an earlier attempt may have run or if the answer has begun.
    fn unanswered_seal(&self, live: &LiveAttempt) -> Option<PendingSeal> {
        let key = self.key_to_claim().filter(|_| self.has_claim)?;
        let is_settled = live.has_first_frame || live.seal == SealState::Refused;
        let is_in_doubt = self.known_verdict == RunVerdict::NotRun && !is_settled;
        is_in_doubt.then_some(PendingSeal {
            key,
            attempt: live.attempt,
        })
    }

    /// Returns the last refusal of an agent instead of the general refusal that no endpoint is left
    /// to try.
    fn most_specific_refusal(&self, refusal: Refusal) -> Refusal {
        let is_general = matches!(
            refusal.cause,
            RefusalCause::NoEndpoint | RefusalCause::RetriesSpent
        );
        let reported = self.last_refusal.filter(|_| is_general).unwrap_or(refusal);
        let cause = if refusal.cause == RefusalCause::RetriesSpent {
            refusal.cause
        } else {
            reported.cause
        };
        let fallback = self
            .may_resubmit(self.verdict())
            .then_some(self.settings.retry_after);
        let is_permanent = matches!(
            cause,
            RefusalCause::KeyUsed | RefusalCause::Invalid | RefusalCause::Unknown
        );
        let retry_after = reported.retry_after.or(fallback).filter(|_| !is_permanent);
        Refusal { cause, retry_after }
    }

    /// Returns whether the caller may usefully and safely submit the request again: it may be
    /// repeated, or its key lets the next submission learn the outcome of this one.
    fn may_resubmit(&self, verdict: RunVerdict) -> bool {
        let can_look_up = verdict == RunVerdict::MayHaveRun && self.key_to_claim().is_some();
        can_look_up || verdict.may_repeat(self.intake.repeat)
    }

    fn is_in_time(&self, now: ClockTime) -> bool {
        match self.lookup.target {
            ClassTarget::Whole { .. } => now <= self.due_at,
            ClassTarget::Stream { between_tokens, .. } => {
                let first = self.first_piece.unwrap_or(now);
                let gaps = self.relayed_tokens.saturating_sub(1);
                first <= self.due_at && now.since(first) <= between_tokens * gaps.max(1)
            }
        }
    }
}
