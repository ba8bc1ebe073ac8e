//! Tests that each check finds its breach, and that histories without a breach pass.

use std::time::Duration;

use oatpier_soak::check::{LoadBound, SoakPromise, check};
use oatpier_soak::history::{
    BegunRun, CallEnd, CallKind, FaultScope, HistoryRow, NoticeKind, ObservedEvent, ResumedCall,
    SentCall,
};
use oatpier_soak::standin::settings::{LIMITED_KEY, UNKNOWN_KEY, workspace_of};
use oatpier_soak::standin::{caller, responses};

const LOADS: LoadBound = LoadBound {
    loads: 2,
    window: Duration::from_secs(5),
};

fn sent(kind: CallKind) -> SentCall {
    caller::build_call("c1", kind, "m1", None)
}

fn run_of(call: &SentCall, instance: &str) -> BegunRun {
    BegunRun {
        id: call.id.clone(),
        instance: instance.to_owned(),
        version: "v1",
        after: 0,
        service: call.service,
        target: call.target.clone(),
        body: call.body.clone(),
        model: call.model.clone(),
        workspace: workspace_of(call.key).map(str::to_owned),
        forged: Vec::new(),
    }
}

fn complete(status: u16, stamp: Option<&str>, body: &str) -> CallEnd {
    CallEnd::Complete {
        status,
        stamp: stamp.map(str::to_owned),
        body: body.to_owned(),
    }
}

fn correct_end(call: &SentCall) -> CallEnd {
    let body = if call.kind.is_stream() {
        responses::stream(&call.id)
    } else {
        responses::body(&call.id)
    };
    complete(200, Some(&responses::stamp(&call.id, "i-1")), &body)
}

/// Returns the promises that a request with these runs and this end breaks.
fn broken(call: &SentCall, runs: &[BegunRun], end: Option<CallEnd>) -> Vec<SoakPromise> {
    let mut events = vec![ObservedEvent::Sent(call.clone())];
    events.extend(runs.iter().cloned().map(ObservedEvent::RunStarted));
    let id = call.id.clone();
    events.extend(end.map(|end| ObservedEvent::Ended { id, end }));
    broken_by(events)
}

fn broken_by(events: Vec<ObservedEvent>) -> Vec<SoakPromise> {
    let rows = events
        .into_iter()
        .enumerate()
        .map(|(number, event)| HistoryRow {
            at: Duration::from_millis(number as u64 * 100),
            event,
        });
    let rows: Vec<HistoryRow> = rows.collect();
    let breaches = check(&rows, LOADS);
    breaches.into_iter().map(|breach| breach.promise).collect()
}

#[test]
fn correct_responses_break_nothing() {
    for kind in [
        CallKind::Safe,
        CallKind::Unsafe,
        CallKind::Stream,
        CallKind::ResumableStream,
    ] {
        let call = sent(kind);
        let runs = [run_of(&call, "i-1")];
        assert!(broken(&call, &runs, Some(correct_end(&call))).is_empty());
        assert!(broken(&call, &runs, Some(CallEnd::Interrupted)).is_empty());
        assert!(broken(&call, &[], Some(complete(503, None, "later"))).is_empty());
    }
}

#[test]
fn a_second_run_is_found_where_one_is_allowed() {
    let runs = |call: &SentCall| [run_of(call, "i-1"), run_of(call, "i-2")];
    let once = sent(CallKind::Unsafe);
    let end = Some(correct_end(&once));
    assert_eq!(broken(&once, &runs(&once), end), [SoakPromise::Once]);
    let resumable = sent(CallKind::ResumableStream);
    let end = Some(correct_end(&resumable));
    assert!(broken(&resumable, &runs(&resumable), end).is_empty());
}

#[test]
fn a_refusal_of_a_request_that_ran_is_found() {
    for kind in [CallKind::Stream, CallKind::Unsafe] {
        let call = sent(kind);
        let runs = [run_of(&call, "i-1")];
        for status in [408, 421, 429, 503] {
            let end = Some(complete(status, None, ""));
            assert_eq!(broken(&call, &runs, end), [SoakPromise::TrueRefusal]);
        }
        for status in [500, 502, 504] {
            let end = Some(complete(status, None, ""));
            assert!(broken(&call, &runs, end).is_empty());
        }
    }
}

#[test]
fn a_response_of_another_endpoint_or_request_is_found() {
    let call = sent(CallKind::Safe);
    let runs = [run_of(&call, "i-1")];
    let body = responses::body("c1");
    let wrong_ends = [
        complete(200, None, &body),
        complete(200, Some(&responses::stamp("c1", "i-2")), &body),
        complete(
            200,
            Some(&responses::stamp("c1", "i-1")),
            &responses::body("c2"),
        ),
        complete(200, Some(&responses::stamp("c1", "i-1")), &body[..10]),
    ];
    for end in wrong_ends {
        assert_eq!(broken(&call, &runs, Some(end)), [SoakPromise::OwnAnswer]);
    }
}

#[test]
fn a_stream_with_a_gap_a_repeat_or_no_end_is_found() {
    let call = sent(CallKind::ResumableStream);
    let runs = [run_of(&call, "i-1")];
    let events: Vec<String> = (1..=responses::EVENTS)
        .map(|number| responses::event("c1", number))
        .collect();
    let gap = [&events[..3], &events[4..]].concat().concat();
    let repeat = [&events[..4], &events[3..]].concat().concat();
    let short = events[..5].concat();
    for body in [gap, repeat, short] {
        let end = complete(200, Some(&responses::stamp("c1", "i-1")), &body);
        assert_eq!(broken(&call, &runs, Some(end)), [SoakPromise::WholeStream]);
    }
}

#[test]
fn an_altered_or_unsent_request_is_found() {
    let call = sent(CallKind::Unsafe);
    let mut other_body = run_of(&call, "i-1");
    other_body.body = "other".to_owned();
    let mut forged = run_of(&call, "i-1");
    forged.forged = vec!["kv-from".to_owned()];
    for run in [other_body, forged] {
        let end = Some(correct_end(&call));
        assert_eq!(broken(&call, &[run], end), [SoakPromise::OnlyAsked]);
    }
    let unsent = ObservedEvent::RunStarted(run_of(&call, "i-1"));
    assert_eq!(broken_by(vec![unsent]), [SoakPromise::OnlyAsked]);
}

#[test]
fn a_run_at_another_service_is_found() {
    let call = sent(CallKind::Unsafe);
    let mut run = run_of(&call, "i-1");
    run.service = "elsewhere";
    let end = Some(correct_end(&call));
    assert_eq!(broken(&call, &[run], end), [SoakPromise::RightService]);
}

#[test]
fn a_request_without_an_end_is_found() {
    let call = sent(CallKind::Safe);
    assert_eq!(broken(&call, &[], None), [SoakPromise::Ends]);
    assert_eq!(
        broken(&call, &[], Some(CallEnd::TimedOut)),
        [SoakPromise::Ends]
    );
}

#[test]
fn too_many_loads_in_a_window_are_found() {
    let load = || ObservedEvent::StoreLoad {
        instance: "i-1".to_owned(),
    };
    assert!(broken_by(vec![load(), load()]).is_empty());
    assert_eq!(
        broken_by(vec![load(), load(), load()]),
        [SoakPromise::LoadRate]
    );
}

#[test]
fn overcommitted_engines_exits_and_missing_recovery_are_found() {
    let overcommitted = ObservedEvent::Overcommitted {
        instance: "i-1".to_owned(),
        detail: "m3".to_owned(),
    };
    let exit = ObservedEvent::Exit {
        process: "gateway-0".to_owned(),
        status: "exit status: 101".to_owned(),
    };
    let unserved = ObservedEvent::Unserved {
        detail: "m1".to_owned(),
    };
    assert_eq!(
        broken_by(vec![overcommitted, exit, unserved]),
        [
            SoakPromise::Memory,
            SoakPromise::StaysUp,
            SoakPromise::Recovers
        ]
    );
}

/// Returns the promises that a crashing request breaks if it crashes an endpoint each second at one gateway, and is
/// sent again from second 10 on. `fault_scope` is the part affected by a fault of 0.1 s just before these last sends.
fn broken_by_crashes(
    crashes: usize,
    sends_after: usize,
    fault_scope: Option<FaultScope>,
) -> Vec<SoakPromise> {
    let row = |millis: u64, event| HistoryRow {
        at: Duration::from_millis(millis),
        event,
    };
    let mut rows = Vec::new();
    let mut number = 0;
    let mut send_at = |rows: &mut Vec<HistoryRow>, at: u64| {
        let call = caller::crashing_call(CallKind::Stream, 1, number, "m1");
        number += 1;
        rows.push(row(at, ObservedEvent::Sent(call.clone())));
        rows.push(row(at, ObservedEvent::RunStarted(run_of(&call, "i-1"))));
        let end = complete(502, None, "");
        rows.push(row(at, ObservedEvent::Ended { id: call.id, end }));
        call.target
    };
    for end in 0..crashes as u64 {
        let target = send_at(&mut rows, end * 1_000);
        rows.push(row(end * 1_000, ObservedEvent::Crashed { target }));
    }
    if let Some(scope) = fault_scope {
        let since = Duration::from_millis(9_800);
        rows.push(row(9_900, ObservedEvent::FaultEnded { scope, since }));
    }
    for sent in 0..sends_after as u64 {
        send_at(&mut rows, 10_000 + sent * 100);
    }
    let breaches = check(&rows, LOADS);
    breaches.into_iter().map(|breach| breach.promise).collect()
}

#[test]
fn a_request_that_is_sent_on_after_its_third_crash_is_found() {
    assert!(broken_by_crashes(2, 9, None).is_empty());
    assert!(broken_by_crashes(3, 3, None).is_empty());
    assert_eq!(broken_by_crashes(3, 4, None), [SoakPromise::CrashesBounded]);
}

/// A gateway that was paused or disconnected from the store until just before may not know yet that the request is
/// barred.
#[test]
fn sends_by_gateways_with_a_recent_fault_are_exempt() {
    let excused = [
        FaultScope::Store,
        FaultScope::AllGateways,
        FaultScope::Gateway(1),
    ];
    for scope in excused {
        assert!(broken_by_crashes(3, 4, Some(scope)).is_empty());
    }
    let other = Some(FaultScope::Gateway(2));
    assert_eq!(
        broken_by_crashes(3, 4, other),
        [SoakPromise::CrashesBounded]
    );
}

#[test]
fn a_run_with_an_unknown_key_or_for_another_workspace_is_found() {
    let call = sent(CallKind::Safe);
    let other = BegunRun {
        workspace: Some("limited".to_owned()),
        ..run_of(&call, "i-1")
    };
    let end = Some(correct_end(&call));
    assert_eq!(
        broken(&call, &[other], end.clone()),
        [SoakPromise::RightWorkspace]
    );
    let unknown = SentCall {
        key: UNKNOWN_KEY,
        ..call
    };
    let run = run_of(&unknown, "i-1");
    assert_eq!(broken(&unknown, &[run], end), [SoakPromise::RightWorkspace]);
}

/// Streams of the limited workspace start 100 ms apart. 30 of them use 7,200 tokens within four seconds, and a window
/// may use 9,150. With 45 of them, one window uses 9,600.
#[test]
fn a_window_over_the_limit_is_found() {
    let events = |count: usize| -> Vec<ObservedEvent> {
        let calls: Vec<SentCall> = (0..count)
            .map(|number| SentCall {
                id: format!("c{number}"),
                key: LIMITED_KEY,
                ..sent(CallKind::Stream)
            })
            .collect();
        let sent = calls.iter().cloned().map(ObservedEvent::Sent);
        let begun = calls
            .iter()
            .map(|call| ObservedEvent::RunStarted(run_of(call, "i-1")));
        sent.chain(begun).collect()
    };
    assert!(!broken_by(events(30)).contains(&SoakPromise::Limit));
    assert!(broken_by(events(45)).contains(&SoakPromise::Limit));
}

/// Returns whether the requests to an instance break its notice.
///
/// The instance sends the notice at the start and in each response, through gateway 1, and gets a request every
/// `every_ms` from `from_ms` on, until eight seconds have passed. `fault_scope` is the part affected by a fault of half
/// a second just before the first of them.
fn breaks_notice(
    kind: NoticeKind,
    from_ms: u64,
    every_ms: usize,
    fault_scope: Option<FaultScope>,
) -> bool {
    breaks_notice_until(kind, 8_000, from_ms, every_ms, fault_scope)
}

/// Like [`breaks_notice`], with the notice sent only until `says_until_ms`.
fn breaks_notice_until(
    kind: NoticeKind,
    notice_until_ms: u64,
    from_ms: u64,
    every_ms: usize,
    fault_scope: Option<FaultScope>,
) -> bool {
    let row = |millis: u64, event| HistoryRow {
        at: Duration::from_millis(millis),
        event,
    };
    let mut rows = Vec::new();
    if let Some(scope) = fault_scope {
        let since = Duration::from_millis(from_ms - 500);
        rows.push(row(from_ms, ObservedEvent::FaultEnded { scope, since }));
    }
    let sends = [0].into_iter().chain((from_ms..8_000).step_by(every_ms));
    for (number, at) in sends.enumerate() {
        let id = format!("c{number}");
        let call = SentCall {
            id: id.clone(),
            ..sent(CallKind::Safe)
        };
        let instance = "i-1".to_owned();
        rows.push(row(at, ObservedEvent::Sent(call)));
        rows.push(row(
            at,
            ObservedEvent::Routed {
                id: id.clone(),
                gateway: 1,
            },
        ));
        let reached = ObservedEvent::Reached {
            id: id.clone(),
            endpoint: 4,
            instance: instance.clone(),
        };
        rows.push(row(at + 5, reached));
        if at < notice_until_ms {
            let id = id.clone();
            rows.push(row(
                at + 5,
                ObservedEvent::NoticeSent { id, instance, kind },
            ));
        }
        let end = complete(503, None, "");
        rows.push(row(at + 10, ObservedEvent::Ended { id, end }));
    }
    let breaches = check(&rows, LOADS);
    breaches
        .iter()
        .any(|breach| breach.promise == SoakPromise::LeavesAlone)
}

#[test]
fn a_request_to_an_endpoint_after_its_shutdown_notice_is_found() {
    assert!(!breaks_notice(NoticeKind::Leaving, 1_900, 8_000, None));
    assert!(breaks_notice(NoticeKind::Leaving, 2_100, 8_000, None));
}

#[test]
fn requests_during_a_rest_are_found() {
    let rest = NoticeKind::Rest(Duration::from_secs(3));
    assert!(!breaks_notice(rest, 3_100, 8_000, None));
    assert!(!breaks_notice(rest, 1_000, 1_500, None));
    assert!(breaks_notice(rest, 1_000, 400, None));
}

#[test]
fn requests_above_a_limit_are_found() {
    let limit = NoticeKind::Limit(2_500);
    assert!(!breaks_notice(limit, 1_000, 400, None));
    assert!(breaks_notice(limit, 1_000, 150, None));
}

/// A limit binds only while the endpoint reports it: requests after its end break nothing.
#[test]
fn requests_after_the_end_of_a_limit_are_no_breach() {
    let limit = NoticeKind::Limit(2_500);
    assert!(!breaks_notice_until(limit, 500, 4_500, 50, None));
    assert!(!breaks_notice_until(limit, 4_000, 4_000, 50, None));
    assert!(breaks_notice_until(limit, 6_500, 4_000, 50, None));
}

/// A gateway that was restarted or paused may not know the notice. Store faults don't exempt it, because notices come
/// in responses.
#[test]
fn gateways_and_links_with_a_recent_fault_are_exempt_from_notices() {
    for scope in [
        FaultScope::AllGateways,
        FaultScope::Gateway(1),
        FaultScope::Endpoint(4),
    ] {
        assert!(!breaks_notice(
            NoticeKind::Leaving,
            2_600,
            8_000,
            Some(scope)
        ));
    }
    for scope in [
        FaultScope::Store,
        FaultScope::StoreLink(1),
        FaultScope::Gateway(2),
        FaultScope::Endpoint(3),
    ] {
        assert!(breaks_notice(
            NoticeKind::Leaving,
            2_600,
            8_000,
            Some(scope)
        ));
    }
}

/// A stream may be resumed within a response and taken up by its caller, but only at the version that began it. A run from
/// the start at another version, before the first event, is allowed.
#[test]
fn finds_streams_that_go_on_at_another_version() {
    let first = sent(CallKind::ResumableStream);
    let returned = SentCall {
        id: "c2".to_owned(),
        resumed: Some(ResumedCall {
            first: first.id.clone(),
            after: 5,
        }),
        ..first.clone()
    };
    let run = |call: &SentCall, version, after| {
        ObservedEvent::RunStarted(BegunRun {
            version,
            after,
            ..run_of(call, version)
        })
    };
    let breaks = |runs: &[ObservedEvent]| {
        let sent = [first.clone(), returned.clone()].map(ObservedEvent::Sent);
        let events = [&sent[..], runs].concat();
        broken_by(events).contains(&SoakPromise::OneVersion)
    };
    let begun = run(&first, "v1", 0);
    assert!(!breaks(&[
        begun.clone(),
        run(&first, "v1", 3),
        run(&returned, "v1", 5)
    ]));
    assert!(!breaks(&[
        run(&first, "v2", 0),
        begun.clone(),
        run(&first, "v1", 3)
    ]));
    assert!(breaks(&[begun.clone(), run(&first, "v2", 3)]));
    assert!(breaks(&[begun, run(&returned, "v2", 5)]));
}
