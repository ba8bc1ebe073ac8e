//! Streams of events.

use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use oatpier_serving::site::RouteKind;

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
async fn a_whole_stream_is_relayed() {
    let stream = stream_start(&[&event(1), &event(2)]) + STREAM_END;
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = TestGateway::before(PLAIN, 1, &[&engine]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(&answer.body()[..], (event(1) + &event(2)).as_bytes());
}

/// The empty line that ends the last event comes in two pieces. The stream is whole, and its caller
/// must not lose it for that.
#[tokio::test]
async fn an_event_whose_end_comes_in_two_pieces_is_whole() {
    let stream = stream_start(&["id: 1\ndata: 1\n", "\n"]) + STREAM_END;
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = TestGateway::before(PLAIN, 1, &[&engine]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(&answer.body()[..], event(1).as_bytes());
}

/// The engine dies in the middle of the third event. The caller gets the two whole ones, and the
/// rest from another engine that goes on after the second: nothing twice, nothing missing.
#[tokio::test]
async fn a_cut_stream_goes_on_at_another_engine() {
    let cut = stream_start(&[&event(1), &event(2), "id: 3\nda"]);
    let rest = stream_start(&[&event(3), &event(4)]) + STREAM_END;
    let steps = vec![
        EndpointStep::AnswerAndClose(cut.clone()),
        EndpointStep::Answer(rest.clone()),
    ];
    let first = ScriptedEndpoint::start(steps.clone()).await;
    let second = ScriptedEndpoint::start(vec![EndpointStep::Answer(rest)]).await;
    let gateway = TestGateway::before(RESUMABLE, 2, &[&first, &second]);
    // The first engine is the less busy one by its name; the answer is the same in either order.
    let answer = gateway.send(request(&[])).await;
    let body = String::from_utf8(answer.body().to_vec()).unwrap();
    if first.requests().is_empty() {
        assert_eq!(body, event(3) + &event(4));
        return;
    }
    assert_eq!(body, event(1) + &event(2) + &event(3) + &event(4));
    assert!(second.requests()[0].contains("last-event-id: 2\r\n"));
}

/// A stream that can't be resumed breaks off. The caller's connection is cut: an end that looks
/// regular would pass half an answer for a whole one.
#[tokio::test]
async fn a_cut_stream_that_cannot_go_on_cuts_the_caller() {
    let cut = stream_start(&[&event(1)]);
    let engine = ScriptedEndpoint::start(vec![EndpointStep::AnswerAndClose(cut)]).await;
    let gateway = TestGateway::before(PLAIN, 1, &[&engine]);
    let reply = gateway.reply(request(&[])).await;
    assert_eq!(reply.status(), StatusCode::OK);
    assert!(reply.into_body().collect().await.is_err());
}

/// A stream without length ends with its connection, in the middle of an event: its engine died.
#[tokio::test]
async fn a_stream_without_length_that_ends_within_an_event_is_cut() {
    let head = stream_start(&[]).replace("transfer-encoding: chunked\r\n", "");
    let text = head + &event(1) + "id: 2\nda";
    let engine = ScriptedEndpoint::start(vec![EndpointStep::AnswerAndClose(text)]).await;
    let gateway = TestGateway::before(PLAIN, 1, &[&engine]);
    let reply = gateway.reply(request(&[])).await;
    assert!(reply.into_body().collect().await.is_err());
}

/// The engine dies before the first event. Nothing went to the caller, so it gets an answer of the
/// gateway's own that promises nothing.
#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_is_answered_for() {
    let engine =
        ScriptedEndpoint::start(vec![EndpointStep::AnswerAndClose(stream_start(&[]))]).await;
    let gateway = TestGateway::before(PLAIN, 1, &[&engine]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
}

#[tokio::test]
async fn pieces_of_an_event_are_held_back_where_a_stream_may_move() {
    let (head, tail) = ("id: 1\nda", "ta: 1\n\n");
    let stream = stream_start(&[]) + &chunk(head) + &chunk(tail) + STREAM_END;
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = TestGateway::before(RESUMABLE, 2, &[&engine]);
    let reply = gateway.reply(request(&[])).await;
    let first = reply.into_body().frame().await.unwrap().unwrap();
    assert_eq!(first.into_data().unwrap(), event(1).as_bytes());
}
