//! The claimers of this entry, one for each partition, and who waits for their answers.

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

use super::OpenAsk;
use super::outbox::Settlement;
use super::storing::StoreCall;
use crate::messages::ClaimReply;

/// Who waits for the answer to an ask.
#[derive(Debug)]
pub(super) enum AskWaiter {
    /// A request of this entry.
    Own(OpenAsk),
    /// Another entry.
    Peer(oneshot::Sender<ClaimReply>),
}

impl AskWaiter {
    fn is_closed(&self) -> bool {
        match self {
            Self::Own(open) => open.reply.is_closed(),
            Self::Peer(reply) => reply.is_closed(),
        }
    }
}

/// What a claimer's step asks of the duty.
pub(super) enum ClaimerOutput {
    /// A call to the store.
    Store(StoreCall),
    /// The answer to an ask of this entry.
    Answered {
        /// The ask.
        open: OpenAsk,
        /// Its answer.
        answer: ClaimAnswer,
    },
    /// A settlement is in the store.
    Recorded(Settlement),
}

type WaitKey = (KeyHash, RequestId);

/// The claimers of this entry.
pub(super) struct LocalClaimer {
    logs: Vec<ClaimLog>,
    asks: HashMap<WaitKey, SmallVec<[AskWaiter; 1]>>,
    settles: HashMap<WaitKey, SmallVec<[oneshot::Sender<ClaimReply>; 1]>>,
}

impl LocalClaimer {
    pub(super) fn new(own: &DaemonName, boot: BootId) -> Self {
        let log = |partition| ClaimLog::new(partition, own.clone(), boot, ClaimSettings::default());
        Self {
            logs: PartitionId::all().map(log).collect(),
            asks: HashMap::new(),
            settles: HashMap::new(),
        }
    }

    pub(super) fn wait(&mut self, ask: ClaimQuery, waiter: AskWaiter) {
        let waiters = self.asks.entry((ask.key, ask.request)).or_default();
        waiters.push(waiter);
    }

    pub(super) fn wait_settled(
        &mut self,
        key: KeyHash,
        request: RequestId,
        waiter: oneshot::Sender<ClaimReply>,
    ) {
        self.settles.entry((key, request)).or_default().push(waiter);
    }

    /// Forgets those who no longer wait.
    pub(super) fn forget_closed(&mut self) {
        self.asks.retain(|_, waiters| {
            waiters.retain(|waiter| !waiter.is_closed());
            !waiters.is_empty()
        });
        self.settles.retain(|_, waiters| {
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
                    for waiter in self.settles.remove(&(key, request)).unwrap_or_default() {
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

    fn answer(&mut self, key: WaitKey, answer: &ClaimAnswer, outputs: &mut Vec<ClaimerOutput>) {
        for waiter in self.asks.remove(&key).unwrap_or_default() {
            let answer = answer.clone();
            match waiter {
                AskWaiter::Own(open) => outputs.push(ClaimerOutput::Answered { open, answer }),
                AskWaiter::Peer(reply) => {
                    // It asks again if it still wants to know.
                    let _ = reply.send(ClaimReply::Answer(answer));
                }
            }
        }
    }
}
