//! Seals that are answered after their request's final answer.
//!
//! A change that nothing was heard of ends at its deadline as "may have run", and its key stays
//! used. If the agent then says that the change never ran, and it never will, the key can be free
//! again: else its caller could not submit the change under this key at all.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::verdict::RunVerdict;

use crate::action::EntryAction;
use crate::machine::OpenSeal;

/// The most seals that are awaited; beyond them the oldest key stays used.
const MOST_SEALS: usize = 4_096;

/// How long an answer is awaited: longer than a cancel is tried for.
const SEAL_LIFE: Duration = Duration::from_secs(30);

/// Seals that are answered after their request's final answer.
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

    /// A cancel was answered. None if no seal of the request is open for this attempt.
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
