//! Tests of the state that endpoints report in their responses.

use oatpier_serving::directory::{EndpointDirectory, ReceivedNotice};
use oatpier_serving::engine::StartTime;
use oatpier_serving::notice::{EndpointNotice, NoticeChange, NoticeValue, RequestRate, RestSpan};
use oatpier_serving::prefill::SentPrompt;

use crate::support::{at, directory, endpoint, millis, record, status};

fn rate(value: f64) -> RequestRate {
    RequestRate::try_from(value).unwrap()
}

/// A request that was sent and answered at the given times, with or without a rate limit in the response.
struct LimitAnswer {
    sent_ms: u64,
    received_ms: u64,
    limit: Option<f64>,
}

fn apply_answer(directory: &mut EndpointDirectory, answer: &LimitAnswer) -> Vec<NoticeChange> {
    let sent = directory.sent_without_prompt(&endpoint("e1"));
    apply_answer_to(directory, &sent, answer)
}

fn apply_answer_to(
    directory: &mut EndpointDirectory,
    sent: &SentPrompt,
    answer: &LimitAnswer,
) -> Vec<NoticeChange> {
    let limit = answer.limit.map(rate);
    let received = ReceivedNotice {
        notice: EndpointNotice {
            rate: limit.map_or(NoticeValue::Absent, NoticeValue::Given),
            ..EndpointNotice::default()
        },
        sent,
        sent_at: at(answer.sent_ms),
        was_accepted: true,
    };
    let changes = directory.apply_notice(&endpoint("e1"), &received, at(answer.received_ms));
    changes.into_vec()
}

fn limit(directory: &EndpointDirectory) -> Option<f64> {
    let row = directory.row(&endpoint("e1")).unwrap();
    row.limit().map(|limit| limit.rate.per_second())
}

fn answer(sent_ms: u64, received_ms: u64, limit: Option<f64>) -> LimitAnswer {
    LimitAnswer {
        sent_ms,
        received_ms,
        limit,
    }
}

#[test]
fn limit_applies_until_a_response_without_one() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    let named = apply_answer(&mut directory, &answer(0, 10, Some(2.5)));
    assert_eq!(named, vec![NoticeChange::RateNamed(rate(2.5))]);
    assert!(apply_answer(&mut directory, &answer(20, 30, Some(2.5))).is_empty());
    assert_eq!(limit(&directory), Some(2.5));
    let ended = apply_answer(&mut directory, &answer(40, 50, None));
    assert_eq!(ended, vec![NoticeChange::RateEnded]);
    assert_eq!(limit(&directory), None);
}

/// Responses on different connections can arrive out of order. A response from before the limit, or from
/// before it was lowered, must not end the limit.
#[test]
fn late_older_response_does_not_raise_or_end_the_limit() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    apply_answer(&mut directory, &answer(10, 20, Some(9.0)));
    apply_answer(&mut directory, &answer(30, 40, Some(2.5)));
    assert!(apply_answer(&mut directory, &answer(15, 50, None)).is_empty());
    assert!(apply_answer(&mut directory, &answer(35, 60, Some(9.0))).is_empty());
    assert_eq!(limit(&directory), Some(2.5));
    apply_answer(&mut directory, &answer(70, 80, Some(9.0)));
    assert_eq!(limit(&directory), Some(9.0));
}

#[test]
fn unreadable_limit_is_reported_and_leaves_the_limit_unchanged() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    apply_answer(&mut directory, &answer(0, 10, Some(2.5)));
    let sent = directory.sent_without_prompt(&endpoint("e1"));
    let received = ReceivedNotice {
        notice: EndpointNotice {
            rate: NoticeValue::Unusable,
            ..EndpointNotice::default()
        },
        sent: &sent,
        sent_at: at(20),
        was_accepted: true,
    };
    let changes = directory.apply_notice(&endpoint("e1"), &received, at(30));
    assert_eq!(changes.as_slice(), [NoticeChange::RateUnusable]);
    assert_eq!(limit(&directory), Some(2.5));
}

/// An endpoint restarts under the same name. Neither the limit of its previous incarnation nor a late
/// response of that incarnation may apply to the new one, which has not reported a limit.
#[test]
fn new_incarnation_inherits_no_limit() {
    let start = |time| {
        let mut record = record(1, &["m1"]);
        record.start = Some(StartTime(time));
        record
    };
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![start(1)], at(0));
    let sent = directory.sent_without_prompt(&endpoint("e1"));
    apply_answer(&mut directory, &answer(0, 10, Some(2.5)));
    directory.apply_registry(vec![start(2)], at(1_000));
    assert_eq!(limit(&directory), None);
    let late = apply_answer_to(&mut directory, &sent, &answer(5, 1_100, Some(2.5)));
    assert!(late.is_empty());
    assert_eq!(limit(&directory), None);
}

/// Applies the rest period or leaving flag of one response.
fn apply_notice(
    directory: &mut EndpointDirectory,
    notice: EndpointNotice,
    received_ms: u64,
) -> Vec<NoticeChange> {
    let sent = directory.sent_without_prompt(&endpoint("e1"));
    let received = ReceivedNotice {
        notice,
        sent: &sent,
        sent_at: at(received_ms),
        was_accepted: false,
    };
    let changes = directory.apply_notice(&endpoint("e1"), &received, at(received_ms));
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

/// A second response asks for a shorter rest period or arrives late. The endpoint still enforces the longer period.
#[test]
fn rest_period_is_never_shortened() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    assert_eq!(apply_notice(&mut directory, rest(3.0), 100).len(), 1);
    assert!(apply_notice(&mut directory, rest(0.5), 200).is_empty());
    assert_eq!(rest_left(&directory, 1_100), 2_000);
    assert_eq!(apply_notice(&mut directory, rest(3.0), 2_100).len(), 1);
    assert_eq!(rest_left(&directory, 4_100), 1_000);
    assert_eq!(rest_left(&directory, 5_200), 0);
}

#[test]
fn rest_periods_from_zero_to_the_maximum_of_an_hour_are_applied() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    assert!(apply_notice(&mut directory, rest(0.0), 0).is_empty());
    apply_notice(&mut directory, rest(0.001), 0);
    assert_eq!(rest_left(&directory, 0), 1);
    apply_notice(&mut directory, rest(1e300), 0);
    assert_eq!(rest_left(&directory, 0), 3_600_000);
}

/// The duration is unreadable, but it is known that a rest period is requested. If it were ignored, the endpoint
/// would receive the next request immediately.
#[test]
fn unreadable_rest_period_counts_as_one_second() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    let unreadable = EndpointNotice {
        rest: NoticeValue::Unusable,
        ..EndpointNotice::default()
    };
    assert_eq!(
        apply_notice(&mut directory, unreadable, 0),
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
fn leaving_is_reported_once_and_never_revoked() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    assert_eq!(
        apply_notice(&mut directory, leaving(true), 10),
        [NoticeChange::Leaving]
    );
    assert!(apply_notice(&mut directory, leaving(true), 20).is_empty());
    assert!(apply_notice(&mut directory, leaving(false), 30).is_empty());
    assert!(directory.row(&endpoint("e1")).unwrap().is_leaving());
}

fn is_open(directory: &EndpointDirectory, name: &str, now_ms: u64) -> bool {
    let row = directory.row(&endpoint(name));
    row.is_some_and(|row| row.is_open(at(now_ms)))
}

/// The registry lists the endpoint as ready while the store is down and again after the store is restored
/// from an older copy, and its sidecar knows no more than the registry. Neither source may reopen the
/// endpoint.
#[test]
fn leaving_endpoint_stays_closed_whatever_later_sources_report() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    apply_notice(&mut directory, leaving(true), 10);
    assert!(!is_open(&directory, "e1", 20));
    directory.apply_registry(vec![record(1, &["m1"])], at(1_000));
    let mut status = status(1, &["m1"], 0);
    status.number.number = 2;
    directory.apply_status(status, at(1_100));
    assert!(!is_open(&directory, "e1", 1_200));
    directory.apply_registry(Vec::new(), at(5_000));
    directory.note_store_restored(at(6_000));
    directory.apply_registry(vec![record(1, &["m1"])], at(6_100));
    assert!(!is_open(&directory, "e1", 6_200));
}

/// Neither a new incarnation under the same name nor another endpoint at the same address may inherit the
/// leaving flag. Otherwise it would receive no work until it leaves too.
#[test]
fn successor_of_a_leaving_endpoint_inherits_nothing() {
    let start = |time| {
        let mut record = record(1, &["m1"]);
        record.start = Some(StartTime(time));
        record
    };
    let mut restarted = EndpointDirectory::default();
    restarted.apply_registry(vec![start(1)], at(0));
    apply_notice(&mut restarted, leaving(true), 10);
    restarted.apply_registry(vec![start(2)], at(1_000));
    assert!(is_open(&restarted, "e1", 1_100));

    let mut directory = directory(&[(&["m1"], 0)], at(0));
    apply_notice(&mut directory, leaving(true), 10);
    apply_notice(&mut directory, rest(30.0), 20);
    let mut status = status(1, &["m1"], 0);
    status.number.number = 2;
    status.instance = Some(endpoint("e9"));
    directory.apply_status(status, at(1_100));
    assert!(is_open(&directory, "e9", 1_200));
    let row = directory.row(&endpoint("e9")).unwrap();
    assert_eq!(row.rest_left(at(1_200)), millis(0));
}

/// Records that a request sent at the given time was accepted.
fn accept(directory: &mut EndpointDirectory, sent_ms: u64) {
    let sent = directory.sent_without_prompt(&endpoint("e1"));
    let received = ReceivedNotice {
        notice: EndpointNotice::default(),
        sent: &sent,
        sent_at: at(sent_ms),
        was_accepted: true,
    };
    directory.apply_notice(&endpoint("e1"), &received, at(sent_ms + 5));
}

/// Sends as many requests as are allowed at the given time and returns their number.
fn send_allowed(directory: &mut EndpointDirectory, now_ms: u64) -> usize {
    let name = endpoint("e1");
    let sends = (0..100).take_while(|_| {
        let may_send = directory.may_send(&name, None, at(now_ms));
        if may_send {
            directory.note_rest_probe(&name, at(now_ms));
        }
        may_send
    });
    sends.count()
}

/// If all requests that wait for the end of a rest period were sent in its first millisecond, they would
/// overload the endpoint again.
#[test]
fn requests_after_a_rest_period_ramp_up_with_accepted_ones() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    apply_notice(&mut directory, rest(3.0), 0);
    assert_eq!(send_allowed(&mut directory, 2_999), 0);
    let mut sent = 1;
    for now_ms in [3_000, 3_010, 3_020, 3_030] {
        assert_eq!(send_allowed(&mut directory, now_ms), sent);
        for _ in 0..sent {
            accept(&mut directory, now_ms);
        }
        sent *= 2;
    }
    assert_eq!(send_allowed(&mut directory, 3_040), 100);
}

/// The first request after a rest period is lost, or its caller disconnects. The endpoint must not stay
/// closed for that reason.
#[test]
fn unanswered_probe_after_a_rest_period_is_repeated() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    apply_notice(&mut directory, rest(3.0), 0);
    accept(&mut directory, 2_000);
    assert_eq!(send_allowed(&mut directory, 3_000), 1);
    assert_eq!(send_allowed(&mut directory, 3_400), 0);
    assert_eq!(send_allowed(&mut directory, 3_600), 1);
}
