//! Requests with an idempotency key.

use futures::future::join_all;
use serde_json::json;

use crate::support::calls::{CallView, CallerLog, PlanCall};
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

fn is_refused(view: &CallView, verdicts: &[&str]) -> bool {
    let Some(StreamEnd::Error(told)) = view else {
        return false;
    };
    verdicts.contains(&told.verdict.as_str())
}

/// Waits until keys can be claimed through each entry: a key is refused, truly not run, until
/// the entries have agreed on who keeps the claims.
async fn wait_until_claims_work(fleet: &Fleet, log: &CallerLog) {
    for (number, entry) in fleet.entries.iter().enumerate() {
        let tries = std::sync::atomic::AtomicUsize::new(0);
        eventually("a key can be claimed", async || {
            let count = tries.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let key = format!("ready {number} {count}");
            let view = log.apply_plan(entry.serve, &keyed(&key)).await;
            view == Some(StreamEnd::Whole)
        })
        .await;
    }
}

async fn runs_of(fleet: &Fleet, log: &CallerLog, key: &str) -> usize {
    assert_eq!(log.breaches(fleet).await, []);
    fleet.calls_with_key(key).await
}

/// The service runs a call and its answer is lost, so the caller is told "may have run". It sends
/// the call again with the same key, through the other entry, where nobody has seen it. It is
/// told that the key is used; the call does not run again.
#[tokio::test]
async fn a_key_sent_again_through_another_entry_runs_once() {
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

/// A caller whose client library repeats too eagerly sends one call many times at once, through
/// both entries. One of them runs; the others are told that the key is used, or that they did not
/// run.
#[tokio::test]
async fn a_key_sent_many_times_at_once_runs_once() {
    let fleet = Fleet::start(SIZE).await;
    let log = CallerLog::default();
    wait_until_claims_work(&fleet, &log).await;
    let key = "wedding 8";
    let calls = (0..SUBMISSIONS).map(|number| {
        let entry = fleet.entries[number % 2].serve;
        let log = &log;
        async move { log.apply_plan(entry, &keyed(key)).await }
    });
    let views = join_all(calls).await;
    let whole = |view: &&CallView| **view == Some(StreamEnd::Whole);
    assert_eq!(views.iter().filter(whole).count(), 1, "{views:?}");
    assert_eq!(runs_of(&fleet, &log, key).await, 1);
}

/// A key that was used is sent again while the store is away. It is not run: either the entry
/// knows that it was used, or it refuses what it can't claim.
#[tokio::test]
async fn a_used_key_does_not_run_while_the_store_is_away() {
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
        let told = ["not-run", "may-have-run", "ran"];
        assert!(is_refused(&again, &told), "{again:?}");
    }
    assert_eq!(fleet.calls_with_key(key).await, 1);
}
