//! The store on the runtime's clock, with watches, accounting and faults.

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

/// How a store that is down behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DownMode {
    /// It answers `503`: nothing was done, and the caller knows it.
    Refuse,
    /// It drops the connection: nothing was done, and the caller doesn't know it.
    Drop,
}

/// The store's fault switches. The default is a store without faults.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct StoreFaults {
    /// Whether it is down. A call that waits when it goes down fails as well.
    pub down: Option<DownMode>,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// So many of the next writes (puts and deletes) take effect and lose their answer.
    pub lose_answers: u32,
    /// So many of the next writes are lost before they take effect.
    pub lose_writes: u32,
    /// Only writes to keys with this prefix are lost.
    pub lose_prefix: String,
    /// Watches break, those that wait included.
    pub break_watches: bool,
}

/// Calls that the store has counted, by kind. A call that it refused counts.
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
    /// Watches, each once however long it waits.
    pub watches: u64,
}

impl StoreCalls {
    /// Calls that count against the read rate.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.gets + self.lists + self.watches
    }

    /// Calls that count against the write rate.
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

/// A key-value service inside the process, on the runtime's clock.
#[derive(Debug)]
pub struct LocalStore {
    clock: StandinClock,
    shared: Mutex<StoreShared>,
    /// Counts changes of keys and faults, so that waiting watches look again.
    wakes: watch::Sender<u64>,
}

impl Default for LocalStore {
    fn default() -> Self {
        Self::new()
    }
}

/// What the fault switches make of a write.
#[derive(PartialEq)]
enum WriteFate {
    Whole,
    AnswerLost,
    WriteLost,
}

impl LocalStore {
    /// An empty store without faults, whose clock starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            clock: StandinClock::start(),
            shared: Mutex::default(),
            wakes: watch::Sender::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreShared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
        self.wake();
    }

    /// The fault switches as they stand now, with what is left of the counts.
    #[must_use]
    pub fn faults(&self) -> StoreFaults {
        self.lock().faults.clone()
    }

    /// The calls counted so far.
    #[must_use]
    pub fn calls(&self) -> StoreCalls {
        self.lock().calls
    }

    fn wake(&self) {
        self.wakes.send_modify(|count| *count += 1);
    }

    async fn admit(&self, count: fn(&mut StoreCalls) -> &mut u64) -> Result<(), StoreError> {
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

    /// Does a write as the fault switches have it.
    fn write<T>(
        &self,
        key: &str,
        effect: impl FnOnce(&mut StoreCore) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let (fate, result) = {
            let mut shared = self.lock();
            let fate = write_fate(&mut shared.faults, key);
            if fate == WriteFate::WriteLost {
                return Err(answer_lost());
            }
            (fate, effect(&mut shared.core))
        };
        self.wake();
        match fate {
            WriteFate::Whole => result,
            WriteFate::AnswerLost | WriteFate::WriteLost => Err(answer_lost()),
        }
    }

    /// One look of a watch: the changes so far, or none and when the next lease lapses.
    fn look(
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
        let mut wakes = self.wakes.subscribe();
        loop {
            wakes.mark_unchanged();
            let (changes, lapse) = self.look(prefix, after)?;
            if !changes.is_empty() || tokio::time::Instant::now() >= deadline {
                return Ok(changes);
            }
            let until = lapse.map_or(deadline, |lapse| lapse.min(deadline));
            tokio::select! {
                _ = wakes.changed() => {}
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

fn write_fate(faults: &mut StoreFaults, key: &str) -> WriteFate {
    if !key.starts_with(&faults.lose_prefix) {
        return WriteFate::Whole;
    }
    if faults.lose_writes > 0 {
        faults.lose_writes -= 1;
        return WriteFate::WriteLost;
    }
    if faults.lose_answers > 0 {
        faults.lose_answers -= 1;
        return WriteFate::AnswerLost;
    }
    WriteFate::Whole
}

fn answer_lost() -> StoreError {
    StoreError::AnswerLost {
        cause: "the connection broke".to_owned(),
    }
}

impl KeyStore for LocalStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>> {
        async move {
            self.admit(|calls| &mut calls.gets).await?;
            Ok(self.lock().core.get(self.clock.now(), key))
        }
        .boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<StoredValue>, StoreError>> {
        async move {
            self.admit(|calls| &mut calls.lists).await?;
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
            self.admit(|calls| &mut calls.puts).await?;
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
            self.admit(|calls| &mut calls.deletes).await?;
            let now = self.clock.now();
            self.write(key, |core| core.delete(now, key, expected))
        }
        .boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        async move {
            self.admit(|calls| &mut calls.leases).await?;
            let lease = self.lock().core.grant_lease(self.clock.now(), ttl);
            // A waiting watch must learn of the new time at which it has to look again.
            self.wake();
            Ok(lease)
        }
        .boxed()
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        async move {
            self.admit(|calls| &mut calls.leases).await?;
            self.lock().core.renew_lease(self.clock.now(), lease)
        }
        .boxed()
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        async move {
            self.admit(|calls| &mut calls.leases).await?;
            self.lock().core.revoke_lease(self.clock.now(), lease);
            self.wake();
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
            self.admit(|calls| &mut calls.watches).await?;
            self.wait_for_changes(prefix, after, wait).await
        }
        .boxed()
    }
}
