//! Calls to the platform's key-value store, limited to this process's share of the call rate.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use oatpier_duty::duty::RuntimeClock;
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_membership::budget::{CallKind, CallMode, StoreBudget, StoreShare};
use oatpier_ports::store::{ExpectedValue, KeyChange, KeyStore, StoreError, StoredValue};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Revision;
use oatpier_types::operator::StoreRow;
use rand_chacha::ChaCha8Rng;

/// Maximum time a call waits for a token of the budget.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(250);

/// State shared by the duties' threads; locked only for a few instructions at a time.
struct ClientState {
    budget: StoreBudget,
    available: bool,
    last_answered: Option<ClockTime>,
}

/// The only access of an entry's duties to the store. Each call takes a token of the process's
/// budget. A call that gets no token in time fails as "unavailable", which is correct: it had no
/// effect.
pub struct StoreClient {
    store: Arc<dyn KeyStore>,
    clock: RuntimeClock,
    metrics: MetricSet,
    state: Mutex<ClientState>,
}

impl StoreClient {
    /// Creates the access to a store. The rates are those of a fleet with one entry until
    /// [`Self::set_fleet_size`] is called.
    #[must_use]
    pub fn new(
        store: Arc<dyn KeyStore>,
        clock: RuntimeClock,
        metrics: MetricSet,
        generator: ChaCha8Rng,
    ) -> Self {
        let rates = StoreShare::default().entry();
        let state = ClientState {
            budget: StoreBudget::new(rates, generator, clock.now()),
            available: false,
            last_answered: None,
        };
        Self {
            store,
            clock,
            metrics,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets this process's share from the numbers of known processes.
    pub fn set_fleet_size(&self, entries: u32, agents: u32) {
        let share = StoreShare {
            entries,
            agents,
            ..StoreShare::default()
        };
        let now = self.clock.now();
        self.lock().budget.set_rates(share.entry(), now);
    }

    /// Returns the status of the store for operators.
    #[must_use]
    pub fn row(&self) -> StoreRow {
        let now = self.clock.now();
        let state = self.lock();
        let last_answered = state.last_answered.map(|at| now.since(at).as_millis());
        StoreRow {
            available: state.available,
            answered_ms: last_answered.and_then(|span| u64::try_from(span).ok()),
        }
    }

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Returns the store's error, or "unavailable" if the budget is exhausted.
    pub async fn get(&self, kind: CallKind, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let call = self.store.get(key);
        self.run(kind, CallMode::Read, call).await
    }

    /// Reads all values with a key prefix.
    ///
    /// # Errors
    ///
    /// Returns the store's error, or "unavailable" if the budget is exhausted.
    pub async fn list(&self, kind: CallKind, prefix: &str) -> Result<Vec<StoredValue>, StoreError> {
        let call = self.store.list(prefix);
        self.run(kind, CallMode::Read, call).await
    }

    /// Writes a value if the current value is as expected.
    ///
    /// # Errors
    ///
    /// Returns the store's error, or "unavailable" if the budget is exhausted.
    pub async fn put(
        &self,
        kind: CallKind,
        key: &str,
        value: Bytes,
        expected: ExpectedValue,
    ) -> Result<Revision, StoreError> {
        let call = self.store.put(key, value, expected, None);
        self.run(kind, CallMode::Write, call).await
    }

    /// Deletes a key regardless of its current value.
    ///
    /// # Errors
    ///
    /// Returns the store's error, or "unavailable" if the budget is exhausted.
    pub async fn delete(&self, kind: CallKind, key: &str) -> Result<(), StoreError> {
        let call = self.store.delete(key, ExpectedValue::Any);
        self.run(kind, CallMode::Write, call).await
    }

    /// Waits for changes of keys with a prefix.
    ///
    /// # Errors
    ///
    /// Returns the store's error, or "unavailable" if the budget is exhausted.
    pub async fn watch(
        &self,
        kind: CallKind,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Vec<KeyChange>, StoreError> {
        let call = self.store.watch(prefix, after, wait);
        self.run(kind, CallMode::Read, call).await
    }

    async fn run<T>(
        &self,
        kind: CallKind,
        mode: CallMode,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        if !self.acquire_token(kind, mode).await {
            self.metrics.count_store_call(kind_label(kind), "held-back");
            let cause = "this process has exhausted its share of store calls".to_owned();
            return Err(StoreError::Unavailable { cause });
        }
        let answer = call.await;
        let failed = matches!(
            answer,
            Err(StoreError::Unavailable { .. } | StoreError::AnswerLost { .. })
        );
        self.record_result(kind, failed);
        answer
    }

    /// Takes a token, waiting a short time for one if necessary. A claimer that takes over a
    /// partition makes several calls at once; refusing its claims because of that burst would be
    /// pointless.
    async fn acquire_token(&self, kind: CallKind, mode: CallMode) -> bool {
        let until = self.clock.now() + MAX_TOKEN_WAIT;
        loop {
            let taken = self.lock().budget.take(kind, mode, self.clock.now());
            match taken {
                Ok(()) => return true,
                Err(at) if at <= until => {
                    tokio::time::sleep_until(self.clock.instant(at)).await;
                }
                Err(_) => return false,
            }
        }
    }

    fn record_result(&self, kind: CallKind, failed: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.available = !failed;
        if failed {
            state.budget.store_failed();
        } else {
            state.budget.store_answered(now);
            state.last_answered = Some(now);
        }
        drop(state);
        let end = if failed { "failed" } else { "answered" };
        self.metrics.count_store_call(kind_label(kind), end);
    }
}

fn kind_label(kind: CallKind) -> &'static str {
    match kind {
        CallKind::ConfigWatch => "config-watch",
        CallKind::PlannerLease => "planner-lease",
        CallKind::PlanRead => "plan-read",
        CallKind::EpochIntent => "epoch-intent",
        CallKind::KeyClaim => "key-claim",
        CallKind::StatusHistory => "status-history",
    }
}
