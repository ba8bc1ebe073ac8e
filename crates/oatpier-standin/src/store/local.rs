//! The store on the runtime's clock, with watches, counts of calls and faults.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use oatpier_ports::store::{ExpectedValue, KeyChange, KeyStore, LeaseId, StoreError, StoredValue};
use oatpier_types::ids::Revision;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::StoreCore;
use crate::clock::StandinClock;

/// Behaviour of a store that is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DownMode {
    /// It answers `503`: the call had no effect, and the caller knows it.
    Refuse,
    /// It drops the connection: the call had no effect, but the caller doesn't know it.
    Drop,
}

/// Faults that the store injects. The default is none.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct StoreFaults {
    /// Whether and how the store is down. Calls that wait when it goes down fail as well.
    pub down: Option<DownMode>,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes (puts and deletes) that take effect and lose their answer.
    pub lose_answers: u32,
    /// Number of next writes that are lost before they take effect.
    pub lose_writes: u32,
    /// Prefix of the keys whose writes or answers are lost.
    pub lose_prefix: String,
    /// Makes watches fail, including those that wait.
    pub break_watches: bool,
}

/// Numbers of calls to the store, by kind. Refused calls are counted too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoreCalls {
    /// Reads of a value.
    pub gets: u64,
    /// Reads of a prefix.
    pub lists: u64,
    /// Writes.
    pub puts: u64,
    /// Removals.
    pub deletes: u64,
    /// Leases granted, renewed and revoked.
    pub leases: u64,
    /// Watches. Each counts once, however long it waits.
    pub watches: u64,
}

impl StoreCalls {
    /// Returns the number of calls that count towards the read rate.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.gets + self.lists + self.watches
    }

    /// Returns the number of calls that count towards the write rate.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.puts + self.deletes + self.leases
    }
}

#[derive(Debug, Default)]
struct StoreShared {
    core: StoreCore,
    faults: StoreFaults,
    calls: StoreCalls,
}

/// In-process key-value service, on the runtime's clock.
#[derive(Debug)]
pub struct LocalStore {
    clock: StandinClock,
    shared: Mutex<StoreShared>,
    /// Counts changes of keys, leases and faults, so that waiting watches check again.
    changes_count: watch::Sender<u64>,
}

impl Default for LocalStore {
    fn default() -> Self {
        Self::new()
    }
}

/// Effect of the injected faults on a write.
#[derive(PartialEq)]
enum WriteOutcome {
    Complete,
    AnswerLost,
    WriteLost,
}

impl LocalStore {
    /// Creates an empty store without faults, whose clock starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            clock: StandinClock::start(),
            shared: Mutex::default(),
            changes_count: watch::Sender::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreShared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
        self.wake_watches();
    }

    /// Returns the current faults, with the remaining counts.
    #[must_use]
    pub fn faults(&self) -> StoreFaults {
        self.lock().faults.clone()
    }

    /// Returns the calls counted so far.
    #[must_use]
    pub fn calls(&self) -> StoreCalls {
        self.lock().calls
    }

    fn wake_watches(&self) {
        self.changes_count.send_modify(|count| *count += 1);
    }

    async fn begin_call(&self, count: fn(&mut StoreCalls) -> &mut u64) -> Result<(), StoreError> {
        let slow = {
            let mut shared = self.lock();
            *count(&mut shared.calls) += 1;
            Duration::from_millis(shared.faults.slow_ms)
        };
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
        check_down(&self.lock().faults)
    }

    /// Executes a write, with the injected faults applied.
    fn write<T>(
        &self,
        key: &str,
        effect: impl FnOnce(&mut StoreCore) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let (outcome, result) = {
            let mut shared = self.lock();
            let outcome = write_outcome(&mut shared.faults, key);
            if outcome == WriteOutcome::WriteLost {
                return Err(answer_lost());
            }
            (outcome, effect(&mut shared.core))
        };
        self.wake_watches();
        match outcome {
            WriteOutcome::Complete => result,
            WriteOutcome::AnswerLost | WriteOutcome::WriteLost => Err(answer_lost()),
        }
    }

    /// Returns the changes after a revision, and when the next lease lapses.
    fn poll_changes(
        &self,
        prefix: &str,
        after: Revision,
    ) -> Result<(Vec<KeyChange>, Option<tokio::time::Instant>), StoreError> {
        let now = self.clock.now();
        let mut shared = self.lock();
        check_down(&shared.faults)?;
        if shared.faults.break_watches {
            return Err(answer_lost());
        }
        let changes = shared.core.changes(now, prefix, after);
        let lapse = self.clock.instant(shared.core.next_lapse());
        Ok((changes, lapse))
    }

    async fn wait_for_changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Vec<KeyChange>, StoreError> {
        let deadline = tokio::time::Instant::now() + wait;
        let mut changes_count = self.changes_count.subscribe();
        loop {
            changes_count.mark_unchanged();
            let (changes, lapse) = self.poll_changes(prefix, after)?;
            if !changes.is_empty() || tokio::time::Instant::now() >= deadline {
                return Ok(changes);
            }
            let until = lapse.map_or(deadline, |lapse| lapse.min(deadline));
            tokio::select! {
                _ = changes_count.changed() => {}
                () = tokio::time::sleep_until(until) => {}
            }
        }
    }
}

fn check_down(faults: &StoreFaults) -> Result<(), StoreError> {
    match faults.down {
        None => Ok(()),
        Some(DownMode::Refuse) => Err(StoreError::Unavailable {
            cause: "the store is down".to_owned(),
        }),
        Some(DownMode::Drop) => Err(answer_lost()),
    }
}

fn write_outcome(faults: &mut StoreFaults, key: &str) -> WriteOutcome {
    if !key.starts_with(&faults.lose_prefix) {
        return WriteOutcome::Complete;
    }
    if faults.lose_writes > 0 {
        faults.lose_writes -= 1;
        return WriteOutcome::WriteLost;
    }
    if faults.lose_answers > 0 {
        faults.lose_answers -= 1;
        return WriteOutcome::AnswerLost;
    }
    WriteOutcome::Complete
}

fn answer_lost() -> StoreError {
    StoreError::AnswerLost {
        cause: "the connection broke".to_owned(),
    }
}

impl KeyStore for LocalStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>> {
        async move {
            self.begin_call(|calls| &mut calls.gets).await?;
            Ok(self.lock().core.get(self.clock.now(), key))
        }
        .boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<StoredValue>, StoreError>> {
        async move {
            self.begin_call(|calls| &mut calls.lists).await?;
            Ok(self.lock().core.list(self.clock.now(), prefix))
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expected: ExpectedValue,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>> {
        async move {
            self.begin_call(|calls| &mut calls.puts).await?;
            let now = self.clock.now();
            self.write(key, |core| core.put(now, key, value, expected, lease))
        }
        .boxed()
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        expected: ExpectedValue,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        async move {
            self.begin_call(|calls| &mut calls.deletes).await?;
            let now = self.clock.now();
            self.write(key, |core| core.delete(now, key, expected))
        }
        .boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        async move {
            self.begin_call(|calls| &mut calls.leases).await?;
            let lease = self.lock().core.grant_lease(self.clock.now(), ttl);
            // A waiting watch must recompute the time of its next check.
            self.wake_watches();
            Ok(lease)
        }
        .boxed()
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        async move {
            self.begin_call(|calls| &mut calls.leases).await?;
            self.lock().core.renew_lease(self.clock.now(), lease)
        }
        .boxed()
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        async move {
            self.begin_call(|calls| &mut calls.leases).await?;
            self.lock().core.revoke_lease(self.clock.now(), lease);
            self.wake_watches();
            Ok(())
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Vec<KeyChange>, StoreError>> {
        async move {
            self.begin_call(|calls| &mut calls.watches).await?;
            self.wait_for_changes(prefix, after, wait).await
        }
        .boxed()
    }
}
