//! Tests that each check finds its breach, and that histories without a breach pass.

use std::time::Duration;

use oatpier_soak::check::{LoadBound, SoakPromise, check};
use oatpier_soak::ledger::{
    BegunRun, CallEnd, CallKind, DisturbedPlace, LedgerRow, SaidNotice, SeenEvent, SentCall,
};
use oatpier_soak::standin::settings::{LIMITED_KEY, UNKNOWN_KEY, workspace_of};
use oatpier_soak::standin::{answers, caller};

const LOADS: LoadBound = LoadBound {
    loads: 2,
    window: Duration::from_secs(5),
};

fn sent(kind: CallKind) -> SentCall {
    caller::call("c1", kind, "m1", None)
}

fn run_of(call: &SentCall, instance: &str) -> BegunRun {
    BegunRun {
        id: call.id.clone(),
        instance: instance.to_owned(),
        service: call.service,
        target: call.target.clone(),
        body: call.body.clone(),
        model: call.model.clone(),
        workspace: workspace_of(call.key).map(str::to_owned),
        forged: Vec::new(),
    }
}

fn whole(status: u16, stamp: Option<&str>, body: &str) -> CallEnd {
    CallEnd::Whole {
        status,
        stamp: stamp.map(str::to_owned),
        body: body.to_owned(),
    }
}

fn good_end(call: &SentCall) -> CallEnd {
    let body = if call.kind.is_stream() {
        answers::stream(&call.id)
    } else {
        answers::whole(&call.id)
    };
    whole(200, Some(&answers::stamp(&call.id, "i-1")), &body)
}

/// Returns the promises that a request with these runs and this end breaks.
fn broken(call: &SentCall, runs: &[BegunRun], end: Option<CallEnd>) -> Vec<SoakPromise> {
    let mut events = vec![SeenEvent::Sent(call.clone())];
    events.extend(runs.iter().cloned().map(SeenEvent::Begun));
    let id = call.id.clone();
    events.extend(end.map(|end| SeenEvent::Ended { id, end }));
    broken_by(events)
}

fn broken_by(events: Vec<SeenEvent>) -> Vec<SoakPromise> {
    let rows = events
        .into_iter()
        .enumerate()
        .map(|(number, event)| LedgerRow {
            at: Duration::from_millis(number as u64 * 100),
            event,
        });
    let rows: Vec<LedgerRow> = rows.collect();
    let breaches = check(&rows, LOADS);
    breaches.into_iter().map(|breach| breach.promise).collect()
}

#[test]
fn good_answers_break_nothing() {
    for kind in [
        CallKind::Safe,
        CallKind::Unsafe,
        CallKind::Stream,
        CallKind::ResumableStream,
    ] {
        let call = sent(kind);
        let runs = [run_of(&call, "i-1")];
        assert!(broken(&call, &runs, Some(good_end(&call))).is_empty());
        assert!(broken(&call, &runs, Some(CallEnd::Cut)).is_empty());
        assert!(broken(&call, &[], Some(whole(503, None, "later"))).is_empty());
    }
}

#[test]
fn a_second_run_is_found_where_one_is_allowed() {
    let runs = |call: &SentCall| [run_of(call, "i-1"), run_of(call, "i-2")];
    let once = sent(CallKind::Unsafe);
    let end = Some(good_end(&once));
    assert_eq!(broken(&once, &runs(&once), end), [SoakPromise::Once]);
    let often = sent(CallKind::ResumableStream);
    let end = Some(good_end(&often));
    assert!(broken(&often, &runs(&often), end).is_empty());
}

#[test]
fn a_refusal_of_what_ran_is_found() {
    let call = sent(CallKind::Stream);
    let runs = [run_of(&call, "i-1")];
    for status in [408, 421, 429, 503] {
        let end = Some(whole(status, None, ""));
        assert_eq!(broken(&call, &runs, end), [SoakPromise::TrueRefusal]);
    }
}

#[test]
fn an_answer_of_another_endpoint_or_request_is_found() {
    let call = sent(CallKind::Safe);
    let runs = [run_of(&call, "i-1")];
    let body = answers::whole("c1");
    let strange = [
        whole(200, None, &body),
        whole(200, Some(&answers::stamp("c1", "i-2")), &body),
        whole(
            200,
            Some(&answers::stamp("c1", "i-1")),
            &answers::whole("c2"),
        ),
        whole(200, Some(&answers::stamp("c1", "i-1")), &body[..10]),
    ];
    for end in strange {
        assert_eq!(broken(&call, &runs, Some(end)), [SoakPromise::OwnAnswer]);
    }
}

#[test]
fn a_stream_with_a_gap_a_repeat_or_no_end_is_found() {
    let call = sent(CallKind::ResumableStream);
    let runs = [run_of(&call, "i-1")];
    let events: Vec<String> = (1..=answers::EVENTS)
        .map(|number| answers::event("c1", number))
        .collect();
    let gap = [&events[..3], &events[4..]].concat().concat();
    let repeat = [&events[..4], &events[3..]].concat().concat();
    let short = events[..5].concat();
    for body in [gap, repeat, short] {
        let end = whole(200, Some(&answers::stamp("c1", "i-1")), &body);
        assert_eq!(broken(&call, &runs, Some(end)), [SoakPromise::WholeStream]);
    }
}

#[test]
fn what_nobody_asked_for_is_found() {
    let call = sent(CallKind::Unsafe);
    let mut other_body = run_of(&call, "i-1");
    other_body.body = "other".to_owned();
    let mut forged = run_of(&call, "i-1");
    forged.forged = vec!["kv-from".to_owned()];
    for run in [other_body, forged] {
        let end = Some(good_end(&call));
        assert_eq!(broken(&call, &[run], end), [SoakPromise::OnlyAsked]);
    }
    let stray = SeenEvent::Begun(run_of(&call, "i-1"));
    assert_eq!(broken_by(vec![stray]), [SoakPromise::OnlyAsked]);
}

#[test]
fn a_run_at_another_service_is_found() {
    let call = sent(CallKind::Unsafe);
    let mut run = run_of(&call, "i-1");
    run.service = "elsewhere";
    let end = Some(good_end(&call));
    assert_eq!(broken(&call, &[run], end), [SoakPromise::RightService]);
}

#[test]
fn a_request_without_an_end_is_found() {
    let call = sent(CallKind::Safe);
    assert_eq!(broken(&call, &[], None), [SoakPromise::Ends]);
    assert_eq!(broken(&call, &[], Some(CallEnd::Hung)), [SoakPromise::Ends]);
}

#[test]
fn too_many_loads_in_a_window_are_found() {
    let load = || SeenEvent::StoreLoad {
        instance: "i-1".to_owned(),
    };
    assert!(broken_by(vec![load(), load()]).is_empty());
    assert_eq!(
        broken_by(vec![load(), load(), load()]),
        [SoakPromise::LoadRate]
    );
}

#[test]
fn overfull_engines_exits_and_what_does_not_recover_are_found() {
    let overfull = SeenEvent::Overfull {
        instance: "i-1".to_owned(),
        what: "m3".to_owned(),
    };
    let exit = SeenEvent::Exit {
        process: "gateway-0".to_owned(),
        status: "exit status: 101".to_owned(),
    };
    let unserved = SeenEvent::Unserved {
        what: "m1".to_owned(),
    };
    assert_eq!(
        broken_by(vec![overfull, exit, unserved]),
        [
            SoakPromise::Memory,
            SoakPromise::StaysUp,
            SoakPromise::Recovers
        ]
    );
}

/// Returns the promises that a crashing request breaks if it crashes an endpoint each second at one gateway, and is sent
/// again from second 10 on. `disturbed` is a fault of 0.1 s just before these last sends.
fn sent_on(ends: usize, sends_after: usize, disturbed: Option<DisturbedPlace>) -> Vec<SoakPromise> {
    let row = |millis: u64, event| LedgerRow {
        at: Duration::from_millis(millis),
        event,
    };
    let mut rows = Vec::new();
    let mut number = 0;
    let mut reach = |rows: &mut Vec<LedgerRow>, at: u64| {
        let call = caller::crashing_call(CallKind::Stream, 1, number, "m1");
        number += 1;
        rows.push(row(at, SeenEvent::Sent(call.clone())));
        rows.push(row(at, SeenEvent::Begun(run_of(&call, "i-1"))));
        let end = whole(502, None, "");
        rows.push(row(at, SeenEvent::Ended { id: call.id, end }));
        call.target
    };
    for end in 0..ends as u64 {
        let target = reach(&mut rows, end * 1_000);
        rows.push(row(end * 1_000, SeenEvent::Crashed { target }));
    }
    if let Some(place) = disturbed {
        let since = Duration::from_millis(9_800);
        rows.push(row(9_900, SeenEvent::Disturbed { place, since }));
    }
    for sent in 0..sends_after as u64 {
        reach(&mut rows, 10_000 + sent * 100);
    }
    let breaches = check(&rows, LOADS);
    breaches.into_iter().map(|breach| breach.promise).collect()
}

#[test]
fn a_request_that_is_sent_on_after_its_third_end_is_found() {
    assert!(sent_on(2, 9, None).is_empty());
    assert!(sent_on(3, 3, None).is_empty());
    assert_eq!(sent_on(3, 4, None), [SoakPromise::CrashesBounded]);
}

/// A gateway that was paused or disconnected from the store until just before may not know yet that the request is
/// barred.
#[test]
fn only_sends_by_gateways_that_are_well_count() {
    let excused = [
        DisturbedPlace::Store,
        DisturbedPlace::AllGateways,
        DisturbedPlace::Gateway(1),
    ];
    for place in excused {
        assert!(sent_on(3, 4, Some(place)).is_empty());
    }
    let other = Some(DisturbedPlace::Gateway(2));
    assert_eq!(sent_on(3, 4, other), [SoakPromise::CrashesBounded]);
}

#[test]
fn a_run_without_a_key_or_for_another_workspace_is_found() {
    let call = sent(CallKind::Safe);
    let other = BegunRun {
        workspace: Some("limited".to_owned()),
        ..run_of(&call, "i-1")
    };
    let end = Some(good_end(&call));
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
    let events = |count: usize| -> Vec<SeenEvent> {
        let calls: Vec<SentCall> = (0..count)
            .map(|number| SentCall {
                id: format!("c{number}"),
                key: LIMITED_KEY,
                ..sent(CallKind::Stream)
            })
            .collect();
        let sent = calls.iter().cloned().map(SeenEvent::Sent);
        let begun = calls
            .iter()
            .map(|call| SeenEvent::Begun(run_of(call, "i-1")));
        sent.chain(begun).collect()
    };
    assert!(!broken_by(events(30)).contains(&SoakPromise::Limit));
    assert!(broken_by(events(45)).contains(&SoakPromise::Limit));
}

/// Returns whether the requests to an instance break its notice.
///
/// The instance sends the notice at the start and in each response, through gateway 1, and gets a request every
/// `every_ms` from `from_ms` on, until eight seconds have passed. `disturbed` is a fault of half a second just before
/// the first of them.
fn arrivals_after(
    said: SaidNotice,
    from_ms: u64,
    every_ms: usize,
    disturbed: Option<DisturbedPlace>,
) -> bool {
    arrivals_while(said, 8_000, from_ms, every_ms, disturbed)
}

/// Like [`arrivals_after`], with the notice sent only until `says_until_ms`.
fn arrivals_while(
    said: SaidNotice,
    says_until_ms: u64,
    from_ms: u64,
    every_ms: usize,
    disturbed: Option<DisturbedPlace>,
) -> bool {
    let row = |millis: u64, event| LedgerRow {
        at: Duration::from_millis(millis),
        event,
    };
    let mut rows = Vec::new();
    if let Some(place) = disturbed {
        let since = Duration::from_millis(from_ms - 500);
        rows.push(row(from_ms, SeenEvent::Disturbed { place, since }));
    }
    let sends = [0].into_iter().chain((from_ms..8_000).step_by(every_ms));
    for (number, at) in sends.enumerate() {
        let id = format!("c{number}");
        let call = SentCall {
            id: id.clone(),
            ..sent(CallKind::Safe)
        };
        let instance = "i-1".to_owned();
        rows.push(row(at, SeenEvent::Sent(call)));
        rows.push(row(
            at,
            SeenEvent::Routed {
                id: id.clone(),
                gateway: 1,
            },
        ));
        let reached = SeenEvent::Reached {
            id: id.clone(),
            endpoint: 4,
            instance: instance.clone(),
        };
        rows.push(row(at + 5, reached));
        if at < says_until_ms {
            let id = id.clone();
            rows.push(row(at + 5, SeenEvent::Said { id, instance, said }));
        }
        let end = whole(503, None, "");
        rows.push(row(at + 10, SeenEvent::Ended { id, end }));
    }
    let breaches = check(&rows, LOADS);
    breaches
        .iter()
        .any(|breach| breach.promise == SoakPromise::LeavesAlone)
}

#[test]
fn a_request_to_an_endpoint_that_leaves_is_found() {
    assert!(!arrivals_after(SaidNotice::Leaving, 1_900, 8_000, None));
    assert!(arrivals_after(SaidNotice::Leaving, 2_100, 8_000, None));
}

#[test]
fn requests_during_a_rest_are_found() {
    let rest = SaidNotice::Rest(Duration::from_secs(3));
    assert!(!arrivals_after(rest, 3_100, 8_000, None));
    assert!(!arrivals_after(rest, 1_000, 1_500, None));
    assert!(arrivals_after(rest, 1_000, 400, None));
}

#[test]
fn requests_above_a_limit_are_found() {
    let limit = SaidNotice::Limit(2_500);
    assert!(!arrivals_after(limit, 1_000, 400, None));
    assert!(arrivals_after(limit, 1_000, 150, None));
}

/// A limit binds only while the endpoint reports it: requests after its end break nothing.
#[test]
fn requests_after_the_end_of_a_limit_are_none_of_its_breaches() {
    let limit = SaidNotice::Limit(2_500);
    assert!(!arrivals_while(limit, 500, 4_500, 50, None));
    assert!(!arrivals_while(limit, 4_000, 4_000, 50, None));
    assert!(arrivals_while(limit, 6_500, 4_000, 50, None));
}

/// A gateway that was restarted or paused may not know the notice. Store faults don't exempt it, because notices come in
/// responses.
#[test]
fn only_gateways_and_ways_that_are_well_are_held_to_what_was_said() {
    for place in [
        DisturbedPlace::AllGateways,
        DisturbedPlace::Gateway(1),
        DisturbedPlace::Endpoint(4),
    ] {
        assert!(!arrivals_after(
            SaidNotice::Leaving,
            2_600,
            8_000,
            Some(place)
        ));
    }
    for place in [
        DisturbedPlace::Store,
        DisturbedPlace::StoreLink(1),
        DisturbedPlace::Gateway(2),
        DisturbedPlace::Endpoint(3),
    ] {
        assert!(arrivals_after(
            SaidNotice::Leaving,
            2_600,
            8_000,
            Some(place)
        ));
    }
}
