//! Pending seals, whose answer may arrive after the request's final answer.
//!
//! An at-most-once request without a response ends at its deadline with the verdict "may have run",
//! and its key stays used. If the agent later answers that the attempt never ran and never will,
//! the key can be freed. Otherwise the caller could never submit the request under this key.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::verdict::RunVerdict;

use crate::action::EntryAction;
use crate::machine::PendingSeal;

/// Upper bound on the pending seals. Beyond it, the oldest seal is dropped and its key stays used.
const MAX_SEALS: usize = 4_096;

/// Time to wait for an answer; longer than the time for which a cancel is retried.
const SEAL_TTL: Duration = Duration::from_secs(30);

/// Pending seals by request, dropped when they are too old or too many.
#[derive(Debug, Default)]
pub(super) struct SealTracker {
    pending: HashMap<RequestId, PendingSeal>,
    insertion_order: VecDeque<(ClockTime, RequestId)>,
}

impl SealTracker {
    pub(super) fn insert(&mut self, request: RequestId, seal: PendingSeal, now: ClockTime) {
        self.evict_old(now);
        self.pending.insert(request, seal);
        self.insertion_order.push_back((now, request));
    }

    /// Resolves a pending seal with the answer to a cancel. Returns `None` if no seal of the
    /// request is pending for this attempt.
    pub(super) fn resolve(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        verdict: RunVerdict,
    ) -> Option<EntryAction> {
        let seal = *self.pending.get(&request)?;
        if seal.attempt != attempt {
            return None;
        }
        self.pending.remove(&request);
        Some(EntryAction::SettleClaim {
            key: seal.key,
            verdict,
        })
    }

    fn evict_old(&mut self, now: ClockTime) {
        while let Some((inserted_at, request)) = self.insertion_order.front().copied() {
            let is_full = self.insertion_order.len() >= MAX_SEALS;
            if !is_full && now.since(inserted_at) < SEAL_TTL {
                return;
            }
            self.insertion_order.pop_front();
            self.pending.remove(&request);
        }
    }
}
