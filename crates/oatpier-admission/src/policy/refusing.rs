//! What the policy refuses, and when it asks to come back.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::request::AttemptSpec;
use oatpier_types::verdict::RunVerdict;

use super::AgentPolicy;
use crate::event::{AgentAction, AgentActions};
use crate::queue::WaitingAttempt;
use crate::weights::WeightsOutlook;

/// When to come back to an endpoint that is down.
const DOWN_RETRY: Duration = Duration::from_secs(1);

/// The least time after which a refused caller is asked to come back.
const LEAST_RETRY: Duration = Duration::from_millis(20);

/// The most.
const MOST_RETRY: Duration = Duration::from_secs(30);

impl AgentPolicy {
    /// Why nothing new is taken, if so.
    pub(super) fn closed(&self) -> Option<RefusalCause> {
        if !self.drain.accepts() {
            return Some(RefusalCause::Leaving);
        }
        (!self.up).then_some(RefusalCause::EndpointDown)
    }

    /// Why this attempt would not be answered in time, if so.
    pub(super) fn misses(&self, waiting: &WaitingAttempt, now: ClockTime) -> Option<RefusalCause> {
        let spec = &waiting.spec;
        let earliest = match self.weights.outlook(&spec.goal) {
            WeightsOutlook::Ready => now,
            WeightsOutlook::From(at) => at.max(now),
            WeightsOutlook::Missing => return Some(RefusalCause::WeightsMissing),
        };
        if earliest + self.estimator.expected_due(spec) > waiting.deadline && earliest > now {
            return Some(RefusalCause::WeightsMissing);
        }
        let ahead = self
            .queue
            .ahead_of(waiting, &|class| self.tracker.need(class, now));
        let expected = now + self.estimator.predict(spec, self.load(ahead), now);
        (expected > waiting.deadline || waiting.deadline <= now).then_some(RefusalCause::TooLate)
    }

    /// Refuses what waits but can't be in time any more, has no weights coming, or waits at an
    /// agent that is leaving or whose endpoint is down: its caller may yet go elsewhere.
    pub(super) fn refuse_hopeless(&mut self, now: ClockTime, actions: &mut AgentActions) {
        if self.queue.is_empty() {
            return;
        }
        let closed = self.closed();
        let hopeless: Vec<_> = self
            .queue
            .iter()
            .filter_map(|waiting| {
                let missing = self.weights.outlook(&waiting.spec.goal) == WeightsOutlook::Missing;
                let late = now > self.last_start(waiting);
                let cause = closed
                    .or(missing.then_some(RefusalCause::WeightsMissing))
                    .or(late.then_some(RefusalCause::TooLate))?;
                Some((waiting.spec.attempt, cause))
            })
            .collect();
        for (attempt, cause) in hopeless {
            if let Some(waiting) = self.queue.remove(attempt) {
                self.refuse(&waiting, cause, now, actions);
            }
        }
    }

    pub(super) fn refuse(
        &mut self,
        waiting: &WaitingAttempt,
        cause: RefusalCause,
        now: ClockTime,
        actions: &mut AgentActions,
    ) {
        let spec = &waiting.spec;
        self.ledger.settle(spec.attempt, RunVerdict::NotRun, now);
        if matches!(cause, RefusalCause::TooLate | RefusalCause::QueueFull) {
            self.tracker.observe(&spec.class, false, now);
        }
        let refusal = Refusal {
            cause,
            retry_after: self.retry_after(cause, spec, now),
        };
        let attempt = spec.attempt;
        actions.push(AgentAction::Refuse { attempt, refusal });
    }

    fn retry_after(
        &self,
        cause: RefusalCause,
        spec: &AttemptSpec,
        now: ClockTime,
    ) -> Option<Duration> {
        let after = match cause {
            RefusalCause::TooLate | RefusalCause::QueueFull => {
                self.estimator.wait(self.whole_load(), now)
            }
            RefusalCause::EndpointDown => DOWN_RETRY,
            RefusalCause::WeightsMissing => match self.weights.outlook(&spec.goal) {
                WeightsOutlook::From(at) => at.since(now),
                WeightsOutlook::Ready | WeightsOutlook::Missing => return None,
            },
            _ => return None,
        };
        Some(after.clamp(LEAST_RETRY, MOST_RETRY))
    }
}
