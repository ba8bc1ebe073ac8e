//! Ends a request with exactly one final answer.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::config::ClassTarget;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::verdict::{Repeat, RunVerdict};

use super::attempt::{LiveAttempt, SealState};
use super::{EventTurn, OpenSeal, RequestMachine, RequestStep};
use crate::action::{CancelMode, EntryAction};
use crate::outcome::{FinalAnswer, FinalCause};

impl RequestMachine {
    /// Ends a request that has no live attempt with a refusal.
    pub(super) fn finish_refused(&mut self, refusal: Refusal, turn: &mut EventTurn<'_>) {
        if self.begun() {
            self.finish_failed(FinalCause::Incomplete, turn);
            return;
        }
        let refusal = self.telling_refusal(refusal);
        let cause = FinalCause::Refused(refusal.cause);
        let verdict = self.verdict();
        let answer = FinalAnswer::failed(cause, verdict, refusal.retry_after);
        self.finish(answer, turn);
    }

    /// Ends a request without a complete answer and cancels its live attempt.
    pub(super) fn finish_failed(&mut self, cause: FinalCause, turn: &mut EventTurn<'_>) {
        let verdict = self.verdict();
        if let Some(live) = self.live {
            self.cancel_last(live, turn);
            self.open_seal = self.seal_left_open(&live);
            self.drop_live(live, turn);
        }
        let useful = cause != FinalCause::CallerGone && self.may_come_back(verdict);
        let retry_after = useful.then_some(self.settings.retry_after);
        let begun = self.begun();
        let answer = FinalAnswer {
            begun,
            ..FinalAnswer::failed(cause, verdict, retry_after)
        };
        self.finish(answer, turn);
    }

    pub(super) fn finish_whole(&mut self, turn: &mut EventTurn<'_>) {
        let in_time = self.is_in_time(turn.now);
        let answer = FinalAnswer::whole(self.begun(), in_time);
        self.finish(answer, turn);
    }

    pub(super) fn endpoint_down(&self) -> Refusal {
        Refusal {
            cause: RefusalCause::EndpointDown,
            retry_after: Some(self.settings.retry_after),
        }
    }

    pub(super) fn is_whole(&self) -> bool {
        matches!(self.frame.target, ClassTarget::Whole { .. })
    }

    /// Returns the time remaining for another attempt: until the deadline, or the stall timeout of
    /// a stream that has begun.
    pub(super) fn remaining(&self, now: ClockTime) -> Duration {
        if self.begun() {
            return self.stall_span();
        }
        self.give_up.since(now)
    }

    fn finish(&mut self, answer: FinalAnswer, turn: &mut EventTurn<'_>) {
        self.step = RequestStep::Done;
        if let Some(key) = self.key_to_claim().filter(|_| self.claimed) {
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
    fn cancel_last(&self, live: LiveAttempt, turn: &mut EventTurn<'_>) {
        let mode = match self.intake.repeat {
            Repeat::Idempotent => CancelMode::Abort,
            Repeat::AtMostOnce => CancelMode::SealOnly,
        };
        if mode == CancelMode::Abort || live.seal == SealState::Unasked {
            turn.cancel(&live, mode);
        }
    }

    /// Returns the unanswered seal of a request with a claimed key, if its answer can still
    /// establish that nothing ran.
    ///
    /// That is not possible if an earlier attempt may have run or if the answer has begun.
    fn seal_left_open(&self, live: &LiveAttempt) -> Option<OpenSeal> {
        let key = self.key_to_claim().filter(|_| self.claimed)?;
        let settled = live.framed || live.seal == SealState::Refused;
        let in_doubt = self.settled == RunVerdict::NotRun && !settled;
        in_doubt.then_some(OpenSeal {
            key,
            attempt: live.attempt,
        })
    }

    /// Returns the last refusal of an agent instead of the general refusal that no endpoint is left
    /// to try.
    fn telling_refusal(&self, refusal: Refusal) -> Refusal {
        let general = matches!(
            refusal.cause,
            RefusalCause::NoEndpoint | RefusalCause::RetriesSpent
        );
        let told = self.last_refusal.filter(|_| general).unwrap_or(refusal);
        let cause = if refusal.cause == RefusalCause::RetriesSpent {
            refusal.cause
        } else {
            told.cause
        };
        let fallback = self
            .may_come_back(self.verdict())
            .then_some(self.settings.retry_after);
        let final_cause = matches!(
            cause,
            RefusalCause::KeyUsed | RefusalCause::Invalid | RefusalCause::Unknown
        );
        let retry_after = told.retry_after.or(fallback).filter(|_| !final_cause);
        Refusal { cause, retry_after }
    }

    /// Returns whether the caller may usefully and safely submit the request again: it may be
    /// repeated, or its key lets the next submission learn the outcome of this one.
    fn may_come_back(&self, verdict: RunVerdict) -> bool {
        let can_find_out = verdict == RunVerdict::MayHaveRun && self.key_to_claim().is_some();
        can_find_out || verdict.may_repeat(self.intake.repeat)
    }

    fn is_in_time(&self, now: ClockTime) -> bool {
        match self.frame.target {
            ClassTarget::Whole { .. } => now <= self.due,
            ClassTarget::Stream { between_tokens, .. } => {
                let first = self.first_piece.unwrap_or(now);
                let gaps = self.relayed_tokens.saturating_sub(1);
                first <= self.due && now.since(first) <= between_tokens * gaps.max(1)
            }
        }
    }
}
