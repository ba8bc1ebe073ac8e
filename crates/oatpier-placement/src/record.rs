//! The endpoint's value in the store: which agent may give orders, and what it is about to order.
//!
//! An agent takes the next epoch by compare-and-swap at its start. A lost answer is resolved by
//! reading the value back: the boot id in it says whose write took effect. A write that comes
//! late expects a revision that has passed, and has no effect.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::engine::OrderAction;
use oatpier_types::ids::{BootId, Epoch, OrderNumber, Revision};
use oatpier_types::names::EndpointName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long to wait after the store did not take a call.
const STORE_RETRY: Duration = Duration::from_secs(1);
/// The longest wait between two tries during an outage.
const STORE_RETRY_MAX: Duration = Duration::from_secs(16);

/// The parts that the spread of a wait is counted in.
const SPREAD_PARTS: u64 = 1_000;

/// How long after the store was asked its word on this agent's epoch counts.
///
/// An agent that was paused could send an order long after a successor has settled it. With this
/// bound it reads the record first, and finds the successor's boot id there.
pub const CONFIRM_SPAN: Duration = Duration::from_secs(10);

/// The key of an endpoint's record in the store.
#[must_use]
pub fn record_key(endpoint: &EndpointName) -> String {
    format!("epoch/{endpoint}")
}

/// An order that may have been given.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderIntent {
    /// Its number.
    pub number: OrderNumber,
    /// What it asks.
    pub action: OrderAction,
}

/// An endpoint's value in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The epoch of the agent that may give orders.
    pub epoch: Epoch,
    /// The start of that agent.
    pub boot: BootId,
    /// Orders that may be on their way, where the engine ignores numbers.
    pub intents: Vec<OrderIntent>,
}

/// A record with the revision that its write made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// The record.
    pub record: EndpointRecord,
    /// The revision.
    pub revision: Revision,
}

/// A call to the store that the agent is to make now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordCall {
    /// Read the record.
    Read,
    /// Write the record if the key is still at `expected`; none: if it is absent.
    Write {
        /// The new record.
        record: EndpointRecord,
        /// What is to be there.
        expected: Option<Revision>,
    },
}

/// How the call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordAnswer {
    /// What a read found.
    Found(Option<StoredRecord>),
    /// The write took effect.
    Written(Revision),
    /// Another write came first.
    Conflict,
    /// The store did not take the call.
    Unavailable,
    /// No answer came: the write may have taken effect, or still may.
    AnswerLost,
}

/// Where the agent stands with its epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochState {
    /// Not yet taken: no orders.
    Taking,
    /// Taken: orders may be given.
    Taken(Epoch),
    /// A later agent has taken the endpoint: no orders, ever.
    Superseded,
}

/// Takes the epoch, then keeps the intents written.
#[derive(Debug, Clone)]
pub struct RecordKeeper {
    boot: BootId,
    state: EpochState,
    stored: Option<StoredRecord>,
    fresh: bool,
    pending: Option<EndpointRecord>,
    reading: bool,
    asked_at: ClockTime,
    confirmed_at: ClockTime,
    calls: u64,
    confirmed_call: u64,
    confirm_after: Option<u64>,
    retry_at: ClockTime,
    failures: u32,
    inherited: Vec<OrderIntent>,
}

impl RecordKeeper {
    /// A keeper for one start of an agent.
    #[must_use]
    pub fn new(boot: BootId) -> Self {
        Self {
            boot,
            state: EpochState::Taking,
            stored: None,
            fresh: false,
            pending: None,
            reading: false,
            asked_at: ClockTime::ZERO,
            confirmed_at: ClockTime::ZERO,
            calls: 0,
            confirmed_call: 0,
            confirm_after: None,
            retry_at: ClockTime::ZERO,
            failures: 0,
            inherited: Vec::new(),
        }
    }

    /// Where the agent stands with its epoch.
    #[must_use]
    pub fn state(&self) -> EpochState {
        self.state
    }

    /// The engine has taken an order of a later epoch: this agent gives no more.
    pub fn supersede(&mut self) {
        self.state = EpochState::Superseded;
    }

    /// Whether the store took the last call.
    #[must_use]
    pub fn store_up(&self) -> bool {
        self.failures == 0
    }

    /// Whether an intent is surely in the store, and this agent's epoch still was in force
    /// within the last [`CONFIRM_SPAN`].
    #[must_use]
    pub fn is_written(&self, number: OrderNumber, now: ClockTime) -> bool {
        let present = self
            .stored_intents()
            .iter()
            .any(|intent| intent.number == number);
        self.fresh && present && self.is_confirmed(now)
    }

    /// The intents of former agents; empties the list.
    pub fn take_inherited(&mut self) -> Vec<OrderIntent> {
        std::mem::take(&mut self.inherited)
    }

    /// The call to make now, if any. One at a time: its answer goes to
    /// [`RecordKeeper::on_answer`].
    ///
    /// `wanted` are the intents that are to stand in the record. Intents that no longer need to
    /// be there go with the next write that is needed anyway. `sending` says that one of them
    /// waits to be sent, so that an old confirmation is renewed.
    pub fn next_call(
        &mut self,
        wanted: &[OrderIntent],
        sending: bool,
        now: ClockTime,
    ) -> Option<RecordCall> {
        let busy = self.reading || self.pending.is_some() || now < self.retry_at;
        if busy || self.state == EpochState::Superseded {
            return None;
        }
        let renew = sending && !self.is_confirmed(now);
        let taken = matches!(self.state, EpochState::Taken(_));
        let write = self.next_record(wanted).filter(|_| self.fresh);
        // After an outage a read tells that the store is back, also when nothing waits.
        let unsure = !self.fresh || self.failures > 0;
        let read = unsure || (taken && (renew || self.confirm_after.is_some()));
        if write.is_none() && !read {
            return None;
        }
        self.asked_at = now;
        self.calls += 1;
        let Some(record) = write else {
            self.reading = true;
            return Some(RecordCall::Read);
        };
        self.pending = Some(record.clone());
        let expected = self.stored.as_ref().map(|stored| stored.revision);
        Some(RecordCall::Write { record, expected })
    }

    /// Takes the answer of the last call.
    pub fn on_answer(&mut self, answer: RecordAnswer, now: ClockTime) {
        self.reading = false;
        let pending = self.pending.take();
        match answer {
            RecordAnswer::Found(stored) => self.on_found(stored),
            RecordAnswer::Written(revision) => self.on_written(pending, revision),
            RecordAnswer::Conflict => {
                self.failures = 0;
                self.fresh = false;
            }
            RecordAnswer::Unavailable => self.back_off(now),
            RecordAnswer::AnswerLost => {
                self.fresh = false;
                self.back_off(now);
            }
        }
    }

    /// Calls so far; a later one that finds this agent's epoch in force confirms it.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Asks for a call that confirms the epoch.
    pub fn want_confirmation(&mut self) {
        self.confirm_after = Some(self.calls);
    }

    /// Whether a call asked after the first `calls` ones found this agent's epoch in force.
    #[must_use]
    pub fn confirmed_after(&self, calls: u64) -> bool {
        matches!(self.state, EpochState::Taken(_)) && self.confirmed_call > calls
    }

    fn confirm(&mut self) {
        self.confirmed_at = self.asked_at;
        self.confirmed_call = self.calls;
        let waits = |after: &u64| self.calls <= *after;
        self.confirm_after = self.confirm_after.filter(waits);
    }

    fn is_confirmed(&self, now: ClockTime) -> bool {
        now.since(self.confirmed_at) < CONFIRM_SPAN
    }

    fn next_record(&self, wanted: &[OrderIntent]) -> Option<EndpointRecord> {
        match self.state {
            EpochState::Taking => Some(EndpointRecord {
                epoch: self.stored_epoch().next(),
                boot: self.boot,
                intents: self.stored_intents().to_vec(),
            }),
            EpochState::Taken(epoch) => {
                let written = self.stored_intents();
                let missing = wanted.iter().any(|intent| !written.contains(intent));
                missing.then(|| EndpointRecord {
                    epoch,
                    boot: self.boot,
                    intents: wanted.to_vec(),
                })
            }
            EpochState::Superseded => None,
        }
    }

    fn on_found(&mut self, stored: Option<StoredRecord>) {
        self.failures = 0;
        self.fresh = true;
        self.confirm();
        let own = stored
            .as_ref()
            .filter(|stored| stored.record.boot == self.boot)
            .map(|stored| stored.record.epoch);
        self.stored = stored;
        match (self.state, own) {
            (EpochState::Taking, Some(epoch)) => self.take(epoch),
            // Another boot id where ours stood: a successor has the endpoint.
            (EpochState::Taken(_), None) => self.state = EpochState::Superseded,
            _ => {}
        }
    }

    fn on_written(&mut self, pending: Option<EndpointRecord>, revision: Revision) {
        self.failures = 0;
        self.confirm();
        let Some(record) = pending else {
            return;
        };
        let epoch = record.epoch;
        self.stored = Some(StoredRecord { record, revision });
        if self.state == EpochState::Taking {
            self.take(epoch);
        }
    }

    fn take(&mut self, epoch: Epoch) {
        self.state = EpochState::Taken(epoch);
        self.inherited = self.stored_intents().to_vec();
    }

    fn back_off(&mut self, now: ClockTime) {
        let wait = STORE_RETRY * 2_u32.saturating_pow(self.failures.min(4));
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + wait.min(STORE_RETRY_MAX).mul_f64(self.spread());
    }

    /// Between a half and one and a half, different for each agent and try: a store that returns
    /// is not met by all at once, even where all started at once.
    fn spread(&self) -> f64 {
        let hash = xxh3_64_with_seed(&self.boot.0.to_le_bytes(), u64::from(self.failures));
        let parts = u32::try_from(hash % SPREAD_PARTS).unwrap_or_default();
        0.5 + f64::from(parts) / 1_000.0
    }

    fn stored_epoch(&self) -> Epoch {
        self.stored
            .as_ref()
            .map(|stored| stored.record.epoch)
            .unwrap_or_default()
    }

    fn stored_intents(&self) -> &[OrderIntent] {
        self.stored
            .as_ref()
            .map_or(&[], |stored| &stored.record.intents)
    }
}
