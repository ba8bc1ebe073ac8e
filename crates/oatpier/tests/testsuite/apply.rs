//! Tests of applying a change while the store fails and other operators write concurrently, with a paused clock.

use std::sync::Arc;
use std::time::Duration;

use oatpier::error::{CommandError, EXIT_CONFLICT, EXIT_UNCERTAIN, EXIT_UNREACHABLE};
use oatpier::ops::apply::{ChangeRequest, apply_change};
use oatpier::ops::record_store::read_record;
use oatpier_ports::store::KeyStore;
use oatpier_standin::store::{DownMode, LocalStore, StoreFaults};
use oatpier_types::config::FleetConfig;
use oatpier_types::config::record::ConfigRecord;
use oatpier_types::ids::{ChangeId, Generation};
use oatpier_types::names::ModelName;

use crate::fixture::SMALL_CONFIG;

const LIMIT: Duration = Duration::from_secs(10);

fn small_config() -> FleetConfig {
    FleetConfig::try_from(SMALL_CONFIG).unwrap()
}

fn request(id: u128, base: Option<u64>, wanted: FleetConfig) -> ChangeRequest {
    ChangeRequest {
        change: ChangeId(id),
        is_retry: false,
        base: base.map(Generation),
        wanted,
        operator: "ada".to_owned(),
        at: 0,
        summary: String::new(),
    }
}

fn with_model(name: &str, memory_mib: u64) -> FleetConfig {
    let mut config = small_config();
    let mut model = config.models[0].clone();
    model.memory_mib = memory_mib;
    config
        .models
        .insert(ModelName::try_from(name).unwrap(), model);
    config
}

async fn record_of(store: &LocalStore) -> ConfigRecord {
    read_record(store).await.unwrap().record
}

#[tokio::test(start_paused = true)]
async fn lost_answers_apply_the_change_once() {
    // The store accepts the write, and its answer is lost; the same happens to the retry. The command must report that
    // the change is accepted, and the history must contain it once.
    let store = LocalStore::new();
    store.set_faults(StoreFaults {
        lose_answers: 2,
        ..StoreFaults::default()
    });
    let outcome = apply_change(&store, &request(1, None, small_config()), LIMIT).await;
    assert_eq!(outcome.unwrap().generation, Generation(1));
    let record = record_of(&store).await;
    assert_eq!(record.recent.len(), 1);
    assert_eq!(record.content, small_config());
}

#[tokio::test(start_paused = true)]
async fn lost_writes_are_retried() {
    // The connection breaks before the store receives the write. The next read doesn't find the change, so it is
    // written again.
    let store = LocalStore::new();
    store.set_faults(StoreFaults {
        lose_writes: 3,
        ..StoreFaults::default()
    });
    let outcome = apply_change(&store, &request(1, None, small_config()), LIMIT).await;
    assert_eq!(outcome.unwrap().generation, Generation(1));
    assert_eq!(record_of(&store).await.recent.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn change_is_retried_until_the_store_returns() {
    let store = Arc::new(LocalStore::new());
    let down = StoreFaults {
        down: Some(DownMode::Refuse),
        ..StoreFaults::default()
    };
    store.set_faults(down);
    let returning = Arc::clone(&store);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_secs(4)).await;
        returning.set_faults(StoreFaults::default());
    });
    let outcome = apply_change(store.as_ref(), &request(1, None, small_config()), LIMIT).await;
    assert_eq!(outcome.unwrap().generation, Generation(1));
    let calls = store.calls();
    assert!(
        calls.reads() < 20,
        "{calls:?}: too many reads of an unavailable store"
    );
}

#[tokio::test(start_paused = true)]
async fn unavailable_store_reports_nothing_changed() {
    for mode in [DownMode::Refuse, DownMode::Drop] {
        let store = LocalStore::new();
        let down = StoreFaults {
            down: Some(mode),
            ..StoreFaults::default()
        };
        store.set_faults(down);
        let outcome = apply_change(&store, &request(1, None, small_config()), LIMIT).await;
        let error = outcome.unwrap_err();
        assert_eq!(error.exit_code(), EXIT_UNREACHABLE, "{error}");
        store.set_faults(StoreFaults::default());
        assert_eq!(record_of(&store).await.generation, Generation(0));
    }
}

#[tokio::test(start_paused = true)]
async fn unknown_outcome_is_reported_and_resolved_by_the_change_id() {
    // The write takes effect, its answer is lost, and the store becomes unavailable before the next read. The command
    // must not report that nothing was changed. A later command with the same id finds that the change was accepted,
    // and does not apply it again, even though another operator has reverted it since.
    let store = Arc::new(LocalStore::new());
    store.set_faults(StoreFaults {
        lose_answers: 1,
        slow_ms: 50,
        ..StoreFaults::default()
    });
    let failing = Arc::clone(&store);
    tokio::spawn(async move {
        // Read and write take 50 ms each; the next read finds the store down.
        tokio::time::sleep(Duration::from_millis(101)).await;
        failing.set_faults(StoreFaults {
            down: Some(DownMode::Refuse),
            ..StoreFaults::default()
        });
    });
    let mut ada = request(1, None, with_model("extra", 100));
    let error = apply_change(store.as_ref(), &ada, LIMIT).await.unwrap_err();
    assert_eq!(error.exit_code(), EXIT_UNCERTAIN, "{error}");
    let CommandError::Uncertain { change, .. } = &error else {
        panic!("{error}");
    };
    assert_eq!(*change, Some((ChangeId(1), Generation(0))));
    store.set_faults(StoreFaults::default());
    let undone = apply_change(store.as_ref(), &request(2, None, small_config()), LIMIT).await;
    assert_eq!(undone.unwrap().generation, Generation(2));
    ada.is_retry = true;
    ada.base = Some(Generation(0));
    let outcome = apply_change(store.as_ref(), &ada, LIMIT).await.unwrap();
    assert_eq!(outcome.generation, Generation(1));
    assert_eq!(record_of(store.as_ref()).await.content, small_config());
}

#[tokio::test(start_paused = true)]
async fn disjoint_changes_of_ten_operators_are_all_accepted() {
    let store = Arc::new(LocalStore::new());
    let first = apply_change(store.as_ref(), &request(1, None, small_config()), LIMIT).await;
    assert_eq!(first.unwrap().generation, Generation(1));
    // Slow calls make all operators read before any of them writes.
    store.set_faults(StoreFaults {
        slow_ms: 20,
        ..StoreFaults::default()
    });
    let operators = (0..10u128).map(|index| {
        let store = Arc::clone(&store);
        let wanted = with_model(&format!("m{index}"), 30);
        tokio::spawn(async move {
            let request = request(10 + index, Some(1), wanted);
            apply_change(store.as_ref() as &dyn KeyStore, &request, LIMIT).await
        })
    });
    let mut generations = Vec::new();
    for operator in operators.collect::<Vec<_>>() {
        let outcome = operator.await.unwrap();
        generations.push(outcome.unwrap().generation.0);
    }
    generations.sort_unstable();
    assert_eq!(generations, (2..=11).collect::<Vec<_>>());
    assert_eq!(record_of(&store).await.content.models.len(), 12);
}

#[tokio::test(start_paused = true)]
async fn one_of_ten_conflicting_changes_is_accepted() {
    // Ten operators set ten different sizes for one model. One change is accepted; the other nine get a conflict.
    let store = Arc::new(LocalStore::new());
    let first = apply_change(store.as_ref(), &request(1, None, small_config()), LIMIT).await;
    assert!(first.is_ok());
    let operators = (0..10u64).map(|index| {
        let store = Arc::clone(&store);
        let wanted = with_model("halls", 310 + index);
        tokio::spawn(async move {
            let request = request(10 + u128::from(index), Some(1), wanted);
            apply_change(store.as_ref() as &dyn KeyStore, &request, LIMIT).await
        })
    });
    let mut conflicts = 0;
    for operator in operators.collect::<Vec<_>>() {
        if let Err(error) = operator.await.unwrap() {
            assert_eq!(error.exit_code(), EXIT_CONFLICT, "{error}");
            conflicts += 1;
        }
    }
    assert_eq!(conflicts, 9);
    assert_eq!(record_of(&store).await.generation, Generation(2));
}
