//! What a gateway knows of prompt parts that crash endpoints, and its decision on each request.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use smallvec::SmallVec;

use super::answered::AnsweredParts;
use super::table::{PartStatus, PartTable};
use super::trials::{PartTrial, TrialGrants};
use super::watch::{BrokenPrompt, PromptWatch};
use super::{PartAttempt, PartCrash, PartExposure, PartVerdict};
use crate::call::PromptPartId;
use crate::crashes::broken_attempts::EndpointOutcome;

/// Time since its last answer for which a part is familiar.
const FAMILIAR_FOR: Duration = Duration::from_mins(1);

/// How long a familiar part is given to be answered again before it becomes a suspect. Parts that many requests share
/// are answered within this time, and would otherwise be suspects at all gateways after each crash.
const FAMILIAR_GRACE: Duration = Duration::from_millis(200);

/// How long an answer here outweighs crashes that other gateways report. Their attempts may have been sent before the
/// answer, and the report of the answer may be on its way.
const ANSWER_PRECEDENCE: Duration = Duration::from_secs(2);

/// A crash that has become certain here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundCrash {
    /// The record of the crash.
    pub crash: PartCrash,
    /// The part's status with this crash.
    pub status: PartStatus,
}

/// Parts that a progressing response has cleared.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClearedParts {
    /// The parts that other gateways may suspect.
    pub parts: SmallVec<[PromptPartId; 2]>,
    /// Their crashes, which the store may list.
    pub crashes: Vec<PartCrash>,
}

/// Suspected prompt parts, and what decides whether they are suspected.
#[derive(Debug, Default)]
pub struct PartTracker {
    table: PartTable,
    watch: PromptWatch,
    answered: AnsweredParts,
    trials: TrialGrants,
}

impl PartTracker {
    /// Decides whether a request may be sent whose prompt has these shared parts.
    #[must_use]
    pub fn evaluate(&self, parts: &[PromptPartId], now: ClockTime) -> PartVerdict {
        self.table.evaluate(parts, now)
    }

    /// Records that a request is sent whose prompt has these shared parts, and the trial that it was granted.
    pub fn begin_attempt(
        &mut self,
        parts: &[PromptPartId],
        trial: Option<&PartTrial>,
    ) -> PartAttempt {
        let mut attempt = PartAttempt::default();
        if self.table.is_empty() {
            return attempt;
        }
        for part in parts {
            let suspected = self.table.suspected(*part);
            if suspected > 0 {
                self.table.begin_test(*part);
                attempt.suspected.push(PartExposure {
                    part: *part,
                    generation: suspected + 1,
                    is_trial: trial.is_some_and(|trial| !trial.is_contested && trial.part == *part),
                });
            }
        }
        attempt
    }

    /// Records that an attempt has ended or its response has progressed, whichever is first.
    pub fn end_test(&mut self, attempt: &PartAttempt) {
        for exposure in &attempt.suspected {
            self.table.end_test(exposure.part);
        }
    }

    /// Records that the response to a request with these parts has progressed, which shows that they crash no endpoint.
    pub fn note_answer(&mut self, parts: &[PromptPartId], now: ClockTime) -> ClearedParts {
        let mut cleared = ClearedParts::default();
        for part in parts {
            self.answered.note(*part, now);
            let crashes = self.table.clear(*part);
            if !crashes.is_empty() {
                self.trials.end(*part);
                cleared.parts.push(*part);
                cleared.crashes.extend(crashes);
            }
        }
        cleared
    }

    /// Records the report of another gateway that requests with these parts were answered.
    pub fn apply_answers(&mut self, parts: &[PromptPartId], now: ClockTime) {
        self.note_answer(parts, now);
    }

    /// Records an attempt that broke before its response progressed. `parts` are the shared parts of its prompt.
    pub fn note_broken(
        &mut self,
        prompt: BrokenPrompt,
        parts: &[PromptPartId],
        attempt: &PartAttempt,
        now: ClockTime,
    ) {
        let prompt = BrokenPrompt {
            parts: attempt.exposures(parts),
            ..prompt
        };
        self.suspect(&prompt, now);
        if let Some(dropped) = self.watch.add(prompt) {
            self.release(&dropped);
        }
    }

    /// Checks the endpoints of broken attempts with `find_outcome`. Returns the crashes that are now certain.
    pub fn resolve(
        &mut self,
        now: ClockTime,
        find_outcome: impl Fn(&BrokenPrompt) -> EndpointOutcome,
    ) -> Vec<FoundCrash> {
        let mut found = Vec::new();
        for mut prompt in self.watch.take() {
            prompt
                .parts
                .retain(|exposure| !self.is_answered_since(exposure.part, prompt.at));
            match find_outcome(&prompt) {
                EndpointOutcome::Alive => self.release(&prompt),
                EndpointOutcome::Unknown if prompt.is_expired(now) => self.release(&prompt),
                EndpointOutcome::Unknown => {
                    self.suspect(&prompt, now);
                    self.watch.put_back(prompt);
                }
                EndpointOutcome::Ended => {
                    let waiting = self.confirm(&prompt, now, &mut found);
                    if !waiting.is_empty() {
                        prompt.parts = waiting;
                        self.watch.put_back(prompt);
                    }
                }
            }
        }
        found
    }

    /// Records the crash for all parts of an attempt whose grace period is over. Returns the other parts.
    fn confirm(
        &mut self,
        prompt: &BrokenPrompt,
        now: ClockTime,
        found: &mut Vec<FoundCrash>,
    ) -> SmallVec<[PartExposure; 4]> {
        let mut waiting = SmallVec::new();
        for exposure in &prompt.parts {
            if self.is_in_grace(exposure.part, prompt.at, now) {
                waiting.push(*exposure);
                continue;
            }
            let crash = prompt.crash(*exposure);
            if let Some(status) = self.table.note_crash(&crash, now) {
                self.trials.end(crash.part);
                found.push(FoundCrash { crash, status });
            }
        }
        waiting
    }

    /// Suspects the parts of an attempt whose grace period is over, until the state of its endpoint is known.
    fn suspect(&mut self, prompt: &BrokenPrompt, now: ClockTime) {
        for exposure in &prompt.parts {
            if !self.is_in_grace(exposure.part, prompt.at, now) {
                self.table.note_open(&prompt.crash(*exposure), now);
            }
        }
    }

    fn release(&mut self, prompt: &BrokenPrompt) {
        for exposure in &prompt.parts {
            self.table.remove_open(exposure.part, &prompt.site);
        }
    }

    fn is_answered_since(&self, part: PromptPartId, at: ClockTime) -> bool {
        self.answered.last(part).is_some_and(|last| last >= at)
    }

    fn is_in_grace(&self, part: PromptPartId, broken_at: ClockTime, now: ClockTime) -> bool {
        let is_familiar = |last: ClockTime| broken_at.since(last) < FAMILIAR_FOR;
        now.since(broken_at) < FAMILIAR_GRACE && self.answered.last(part).is_some_and(is_familiar)
    }

    /// Records a crash that another gateway reports. Returns `None` if it was known.
    pub fn note_crash(&mut self, crash: &PartCrash, now: ClockTime) -> Option<PartStatus> {
        let last_answer = self.answered.last(crash.part);
        let is_answered = last_answer.is_some_and(|last| now.since(last) < ANSWER_PRECEDENCE);
        let crash = PartCrash {
            generation: if is_answered { 1 } else { crash.generation },
            ..crash.clone()
        };
        let status = self.table.note_crash(&crash, now)?;
        self.trials.end(crash.part);
        Some(status)
    }

    /// Grants a trial, if it is due and no other one with the same parts is open. Trials with parts that are not suspected
    /// here are not granted: their requests were answered, or reports are missing here.
    pub fn grant_trial(&mut self, trial: &PartTrial, now: ClockTime) -> bool {
        let table = &self.table;
        self.trials.retain(|part| table.contains(part));
        let is_known = trial.parts.iter().all(|part| table.contains(*part));
        let is_due = if trial.is_contested {
            table.is_contest_due(&trial.parts, now)
        } else {
            table.is_trial_due(trial.part, now)
        };
        is_known && is_due && self.trials.grant(trial, now)
    }

    /// Returns the suspected parts.
    #[must_use]
    pub fn table(&self) -> &PartTable {
        &self.table
    }

    /// Returns the suspected parts, to apply what the store lists or an operator has changed.
    pub fn table_mut(&mut self) -> &mut PartTable {
        &mut self.table
    }

    /// Returns whether no broken attempt waits for the state of its endpoint.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.watch.is_empty()
    }
}
