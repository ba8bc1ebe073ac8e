//! The local claimers, one per partition, and the waiters for their answers.

use std::collections::HashMap;

use oatpier_claims::event::{ClaimAction, ClaimEvent, ClaimSettings};
use oatpier_claims::log::ClaimLog;
use oatpier_claims::message::{ClaimAnswer, ClaimQuery, KeyHash};
use oatpier_claims::partition::PartitionId;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, RequestId};
use oatpier_types::names::DaemonName;
use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::PendingQuery;
use super::outbox::Settlement;
use super::store_calls::StoreCall;
use crate::messages::ClaimReply;

/// Recipient of the answer to a query.
#[derive(Debug)]
pub(super) enum QueryWaiter {
    /// A request of this entry.
    Own(PendingQuery),
    /// Another entry.
    Peer(oneshot::Sender<ClaimReply>),
}

impl QueryWaiter {
    fn is_closed(&self) -> bool {
        match self {
            Self::Own(pending) => pending.reply.is_closed(),
            Self::Peer(reply) => reply.is_closed(),
        }
    }
}

/// Result of a claimer's step that the duty has to process.
pub(super) enum ClaimerOutput {
    /// A store call to make.
    Store(StoreCall),
    /// The answer to a query of this entry.
    Answered {
        /// The query.
        pending: PendingQuery,
        /// Its answer.
        answer: ClaimAnswer,
    },
    /// A settlement is recorded in the store.
    Recorded(Settlement),
}

type WaiterKey = (KeyHash, RequestId);

/// The claimers of this entry.
pub(super) struct LocalClaimer {
    logs: Vec<ClaimLog>,
    queries: HashMap<WaiterKey, SmallVec<[QueryWaiter; 1]>>,
    settlements: HashMap<WaiterKey, SmallVec<[oneshot::Sender<ClaimReply>; 1]>>,
}

impl LocalClaimer {
    pub(super) fn new(own: &DaemonName, boot: BootId) -> Self {
        let log = |partition| ClaimLog::new(partition, own.clone(), boot, ClaimSettings::default());
        Self {
            logs: PartitionId::all().map(log).collect(),
            queries: HashMap::new(),
            settlements: HashMap::new(),
        }
    }

    pub(super) fn add_query_waiter(&mut self, query: ClaimQuery, waiter: QueryWaiter) {
        let waiters = self.queries.entry((query.key, query.request)).or_default();
        waiters.push(waiter);
    }

    pub(super) fn add_settle_waiter(
        &mut self,
        key: KeyHash,
        request: RequestId,
        waiter: oneshot::Sender<ClaimReply>,
    ) {
        self.settlements
            .entry((key, request))
            .or_default()
            .push(waiter);
    }

    /// Removes waiters that no longer wait.
    pub(super) fn remove_closed(&mut self) {
        self.queries.retain(|_, waiters| {
            waiters.retain(|waiter| !waiter.is_closed());
            !waiters.is_empty()
        });
        self.settlements.retain(|_, waiters| {
            waiters.retain(|waiter| !waiter.is_closed());
            !waiters.is_empty()
        });
    }

    pub(super) fn next_timer(&self) -> ClockTime {
        let timers = self.logs.iter().map(ClaimLog::next_timer);
        timers.min().unwrap_or(ClockTime::NEVER)
    }

    pub(super) fn is_due(&self, partition: PartitionId, now: ClockTime) -> bool {
        self.logs[usize::from(partition.0)].next_timer() <= now
    }

    pub(super) fn step(
        &mut self,
        partition: PartitionId,
        event: ClaimEvent,
        now: ClockTime,
    ) -> Vec<ClaimerOutput> {
        let log = &mut self.logs[usize::from(partition.0)];
        let actions = log.step(event, now);
        let mut outputs = Vec::new();
        for action in actions {
            match action {
                ClaimAction::Answer {
                    key,
                    request,
                    answer,
                } => self.answer((key, request), &answer, &mut outputs),
                ClaimAction::Recorded {
                    key,
                    request,
                    verdict,
                } => {
                    for waiter in self.settlements.remove(&(key, request)).unwrap_or_default() {
                        let _ = waiter.send(ClaimReply::Recorded);
                    }
                    outputs.push(ClaimerOutput::Recorded(Settlement {
                        key,
                        request,
                        verdict,
                    }));
                }
                store => outputs.extend(StoreCall::of(store).map(ClaimerOutput::Store)),
            }
        }
        outputs
    }

    fn answer(&mut self, key: WaiterKey, answer: &ClaimAnswer, outputs: &mut Vec<ClaimerOutput>) {
        for waiter in self.queries.remove(&key).unwrap_or_default() {
            let answer = answer.clone();
            match waiter {
                QueryWaiter::Own(pending) => {
                    outputs.push(ClaimerOutput::Answered { pending, answer });
                }
                QueryWaiter::Peer(reply) => {
                    // The peer queries again if it still needs the answer.
                    let _ = reply.send(ClaimReply::Answer(answer));
                }
            }
        }
    }
}
