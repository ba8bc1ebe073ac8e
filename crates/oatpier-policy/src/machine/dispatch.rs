//! Sends attempts, and repeats them after a refusal, a failure or silence if the verdict and the
//! retry budget permit it.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::AttemptId;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::request::AttemptSpec;
use oatpier_types::verdict::{Repeat, RunVerdict};

use super::attempt::{LiveAttempt, SealState};
use super::{EventTurn, RequestMachine};
use crate::action::{CancelMode, EntryAction};
use crate::health::AttemptEvidence;
use crate::index::EndpointIndex;
use crate::outcome::FinalCause;
use crate::router::{ProbeUse, RouteChoice, RouteQuery};

/// The reason for which an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptCause {
    /// It is the first attempt.
    First,
    /// The previous attempt was refused because the entry's table was stale. The refusal cost the
    /// endpoint nothing.
    StaleTable,
    /// The previous attempt was refused, or sealed before it ran.
    Refused,
    /// The previous attempt failed. Its endpoint may succeed the next time, and is often the only
    /// replica.
    Failed,
}

impl RequestMachine {
    /// Sends the next attempt, or ends the request if none is permitted.
    pub(super) fn send_next(&mut self, cause: AttemptCause, turn: &mut EventTurn<'_>) {
        if !self.may_repeat(self.verdict_for_retry()) {
            self.finish_failed(FinalCause::Incomplete, turn);
            return;
        }
        if turn.now >= self.deadline() {
            self.finish_failed(FinalCause::DeadlinePassed, turn);
            return;
        }
        if self.has_spent_attempts() {
            self.finish_refused(refusal(RefusalCause::RetriesSpent), turn);
            return;
        }
        let choice = match self.choose_for(cause, turn) {
            Ok(choice) => choice,
            Err(refusal) => return self.finish_refused(refusal, turn),
        };
        let class = self.lookup.class;
        let uses_budget = matches!(cause, AttemptCause::Refused | AttemptCause::Failed);
        if uses_budget && !turn.context.take_retry(class) {
            self.finish_refused(refusal(RefusalCause::RetriesSpent), turn);
            return;
        }
        self.send(&choice, turn);
    }

    fn choose_for(
        &self,
        cause: AttemptCause,
        turn: &mut EventTurn<'_>,
    ) -> Result<RouteChoice, Refusal> {
        let untried = self.choose(&self.tried_endpoints, turn);
        match untried {
            Err(refusal)
                if cause == AttemptCause::Failed && refusal.cause == RefusalCause::NoEndpoint =>
            {
                self.choose(&[], turn)
            }
            _ => untried,
        }
    }

    fn choose(
        &self,
        excluded: &[EndpointIndex],
        turn: &mut EventTurn<'_>,
    ) -> Result<RouteChoice, Refusal> {
        let probe = match self.intake.repeat {
            _ if self.attempts > 0 => ProbeUse::Never,
            Repeat::Idempotent => ProbeUse::Repeatable,
            Repeat::AtMostOnce => ProbeUse::AtMostOnce,
        };
        let query = RouteQuery {
            goal: self.lookup.goal,
            tokens: self.intake.tokens,
            prefixes: &self.intake.prefixes,
            is_whole_answer: self.targets_whole_answer(),
            remaining: self.remaining(turn.now),
            excluded,
            probe,
        };
        turn.context.choose(&query, turn.now)
    }

    fn send(&mut self, choice: &RouteChoice, turn: &mut EventTurn<'_>) {
        let attempt = turn.context.next_attempt_id();
        let timeout = self.attempt_timeout(choice, turn);
        turn.context
            .record_sent(choice, &self.intake.prefixes, turn.now);
        self.live = Some(LiveAttempt::new(attempt, choice, timeout, turn.now));
        self.attempts += 1;
        self.tried_endpoints.push(choice.endpoint);
        let endpoint = turn.context.endpoint_name(choice.endpoint);
        let spec = Box::new(self.attempt_spec(attempt, turn.now));
        turn.actions.push(if self.has_begun() {
            EntryAction::Resume { endpoint, spec }
        } else {
            EntryAction::Send { endpoint, spec }
        });
    }

    /// Returns the time after which an attempt counts as silent.
    ///
    /// While the speed of an endpoint is unknown, the prediction is meaningless, and the attempt
    /// gets a share of the remaining time.
    fn attempt_timeout(&self, choice: &RouteChoice, turn: &EventTurn<'_>) -> Duration {
        let expected = turn.context.silence_timeout(choice.predicted);
        let remaining = self.remaining(turn.now);
        if !choice.is_speed_known {
            return expected.max(remaining * self.settings.uninformed_percent / 100);
        }
        let latest = remaining * self.settings.silent_percent / 100;
        expected.min(latest.max(choice.predicted * 3 / 2))
    }

    fn attempt_spec(&self, attempt: AttemptId, now: ClockTime) -> AttemptSpec {
        AttemptSpec {
            attempt,
            request: self.intake.request,
            goal: self.intake.goal.clone(),
            class: self.intake.class.clone(),
            caller: self.intake.caller.clone(),
            repeat: self.intake.repeat,
            remaining: self.remaining(now),
            tokens: self.intake.tokens,
            resume_after: self.relayed_tokens,
        }
    }

    pub(super) fn may_repeat(&self, verdict: RunVerdict) -> bool {
        let can_continue = !self.has_begun() || self.intake.resumable;
        can_continue && verdict.may_repeat(self.intake.repeat)
    }

    /// Returns the verdict that decides whether another attempt is permitted.
    ///
    /// For an at-most-once request it combines all previous attempts, even if the reports on them
    /// contradict each other. For an idempotent request each attempt was checked when it ended.
    fn verdict_for_retry(&self) -> RunVerdict {
        match self.intake.repeat {
            Repeat::AtMostOnce => self.known_verdict,
            Repeat::Idempotent => RunVerdict::NotRun,
        }
    }

    fn has_spent_attempts(&self) -> bool {
        self.attempts >= self.settings.attempts
    }

    /// Cancels the live attempt and drops it while its verdict is unknown.
    fn abandon(&mut self, live: LiveAttempt, turn: &mut EventTurn<'_>) {
        turn.cancel(&live, CancelMode::Abort);
        self.pending_cancels.push(live.attempt);
        self.release_live(live, turn);
    }

    pub(super) fn release_live(&mut self, live: LiveAttempt, turn: &mut EventTurn<'_>) {
        self.live = None;
        turn.context.record_finished(live.endpoint, None);
    }

    pub(super) fn on_silence(&mut self, live: LiveAttempt, turn: &mut EventTurn<'_>) {
        let since = live.last_activity;
        turn.context
            .record_evidence(live.endpoint, AttemptEvidence::Silent { since }, turn.now);
        match self.intake.repeat {
            Repeat::Idempotent => self.replace_silent(live, turn),
            Repeat::AtMostOnce if live.has_first_frame => self.wait_or_end(live, turn),
            Repeat::AtMostOnce => self.request_seal(live, turn),
        }
    }

    /// Replaces a silent attempt of an idempotent request by another one.
    ///
    /// Without another endpoint or retry budget the attempt is kept, because its answer may still
    /// arrive.
    fn replace_silent(&mut self, live: LiveAttempt, turn: &mut EventTurn<'_>) {
        let is_allowed = self.may_repeat(RunVerdict::MayHaveRun) && !self.has_spent_attempts();
        let choice = is_allowed
            .then(|| self.choose(&self.tried_endpoints, turn).ok())
            .flatten();
        let class = self.lookup.class;
        match choice {
            Some(choice) if turn.context.take_retry(class) => {
                self.abandon(live, turn);
                self.send(&choice, turn);
            }
            _ => self.wait_or_end(live, turn),
        }
    }

    /// Keeps waiting for the live attempt until the deadline.
    ///
    /// A stream that has begun has no deadline: it ends when its attempt was inactive for the stall
    /// timeout.
    fn wait_or_end(&mut self, live: LiveAttempt, turn: &mut EventTurn<'_>) {
        let stalled_at = live.last_activity + self.stall_timeout();
        if self.has_begun() && turn.now >= stalled_at {
            self.finish_failed(FinalCause::Incomplete, turn);
            return;
        }
        let silent_at = if self.has_begun() {
            stalled_at
        } else {
            ClockTime::NEVER
        };
        self.live = Some(LiveAttempt { silent_at, ..live });
    }

    fn request_seal(&mut self, live: LiveAttempt, turn: &mut EventTurn<'_>) {
        let until = turn.now + self.settings.cancel_wait;
        turn.cancel(&live, CancelMode::SealOnly);
        self.live = Some(LiveAttempt {
            silent_at: ClockTime::NEVER,
            seal: SealState::Requested { until },
            ..live
        });
    }
}

pub(super) fn refusal(cause: RefusalCause) -> Refusal {
    Refusal {
        cause,
        retry_after: None,
    }
}
