//! Suspects, which are requests that were running at endpoints when those crashed.

use std::sync::Arc;
use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_serving::crashes::broken_attempts::{AttemptWatch, BrokenAttempt, EndpointOutcome};
use oatpier_serving::crashes::changes::{ChangeQueue, CrashChange};
use oatpier_serving::crashes::suspects::{BAR_DURATION, MAX_SUSPECTS, SUSPECT_TTL, SuspectTable};
use oatpier_serving::crashes::suspects::{CRASHES_TO_BAR, SuspectVerdict};
use oatpier_serving::crashes::{CrashRecord, CrashSite, RequestOrigin};
use oatpier_serving::fingerprint::{RequestContent, RequestFingerprint};
use oatpier_types::names::{ClassName, WorkspaceName};

use crate::support::{at, endpoint, millis};

pub fn fingerprint(body: &str) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: "one.example",
        path: "/plans/1",
        body: body.as_bytes(),
    })
}

fn origin(host: &str) -> RequestOrigin {
    RequestOrigin {
        workspace: None,
        host: Arc::from(host),
        route: ClassName::try_from("draft").unwrap(),
    }
}

pub fn crash(body: &str, number: usize) -> CrashRecord {
    CrashRecord {
        fingerprint: fingerprint(body),
        origin: origin("one.example"),
        site: CrashSite {
            endpoint: endpoint(&format!("i-{number}")),
            started_ms: None,
        },
        seen_ms: 7,
    }
}

fn table_with(crashes: usize) -> SuspectTable {
    let mut table = SuspectTable::default();
    for number in 0..crashes {
        table.note_crash(&crash("x", number), at(0));
    }
    table
}

fn verdict(table: &SuspectTable, now: Duration) -> SuspectVerdict {
    let now = at(u64::try_from(now.as_millis()).unwrap());
    table.evaluate(&fingerprint("x"), 0, now)
}

#[test]
fn a_third_crash_bars_a_request_and_no_other_one() {
    assert_eq!(
        verdict(&table_with(2), Duration::ZERO),
        SuspectVerdict::Allowed
    );
    let table = table_with(3);
    assert_eq!(verdict(&table, Duration::ZERO), SuspectVerdict::Barred);
    assert_eq!(
        table.evaluate(&fingerprint("y"), 0, at(0)),
        SuspectVerdict::Allowed
    );
}

/// Several gateways and the store report the same crash, which counts once. A crash of a later incarnation with the
/// same endpoint name counts again.
#[test]
fn a_crash_counts_once_however_often_it_is_reported() {
    let mut table = SuspectTable::default();
    for _ in 0..5 {
        table.note_crash(&crash("x", 1), at(0));
        table.apply_stored(&[crash("x", 1)], at(0));
    }
    assert_eq!(verdict(&table, Duration::ZERO), SuspectVerdict::Allowed);
    for started_ms in [Some(1), Some(2)] {
        let mut later = crash("x", 1);
        later.site.started_ms = started_ms;
        table.note_crash(&later, at(0));
    }
    assert_eq!(verdict(&table, Duration::ZERO), SuspectVerdict::Barred);
}

/// The same request arrives several times at once. Each run may crash an endpoint, so no more of them are active than
/// crashes are allowed. The other runs must wait.
#[test]
fn active_runs_and_broken_attempts_count_as_crashes() {
    let mut table = table_with(1);
    assert_eq!(verdict(&table, Duration::ZERO), SuspectVerdict::Allowed);
    table.begin_run(fingerprint("x"));
    assert_eq!(verdict(&table, Duration::ZERO), SuspectVerdict::Allowed);
    table.begin_run(fingerprint("x"));
    assert_eq!(verdict(&table, Duration::ZERO), SuspectVerdict::Deferred);
    table.end_run(&fingerprint("x"));
    let with_open = |attempts| table.evaluate(&fingerprint("x"), attempts, at(0));
    assert_eq!(with_open(0), SuspectVerdict::Allowed);
    assert_eq!(with_open(1), SuspectVerdict::Deferred);
}

/// A popular request is sent many times at once and is not a suspect.
#[test]
fn a_request_that_is_no_suspect_may_run_any_number_of_times() {
    let mut table = SuspectTable::default();
    for _ in 0..100 {
        table.begin_run(fingerprint("x"));
    }
    assert_eq!(verdict(&table, Duration::ZERO), SuspectVerdict::Allowed);
}

#[test]
fn a_complete_answer_clears_a_request_in_any_status() {
    for crashes in 1..=3 {
        let mut table = table_with(crashes);
        assert_eq!(table.clear(&fingerprint("x")).len(), crashes);
        assert_eq!(verdict(&table, Duration::ZERO), SuspectVerdict::Allowed);
        assert_eq!(table.suspects(), 0);
    }
}

/// A request was barred by coincidence. After a while it may run once more. A complete answer clears it, and another
/// crash bars it permanently.
#[test]
fn a_barred_request_runs_once_more_and_then_stays_barred() {
    let mut table = table_with(CRASHES_TO_BAR);
    assert_eq!(
        verdict(&table, BAR_DURATION.saturating_sub(millis(1))),
        SuspectVerdict::Barred
    );
    assert_eq!(verdict(&table, BAR_DURATION), SuspectVerdict::Allowed);
    table.begin_run(fingerprint("x"));
    assert_eq!(verdict(&table, BAR_DURATION), SuspectVerdict::Deferred);
    table.end_run(&fingerprint("x"));
    table.note_crash(&crash("x", 9), at(0) + BAR_DURATION);
    assert_eq!(verdict(&table, BAR_DURATION * 100), SuspectVerdict::Barred);
}

/// The store lists the crashes that all gateways detected. A crash that was listed and is missing now was cleared by an
/// operator. A crash that was never listed is still being written by the gateway that detected it.
#[test]
fn a_crash_removed_from_the_store_is_cleared() {
    let mut table = table_with(3);
    table.apply_stored(&[], at(10));
    assert_eq!(verdict(&table, millis(10)), SuspectVerdict::Barred);
    let listed: Vec<CrashRecord> = (0..3).map(|number| crash("x", number)).collect();
    table.apply_stored(&listed, at(20));
    table.apply_stored(&[], at(30));
    assert_eq!(verdict(&table, millis(30)), SuspectVerdict::Allowed);
}

#[test]
fn a_suspect_expires_and_a_barred_request_does_not() {
    let mut table = table_with(2);
    assert!(table.expire(at(0)).is_empty());
    assert_eq!(table.expire(at(0) + SUSPECT_TTL).len(), 2);
    assert_eq!(table.suspects(), 0);
    let mut barred = table_with(3);
    assert!(barred.expire(at(0) + SUSPECT_TTL * 10).is_empty());
}

/// One caller sends many requests that crash endpoints. The table stays within its limit and evicts only the least
/// certain suspects of that caller, and no suspects of others.
#[test]
fn a_flood_of_one_host_evicts_its_own_suspects() {
    let mut table = table_with(3);
    for number in 0..MAX_SUSPECTS * 2 {
        let mut record = crash(&format!("flood {number}"), number);
        record.origin = origin("flood.example");
        table.note_crash(&record, at(number as u64));
    }
    assert_eq!(table.suspects(), MAX_SUSPECTS);
    assert!(!table.take_evicted().is_empty());
    assert_eq!(verdict(&table, Duration::ZERO), SuspectVerdict::Barred);
}

fn broken_attempt(body: &str, broken_at: u64) -> BrokenAttempt {
    let record = crash(body, 1);
    BrokenAttempt {
        fingerprint: record.fingerprint,
        origin: record.origin,
        site: record.site,
        index: EndpointIndex(0),
        at: at(broken_at),
        seen_ms: record.seen_ms,
    }
}

/// A broken attempt counts as a crash only if its endpoint is known to have ended. If the state is still unknown after
/// eight seconds, it never counts.
#[test]
fn a_broken_attempt_counts_only_if_its_endpoint_has_ended() {
    let mut watch = AttemptWatch::default();
    watch.add(broken_attempt("x", 0));
    watch.add(broken_attempt("x", 1));
    assert_eq!(watch.count_unresolved(&fingerprint("x")), 2);
    assert!(
        watch
            .resolve(at(100), |_| EndpointOutcome::Unknown)
            .is_empty()
    );
    let find_outcome = |attempt: &BrokenAttempt| {
        if attempt.at == at(0) {
            EndpointOutcome::Alive
        } else {
            EndpointOutcome::Ended
        }
    };
    assert_eq!(watch.resolve(at(100), find_outcome), vec![crash("x", 1)]);
    assert!(watch.is_empty());
    watch.add(broken_attempt("x", 200));
    watch.resolve(at(8_200), |_| EndpointOutcome::Unknown);
    assert!(watch.is_empty());
}

#[test]
fn the_last_change_of_a_crash_is_written() {
    let mut queue = ChangeQueue::default();
    queue.push(CrashChange::Put(crash("x", 1)));
    queue.push(CrashChange::Put(crash("x", 2)));
    let written = queue.batch(1);
    queue.push(CrashChange::Remove(crash("x", 1)));
    queue.remove_written(&written);
    let expected = vec![
        CrashChange::Put(crash("x", 2)),
        CrashChange::Remove(crash("x", 1)),
    ];
    assert_eq!(queue.batch(8), expected);
}

#[test]
fn an_unavailable_store_costs_bounded_memory() {
    let mut queue = ChangeQueue::default();
    let pushed = (0..5_000).map(|number| queue.push(CrashChange::Put(crash("x", number))));
    assert!(pushed.flatten().count() > 0);
    assert!(queue.batch(usize::MAX).len() <= 1_024);
}

/// A request is barred by three crashes, which the store lists. The store is restored from a copy without them. If they
/// were treated as cleared, all gateways would send the request again, and it would crash three more engines.
#[test]
fn a_restored_store_clears_no_barred_request() {
    let mut table = table_with(CRASHES_TO_BAR);
    let listed: Vec<CrashRecord> = (0..CRASHES_TO_BAR)
        .map(|number| crash("x", number))
        .collect();
    table.apply_stored(&listed, at(10));
    let lost = table.apply_restored(&listed[..1], at(20));
    assert_eq!(verdict(&table, millis(20)), SuspectVerdict::Barred);
    assert_eq!(lost.len(), CRASHES_TO_BAR - 1);
    assert!(lost.iter().all(|record| listed[1..].contains(record)));
    // Until the crashes are written again, another read without them does not clear the request either.
    table.apply_stored(&listed[..1], at(30));
    assert_eq!(verdict(&table, millis(30)), SuspectVerdict::Barred);
    // The crashes are written again and then cleared by an operator.
    table.apply_stored(&listed, at(40));
    table.apply_stored(&[], at(50));
    assert_eq!(verdict(&table, millis(50)), SuspectVerdict::Allowed);
}

/// One workspace floods the table under a host that it shares with another one. Only its own suspects are evicted.
#[test]
fn a_flood_of_one_workspace_evicts_no_suspect_of_another() {
    let of = |workspace: &str, body: &str| CrashRecord {
        origin: RequestOrigin {
            workspace: Some(WorkspaceName::try_from(workspace).unwrap()),
            ..origin("one.example")
        },
        ..crash(body, 1)
    };
    let mut table = SuspectTable::default();
    table.note_crash(&of("small", "mine"), at(0));
    for number in 0..2 * MAX_SUSPECTS {
        table.note_crash(&of("large", &format!("x{number}")), at(10));
    }
    assert_eq!(table.suspects(), MAX_SUSPECTS);
    assert_eq!(table.clear(&fingerprint("mine")).len(), 1);
}
