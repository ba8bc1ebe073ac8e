//! Tests of event streams.

use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use oatpier_serving::capacity::EnginePace;
use oatpier_serving::message::{EngineUpdate, MessageNumber, PaceStatus, PermitGrant};
use oatpier_serving::site::RouteKind;
use tokio::time::sleep;

use crate::support::{
    EndpointStep, STREAM_END, ScriptedEndpoint, TestGateway, chunk, request, stream_start,
};

const RESUMABLE: RouteKind = RouteKind::Stream {
    resumable: true,
    pause: Duration::from_millis(150),
};

const PLAIN: RouteKind = RouteKind::Stream {
    resumable: false,
    pause: Duration::from_millis(150),
};

fn event(number: u32) -> String {
    format!("id: {number}\ndata: {number}\n\n")
}

#[tokio::test]
async fn a_complete_stream_is_relayed() {
    let stream = stream_start(&[&event(1), &event(2)]) + STREAM_END;
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = TestGateway::with_endpoints(PLAIN, 1, &[&engine]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(&answer.body()[..], (event(1) + &event(2)).as_bytes());
}

/// Guards against complete streams that are treated as truncated. The empty line that ends the last event arrives
/// in two chunks.
#[tokio::test]
async fn an_event_whose_end_is_split_over_two_chunks_is_complete() {
    let stream = stream_start(&["id: 1\ndata: 1\n", "\n"]) + STREAM_END;
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = TestGateway::with_endpoints(PLAIN, 1, &[&engine]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(&answer.body()[..], event(1).as_bytes());
}

/// Guards against lost and repeated events. The engine dies in the middle of the third event. The caller gets the
/// two complete events, and the rest from another engine that resumes after the second.
#[tokio::test]
async fn a_broken_stream_is_resumed_at_another_engine() {
    let truncated = stream_start(&[&event(1), &event(2), "id: 3\nda"]);
    let rest = stream_start(&[&event(3), &event(4)]) + STREAM_END;
    let steps = vec![
        EndpointStep::AnswerAndClose(truncated.clone()),
        EndpointStep::Answer(rest.clone()),
    ];
    let first = ScriptedEndpoint::start(steps.clone()).await;
    let second = ScriptedEndpoint::start(vec![EndpointStep::Answer(rest)]).await;
    let gateway = TestGateway::with_endpoints(RESUMABLE, 2, &[&first, &second]);
    // The first engine is preferred because of its name; the response is correct in either order.
    let answer = gateway.send(request(&[])).await;
    let body = String::from_utf8(answer.body().to_vec()).unwrap();
    if first.requests().is_empty() {
        assert_eq!(body, event(3) + &event(4));
        return;
    }
    assert_eq!(body, event(1) + &event(2) + &event(3) + &event(4));
    assert!(second.requests()[0].contains("last-event-id: 2\r\n"));
}

/// Guards against truncated responses that look complete. A stream that cannot be resumed breaks off, so the
/// caller's connection is cut.
#[tokio::test]
async fn a_broken_stream_that_cannot_be_resumed_cuts_the_callers_connection() {
    let truncated = stream_start(&[&event(1)]);
    let engine = ScriptedEndpoint::start(vec![EndpointStep::AnswerAndClose(truncated)]).await;
    let gateway = TestGateway::with_endpoints(PLAIN, 1, &[&engine]);
    let reply = gateway.reply(request(&[])).await;
    assert_eq!(reply.status(), StatusCode::OK);
    assert!(reply.into_body().collect().await.is_err());
}

/// A stream without a length ends with its connection, in the middle of an event, because its engine died.
#[tokio::test]
async fn a_stream_without_length_that_ends_within_an_event_is_cut() {
    let head = stream_start(&[]).replace("transfer-encoding: chunked\r\n", "");
    let text = head + &event(1) + "id: 2\nda";
    let engine = ScriptedEndpoint::start(vec![EndpointStep::AnswerAndClose(text)]).await;
    let gateway = TestGateway::with_endpoints(PLAIN, 1, &[&engine]);
    let reply = gateway.reply(request(&[])).await;
    assert!(reply.into_body().collect().await.is_err());
}

/// The engine dies before the first event. Nothing was forwarded to the caller, so it gets a response of the
/// gateway itself, which promises nothing.
#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_gets_bad_gateway() {
    let engine =
        ScriptedEndpoint::start(vec![EndpointStep::AnswerAndClose(stream_start(&[]))]).await;
    let gateway = TestGateway::with_endpoints(PLAIN, 1, &[&engine]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
}

#[tokio::test]
async fn partial_events_are_not_forwarded_if_a_stream_is_resumable() {
    let (head, tail) = ("id: 1\nda", "ta: 1\n\n");
    let stream = stream_start(&[]) + &chunk(head) + &chunk(tail) + STREAM_END;
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = TestGateway::with_endpoints(RESUMABLE, 2, &[&engine]);
    let reply = gateway.reply(request(&[])).await;
    let first = reply.into_body().frame().await.unwrap().unwrap();
    assert_eq!(first.into_data().unwrap(), event(1).as_bytes());
}

/// Guards against streams that are cut because their endpoint was silent for a while. The stream could be resumed, and
/// another engine has a free slot, but its sidecar grants no permit. The stream stays where it is, and its rest arrives.
#[tokio::test]
async fn a_stalled_stream_stays_at_its_endpoint_until_another_one_takes_it() {
    let rest = chunk(&event(2)) + STREAM_END;
    let pause = Duration::from_millis(1_500);
    let slow = EndpointStep::AnswerInParts(stream_start(&[&event(1)]), pause, rest);
    let first = ScriptedEndpoint::start(vec![slow]).await;
    let second = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = TestGateway::with_endpoints(RESUMABLE, 2, &[&first, &second]);
    gateway.report_engine(&first, 0);
    gateway.report_engine(&second, 5);
    let keeping = async {
        loop {
            if let Some(id) = gateway.permit_request_ids().first() {
                gateway.core.apply_permit(PermitGrant { id: *id });
            }
            sleep(Duration::from_millis(1)).await;
        }
    };
    let caller = [
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "400,10"),
    ];
    let answer = tokio::select! {
        answer = gateway.send(request(&caller)) => answer,
        () = keeping => unreachable!("permits are granted without end"),
    };
    assert_eq!(&answer.body()[..], (event(1) + &event(2)).as_bytes());
    assert!(second.requests().is_empty());
}

/// Sends streams of two events to an engine of known pace, one after the other, and returns the lines of their answers.
async fn logged_answers(streams: usize) -> Vec<String> {
    let answer = EndpointStep::Answer(stream_start(&[&event(1), &event(2)]) + STREAM_END);
    let engine = ScriptedEndpoint::start(vec![answer; streams]).await;
    let gateway = TestGateway::with_endpoints(PLAIN, 1, &[&engine]);
    gateway.report_engine(&engine, 0);
    let pace = EnginePace {
        chunk_us: 50_000,
        late_pauses_per_ks: 1_000,
        ..EnginePace::default()
    };
    gateway.core.relay_update(EngineUpdate::Pace(PaceStatus {
        number: MessageNumber { boot: 1, number: 1 },
        engine: engine.address,
        start: None,
        pace,
    }));
    let caller = [
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "400,100"),
    ];
    let sending = async {
        for _ in 0..streams {
            let answer = gateway.send(request(&caller)).await;
            assert_eq!(answer.status(), StatusCode::OK);
        }
    };
    tokio::select! {
        () = sending => {}
        () = gateway.grant_permits(|| {}) => unreachable!("permits are granted without end"),
    }
    gateway.logged("answer")
}

/// An operator sees from the log why an engine was chosen for a stream.
#[tokio::test]
async fn streams_are_logged_with_the_predicted_risk_at_their_engine() {
    let line = logged_answers(1).await.remove(0);
    assert!(line.contains("\"engine_chunk_ms\":50.0"), "{line}");
    assert!(line.contains("\"pause_risk\":0.71"), "{line}");
}

/// The callers ask for up to 100 tokens, and the streams end after two events.
#[tokio::test]
async fn lengths_of_streams_are_learned_when_they_end() {
    let line = logged_answers(2).await.remove(1);
    let (_, risk) = line.split_once("\"pause_risk\":").unwrap();
    let risk: f64 = risk.split([',', '}']).next().unwrap().parse().unwrap();
    assert!(risk < 0.2, "{line}");
}

/// Returns the body of a stream, unless it broke off.
async fn served_body(kind: RouteKind, stream: String) -> Option<String> {
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = TestGateway::with_endpoints(kind, 1, &[&engine]);
    let body = gateway.reply(request(&[])).await.into_body();
    let body = body.collect().await.ok()?;
    Some(String::from_utf8(body.to_bytes().to_vec()).unwrap())
}

/// Guards against whole streams that are cut because their events end in CR LF, or because the end of an event arrives in
/// two pieces.
#[tokio::test]
async fn events_may_end_in_crlf_and_arrive_in_pieces() {
    let events = "id: 1\r\ndata: 1\r\n\r\nid: 2\r\ndata: 2\r\n\r\n";
    for split in 1..events.len() {
        let (head, tail) = events.split_at(split);
        let text = stream_start(&[head, tail]) + STREAM_END;
        for kind in [PLAIN, RESUMABLE] {
            let body = served_body(kind, text.clone()).await;
            assert_eq!(body.as_deref(), Some(events), "split at {split}");
        }
    }
    let cut = stream_start(&["id: 1\r\ndata: 1\r\n\r\n"]) + &chunk("id: 2\r\n") + STREAM_END;
    assert_eq!(served_body(PLAIN, cut).await, None);
}
