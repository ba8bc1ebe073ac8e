//! What an entry counts about requests, for metrics.

use indexmap::IndexMap;
use oatpier_types::refusal::RefusalCause;

use crate::outcome::{FinalAnswer, FinalCause};

/// Counts since the entry started.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EntryCounts {
    /// Requests that came in.
    pub started: u64,
    /// Final answers.
    pub answered: u64,
    /// Whole answers within the target.
    pub in_time: u64,
    /// Attempts that were sent, of answered requests.
    pub attempts: u64,
    /// Late, crossed or contradictory events that were dropped.
    pub dropped: u64,
    /// Final answers by cause.
    pub causes: IndexMap<FinalCause, u64>,
}

impl EntryCounts {
    pub(super) fn note_answer(&mut self, answer: &FinalAnswer) {
        self.answered += 1;
        self.in_time += u64::from(answer.in_time);
        *self.causes.entry(answer.cause).or_insert(0) += 1;
    }
}

/// A request that its caller gave up, or that could not be served by any fleet, says nothing of
/// how well its class is served.
pub(super) fn counts_for_target(cause: FinalCause) -> bool {
    !matches!(
        cause,
        FinalCause::CallerGone
            | FinalCause::Refused(
                RefusalCause::KeyUsed | RefusalCause::Unknown | RefusalCause::Invalid
            )
    )
}
