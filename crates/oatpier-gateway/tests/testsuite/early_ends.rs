//! Endpoints that stop in the middle of the head of a response and close the connection.

use http::StatusCode;
use http_body_util::BodyExt;
use oatpier_serving::site::RouteKind;

use crate::support::{
    EndpointStep, RESUMABLE_STREAM, STREAM, STREAM_END, ScriptedEndpoint, TestGateway, chunk,
    endpoint_response, request, stream_start,
};

const EVENTS: &str = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";

/// Returns whole responses with each framing: a length, chunks, the end of the connection, and an interim response before.
fn whole_responses() -> [String; 4] {
    let plain = endpoint_response("200 OK", EVENTS);
    let chunked = format!("{}{}{STREAM_END}", stream_start(&[]), chunk(EVENTS));
    let unframed = stream_start(&[]).replace("transfer-encoding: chunked\r\n", "") + EVENTS;
    let after_interim = format!("HTTP/1.1 100 Continue\r\n\r\n{plain}");
    [plain, chunked, unframed, after_interim]
}

/// Returns the beginnings of a response that end within its head, the empty one included.
fn partial_heads(response: &str) -> impl Iterator<Item = &str> {
    let body_start = response.find(EVENTS).expect("the response has a body");
    let head = &response[..body_start];
    let last = head.rfind("\r\n\r\n").expect("the head ends") + 3;
    (0..=last).map(|length| &response[..length])
}

/// Guards against a response with an empty or short body that looks whole: its endpoint stopped in the middle of the head. The
/// request may have run, so that the caller gets 502.
#[tokio::test]
async fn a_head_that_stops_is_no_response() {
    for response in whole_responses() {
        for head in partial_heads(&response) {
            for kind in [RouteKind::Unsafe, STREAM] {
                let step = EndpointStep::AnswerAndClose(head.to_owned());
                let endpoint = ScriptedEndpoint::start(vec![step]).await;
                let gateway = TestGateway::with_endpoints(kind, 2, &[&endpoint]);
                let answer = gateway.send(request(&[])).await;
                assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "{head:?}");
                assert_eq!(endpoint.requests().len(), 1, "{head:?}");
            }
        }
    }
}

/// Guards against a caller that gets a part of a response although another endpoint can serve it.
#[tokio::test]
async fn a_head_that_stops_is_replaced_by_the_response_of_another_endpoint() {
    let whole = whole_responses();
    for head in partial_heads(&whole[1]).step_by(7) {
        for kind in [RouteKind::Safe, RESUMABLE_STREAM] {
            let stopping = EndpointStep::AnswerAndClose(head.to_owned());
            let first = ScriptedEndpoint::start(vec![stopping]).await;
            let answer = EndpointStep::Answer(whole[1].clone());
            let second = ScriptedEndpoint::start(vec![answer]).await;
            let gateway = TestGateway::with_endpoints(kind, 2, &[&first, &second]);
            let answer = gateway.send(request(&[])).await;
            assert_eq!(answer.status(), StatusCode::OK, "{head:?}");
            assert_eq!(answer.body(), EVENTS.as_bytes(), "{head:?}");
        }
    }
}

/// Guards against events that are missing or come twice: the endpoint at which a stream goes on stops in the head of its
/// response.
#[tokio::test]
async fn a_stream_that_goes_on_does_not_end_with_a_head_that_stops() {
    let whole = whole_responses();
    for head in partial_heads(&whole[1]).step_by(7) {
        let begun = stream_start(&["id: 1\ndata: 1\n\n"]);
        let first = ScriptedEndpoint::start(vec![EndpointStep::AnswerAndClose(begun)]).await;
        let stopping = EndpointStep::AnswerAndClose(head.to_owned());
        let second = ScriptedEndpoint::start(vec![stopping]).await;
        let gateway = TestGateway::with_endpoints(RESUMABLE_STREAM, 2, &[&first, &second]);
        let reply = gateway.reply(request(&[])).await;
        let body = reply.into_body().collect().await;
        assert!(body.is_err(), "{head:?}");
    }
}
