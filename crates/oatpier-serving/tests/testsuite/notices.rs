//! What is believed of an endpoint by what its answers say.

use oatpier_serving::directory::{EndpointDirectory, HeardNotice};
use oatpier_serving::engine::StartTime;
use oatpier_serving::notice::{EndpointNotice, NoticeChange, NoticeValue, RequestRate};
use oatpier_serving::reading::SentPrompt;

use crate::support::{at, directory, endpoint, record};

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
        },
        sent,
        sent_at: at(answer.sent_ms),
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
        },
        sent: &sent,
        sent_at: at(20),
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
