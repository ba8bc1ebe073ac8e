//! What is believed of an endpoint by what its answers say.

use oatpier_serving::directory::{EndpointDirectory, HeardNotice};
use oatpier_serving::engine::StartTime;
use oatpier_serving::notice::{EndpointNotice, NoticeChange, NoticeValue, RequestRate, RestSpan};
use oatpier_serving::reading::SentPrompt;

use crate::support::{at, directory, endpoint, millis, pulse, record};

fn rate(value: f64) -> RequestRate {
    RequestRate::try_from(value).unwrap()
}

/// A request that was sent at one moment and answered at another, with a limit or without one.
struct LimitAnswer {
    sent_ms: u64,
    heard_ms: u64,
    limit: Option<f64>,
}

fn hear(directory: &mut EndpointDirectory, answer: &LimitAnswer) -> Vec<NoticeChange> {
    let sent = directory.sent_without_prompt(&endpoint("e1"));
    hear_of(directory, &sent, answer)
}

fn hear_of(
    directory: &mut EndpointDirectory,
    sent: &SentPrompt,
    answer: &LimitAnswer,
) -> Vec<NoticeChange> {
    let limit = answer.limit.map(rate);
    let heard = HeardNotice {
        notice: EndpointNotice {
            rate: limit.map_or(NoticeValue::Absent, NoticeValue::Given),
            ..EndpointNotice::default()
        },
        sent,
        sent_at: at(answer.sent_ms),
        was_taken: true,
    };
    let changes = directory.take_notice(&endpoint("e1"), &heard, at(answer.heard_ms));
    changes.into_vec()
}

fn limit(directory: &EndpointDirectory) -> Option<f64> {
    let row = directory.row(&endpoint("e1")).unwrap();
    row.limit().map(|limit| limit.rate.per_second())
}

fn answer(sent_ms: u64, heard_ms: u64, limit: Option<f64>) -> LimitAnswer {
    LimitAnswer {
        sent_ms,
        heard_ms,
        limit,
    }
}

#[test]
fn a_limit_holds_until_an_answer_comes_without_one() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    let named = hear(&mut directory, &answer(0, 10, Some(2.5)));
    assert_eq!(named, vec![NoticeChange::RateNamed(rate(2.5))]);
    assert!(hear(&mut directory, &answer(20, 30, Some(2.5))).is_empty());
    assert_eq!(limit(&directory), Some(2.5));
    let ended = hear(&mut directory, &answer(40, 50, None));
    assert_eq!(ended, vec![NoticeChange::RateEnded]);
    assert_eq!(limit(&directory), None);
}

/// Answers overtake each other on different connections: one from before the limit, or before it fell, would end it
/// for all that comes next.
#[test]
fn an_older_answer_that_comes_late_takes_no_limit_back() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    hear(&mut directory, &answer(10, 20, Some(9.0)));
    hear(&mut directory, &answer(30, 40, Some(2.5)));
    assert!(hear(&mut directory, &answer(15, 50, None)).is_empty());
    assert!(hear(&mut directory, &answer(35, 60, Some(9.0))).is_empty());
    assert_eq!(limit(&directory), Some(2.5));
    hear(&mut directory, &answer(70, 80, Some(9.0)));
    assert_eq!(limit(&directory), Some(9.0));
}

#[test]
fn a_limit_that_cannot_be_read_changes_nothing_but_a_count() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    hear(&mut directory, &answer(0, 10, Some(2.5)));
    let sent = directory.sent_without_prompt(&endpoint("e1"));
    let heard = HeardNotice {
        notice: EndpointNotice {
            rate: NoticeValue::Unusable,
            ..EndpointNotice::default()
        },
        sent: &sent,
        sent_at: at(20),
        was_taken: true,
    };
    let changes = directory.take_notice(&endpoint("e1"), &heard, at(30));
    assert_eq!(changes.as_slice(), [NoticeChange::RateUnusable]);
    assert_eq!(limit(&directory), Some(2.5));
}

/// An endpoint starts again under its name. What its last start said, and an answer of that start which comes late,
/// would hold the new one to a limit that it never named.
#[test]
fn a_new_start_inherits_no_limit() {
    let start = |time| {
        let mut record = record(1, &["m1"]);
        record.start = Some(StartTime(time));
        record
    };
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![start(1)], at(0));
    let sent = directory.sent_without_prompt(&endpoint("e1"));
    hear(&mut directory, &answer(0, 10, Some(2.5)));
    directory.apply_registry(vec![start(2)], at(1_000));
    assert_eq!(limit(&directory), None);
    let late = hear_of(&mut directory, &sent, &answer(5, 1_100, Some(2.5)));
    assert!(late.is_empty());
    assert_eq!(limit(&directory), None);
}

/// What one answer says of rest and leaving.
fn say(
    directory: &mut EndpointDirectory,
    notice: EndpointNotice,
    heard_ms: u64,
) -> Vec<NoticeChange> {
    let sent = directory.sent_without_prompt(&endpoint("e1"));
    let heard = HeardNotice {
        notice,
        sent: &sent,
        sent_at: at(heard_ms),
        was_taken: false,
    };
    let changes = directory.take_notice(&endpoint("e1"), &heard, at(heard_ms));
    changes.into_vec()
}

fn rest(seconds: f64) -> EndpointNotice {
    EndpointNotice {
        rest: NoticeValue::Given(RestSpan::try_from(seconds).unwrap()),
        ..EndpointNotice::default()
    }
}

fn rest_left(directory: &EndpointDirectory, now_ms: u64) -> u128 {
    let row = directory.row(&endpoint("e1")).unwrap();
    row.rest_left(at(now_ms)).as_millis()
}

/// A second answer asks for less rest, or comes late: the endpoint still counts what it asked for first.
#[test]
fn a_rest_is_never_shortened() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    assert_eq!(say(&mut directory, rest(3.0), 100).len(), 1);
    assert!(say(&mut directory, rest(0.5), 200).is_empty());
    assert_eq!(rest_left(&directory, 1_100), 2_000);
    assert_eq!(say(&mut directory, rest(3.0), 2_100).len(), 1);
    assert_eq!(rest_left(&directory, 4_100), 1_000);
    assert_eq!(rest_left(&directory, 5_200), 0);
}

#[test]
fn rests_of_nothing_a_moment_and_an_hour_are_kept_as_asked() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    assert!(say(&mut directory, rest(0.0), 0).is_empty());
    say(&mut directory, rest(0.001), 0);
    assert_eq!(rest_left(&directory, 0), 1);
    say(&mut directory, rest(1e300), 0);
    assert_eq!(rest_left(&directory, 0), 3_600_000);
}

/// The time can't be read, and that rest is wanted can: taken for none, the endpoint would get the next request at once.
#[test]
fn a_rest_that_cannot_be_read_is_a_second() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    let unreadable = EndpointNotice {
        rest: NoticeValue::Unusable,
        ..EndpointNotice::default()
    };
    assert_eq!(
        say(&mut directory, unreadable, 0),
        [NoticeChange::RestUnusable]
    );
    assert_eq!(rest_left(&directory, 0), 1_000);
}

fn leaving(leaving: bool) -> EndpointNotice {
    EndpointNotice {
        leaving: NoticeValue::Given(leaving),
        ..EndpointNotice::default()
    }
}

#[test]
fn leaving_is_told_once_and_never_taken_back() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    assert_eq!(
        say(&mut directory, leaving(true), 10),
        [NoticeChange::Leaving]
    );
    assert!(say(&mut directory, leaving(true), 20).is_empty());
    assert!(say(&mut directory, leaving(false), 30).is_empty());
    assert!(directory.row(&endpoint("e1")).unwrap().is_leaving());
}

fn is_open(directory: &EndpointDirectory, name: &str, now_ms: u64) -> bool {
    let row = directory.row(&endpoint(name));
    row.is_some_and(|row| row.is_open(at(now_ms)))
}

/// The registry lists the endpoint as ready for as long as the store is away, and again when the store comes back from an
/// older copy; its sidecar hears no more of it than the registry. It would get work again by either word.
#[test]
fn an_endpoint_that_said_that_it_leaves_stays_closed_whatever_comes_later() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    say(&mut directory, leaving(true), 10);
    assert!(!is_open(&directory, "e1", 20));
    directory.apply_registry(vec![record(1, &["m1"])], at(1_000));
    let mut heard = pulse(1, &["m1"], 0);
    heard.number.number = 2;
    directory.take_pulse(heard, at(1_100));
    assert!(!is_open(&directory, "e1", 1_200));
    directory.apply_registry(Vec::new(), at(5_000));
    directory.note_store_return(at(6_000));
    directory.apply_registry(vec![record(1, &["m1"])], at(6_100));
    assert!(!is_open(&directory, "e1", 6_200));
}

/// Another start under the name, and another endpoint at the address: each would be without work until it leaves too.
#[test]
fn who_comes_after_an_endpoint_that_left_inherits_nothing() {
    let start = |time| {
        let mut record = record(1, &["m1"]);
        record.start = Some(StartTime(time));
        record
    };
    let mut restarted = EndpointDirectory::default();
    restarted.apply_registry(vec![start(1)], at(0));
    say(&mut restarted, leaving(true), 10);
    restarted.apply_registry(vec![start(2)], at(1_000));
    assert!(is_open(&restarted, "e1", 1_100));

    let mut directory = directory(&[(&["m1"], 0)], at(0));
    say(&mut directory, leaving(true), 10);
    say(&mut directory, rest(30.0), 20);
    let mut heard = pulse(1, &["m1"], 0);
    heard.number.number = 2;
    heard.instance = Some(endpoint("e9"));
    directory.take_pulse(heard, at(1_100));
    assert!(is_open(&directory, "e9", 1_200));
    let row = directory.row(&endpoint("e9")).unwrap();
    assert_eq!(row.rest_left(at(1_200)), millis(0));
}

/// A request that was sent at a moment was taken.
fn take(directory: &mut EndpointDirectory, sent_ms: u64) {
    let sent = directory.sent_without_prompt(&endpoint("e1"));
    let heard = HeardNotice {
        notice: EndpointNotice::default(),
        sent: &sent,
        sent_at: at(sent_ms),
        was_taken: true,
    };
    directory.take_notice(&endpoint("e1"), &heard, at(sent_ms + 5));
}

/// Sends as many requests as may be sent at a moment.
fn tries(directory: &mut EndpointDirectory, now_ms: u64) -> usize {
    let name = endpoint("e1");
    let sends = (0..100).take_while(|_| {
        let may_send = directory.may_send(&name, None, at(now_ms));
        if may_send {
            directory.note_try(&name, at(now_ms));
        }
        may_send
    });
    sends.count()
}

/// All that waits for the end of a rest, sent in its first millisecond, is the next overload.
#[test]
fn requests_after_a_rest_grow_with_those_that_are_taken() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    say(&mut directory, rest(3.0), 0);
    assert_eq!(tries(&mut directory, 2_999), 0);
    let mut sent = 1;
    for now_ms in [3_000, 3_010, 3_020, 3_030] {
        assert_eq!(tries(&mut directory, now_ms), sent);
        for _ in 0..sent {
            take(&mut directory, now_ms);
        }
        sent *= 2;
    }
    assert_eq!(tries(&mut directory, 3_040), 100);
}

/// The first request after a rest is lost, or its caller leaves: the endpoint must not stay closed for that.
#[test]
fn after_a_request_without_an_answer_another_one_is_tried() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    say(&mut directory, rest(3.0), 0);
    take(&mut directory, 2_000);
    assert_eq!(tries(&mut directory, 3_000), 1);
    assert_eq!(tries(&mut directory, 3_400), 0);
    assert_eq!(tries(&mut directory, 3_600), 1);
}
