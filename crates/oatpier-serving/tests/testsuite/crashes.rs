//! What is held against requests that were at endpoints that ended.

use std::sync::Arc;
use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_serving::crashes::book::{BAR_LIFE, CrashBook, MOST_SUSPECTS, SUSPECT_LIFE};
use oatpier_serving::crashes::book::{MOST_CRASHES, SuspectVerdict};
use oatpier_serving::crashes::changes::{ChangeQueue, CrashChange};
use oatpier_serving::crashes::cuts::{CutAttempt, CutWatch, EndpointFate};
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

fn book_with(crashes: usize) -> CrashBook {
    let mut book = CrashBook::default();
    for number in 0..crashes {
        book.note_crash(&crash("x", number), at(0));
    }
    book
}

fn verdict(book: &CrashBook, now: Duration) -> SuspectVerdict {
    let now = at(u64::try_from(now.as_millis()).unwrap());
    book.judge(&fingerprint("x"), 0, now)
}

#[test]
fn a_third_end_bars_a_request_and_no_other_one() {
    assert_eq!(
        verdict(&book_with(2), Duration::ZERO),
        SuspectVerdict::Clear
    );
    let book = book_with(3);
    assert_eq!(verdict(&book, Duration::ZERO), SuspectVerdict::Barred);
    assert_eq!(
        book.judge(&fingerprint("y"), 0, at(0)),
        SuspectVerdict::Clear
    );
}

/// Several gateways and the store tell of the same end. It counts once; a later start under the same name that ends
/// as well counts anew.
#[test]
fn an_end_counts_once_however_often_it_is_told() {
    let mut book = CrashBook::default();
    for _ in 0..5 {
        book.note_crash(&crash("x", 1), at(0));
        book.take_stored(&[crash("x", 1)], at(0));
    }
    assert_eq!(verdict(&book, Duration::ZERO), SuspectVerdict::Clear);
    for started_ms in [Some(1), Some(2)] {
        let mut later = crash("x", 1);
        later.site.started_ms = started_ms;
        book.note_crash(&later, at(0));
    }
    assert_eq!(verdict(&book, Duration::ZERO), SuspectVerdict::Barred);
}

/// The same request comes several times at the same moment. Each run may end an endpoint, so no more of them are
/// under way than there are ends left; the others are told to come back.
#[test]
fn runs_and_cuts_that_are_open_count_as_ends_to_come() {
    let mut book = book_with(1);
    assert_eq!(verdict(&book, Duration::ZERO), SuspectVerdict::Clear);
    book.begin(fingerprint("x"));
    assert_eq!(verdict(&book, Duration::ZERO), SuspectVerdict::Clear);
    book.begin(fingerprint("x"));
    assert_eq!(verdict(&book, Duration::ZERO), SuspectVerdict::Held);
    book.end(&fingerprint("x"));
    let open = |cuts| book.judge(&fingerprint("x"), cuts, at(0));
    assert_eq!(open(0), SuspectVerdict::Clear);
    assert_eq!(open(1), SuspectVerdict::Held);
}

/// A popular request is sent many times at once, and nothing is known against it.
#[test]
fn a_request_without_suspicion_may_run_any_number_of_times() {
    let mut book = CrashBook::default();
    for _ in 0..100 {
        book.begin(fingerprint("x"));
    }
    assert_eq!(verdict(&book, Duration::ZERO), SuspectVerdict::Clear);
}

#[test]
fn a_whole_answer_clears_a_request_whatever_its_standing() {
    for crashes in 1..=3 {
        let mut book = book_with(crashes);
        assert_eq!(book.clear(&fingerprint("x")).len(), crashes);
        assert_eq!(verdict(&book, Duration::ZERO), SuspectVerdict::Clear);
        assert_eq!(book.suspects(), 0);
    }
}

/// A request was barred by chance. After a while it may run once more: whole, it is cleared; at one more end, it is
/// barred for good.
#[test]
fn a_bar_is_tried_once_more_and_then_holds() {
    let mut book = book_with(MOST_CRASHES);
    assert_eq!(
        verdict(&book, BAR_LIFE.saturating_sub(millis(1))),
        SuspectVerdict::Barred
    );
    assert_eq!(verdict(&book, BAR_LIFE), SuspectVerdict::Clear);
    book.begin(fingerprint("x"));
    assert_eq!(verdict(&book, BAR_LIFE), SuspectVerdict::Held);
    book.end(&fingerprint("x"));
    book.note_crash(&crash("x", 9), at(0) + BAR_LIFE);
    assert_eq!(verdict(&book, BAR_LIFE * 100), SuspectVerdict::Barred);
}

/// The store lists what all gateways saw. What it listed and lists no more was lifted by an operator; what was never
/// listed is still being written by whoever saw it.
#[test]
fn what_the_store_lists_no_more_is_lifted() {
    let mut book = book_with(3);
    book.take_stored(&[], at(10));
    assert_eq!(verdict(&book, millis(10)), SuspectVerdict::Barred);
    let listed: Vec<CrashRecord> = (0..3).map(|number| crash("x", number)).collect();
    book.take_stored(&listed, at(20));
    book.take_stored(&[], at(30));
    assert_eq!(verdict(&book, millis(30)), SuspectVerdict::Clear);
}

#[test]
fn an_old_suspicion_ends_and_a_bar_does_not() {
    let mut book = book_with(2);
    assert!(book.expire(at(0)).is_empty());
    assert_eq!(book.expire(at(0) + SUSPECT_LIFE).len(), 2);
    assert_eq!(book.suspects(), 0);
    let mut barred = book_with(3);
    assert!(barred.expire(at(0) + SUSPECT_LIFE * 10).is_empty());
}

/// One workspace floods the fleet with requests that end endpoints. The table stays within its bound, and another
/// workspace's entries stay in it; the flood's own least certain ones go.
#[test]
fn a_flood_of_one_workspace_pushes_out_its_own_entries() {
    let mut book = book_with(3);
    for number in 0..MOST_SUSPECTS * 2 {
        let mut record = crash(&format!("flood {number}"), number);
        record.origin = origin("flood.example");
        book.note_crash(&record, at(number as u64));
    }
    assert_eq!(book.suspects(), MOST_SUSPECTS);
    assert!(!book.take_pushed_out().is_empty());
    assert_eq!(verdict(&book, Duration::ZERO), SuspectVerdict::Barred);
}

fn cut(body: &str, cut_at: u64) -> CutAttempt {
    let record = crash(body, 1);
    CutAttempt {
        fingerprint: record.fingerprint,
        origin: record.origin,
        site: record.site,
        index: EndpointIndex(0),
        at: at(cut_at),
        seen_ms: record.seen_ms,
    }
}

/// A cut alone is no end: only an endpoint that is known to have ended counts, and what nobody can tell in eight
/// seconds never does.
#[test]
fn a_cut_counts_only_once_its_endpoint_is_known_to_have_ended() {
    let mut watch = CutWatch::default();
    watch.note(cut("x", 0));
    watch.note(cut("x", 1));
    assert_eq!(watch.open(&fingerprint("x")), 2);
    assert!(watch.settle(at(100), |_| EndpointFate::Unknown).is_empty());
    let fate = |cut: &CutAttempt| {
        if cut.at == at(0) {
            EndpointFate::Alive
        } else {
            EndpointFate::Ended
        }
    };
    assert_eq!(watch.settle(at(100), fate), vec![crash("x", 1)]);
    assert!(watch.is_empty());
    watch.note(cut("x", 200));
    watch.settle(at(8_200), |_| EndpointFate::Unknown);
    assert!(watch.is_empty());
}

#[test]
fn the_last_change_on_a_crash_is_written() {
    let mut queue = ChangeQueue::default();
    queue.push(CrashChange::Put(crash("x", 1)));
    queue.push(CrashChange::Put(crash("x", 2)));
    let written = queue.batch(1);
    queue.push(CrashChange::Remove(crash("x", 1)));
    queue.settle(&written);
    let expected = vec![
        CrashChange::Put(crash("x", 2)),
        CrashChange::Remove(crash("x", 1)),
    ];
    assert_eq!(queue.batch(8), expected);
}

#[test]
fn a_store_that_is_away_costs_bounded_memory() {
    let mut queue = ChangeQueue::default();
    let pushed = (0..5_000).map(|number| queue.push(CrashChange::Put(crash("x", number))));
    assert!(pushed.flatten().count() > 0);
    assert!(queue.batch(usize::MAX).len() <= 1_024);
}

/// Three ends bar a request, and the store lists them. The store comes back from a copy without them. Taken for
/// lifted, the request would be sent on at once, at all gateways, and end three more engines.
#[test]
fn a_store_from_an_older_copy_lifts_no_bar() {
    let mut book = book_with(MOST_CRASHES);
    let listed: Vec<CrashRecord> = (0..MOST_CRASHES).map(|number| crash("x", number)).collect();
    book.take_stored(&listed, at(10));
    let lost = book.take_returned(&listed[..1], at(20));
    assert_eq!(verdict(&book, millis(20)), SuspectVerdict::Barred);
    assert_eq!(lost.len(), MOST_CRASHES - 1);
    assert!(lost.iter().all(|record| listed[1..].contains(record)));
    // Until they are written again, a read without them says nothing either.
    book.take_stored(&listed[..1], at(30));
    assert_eq!(verdict(&book, millis(30)), SuspectVerdict::Barred);
    // Written again and then lifted by an operator.
    book.take_stored(&listed, at(40));
    book.take_stored(&[], at(50));
    assert_eq!(verdict(&book, millis(50)), SuspectVerdict::Clear);
}

/// One workspace floods the book, under a host that it shares with another one. It loses its own suspects.
#[test]
fn a_flood_of_one_workspace_pushes_out_none_of_another() {
    let of = |workspace: &str, body: &str| CrashRecord {
        origin: RequestOrigin {
            workspace: Some(WorkspaceName::try_from(workspace).unwrap()),
            ..origin("one.example")
        },
        ..crash(body, 1)
    };
    let mut book = CrashBook::default();
    book.note_crash(&of("small", "mine"), at(0));
    for number in 0..2 * MOST_SUSPECTS {
        book.note_crash(&of("large", &format!("x{number}")), at(10));
    }
    assert_eq!(book.suspects(), MOST_SUSPECTS);
    assert_eq!(book.clear(&fingerprint("mine")).len(), 1);
}
