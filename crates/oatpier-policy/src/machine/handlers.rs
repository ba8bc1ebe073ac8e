//! Event handlers of the request's state machine.

use oatpier_types::ids::AttemptId;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::verdict::RunVerdict;

use super::attempt::{LiveAttempt, SealState};
use super::dispatch::{AttemptCause, refusal};
use super::{EventTurn, RequestMachine, RequestPhase};
use crate::action::EntryAction;
use crate::event::EntryEvent;
use crate::health::AttemptEvidence;
use crate::outcome::FinalCause;

impl RequestMachine {
    pub(super) fn on_claim(&mut self, event: &EntryEvent, turn: &mut EventTurn<'_>) {
        if self.phase != RequestPhase::Claiming {
            self.dropped += 1;
            return;
        }
        match event {
            EntryEvent::ClaimGranted => self.send_first(turn),
            EntryEvent::ClaimRefused { earlier } => {
                // The key was claimed by another submission, so this request must not settle the
                // claim.
                self.has_claim = false;
                self.known_verdict = *earlier;
                self.finish_refused(refusal(RefusalCause::KeyUsed), turn);
            }
            _ => {
                let retry_after = Some(self.settings.retry_after);
                let cause = RefusalCause::ClaimUnavailable;
                self.finish_refused(Refusal { cause, retry_after }, turn);
            }
        }
    }

    pub(super) fn send_first(&mut self, turn: &mut EventTurn<'_>) {
        self.phase = RequestPhase::Attempting;
        self.send_next(AttemptCause::First, turn);
    }

    pub(super) fn on_first_frame(&mut self, turn: &mut EventTurn<'_>) {
        let stall = self.stall_timeout();
        let Some(live) = &mut self.live else {
            return;
        };
        if live.has_first_frame {
            self.dropped += 1;
            return;
        }
        live.has_first_frame = true;
        live.last_activity = turn.now;
        live.silent_at = turn.now + stall;
        let evidence = AttemptEvidence::FirstFrame {
            took: turn.now.since(live.sent_at),
            predicted: live.predicted,
        };
        turn.context
            .record_evidence(live.endpoint, evidence, turn.now);
    }

    pub(super) fn on_piece(&mut self, tokens: u32, turn: &mut EventTurn<'_>) {
        if self.live.is_some_and(|live| !live.has_first_frame) {
            self.on_first_frame(turn);
        }
        let stall = self.stall_timeout();
        let Some(live) = &mut self.live else {
            return;
        };
        live.last_activity = turn.now;
        live.silent_at = turn.now + stall;
        turn.context
            .record_evidence(live.endpoint, AttemptEvidence::Piece, turn.now);
        turn.actions.push(EntryAction::Relay {
            attempt: live.attempt,
        });
        self.first_piece.get_or_insert(turn.now);
        self.relayed_tokens = self.relayed_tokens.saturating_add(tokens);
    }

    pub(super) fn on_ended(&mut self, live: LiveAttempt, turn: &mut EventTurn<'_>) {
        if !live.has_first_frame {
            self.on_first_frame(turn);
        }
        let run_time = live.run_time(turn.now);
        turn.context
            .record_evidence(live.endpoint, AttemptEvidence::Ended, turn.now);
        turn.context.record_finished(live.endpoint, Some(run_time));
        self.live = None;
        self.known_verdict = RunVerdict::Ran;
        self.finish_complete(turn);
    }

    pub(super) fn on_refused(
        &mut self,
        live: LiveAttempt,
        refusal: Refusal,
        turn: &mut EventTurn<'_>,
    ) {
        if refusal.cause == RefusalCause::Duplicate {
            // The message was duplicated in transit. Its first copy is the attempt, and continues.
            self.dropped += 1;
            return;
        }
        if live.has_first_frame {
            // A part of the answer arrived, so the verdict can't be "not run".
            self.on_failed(live, RunVerdict::MayHaveRun, turn);
            return;
        }
        self.release_live(live, turn);
        let goal = self.lookup.goal;
        turn.context
            .record_refusal(live.endpoint, goal, refusal.cause, turn.now);
        self.last_refusal = Some(refusal);
        match refusal.cause {
            RefusalCause::KeyUsed => {
                // The refusal concerns this attempt only. The request that used the key may have
                // run.
                self.known_verdict = self.known_verdict.and(RunVerdict::MayHaveRun);
                self.finish_refused(refusal, turn);
            }
            RefusalCause::Invalid | RefusalCause::Unknown => self.finish_refused(refusal, turn),
            RefusalCause::Leaving | RefusalCause::WeightsMissing => {
                self.send_next(AttemptCause::StaleTable, turn);
            }
            _ => self.send_next(AttemptCause::Refused, turn),
        }
    }

    pub(super) fn on_connect_failed(&mut self, live: LiveAttempt, turn: &mut EventTurn<'_>) {
        if live.has_first_frame {
            self.on_failed(live, RunVerdict::MayHaveRun, turn);
            return;
        }
        self.release_live(live, turn);
        turn.context
            .record_evidence(live.endpoint, AttemptEvidence::ConnectFailed, turn.now);
        self.last_refusal = Some(self.endpoint_down());
        self.send_next(AttemptCause::Failed, turn);
    }

    pub(super) fn on_failed(
        &mut self,
        live: LiveAttempt,
        verdict: RunVerdict,
        turn: &mut EventTurn<'_>,
    ) {
        let least = if live.has_first_frame {
            RunVerdict::MayHaveRun
        } else {
            RunVerdict::NotRun
        };
        let verdict = verdict.and(least);
        let evidence = match verdict {
            RunVerdict::NotRun => AttemptEvidence::Refused(RefusalCause::EndpointDown),
            RunVerdict::MayHaveRun | RunVerdict::Ran => AttemptEvidence::Interrupted,
        };
        self.release_live(live, turn);
        turn.context
            .record_evidence(live.endpoint, evidence, turn.now);
        self.known_verdict = self.known_verdict.and(verdict);
        self.last_refusal = Some(self.endpoint_down());
        if self.may_repeat(verdict) {
            self.send_next(AttemptCause::Failed, turn);
        } else {
            self.finish_failed(FinalCause::Incomplete, turn);
        }
    }

    pub(super) fn on_cancel_answered(
        &mut self,
        attempt: AttemptId,
        verdict: RunVerdict,
        turn: &mut EventTurn<'_>,
    ) {
        if let Some(position) = self
            .pending_cancels
            .iter()
            .position(|other| *other == attempt)
        {
            self.pending_cancels.remove(position);
            self.known_verdict = self.known_verdict.and(verdict);
            return;
        }
        match self.live.filter(|live| live.attempt == attempt) {
            Some(live) if awaits_seal(&live) => self.on_seal_answered(live, verdict, turn),
            _ => self.dropped += 1,
        }
    }

    /// Handles the answer to a seal.
    ///
    /// Only "not run" permits another attempt of an at-most-once request. Otherwise the live
    /// attempt may still answer until the deadline.
    fn on_seal_answered(
        &mut self,
        live: LiveAttempt,
        verdict: RunVerdict,
        turn: &mut EventTurn<'_>,
    ) {
        if verdict == RunVerdict::NotRun {
            self.release_live(live, turn);
            self.send_next(AttemptCause::Refused, turn);
            return;
        }
        self.known_verdict = self.known_verdict.and(verdict);
        self.live = Some(LiveAttempt {
            seal: SealState::Refused,
            ..live
        });
    }

    pub(super) fn on_timer(&mut self, turn: &mut EventTurn<'_>) {
        if let Some(since) = self.blocked_since {
            if turn.now >= since + self.settings.caller_hold {
                self.on_caller_gone(turn);
            }
            return;
        }
        if turn.now >= self.deadline() {
            self.finish_failed(FinalCause::DeadlinePassed, turn);
            return;
        }
        let Some(live) = &mut self.live else {
            return;
        };
        if matches!(live.seal, SealState::Requested { until } if turn.now >= until) {
            live.seal = SealState::TimedOut;
        }
        if turn.now >= live.silent_at {
            let live = *live;
            self.on_silence(live, turn);
        }
    }

    pub(super) fn on_caller_blocked(&mut self, turn: &mut EventTurn<'_>) {
        if self.has_begun() {
            self.blocked_since.get_or_insert(turn.now);
        }
    }

    pub(super) fn on_caller_ready(&mut self, turn: &mut EventTurn<'_>) {
        let stall = self.stall_timeout();
        if self.blocked_since.take().is_some()
            && let Some(live) = &mut self.live
        {
            live.silent_at = turn.now + stall;
        }
    }

    pub(super) fn on_caller_gone(&mut self, turn: &mut EventTurn<'_>) {
        self.finish_failed(FinalCause::CallerGone, turn);
    }
}

fn awaits_seal(live: &LiveAttempt) -> bool {
    let was_requested = matches!(live.seal, SealState::Requested { .. } | SealState::TimedOut);
    was_requested && !live.has_first_frame
}
