//! Endpoints that send bytes without end: what is held of them, when the connection is closed, and what callers get.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use futures::future::{Either, select};
use http::StatusCode;
use http_body_util::BodyExt;
use oatpier_gateway::sidecar::engine_link::EngineLink;
use oatpier_serving::engine::{EngineOrder, OrderAnswer};
use oatpier_serving::residency::SequencedOrder;
use oatpier_serving::site::RouteKind;
use oatpier_types::names::{DaemonName, ModelName};

use crate::endless::EndlessEndpoint;
use crate::support::{
    EndpointStep, REQUEST_ID, RESUMABLE_STREAM, STREAM, STREAM_END, ScriptedEndpoint, TestGateway,
    chunk, endpoint_response, record, request, stream_start,
};

/// The most that a gateway reads of a head, in bytes.
const MAX_HEAD_BYTES: u64 = 64 << 10;

/// The most that a gateway reads of a response that it buffers, or of one event, in bytes.
const MAX_BODY_BYTES: u64 = 9 << 20;

/// The most that a sidecar reads of an answer, in bytes.
const MAX_REPORT_BYTES: u64 = 2 << 20;

/// Heads without end: a header, headers, lines before the head, bytes that are no HTTP.
const ENDLESS_HEADS: [(&str, &str); 5] = [
    ("HTTP/1.1 200 OK\r\nx-filler: ", "a"),
    ("HTTP/1.1 200 OK\r\n", "x-filler: a\r\n"),
    ("HTTP/1.1 ", "2"),
    ("", "\r\n"),
    ("", "\u{1}"),
];

/// The most that a gateway reads before the head of a response, in bytes.
const MAX_INTERIM_BYTES: u64 = 3 << 20;

/// Interim responses without end.
const ENDLESS_INTERIMS: (&str, &str) = ("", "HTTP/1.1 100 Continue\r\n\r\n");

/// Returns the beginnings of responses to [`REQUEST_ID`], and what is repeated after them: bodies in chunks, with a length
/// and without, and within the framing of a chunk and after the last one.
fn endless_bodies() -> Vec<(String, String)> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-oatpier-request-id: {REQUEST_ID}\r\nx-oatpier-response-stamp: s1\r\n"
    );
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let large = format!("{head}content-length: 99999999999999\r\n\r\n");
    let extension = format!("{chunked}2\r\nok\r\n4;");
    let last_chunk = format!("{chunked}2\r\nok\r\n0\r\n");
    vec![
        (chunked, chunk(&"a".repeat(1_000))),
        (large, "a".to_owned()),
        (format!("{head}\r\n"), "a".to_owned()),
        (extension, "a".to_owned()),
        (format!("{last_chunk}x-trailer: "), "a".to_owned()),
        (last_chunk, "x-trailer: a\r\n".to_owned()),
    ]
}

fn gateway_before(kind: RouteKind, max_attempts: u32, addresses: &[SocketAddr]) -> TestGateway {
    let gateway = TestGateway::with_endpoints(kind, max_attempts, &[]);
    let records = (1..).zip(addresses);
    let records = records.map(|(number, address)| record(number, *address));
    gateway.core.apply_records(None, records.collect());
    gateway
}

/// Guards against memory that grows with a head, and against a promise that the request did not run.
#[tokio::test]
async fn a_head_without_end_is_given_up() {
    for (beginning, repeated) in ENDLESS_HEADS {
        let endpoint = EndlessEndpoint::start(beginning, repeated).await;
        let gateway = gateway_before(RouteKind::Unsafe, 2, &[endpoint.address]);
        let answer = gateway.send(request(&[])).await;
        let status = answer.status();
        assert_eq!(status, StatusCode::BAD_GATEWAY, "{beginning:?}");
        endpoint.check_closed(MAX_HEAD_BYTES).await;
    }
}

/// Guards against an endpoint that is read, and keeps its caller waiting, until the deadline.
#[tokio::test]
async fn interim_responses_without_end_are_given_up() {
    let (beginning, repeated) = ENDLESS_INTERIMS;
    let endpoint = EndlessEndpoint::start(beginning, repeated).await;
    let gateway = gateway_before(RouteKind::Unsafe, 2, &[endpoint.address]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    endpoint.check_closed(MAX_INTERIM_BYTES).await;
}

/// As for heads, with the bodies of responses that the gateway reads whole.
#[tokio::test]
async fn a_body_without_end_is_given_up() {
    for (beginning, repeated) in endless_bodies() {
        let endpoint = EndlessEndpoint::start(&beginning, &repeated).await;
        let gateway = gateway_before(RouteKind::Unsafe, 2, &[endpoint.address]);
        let answer = gateway.send(request(&[])).await;
        let status = answer.status();
        assert_eq!(status, StatusCode::BAD_GATEWAY, "{beginning:?}");
        endpoint.check_closed(MAX_BODY_BYTES).await;
    }
}

/// An idempotent request is served by another endpoint.
#[tokio::test]
async fn a_response_without_end_is_replaced_by_that_of_another_endpoint() {
    let (head, head_filler) = ENDLESS_HEADS[0];
    let (body, body_filler) = &endless_bodies()[0];
    for (beginning, repeated) in [(head, head_filler), (body.as_str(), body_filler)] {
        let endless = EndlessEndpoint::start(beginning, repeated).await;
        let step = EndpointStep::Answer(endpoint_response("200 OK", "world"));
        let sound = ScriptedEndpoint::start(vec![step; 2]).await;
        let gateway = gateway_before(RouteKind::Safe, 2, &[endless.address, sound.address]);
        for _ in 0..2 {
            assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
        }
    }
}

/// Guards against the memory of many responses that are read at once: each takes less than its own limit, and all together
/// take more than the process has.
#[tokio::test]
async fn a_large_body_is_given_up_while_memory_is_short() {
    let (beginning, _) = &endless_bodies()[1];
    let step = EndpointStep::Answer(format!("{beginning}{}", "a".repeat(3 << 20)));
    let endpoint = ScriptedEndpoint::start(vec![step]).await;
    let gateway = gateway_before(RouteKind::Unsafe, 2, &[endpoint.address]);
    let answer = gateway
        .send(request(&[("x-oatpier-deadline-ms", "5000")]))
        .await;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
}

/// Guards against an event that is kept for as long as it goes on, so that its stream isn't resumed elsewhere either.
#[tokio::test]
async fn a_stream_with_an_event_without_end_is_resumed_elsewhere() {
    let event = |number: u32| format!("id: {number}\ndata: {number}\n\n");
    let repeated = chunk(&"a".repeat(1_000));
    for beginning in [
        stream_start(&["id: 1\ndata: "]),
        stream_start(&[&event(1), "id: 2\ndata: "]),
    ] {
        let endless = EndlessEndpoint::start(&beginning, &repeated).await;
        let rest = stream_start(&[&event(2), &event(3)]) + STREAM_END;
        let sound = ScriptedEndpoint::start(vec![EndpointStep::Answer(rest); 2]).await;
        let records = vec![record(1, endless.address), record(2, sound.address)];
        let gateway = TestGateway::with_versions(2, &[]);
        gateway.core.apply_records(None, records);
        let answer = gateway.send(request(&[])).await;
        let body = String::from_utf8(answer.body().to_vec()).unwrap();
        assert!(body.ends_with(&(event(2) + &event(3))), "{body}");
        endless.check_closed(MAX_BODY_BYTES).await;
    }
}

/// Guards against the memory of many events that are read at once: each takes less than its own limit, and all together take
/// more than the process has.
#[tokio::test]
async fn a_large_event_is_given_up_while_memory_is_short() {
    let part = stream_start(&["id: 1\ndata: ", &"a".repeat(700 << 10)]);
    let step = EndpointStep::AnswerInParts(part, Duration::from_mins(1), String::new());
    let endpoint = ScriptedEndpoint::start(vec![step; 2]).await;
    let gateway = gateway_before(RESUMABLE_STREAM, 1, &[endpoint.address]);
    let call = || gateway.send(request(&[("x-oatpier-deadline-ms", "5000")]));
    let (first, second) = (pin!(call()), pin!(call()));
    let (Either::Left((answer, _)) | Either::Right((answer, _))) = select(first, second).await;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    // One that lasts until the deadline counts as silent.
    let lines = gateway.logged("attempt failed");
    assert!(lines[0].contains("\"spoilt\""), "{lines:?}");
}

/// A stream that can't be resumed is forwarded as it arrives, and cut off at the request's deadline.
#[tokio::test]
async fn a_plain_stream_without_end_is_cut_off_at_the_deadline() {
    let beginning = stream_start(&["id: 1\ndata: 1\n\n"]);
    for repeated in [chunk("a"), chunk("data: 2\n\n")] {
        let endpoint = EndlessEndpoint::start(&beginning, &repeated).await;
        let gateway = gateway_before(STREAM, 2, &[endpoint.address]);
        let mut reply = gateway
            .reply(request(&[("x-oatpier-deadline-ms", "100")]))
            .await;
        assert_eq!(reply.status(), StatusCode::OK);
        let is_cut = loop {
            match reply.body_mut().frame().await {
                Some(Ok(_)) => {}
                Some(Err(_)) => break true,
                None => break false,
            }
        };
        assert!(is_cut, "the stream looks complete");
        drop(reply);
        endpoint.check_closed(u64::MAX / 2).await;
    }
}

/// Bytes after a complete response belong to no request. The response is delivered, and its connection isn't reused.
#[tokio::test]
async fn bytes_without_end_after_a_response_close_its_connection() {
    let complete = endpoint_response("200 OK", "world");
    let endpoint = EndlessEndpoint::start(&complete, "a").await;
    let gateway = gateway_before(RouteKind::Unsafe, 1, &[endpoint.address]);
    for _ in 0..2 {
        let answer = gateway.send(request(&[])).await;
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(&answer.body()[..], b"world");
        endpoint.check_closed(2 * MAX_HEAD_BYTES).await;
    }
}

fn engine_link(address: SocketAddr) -> EngineLink {
    EngineLink::new(address, DaemonName::try_from("side-1").unwrap())
}

/// As for the gateway's requests, with the sidecar's calls. An order that was sent may be carried out.
#[tokio::test]
async fn a_sidecar_gives_up_answers_without_end() {
    let bodies = endless_bodies();
    let heads = ENDLESS_HEADS;
    let heads = heads.map(|(beginning, repeated)| (beginning.to_owned(), repeated.to_owned()));
    for (beginning, repeated) in heads.into_iter().chain(bodies) {
        let endpoint = EndlessEndpoint::start(&beginning, &repeated).await;
        let mut link = engine_link(endpoint.address);
        assert!(link.report().await.is_err(), "{beginning:?}");
        endpoint.check_closed(MAX_REPORT_BYTES).await;
        assert!(link.identify("/health").await.is_err(), "{beginning:?}");
        endpoint.check_closed(2 * MAX_REPORT_BYTES).await;
        let order = SequencedOrder {
            order: EngineOrder::LoadModel(ModelName::try_from("m1").unwrap()),
            expect: 1,
        };
        assert_eq!(link.order(&order).await, OrderAnswer::Unknown);
        endpoint.check_closed(3 * MAX_REPORT_BYTES).await;
    }
}
