//! Requests with an idempotency key.

use futures::future::join_all;
use serde_json::json;

use crate::support::calls::{CallOutcome, CallerLog, PlanCall};
use crate::support::fleet::{Fleet, FleetSize, eventually};
use crate::support::http::StreamEnd;

const SIZE: FleetSize = FleetSize {
    entries: 2,
    engines: 1,
    services: 2,
};
const SUBMISSIONS: usize = 10;

fn keyed(key: &str) -> PlanCall<'_> {
    PlanCall {
        plan: 7,
        key: Some(key),
        class: None,
    }
}

fn is_refused(outcome: &CallOutcome, verdicts: &[&str]) -> bool {
    let Some(StreamEnd::Error(error)) = outcome else {
        return false;
    };
    verdicts.contains(&error.verdict.as_str())
}

/// Waits until keys can be claimed through each entry. Until the entries agree on which of them stores the claims, a
/// request with a key is refused and does not run.
async fn wait_until_claims_work(fleet: &Fleet, log: &CallerLog) {
    for (number, entry) in fleet.entries.iter().enumerate() {
        let tries = std::sync::atomic::AtomicUsize::new(0);
        eventually("a key can be claimed", async || {
            let count = tries.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let key = format!("ready {number} {count}");
            let outcome = log.apply_plan(entry.serve, &keyed(&key)).await;
            outcome == Some(StreamEnd::Whole)
        })
        .await;
    }
}

async fn runs_of(fleet: &Fleet, log: &CallerLog, key: &str) -> usize {
    assert_eq!(log.breaches(fleet).await, []);
    fleet.calls_with_key(key).await
}

/// The service runs a call but its answer is lost, so the caller gets "may have run". The caller sends the call again
/// with the same key through the other entry, which has not handled it before. The answer must be that the key is
/// already used, and the call must not run again.
#[tokio::test]
async fn key_resent_through_another_entry_runs_once() {
    let fleet = Fleet::start(SIZE).await;
    let log = CallerLog::default();
    wait_until_claims_work(&fleet, &log).await;
    for service in &fleet.services {
        fleet.set_faults(service, json!({"lose-answers": 1})).await;
    }
    let key = "wedding 7";
    let first = log.apply_plan(fleet.entries[0].serve, &keyed(key)).await;
    assert!(is_refused(&first, &["may-have-run"]), "{first:?}");
    let again = log.apply_plan(fleet.entries[1].serve, &keyed(key)).await;
    assert!(is_refused(&again, &["may-have-run", "ran"]), "{again:?}");
    assert_eq!(runs_of(&fleet, &log, key).await, 1);
}

/// A caller with an aggressive retry policy sends one call many times concurrently, through both entries. Exactly one
/// runs; the others are answered that the key is already used, or that they did not run.
#[tokio::test]
async fn key_sent_many_times_concurrently_runs_once() {
    let fleet = Fleet::start(SIZE).await;
    let log = CallerLog::default();
    wait_until_claims_work(&fleet, &log).await;
    let key = "wedding 8";
    let calls = (0..SUBMISSIONS).map(|number| {
        let entry = fleet.entries[number % 2].serve;
        let log = &log;
        async move { log.apply_plan(entry, &keyed(key)).await }
    });
    let outcomes = join_all(calls).await;
    let is_whole = |outcome: &&CallOutcome| **outcome == Some(StreamEnd::Whole);
    assert_eq!(outcomes.iter().filter(is_whole).count(), 1, "{outcomes:?}");
    assert_eq!(runs_of(&fleet, &log, key).await, 1);
}

/// A used key is sent again while the store is unavailable. The call must not run: either the entry knows that the key
/// is used, or it refuses a key that it can't claim.
#[tokio::test]
async fn used_key_does_not_run_while_the_store_is_unavailable() {
    let fleet = Fleet::start(SIZE).await;
    let log = CallerLog::default();
    wait_until_claims_work(&fleet, &log).await;
    let key = "wedding 9";
    let first = log.apply_plan(fleet.entries[0].serve, &keyed(key)).await;
    assert_eq!(first, Some(StreamEnd::Whole));
    fleet
        .set_faults(&fleet.store, json!({"down": "drop"}))
        .await;
    for entry in &fleet.entries {
        let again = log.apply_plan(entry.serve, &keyed(key)).await;
        let verdicts = ["not-run", "may-have-run", "ran"];
        assert!(is_refused(&again, &verdicts), "{again:?}");
    }
    assert_eq!(fleet.calls_with_key(key).await, 1);
}
