//! Settlements of requests with keys, kept until they are recorded in the store.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_claims::event::ClaimEvent;
use oatpier_claims::message::{ClaimFinish, ClaimRelease, KeyHash};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::RunVerdict;

use crate::messages::ClaimCall;

/// Maximum number of kept settlements. Beyond it new ones are dropped and counted. Their keys stay
/// held, so that nothing runs twice; a repeat of the request is told that it may have run.
const MAX_SETTLEMENTS: usize = 8192;
/// Interval at which a settlement that is not known to be in the store is sent again. It is longer
/// than the time for which a claimer collects claims before it writes them.
const RESEND_INTERVAL: Duration = Duration::from_secs(3);

/// Outcome of a request with a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Settlement {
    pub(super) key: KeyHash,
    pub(super) request: RequestId,
    pub(super) verdict: RunVerdict,
}

impl Settlement {
    /// Returns the call to a claimer in another entry.
    pub(super) fn call(self) -> ClaimCall {
        let Self {
            key,
            request,
            verdict,
        } = self;
        if verdict == RunVerdict::NotRun {
            ClaimCall::Release(ClaimRelease { key, request })
        } else {
            ClaimCall::Finish(ClaimFinish {
                key,
                request,
                verdict,
            })
        }
    }

    /// Returns the event for the local claimer.
    pub(super) fn event(self) -> ClaimEvent {
        match self.call() {
            ClaimCall::Release(release) => ClaimEvent::Released(release),
            ClaimCall::Finish(finish) => ClaimEvent::Finished(finish),
            ClaimCall::Query(query) => ClaimEvent::Queried(query),
        }
    }
}

/// Settlements that are not known to be in the store.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pending: IndexMap<(KeyHash, RequestId), (Settlement, ClockTime)>,
}

impl Outbox {
    /// Adds a settlement; returns false if the outbox is full. It replaces an earlier settlement of
    /// the same request, but "may have run" never replaces a definite verdict: settlements that
    /// waited for the ring can arrive out of order.
    pub(super) fn push(&mut self, settlement: Settlement, now: ClockTime) -> bool {
        let key = (settlement.key, settlement.request);
        let known = self.pending.get(&key).map(|(known, _)| known.verdict);
        if settlement.verdict == RunVerdict::MayHaveRun
            && known.is_some_and(|verdict| verdict != RunVerdict::MayHaveRun)
        {
            return true;
        }
        if known.is_none() && self.pending.len() >= MAX_SETTLEMENTS {
            return false;
        }
        self.pending.insert(key, (settlement, now));
        true
    }

    /// Removes a recorded settlement. A later settlement of the same request stays: the completed
    /// call with "may have run" must not cancel the release that followed it.
    pub(super) fn recorded(&mut self, settlement: Settlement) {
        let key = (settlement.key, settlement.request);
        if self
            .pending
            .get(&key)
            .is_some_and(|(pending, _)| *pending == settlement)
        {
            self.pending.swap_remove(&key);
        }
    }

    /// Schedules all settlements to be sent again immediately.
    pub(super) fn retry_all(&mut self, now: ClockTime) {
        for (_, at) in self.pending.values_mut() {
            *at = now;
        }
    }

    /// Returns the settlements that are due and schedules their next attempt.
    pub(super) fn take_due(&mut self, now: ClockTime) -> Vec<Settlement> {
        let due = self.pending.values_mut().filter(|(_, at)| *at <= now);
        due.map(|(settlement, at)| {
            *at = now + RESEND_INTERVAL;
            *settlement
        })
        .collect()
    }

    pub(super) fn next_retry(&self) -> ClockTime {
        let times = self.pending.values().map(|(_, at)| *at);
        times.min().unwrap_or(ClockTime::NEVER)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
