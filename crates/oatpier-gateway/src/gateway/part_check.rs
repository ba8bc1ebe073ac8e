//! Checks before each send whether a request contains prompt parts that may crash its endpoint.

use std::time::Duration;

use oatpier_serving::call::PromptPartId;
use oatpier_serving::crashes::prompt_parts::PartVerdict;
use oatpier_serving::crashes::prompt_parts::trials::PartTrial;
use oatpier_types::clock::ClockTime;
use tokio::sync::futures::Notified;
use tokio::time::sleep;

use super::local_responses::LocalResponse;
use super::placement::PlacedSend;
use super::run::RequestRun;

/// Longest wait for the outcome of another request with a suspected part. Engines begin to respond within this time, unless
/// they are overloaded.
const MAX_TEST_WAIT: Duration = Duration::from_millis(100);

/// Interval at which a waiting request checks that outcome.
const TEST_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Waits and refusals of a request because of the parts of its prompt.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PartCheck {
    /// When the request began to wait for the outcome of another one.
    waits_since: Option<ClockTime>,
    /// The part for which the request was refused.
    pub(super) refused_for: Option<PromptPartId>,
}

impl PartCheck {
    /// Returns whether the request may wait, and records since when it does.
    fn may_wait(&mut self, now: ClockTime) -> bool {
        let since = *self.waits_since.get_or_insert(now);
        now.since(since) < MAX_TEST_WAIT
    }
}

/// What to do with a request after a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PartStep {
    /// Place it.
    Place,
    /// Check it again soon.
    Wait,
}

/// Waits until a check may have another result.
pub(super) async fn wait(changed: Notified<'_>) {
    tokio::select! {
        () = changed => {}
        () = sleep(TEST_CHECK_INTERVAL) => {}
    }
}

impl RequestRun {
    /// Checks a request before it is placed. Whether a trial is granted is asked only when an endpoint can take the
    /// request.
    pub(super) fn check_parts(&mut self) -> Result<PartStep, LocalResponse> {
        let now = self.core.clock.now();
        match self.core.part_verdict(&self.context) {
            PartVerdict::Testing if self.part_check.may_wait(now) => Ok(PartStep::Wait),
            PartVerdict::Allowed | PartVerdict::Contested(_) | PartVerdict::Testing => {
                Ok(PartStep::Place)
            }
            PartVerdict::Deferred(part) => Err(self.hold_part(part)),
            PartVerdict::Barred(barred) if barred.trial.is_some() => Ok(PartStep::Place),
            PartVerdict::Barred(barred) => Err(self.bar_part(barred.part)),
        }
    }

    /// Checks a request once more before it is sent, and asks for a trial if it needs one. Returns `None` if it must be
    /// placed again.
    pub(super) async fn acquire_trial(
        &mut self,
        placed: PlacedSend,
    ) -> Result<Option<PlacedSend>, LocalResponse> {
        match self.core.part_verdict(&self.context) {
            PartVerdict::Allowed | PartVerdict::Testing => Ok(Some(placed)),
            PartVerdict::Deferred(part) => Err(self.hold_part(part)),
            PartVerdict::Contested(trial) => {
                let part = trial.part;
                if let Some(placed) = self.with_trial(placed, trial).await {
                    return Ok(Some(placed));
                }
                let now = self.core.clock.now();
                if self.part_check.may_wait(now) {
                    sleep(TEST_CHECK_INTERVAL).await;
                    return Ok(None);
                }
                Err(self.hold_part(part))
            }
            PartVerdict::Barred(barred) => {
                let Some(trial) = barred.trial else {
                    return Err(self.bar_part(barred.part));
                };
                match self.with_trial(placed, trial).await {
                    Some(placed) => Ok(Some(placed)),
                    None => Err(self.bar_part(barred.part)),
                }
            }
        }
    }

    async fn with_trial(&self, placed: PlacedSend, trial: PartTrial) -> Option<PlacedSend> {
        let is_granted = self.core.acquire_trial(&trial).await;
        is_granted.then_some(PlacedSend {
            trial: Some(trial),
            ..placed
        })
    }

    fn hold_part(&mut self, part: PromptPartId) -> LocalResponse {
        self.part_check.refused_for = Some(part);
        self.unless_run(LocalResponse::PartHeld)
    }

    fn bar_part(&mut self, part: PromptPartId) -> LocalResponse {
        self.part_check.refused_for = Some(part);
        self.unless_run(LocalResponse::PartBarred)
    }
}
