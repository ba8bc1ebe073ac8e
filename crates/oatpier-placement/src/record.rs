//! The endpoint's record in the store: which agent may issue orders, and the orders that it may
//! have issued or is about to issue.
//!
//! An agent acquires the next epoch by compare-and-swap when it starts. After a lost response it
//! reads the record back: the boot ID in it shows whose write took effect. A delayed write expects
//! an outdated revision and has no effect.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::engine::OrderAction;
use oatpier_types::ids::{BootId, Epoch, OrderNumber, Revision};
use oatpier_types::names::EndpointName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Initial delay after a failed store call.
const STORE_RETRY_MIN: Duration = Duration::from_secs(1);
/// Maximum delay between two store calls during an outage, before jitter.
const STORE_RETRY_MAX: Duration = Duration::from_secs(16);

/// Number of distinct jitter values.
const JITTER_STEPS: u64 = 1_000;

/// How long a store call that finds this agent's epoch current confirms it, counted from when the
/// call was made.
///
/// Without this bound, an agent that was suspended could send an order long after a successor has
/// completed it. With it, the agent first reads the record and finds the successor's boot ID there.
pub const CONFIRMATION_VALIDITY: Duration = Duration::from_secs(10);

/// Returns the key of an endpoint's record in the store.
#[must_use]
pub fn record_key(endpoint: &EndpointName) -> String {
    format!("epoch/{endpoint}")
}

/// An order that may have been sent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderIntent {
    /// The number of the order.
    pub number: OrderNumber,
    /// The action of the order.
    pub action: OrderAction,
}

/// The value of an endpoint in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The epoch of the agent that may issue orders.
    pub epoch: Epoch,
    /// The boot ID of that agent.
    pub boot: BootId,
    /// Orders that may be in flight, where the engine ignores numbers.
    pub intents: Vec<OrderIntent>,
}

/// A record with its revision in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// The record.
    pub record: EndpointRecord,
    /// The revision.
    pub revision: Revision,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordCall {
    /// Read the record.
    Read,
    /// Write the record if the key is at revision `expected`, or is absent if that is `None`.
    Write {
        /// The new record.
        record: EndpointRecord,
        /// The expected revision.
        expected: Option<Revision>,
    },
}

/// Result of a store call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordAnswer {
    /// The record that a read found.
    Found(Option<StoredRecord>),
    /// The write took effect.
    Written(Revision),
    /// The key was not at the expected revision, because another write took effect first.
    Conflict,
    /// The store did not accept the call.
    Unavailable,
    /// No response arrived: the write may have taken effect, or may still do so.
    AnswerLost,
}

/// State of the agent's epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochState {
    /// Not acquired yet: the agent may not send orders.
    Acquiring,
    /// Acquired: the agent may send orders.
    Acquired(Epoch),
    /// A later agent has acquired the endpoint: the agent may never send orders again.
    Superseded,
}

/// Keeper of the endpoint's record: acquires the epoch, then writes the intents.
#[derive(Debug, Clone)]
pub struct RecordKeeper {
    boot: BootId,
    state: EpochState,
    stored: Option<StoredRecord>,
    is_stored_current: bool,
    pending_write: Option<EndpointRecord>,
    is_reading: bool,
    called_at: ClockTime,
    confirmed_at: ClockTime,
    calls: u64,
    confirmed_call: u64,
    confirmation_after: Option<u64>,
    retry_at: ClockTime,
    failures: u32,
    inherited: Vec<OrderIntent>,
}

impl RecordKeeper {
    /// Creates a keeper for one start of an agent.
    #[must_use]
    pub fn new(boot: BootId) -> Self {
        Self {
            boot,
            state: EpochState::Acquiring,
            stored: None,
            is_stored_current: false,
            pending_write: None,
            is_reading: false,
            called_at: ClockTime::ZERO,
            confirmed_at: ClockTime::ZERO,
            calls: 0,
            confirmed_call: 0,
            confirmation_after: None,
            retry_at: ClockTime::ZERO,
            failures: 0,
            inherited: Vec::new(),
        }
    }

    /// Returns the state of the agent's epoch.
    #[must_use]
    pub fn state(&self) -> EpochState {
        self.state
    }

    /// Stops this agent from sending orders, because the engine has accepted one of a later epoch.
    pub fn supersede(&mut self) {
        self.state = EpochState::Superseded;
    }

    /// Returns whether the store accepted the last call.
    #[must_use]
    pub fn is_store_up(&self) -> bool {
        self.failures == 0
    }

    /// Returns whether an intent is certainly in the store, and this agent's epoch was confirmed
    /// within the last [`CONFIRMATION_VALIDITY`].
    #[must_use]
    pub fn is_written(&self, number: OrderNumber, now: ClockTime) -> bool {
        let is_stored = self
            .stored_intents()
            .iter()
            .any(|intent| intent.number == number);
        self.is_stored_current && is_stored && self.is_confirmed(now)
    }

    /// Removes and returns the intents of earlier agents.
    pub fn take_inherited(&mut self) -> Vec<OrderIntent> {
        std::mem::take(&mut self.inherited)
    }

    /// Returns the call to make now, if any. Only one call is made at a time; its result goes to
    /// [`RecordKeeper::on_answer`].
    ///
    /// `wanted` are the intents that have to be in the record. Obsolete intents are removed only by
    /// the next write that is needed for another reason. `sending` means that an order of one of the
    /// intents is due to be sent, so that an expired confirmation has to be renewed.
    pub fn next_call(
        &mut self,
        wanted: &[OrderIntent],
        sending: bool,
        now: ClockTime,
    ) -> Option<RecordCall> {
        let is_busy = self.is_reading || self.pending_write.is_some() || now < self.retry_at;
        if is_busy || self.state == EpochState::Superseded {
            return None;
        }
        let renew = sending && !self.is_confirmed(now);
        let is_acquired = matches!(self.state, EpochState::Acquired(_));
        let write = self.next_record(wanted).filter(|_| self.is_stored_current);
        // After a failure a read detects that the store is available again, even if nothing is
        // pending.
        let is_uncertain = !self.is_stored_current || self.failures > 0;
        let read = is_uncertain || (is_acquired && (renew || self.confirmation_after.is_some()));
        if write.is_none() && !read {
            return None;
        }
        self.called_at = now;
        self.calls += 1;
        let Some(record) = write else {
            self.is_reading = true;
            return Some(RecordCall::Read);
        };
        self.pending_write = Some(record.clone());
        let expected = self.stored.as_ref().map(|stored| stored.revision);
        Some(RecordCall::Write { record, expected })
    }

    /// Processes the result of the last call.
    pub fn on_answer(&mut self, answer: RecordAnswer, now: ClockTime) {
        self.is_reading = false;
        let pending_write = self.pending_write.take();
        match answer {
            RecordAnswer::Found(stored) => self.on_found(stored),
            RecordAnswer::Written(revision) => self.on_written(pending_write, revision),
            RecordAnswer::Conflict => {
                self.failures = 0;
                self.is_stored_current = false;
            }
            RecordAnswer::Unavailable => self.back_off(now),
            RecordAnswer::AnswerLost => {
                self.is_stored_current = false;
                self.back_off(now);
            }
        }
    }

    /// Returns the number of calls so far. A later call that finds this agent's epoch current confirms
    /// it.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Requests a call that confirms the epoch.
    pub fn request_confirmation(&mut self) {
        self.confirmation_after = Some(self.calls);
    }

    /// Returns whether a call after the first `calls` ones found this agent's epoch current.
    #[must_use]
    pub fn is_confirmed_after(&self, calls: u64) -> bool {
        matches!(self.state, EpochState::Acquired(_)) && self.confirmed_call > calls
    }

    fn confirm(&mut self) {
        self.confirmed_at = self.called_at;
        self.confirmed_call = self.calls;
        let is_unconfirmed = |after: &u64| self.calls <= *after;
        self.confirmation_after = self.confirmation_after.filter(is_unconfirmed);
    }

    fn is_confirmed(&self, now: ClockTime) -> bool {
        now.since(self.confirmed_at) < CONFIRMATION_VALIDITY
    }

    fn next_record(&self, wanted: &[OrderIntent]) -> Option<EndpointRecord> {
        match self.state {
            EpochState::Acquiring => Some(EndpointRecord {
                epoch: self.stored_epoch().next(),
                boot: self.boot,
                intents: self.stored_intents().to_vec(),
            }),
            EpochState::Acquired(epoch) => {
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
        self.is_stored_current = true;
        self.confirm();
        let own_epoch = stored
            .as_ref()
            .filter(|stored| stored.record.boot == self.boot)
            .map(|stored| stored.record.epoch);
        self.stored = stored;
        match (self.state, own_epoch) {
            (EpochState::Acquiring, Some(epoch)) => self.acquire(epoch),
            // The record has the boot ID of another agent: a successor controls the endpoint.
            (EpochState::Acquired(_), None) => self.state = EpochState::Superseded,
            _ => {}
        }
    }

    fn on_written(&mut self, pending_write: Option<EndpointRecord>, revision: Revision) {
        self.failures = 0;
        self.confirm();
        let Some(record) = pending_write else {
            return;
        };
        let epoch = record.epoch;
        self.stored = Some(StoredRecord { record, revision });
        if self.state == EpochState::Acquiring {
            self.acquire(epoch);
        }
    }

    fn acquire(&mut self, epoch: Epoch) {
        self.state = EpochState::Acquired(epoch);
        self.inherited = self.stored_intents().to_vec();
    }

    fn back_off(&mut self, now: ClockTime) {
        let wait = STORE_RETRY_MIN * 2_u32.saturating_pow(self.failures.min(4));
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + wait.min(STORE_RETRY_MAX).mul_f64(self.jitter());
    }

    /// Returns a jitter factor between 0.5 and 1.5 that differs for each agent and retry.
    ///
    /// It keeps agents from calling a recovered store all at once, even if they started at the same
    /// time.
    fn jitter(&self) -> f64 {
        let hash = xxh3_64_with_seed(&self.boot.0.to_le_bytes(), u64::from(self.failures));
        let step = u32::try_from(hash % JITTER_STEPS).unwrap_or_default();
        0.5 + f64::from(step) / 1_000.0
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
