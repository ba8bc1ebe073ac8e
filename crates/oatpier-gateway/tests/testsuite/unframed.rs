//! Tests of responses that have no length and end with their connection.

use http::StatusCode;
use http_body_util::BodyExt;
use oatpier_serving::site::RouteKind;

use crate::support::{
    EndpointStep, RESUMABLE_STREAM, STREAM, ScriptedEndpoint, TestGateway, endpoint_response,
    request, stream_start,
};

/// Returns the response without its length or its framing in chunks.
fn unframed(response: &str) -> String {
    let is_framing =
        |line: &str| line.starts_with("content-length") || line.starts_with("transfer-encoding");
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    let rows: Vec<&str> = head.split("\r\n").filter(|row| !is_framing(row)).collect();
    format!("{}\r\n\r\n{body}", rows.join("\r\n"))
}

/// Returns an unframed stream of these bytes, after which the endpoint closes the connection.
fn unframed_stream(bytes: &str) -> EndpointStep {
    EndpointStep::AnswerAndClose(unframed(&stream_start(&[])) + bytes)
}

/// Serves one request from an endpoint, and returns the body unless it broke off.
async fn serve_stream(kind: RouteKind, step: EndpointStep) -> Option<String> {
    let engine = ScriptedEndpoint::start(vec![step]).await;
    let gateway = TestGateway::with_endpoints(kind, 1, &[&engine]);
    let reply = gateway.reply(request(&[])).await;
    if reply.status() != StatusCode::OK {
        return None;
    }
    let body = reply.into_body().collect().await.ok()?;
    Some(String::from_utf8(body.to_bytes().to_vec()).unwrap())
}

/// Guards against complete responses that are cut because they have no length.
#[tokio::test]
async fn a_response_that_ends_with_its_connection_is_whole() {
    let events = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
    for kind in [STREAM, RESUMABLE_STREAM] {
        let body = serve_stream(kind, unframed_stream(events)).await;
        assert_eq!(body.as_deref(), Some(events));
    }
    let step = EndpointStep::AnswerAndClose(unframed(&endpoint_response("200 OK", "world")));
    let body = serve_stream(RouteKind::Unsafe, step).await;
    assert_eq!(body.as_deref(), Some("world"));
}

/// Guards against a stream that looks complete although its endpoint ended before the first event.
#[tokio::test]
async fn a_stream_that_ends_with_its_connection_before_its_first_event_is_broken() {
    for kind in [STREAM, RESUMABLE_STREAM] {
        assert_eq!(serve_stream(kind, unframed_stream("")).await, None);
        assert_eq!(serve_stream(kind, unframed_stream("id: 1\nda")).await, None);
    }
}

/// Guards against such a stream that is not resumed where its route allows it, or of which the caller sees a part of an event.
#[tokio::test]
async fn a_stream_that_ends_with_its_connection_within_an_event_is_resumed() {
    let first = unframed_stream("id: 1\ndata: 1\n\nid: 2\nda");
    let second = unframed_stream("id: 2\ndata: 2\n\n");
    // The first endpoint is preferred because of its name.
    let engines = [
        ScriptedEndpoint::start(vec![first]).await,
        ScriptedEndpoint::start(vec![second]).await,
    ];
    let gateway = TestGateway::with_endpoints(RESUMABLE_STREAM, 2, &[&engines[0], &engines[1]]);
    let reply = gateway.reply(request(&[])).await;
    let body = reply.into_body().collect().await.unwrap();
    let body = String::from_utf8(body.to_bytes().to_vec()).unwrap();
    assert_eq!(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n");
    assert!(engines[1].requests()[0].contains("last-event-id: 1\r\n"));
}

/// Guards against a connection that is used again after a response that ends with it.
#[tokio::test]
async fn the_connection_of_such_a_response_is_not_used_again() {
    let response = unframed(&endpoint_response("200 OK", "world"));
    let steps = vec![EndpointStep::AnswerAndClose(response); 2];
    let engine = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&engine]);
    for _ in 0..2 {
        let reply = gateway.send(request(&[])).await;
        assert_eq!(reply.status(), StatusCode::OK);
        assert_eq!(reply.body().as_ref(), b"world");
    }
}
