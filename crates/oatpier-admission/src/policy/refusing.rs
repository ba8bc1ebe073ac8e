//! Refusals of the policy and their retry delays.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::request::AttemptSpec;
use oatpier_types::verdict::RunVerdict;

use super::AgentPolicy;
use crate::event::{AgentAction, AgentActions};
use crate::queue::WaitingAttempt;
use crate::weights::WeightsAvailability;

/// Retry delay for an endpoint that is down.
const ENDPOINT_DOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Minimum retry delay that is sent with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Maximum retry delay that is sent with a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl AgentPolicy {
    /// Returns the reason to refuse all new attempts, if there is one.
    pub(super) fn check_open(&self) -> Option<RefusalCause> {
        if !self.drain.accepts() {
            return Some(RefusalCause::Leaving);
        }
        (!self.up).then_some(RefusalCause::EndpointDown)
    }

    /// Returns the reason to refuse an attempt that is predicted to miss its deadline.
    pub(super) fn check_deadline(
        &self,
        waiting: &WaitingAttempt,
        now: ClockTime,
    ) -> Option<RefusalCause> {
        let spec = &waiting.spec;
        let earliest = match self.weights.availability(&spec.goal) {
            WeightsAvailability::Ready => now,
            WeightsAvailability::ReadyAt(at) => at.max(now),
            WeightsAvailability::Missing => return Some(RefusalCause::WeightsMissing),
        };
        if earliest + self.estimator.expected_latency(spec) > waiting.deadline && earliest > now {
            return Some(RefusalCause::WeightsMissing);
        }
        let ahead = self
            .queue
            .ahead_of(waiting, &|class| self.tracker.need(class, now));
        let expected = now + self.estimator.predict(spec, self.load(ahead), now);
        (expected > waiting.deadline || waiting.deadline <= now).then_some(RefusalCause::TooLate)
    }

    /// Refuses waiting attempts that can no longer meet their deadline or whose weights are neither
    /// ready nor loading. If the agent is leaving or its endpoint is down, refuses all waiting
    /// attempts. Refusing early leaves the caller time to try another endpoint.
    pub(super) fn refuse_unservable(&mut self, now: ClockTime, actions: &mut AgentActions) {
        if self.queue.is_empty() {
            return;
        }
        let closed = self.check_open();
        let unservable: Vec<_> = self
            .queue
            .iter()
            .filter_map(|waiting| {
                let missing =
                    self.weights.availability(&waiting.spec.goal) == WeightsAvailability::Missing;
                let late = now > self.last_start(waiting);
                let cause = closed
                    .or(missing.then_some(RefusalCause::WeightsMissing))
                    .or(late.then_some(RefusalCause::TooLate))?;
                Some((waiting.spec.attempt, cause))
            })
            .collect();
        for (attempt, cause) in unservable {
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
            RefusalCause::EndpointDown => ENDPOINT_DOWN_RETRY_AFTER,
            RefusalCause::WeightsMissing => match self.weights.availability(&spec.goal) {
                WeightsAvailability::ReadyAt(at) => at.since(now),
                WeightsAvailability::Ready | WeightsAvailability::Missing => return None,
            },
            _ => return None,
        };
        Some(after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }
}
