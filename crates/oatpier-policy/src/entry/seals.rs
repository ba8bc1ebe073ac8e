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
use crate::machine::OpenSeal;

/// Upper bound on the pending seals. Beyond it, the oldest seal is dropped and its key stays used.
const MOST_SEALS: usize = 4_096;

/// Time to wait for an answer; longer than the time for which a cancel is retried.
const SEAL_LIFE: Duration = Duration::from_secs(30);

/// Pending seals by request, dropped when they are too old or too many.
#[derive(Debug, Default)]
pub(super) struct SealBook {
    open: HashMap<RequestId, OpenSeal>,
    order: VecDeque<(ClockTime, RequestId)>,
}

impl SealBook {
    pub(super) fn keep(&mut self, request: RequestId, seal: OpenSeal, now: ClockTime) {
        self.drop_old(now);
        self.open.insert(request, seal);
        self.order.push_back((now, request));
    }

    /// Resolves a pending seal with the answer to a cancel. Returns `None` if no seal of the
    /// request is pending for this attempt.
    pub(super) fn answered(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        verdict: RunVerdict,
    ) -> Option<EntryAction> {
        let seal = *self.open.get(&request)?;
        if seal.attempt != attempt {
            return None;
        }
        self.open.remove(&request);
        Some(EntryAction::SettleClaim {
            key: seal.key,
            verdict,
        })
    }

    fn drop_old(&mut self, now: ClockTime) {
        while let Some((kept, request)) = self.order.front().copied() {
            let full = self.order.len() >= MOST_SEALS;
            if !full && now.since(kept) < SEAL_LIFE {
                return;
            }
            self.order.pop_front();
            self.open.remove(&request);
        }
    }
}
