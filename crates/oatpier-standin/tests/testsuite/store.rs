//! Tests of the key-value service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oatpier_ports::http::HttpStore;
use oatpier_ports::store::{ExpectedValue, KeyStore, StoreError};
use oatpier_standin::store::{DownMode, LocalStore, StoreFaults, start_store};
use oatpier_types::ids::Revision;
use tokio::time::{Instant, sleep};

use crate::support::ANY_PORT;

const START: Revision = Revision(0);
const LONG: Duration = Duration::from_mins(1);

async fn put(
    store: &dyn KeyStore,
    key: &str,
    value: &'static str,
    expected: ExpectedValue,
) -> Result<Revision, StoreError> {
    store
        .put(key, Bytes::from_static(value.as_bytes()), expected, None)
        .await
}

async fn read(store: &dyn KeyStore, key: &str) -> Option<Bytes> {
    store.get(key).await.unwrap().map(|found| found.value)
}

fn is_lost<T>(result: &Result<T, StoreError>) -> bool {
    matches!(result, Err(StoreError::AnswerLost { .. }))
}

/// Two writers expect the same revision. The second write has no effect and returns the revision of
/// the first. The in-process store and the HTTP server must both behave like this.
async fn check_compare_and_swap(store: &dyn KeyStore) {
    let key = "config/a b%c";
    let first = put(store, key, "1", ExpectedValue::Absent).await.unwrap();
    let conflict = StoreError::Conflict { current: first };
    let again = put(store, key, "2", ExpectedValue::Absent).await;
    assert_eq!(again, Err(conflict.clone()));
    let wrong = ExpectedValue::At(first.next());
    assert_eq!(put(store, key, "2", wrong).await, Err(conflict.clone()));
    assert_eq!(store.delete(key, wrong).await, Err(conflict));
    assert_eq!(read(store, key).await.unwrap(), "1");

    let second = put(store, key, "2", ExpectedValue::At(first))
        .await
        .unwrap();
    assert!(second > first);
    let listed = store.list("config/").await.unwrap();
    assert_eq!(listed.len(), 1);
    assert_eq!((listed[0].key.as_str(), listed[0].revision), (key, second));
    store.delete(key, ExpectedValue::At(second)).await.unwrap();
    assert_eq!(read(store, key).await, None);

    let changes = store.watch("config/", second, LONG).await.unwrap();
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].key.as_str(), &changes[0].value), (key, &None));
}

/// The answer to a write is lost, once after the write took effect and once before. The writer can
/// distinguish the two only by reading.
async fn check_lost_answers(store: &dyn KeyStore, faults: impl AsyncFn(StoreFaults)) {
    let lose = |lose_answers, lose_writes| StoreFaults {
        lose_answers,
        lose_writes,
        lose_prefix: "config/".to_owned(),
        ..StoreFaults::default()
    };
    faults(lose(1, 0)).await;
    put(store, "other", "1", ExpectedValue::Any).await.unwrap();
    assert!(is_lost(
        &put(store, "config/x", "1", ExpectedValue::Any).await
    ));
    assert_eq!(read(store, "config/x").await.unwrap(), "1");
    put(store, "config/x", "2", ExpectedValue::Any)
        .await
        .unwrap();

    faults(lose(0, 1)).await;
    assert!(is_lost(
        &put(store, "config/x", "3", ExpectedValue::Any).await
    ));
    assert_eq!(read(store, "config/x").await.unwrap(), "2");

    let down = Some(DownMode::Refuse);
    faults(StoreFaults {
        down,
        ..StoreFaults::default()
    })
    .await;
    let refused = store.get("config/x").await;
    assert!(matches!(refused, Err(StoreError::Unavailable { .. })));
    faults(StoreFaults::default()).await;
}

#[tokio::test(start_paused = true)]
async fn a_local_store_fulfils_the_contract() {
    let store = LocalStore::new();
    check_compare_and_swap(&store).await;
    check_lost_answers(&store, async |faults| store.set_faults(faults)).await;
}

#[tokio::test]
async fn a_served_store_fulfils_the_contract() {
    let running = start_store(ANY_PORT).await.unwrap();
    let store = HttpStore::new(running.address, LONG);
    check_compare_and_swap(&store).await;
    check_lost_answers(&store, async |faults| running.handle.set_faults(faults)).await;
}

/// A lease holder is paused and does not renew its lease. When the lease lapses, the value bound to it
/// is removed, and a waiting watch returns the removal. The holder's late write is refused.
#[tokio::test(start_paused = true)]
async fn a_lapsed_lease_removes_its_values() {
    let store = LocalStore::new();
    let start = Instant::now();
    let ttl = Duration::from_millis(100);
    let lease = store.grant_lease(ttl).await.unwrap();
    let value = Bytes::from_static(b"holder");
    let put = store.put("lock", value.clone(), ExpectedValue::Absent, Some(lease));
    let revision = put.await.unwrap();
    sleep(ttl / 2).await;
    store.renew_lease(lease).await.unwrap();

    let changes = store.watch("lock", revision, LONG).await.unwrap();
    assert_eq!(changes[0].value, None);
    assert_eq!(start.elapsed(), ttl / 2 + ttl);
    let late = store.put("lock", value, ExpectedValue::Any, Some(lease));
    assert_eq!(late.await, Err(StoreError::LeaseLapsed));
    assert_eq!(store.renew_lease(lease).await, Err(StoreError::LeaseLapsed));
}

/// The store's connections break while a watch waits. The watch must fail at once instead of waiting
/// for its timeout. It counts as one call, however long it waited.
#[tokio::test(start_paused = true)]
async fn a_waiting_watch_fails_and_counts_once() {
    let store = Arc::new(LocalStore::new());
    let start = Instant::now();
    let watcher = Arc::clone(&store);
    let watch = tokio::spawn(async move { watcher.watch("", START, LONG).await });
    sleep(Duration::from_secs(1)).await;
    let break_watches = true;
    store.set_faults(StoreFaults {
        break_watches,
        ..StoreFaults::default()
    });
    assert!(is_lost(&watch.await.unwrap()));
    assert_eq!(start.elapsed(), Duration::from_secs(1));

    store.set_faults(StoreFaults::default());
    let quiet = store.watch("", START, LONG).await.unwrap();
    assert!(quiet.is_empty());
    assert_eq!(start.elapsed(), Duration::from_secs(1) + LONG);
    assert_eq!(store.calls().watches, 2);
    assert_eq!(store.calls().reads(), 2);
}
