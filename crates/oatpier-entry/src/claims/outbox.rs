//! How requests under keys ended, until that is in the store.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_claims::event::ClaimEvent;
use oatpier_claims::message::{ClaimFinish, ClaimRelease, KeyHash};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::RunVerdict;

use crate::messages::ClaimCall;

/// Settlements that are kept. Beyond them new ones are dropped and counted: their keys stay held,
/// so that nothing runs twice; a repeat of the request is told that it may have run.
const KEPT_SETTLEMENTS: usize = 8192;
/// Until a settlement that is not known to be in the store is said again: longer than a claimer
/// waits for company before it writes.
const SAY_AGAIN: Duration = Duration::from_secs(3);

/// How a request under a key ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Settlement {
    pub(super) key: KeyHash,
    pub(super) request: RequestId,
    pub(super) verdict: RunVerdict,
}

impl Settlement {
    /// What is said to a claimer in another entry.
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

    /// What is said to the claimer here.
    pub(super) fn event(self) -> ClaimEvent {
        match self.call() {
            ClaimCall::Release(release) => ClaimEvent::Released(release),
            ClaimCall::Finish(finish) => ClaimEvent::Finished(finish),
            ClaimCall::Ask(ask) => ClaimEvent::Queried(ask),
        }
    }
}

/// Settlements that are not known to be in the store.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    open: IndexMap<(KeyHash, RequestId), (Settlement, ClockTime)>,
}

impl Outbox {
    /// Takes a settlement; false if there is no room. It takes the place of an earlier one of the
    /// same request, but "may have run" says nothing that is not known from a sure one: words
    /// that waited for the ring can come in another order.
    pub(super) fn push(&mut self, settlement: Settlement, now: ClockTime) -> bool {
        let key = (settlement.key, settlement.request);
        let known = self.open.get(&key).map(|(known, _)| known.verdict);
        if settlement.verdict == RunVerdict::MayHaveRun
            && known.is_some_and(|verdict| verdict != RunVerdict::MayHaveRun)
        {
            return true;
        }
        if known.is_none() && self.open.len() >= KEPT_SETTLEMENTS {
            return false;
        }
        self.open.insert(key, (settlement, now));
        true
    }

    /// The settlement is in the store. A later one of the same request stays: the end of a call
    /// with "may have run" must not stop the release that came after it.
    pub(super) fn recorded(&mut self, settlement: Settlement) {
        let key = (settlement.key, settlement.request);
        if self
            .open
            .get(&key)
            .is_some_and(|(open, _)| *open == settlement)
        {
            self.open.swap_remove(&key);
        }
    }

    /// All are to be said again at once.
    pub(super) fn retry_all(&mut self, now: ClockTime) {
        for (_, at) in self.open.values_mut() {
            *at = now;
        }
    }

    /// The settlements to say now.
    pub(super) fn take_due(&mut self, now: ClockTime) -> Vec<Settlement> {
        let due = self.open.values_mut().filter(|(_, at)| *at <= now);
        due.map(|(settlement, at)| {
            *at = now + SAY_AGAIN;
            *settlement
        })
        .collect()
    }

    pub(super) fn next_retry(&self) -> ClockTime {
        let times = self.open.values().map(|(_, at)| *at);
        times.min().unwrap_or(ClockTime::NEVER)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
