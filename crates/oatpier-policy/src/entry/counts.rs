//! Counters of an entry's requests, for metrics.

use indexmap::IndexMap;
use oatpier_types::refusal::RefusalCause;

use crate::outcome::{FinalAnswer, FinalCause};

/// Counters since the entry started.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EntryCounts {
    /// Requests that arrived.
    pub started: u64,
    /// Final answers.
    pub answered: u64,
    /// Complete answers within the target.
    pub in_time: u64,
    /// Attempts sent for requests that were answered.
    pub attempts: u64,
    /// Late, reordered or contradictory events that were dropped.
    pub dropped: u64,
    /// Final answers by cause.
    pub causes: IndexMap<FinalCause, u64>,
}

impl EntryCounts {
    pub(super) fn record_answer(&mut self, answer: &FinalAnswer) {
        self.answered += 1;
        self.in_time += u64::from(answer.in_time);
        *self.causes.entry(answer.cause).or_insert(0) += 1;
    }
}

/// Returns whether an end counts towards the class's attainment.
///
/// A request that its caller abandoned, or that no fleet could have served, says nothing about how
/// well the class is served.
pub(super) fn counts_for_target(cause: FinalCause) -> bool {
    !matches!(
        cause,
        FinalCause::CallerGone
            | FinalCause::Refused(
                RefusalCause::KeyUsed | RefusalCause::Unknown | RefusalCause::Invalid
            )
    )
}
