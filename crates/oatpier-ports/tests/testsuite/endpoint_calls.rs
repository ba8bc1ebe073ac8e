//! Calls to an endpoint: forwarded headers, and detection of incomplete answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::TryStreamExt;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use oatpier_ports::endpoint::{CallError, EndpointCall, EndpointClient};
use oatpier_ports::http::{EndpointKind, HttpEndpoint};
use oatpier_types::ids::AttemptId;
use oatpier_types::verdict::RunVerdict;

use crate::support::{FixedServer, LONG_TIMEOUT, closed_address, raw_server, silent_server};

const ATTEMPT: AttemptId = AttemptId(0xab);
const ATTEMPT_HEX: &str = "000000000000000000000000000000ab";

fn call() -> EndpointCall {
    let mut headers = HeaderMap::new();
    headers.insert("accept", HeaderValue::from_static("text/plain"));
    headers.insert("connection", HeaderValue::from_static("close"));
    headers.insert("content-length", HeaderValue::from_static("999"));
    headers.insert("host", HeaderValue::from_static("caller.example"));
    EndpointCall {
        attempt: ATTEMPT,
        method: Method::POST,
        path: "/plans?hall=3".to_owned(),
        headers,
        body: Bytes::from_static(b"seat 12"),
        priority: 5,
        resume_after: 17,
    }
}

fn client(address: SocketAddr, kind: EndpointKind) -> HttpEndpoint {
    HttpEndpoint::new(address, kind, LONG_TIMEOUT)
}

/// Sends a call to a service and reads its whole body.
async fn run_whole(address: SocketAddr, call: EndpointCall) -> Result<Vec<u8>, CallError> {
    let answer = client(address, EndpointKind::Service).run(call).await?;
    let chunks: Vec<Bytes> = answer.body.try_collect().await?;
    Ok(chunks.concat())
}

#[tokio::test]
async fn engine_receives_a_call_and_its_cancel() {
    let server = FixedServer::start(201, &[("x-note", "kept"), ("keep-alive", "9")], "ok").await;
    let answer = client(server.address, EndpointKind::Engine)
        .run(call())
        .await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, StatusCode::CREATED);
    assert_eq!(answer.headers["x-note"], "kept");
    assert!(!answer.headers.contains_key("keep-alive"));
    let request = server.only_request();
    assert_eq!(request.line, "POST /plans?hall=3");
    assert_eq!(request.body, "seat 12");
    assert_eq!(request.headers["x-request-id"], ATTEMPT_HEX);
    assert_eq!(request.headers["x-priority"], "5");
    assert_eq!(request.headers["x-resume-after"], "17");
    assert_eq!(request.headers["accept"], "text/plain");
    assert_eq!(request.headers["content-length"], "7");
    assert_eq!(request.headers["host"], server.address.to_string());
    assert!(!request.headers.contains_key("connection"));
    let server = FixedServer::start(204, &[], "").await;
    client(server.address, EndpointKind::Engine)
        .cancel(ATTEMPT)
        .await;
    let line = format!("DELETE /v1/requests/{ATTEMPT_HEX}");
    assert_eq!(server.only_request().line, line);
}

#[tokio::test]
async fn plain_service_receives_no_engine_headers_and_no_cancel() {
    let server = FixedServer::start(200, &[], "ok").await;
    let client = client(server.address, EndpointKind::Service);
    assert!(client.run(call()).await.is_ok());
    client.cancel(ATTEMPT).await;
    let request = server.only_request();
    assert!(!request.headers.contains_key("x-priority"));
    assert!(!request.headers.contains_key("x-resume-after"));
}

#[tokio::test]
async fn probe_reports_whether_the_endpoint_is_healthy() {
    let healthy = FixedServer::start(200, &[], "").await;
    let unhealthy = FixedServer::start(500, &[], "").await;
    let unresponsive = silent_server().await;
    assert!(client(healthy.address, EndpointKind::Service).probe().await);
    assert!(
        !client(unhealthy.address, EndpointKind::Service)
            .probe()
            .await
    );
    assert!(
        !client(closed_address().await, EndpointKind::Service)
            .probe()
            .await
    );
    let short_timeout_client = HttpEndpoint::new(
        unresponsive,
        EndpointKind::Service,
        Duration::from_millis(200),
    );
    assert!(!short_timeout_client.probe().await);
}

#[tokio::test]
async fn call_that_was_not_sent_is_not_run() {
    let error = run_whole(closed_address().await, call()).await;
    assert_eq!(error.unwrap_err().verdict, RunVerdict::NotRun);
    let mut unsendable = call();
    unsendable.path = "no path".to_owned();
    let server = FixedServer::start(200, &[], "").await;
    let error = run_whole(server.address, unsendable).await;
    assert_eq!(error.unwrap_err().verdict, RunVerdict::NotRun);
    assert_eq!(server.request_count(), 0);
}

/// The service accepts a call that posts a report, and dies before it answers. A repetition could
/// post the report twice, so the verdict must not be "not run".
#[tokio::test]
async fn call_without_an_answer_may_have_run() {
    let error = run_whole(raw_server(b"").await, call()).await;
    assert_eq!(error.unwrap_err().verdict, RunVerdict::MayHaveRun);
}

/// A service dies in the middle of its answer. Whichever framing the answer has, a short body is an
/// error: otherwise a caller would use half a seating plan as the whole one. A body that ends with
/// its connection has no framing, so its end can't be distinguished from a truncation, and is an
/// error too.
#[tokio::test]
async fn truncated_answer_is_an_error() {
    let truncated_answers: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf",
    ];
    for truncated in truncated_answers {
        let error = run_whole(raw_server(truncated).await, call()).await;
        assert_eq!(error.unwrap_err().verdict, RunVerdict::MayHaveRun);
    }
}

/// An engine fails after a run, or answers with the refusal of another request. If that were taken for a statement that
/// this one did not run, it would run twice.
#[tokio::test]
async fn only_an_error_that_names_the_attempt_states_that_it_did_not_run() {
    const OTHER_HEX: &str = "000000000000000000000000000000ac";
    let cases = [
        (503, Some(ATTEMPT_HEX), true),
        (503, Some(OTHER_HEX), false),
        (503, None, false),
        (200, Some(ATTEMPT_HEX), false),
    ];
    for (status, stated, is_stated) in cases {
        let headers: Vec<_> = stated
            .map(|id| ("x-not-executed", id))
            .into_iter()
            .collect();
        let server = FixedServer::start(status, &headers, "").await;
        let answer = client(server.address, EndpointKind::Engine)
            .run(call())
            .await;
        assert_eq!(
            answer.unwrap().states_not_run(ATTEMPT),
            is_stated,
            "{status}: {stated:?}"
        );
    }
}

#[tokio::test]
async fn answers_with_a_detectable_end_are_complete() {
    let answers: [(&[u8], &[u8]); 4] = [
        (b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfour", b"four"),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
            b"four",
        ),
        (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
        // The reader of an event stream looks for the final event.
        (
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: [DONE]\n\n",
            b"data: [DONE]\n\n",
        ),
    ];
    for (answer, body) in answers {
        assert_eq!(
            run_whole(raw_server(answer).await, call()).await.unwrap(),
            body
        );
    }
}
