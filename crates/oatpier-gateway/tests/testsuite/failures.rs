//! Tests of endpoints that die, fail, send invalid responses or stop responding.

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use oatpier_serving::site::RouteKind;
use oatpier_types::names::EndpointName;

use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, endpoint_response, not_executed_response,
    other_instance_response, record, request, status,
};

const CHUNKED: &str = "transfer-encoding: chunked";

async fn endpoint(step: EndpointStep) -> ScriptedEndpoint {
    ScriptedEndpoint::start(vec![step]).await
}

fn complete_response() -> EndpointStep {
    EndpointStep::Answer(endpoint_response("200 OK", "world"))
}

/// Guards against requests that run twice. The endpoint reads the request and dies. The request may have run, so
/// the caller gets 502, which promises nothing, and no other endpoint gets the request.
#[tokio::test]
async fn a_request_that_may_have_run_is_not_sent_again() {
    let dying = endpoint(EndpointStep::Close).await;
    let other = endpoint(complete_response()).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 2, &[&dying, &other]);
    let mut statuses = Vec::new();
    for _ in 0..2 {
        statuses.push(gateway.send(request(&[])).await.status());
    }
    let runs = dying.requests().len() + other.requests().len();
    assert_eq!(runs, 2, "each request reached one endpoint");
    assert!(statuses.contains(&StatusCode::BAD_GATEWAY));
}

/// As above with an idempotent request: the caller gets the response of the other endpoint.
#[tokio::test]
async fn an_idempotent_request_is_retried_at_another_endpoint() {
    let dying = endpoint(EndpointStep::Close).await;
    let other = ScriptedEndpoint::start(vec![complete_response(), complete_response()]).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Safe, 2, &[&dying, &other]);
    for _ in 0..2 {
        assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
    }
}

/// The endpoint reports that it did not run the request. The caller gets a 503, which promises the same, with a
/// `Retry-After`.
#[tokio::test]
async fn an_endpoint_refusal_becomes_a_gateway_refusal() {
    let full = endpoint(EndpointStep::Answer(not_executed_response(
        "503 Service Unavailable",
    )))
    .await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&full]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(!answer.headers().contains_key("x-oatpier-response-stamp"));
}

/// Guards against a caller that gets another caller's data. The late response to an earlier request arrives on the
/// connection where the response to this request is expected. Its request id differs.
#[tokio::test]
async fn a_response_to_another_request_is_never_relayed() {
    let other_response =
        endpoint_response("200 OK", "another's").replace(crate::support::REQUEST_ID, "another");
    let endpoint = endpoint(EndpointStep::Answer(other_response)).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    assert!(!String::from_utf8_lossy(answer.body()).contains("another's"));
}

/// Guards against a request that runs twice, or runs although its caller is told that it did not: a late refusal of an
/// earlier request arrives where the response to this request is expected.
#[tokio::test]
async fn a_refusal_of_another_request_neither_promises_nor_repeats() {
    for status in ["503 Service Unavailable", "421 Misdirected Request"] {
        let refusal = not_executed_response(status).replace(crate::support::REQUEST_ID, "another");
        let endpoints = [
            endpoint(EndpointStep::Answer(refusal.clone())).await,
            endpoint(EndpointStep::Answer(refusal)).await,
        ];
        let gateway =
            TestGateway::with_endpoints(RouteKind::Unsafe, 2, &[&endpoints[0], &endpoints[1]]);
        let answer = gateway.send(request(&[])).await;
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "{status}");
        let sends = endpoints[0].requests().len() + endpoints[1].requests().len();
        assert_eq!(sends, 1, "{status}");
    }
}

/// Guards against a chain of wrong responses: after the response to another request, the real one is still to come on
/// that connection, where the next request would take it for its own.
#[tokio::test]
async fn a_connection_that_brought_a_response_to_another_request_is_not_reused() {
    let refusal = not_executed_response("503 Service Unavailable")
        .replace(crate::support::REQUEST_ID, "another");
    let steps = vec![EndpointStep::Answer(refusal), complete_response()];
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    let first = gateway.send(request(&[])).await.status();
    let second = gateway.send(request(&[])).await.status();
    assert_eq!([first, second], [StatusCode::BAD_GATEWAY, StatusCode::OK]);
    assert_eq!(endpoint.connections(), 2);
}

/// Guards against requests that are held as suspects for seconds. An endpoint that responds to another request is running,
/// so its response says nothing about whether requests like this one crash endpoints.
#[tokio::test]
async fn requests_alike_are_not_held_after_a_response_to_another_request() {
    check_requests_alike_after(
        endpoint_response("200 OK", "another's").replace(crate::support::REQUEST_ID, "another"),
    )
    .await;
}

/// As above, with bytes that are no response, or a head or a chunk without end. An endpoint that sends them is running.
#[tokio::test]
async fn requests_alike_are_not_held_after_bytes_that_are_no_response() {
    let chunked = endpoint_response("200 OK", "").replace("content-length: 0", CHUNKED);
    for bytes in [
        "these bytes are no response\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\nx-filler: {}", "a".repeat(64 << 10)),
        format!("{chunked}no length\r\n"),
        format!("{chunked}4;{}", "a".repeat(64 << 10)),
    ] {
        check_requests_alike_after(bytes).await;
    }
}

/// Sends a request to an endpoint that responds with these bytes, and then three at once.
async fn check_requests_alike_after(bytes: String) {
    let slow = EndpointStep::AnswerInParts(
        String::new(),
        Duration::from_millis(30),
        endpoint_response("200 OK", "world"),
    );
    let mut steps = vec![slow; 4];
    steps[0] = EndpointStep::Answer(bytes);
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    assert_eq!(
        gateway.send(request(&[])).await.status(),
        StatusCode::BAD_GATEWAY
    );
    let alike = (0..3).map(|_| gateway.send(request(&[])));
    for answer in join_all(alike).await {
        assert_eq!(answer.status(), StatusCode::OK);
    }
}

#[tokio::test]
async fn a_success_without_response_stamp_is_not_relayed() {
    let unstamped = endpoint_response("200 OK", "x").replace("x-oatpier-response-stamp", "x-other");
    let endpoint = endpoint(EndpointStep::Answer(unstamped)).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    assert_eq!(
        gateway.send(request(&[])).await.status(),
        StatusCode::BAD_GATEWAY
    );
}

/// Guards against a truncated response that the caller takes for a complete one. The endpoint closes the connection
/// in the middle of the body.
#[tokio::test]
async fn a_truncated_response_never_looks_complete() {
    let truncated =
        endpoint_response("200 OK", "world").replace("content-length: 5", "content-length: 50");
    let endpoint = endpoint(EndpointStep::AnswerAndClose(truncated)).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    assert_eq!(
        gateway.send(request(&[])).await.status(),
        StatusCode::BAD_GATEWAY
    );
}

/// No process listens at the address. No byte was sent, so even an at-most-once request goes to the other endpoint,
/// and the failed connection does not count as an attempt.
#[tokio::test]
async fn a_refused_connection_does_not_count_as_an_attempt() {
    let gone = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let other = ScriptedEndpoint::start(vec![
        complete_response(),
        complete_response(),
        complete_response(),
    ])
    .await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&other]);
    gateway
        .core
        .apply_records(None, vec![record(1, gone), record(2, other.address)]);
    for _ in 0..3 {
        assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
    }
}

/// Guards against refusals after the restart of an engine. The process at its address now has another instance name
/// and rejects requests for the old one. Once its sidecar reports that name for the same service, callers get the
/// responses of the new instance.
#[tokio::test]
async fn a_restarted_engine_is_addressed_by_its_new_name() {
    let steps = vec![
        EndpointStep::Answer(other_instance_response("i-new")),
        complete_response(),
    ];
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    let mut update = status(1, endpoint.address, Vec::new());
    gateway.core.apply_status(update.clone());
    let refused = gateway.send(request(&[])).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    update.number.number += 1;
    update.instance = EndpointName::try_from("i-new").ok();
    gateway.core.apply_status(update);
    assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
    assert!(endpoint.requests()[1].contains("x-oatpier-expect-instance: i-new"));
}

/// An unknown instance uses the address of an endpoint that is gone. It gets no request under its own name.
#[tokio::test]
async fn an_unknown_instance_at_the_address_gets_no_request() {
    let steps = vec![
        EndpointStep::Answer(other_instance_response("i-new")),
        complete_response(),
    ];
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(endpoint.requests().len(), 1);
}

/// Guards against callers that wait without a response. The endpoint reads the request and never responds. At the
/// deadline the caller gets a final response, which does not promise that the request did not run.
#[tokio::test(start_paused = true)]
async fn a_silent_endpoint_leads_to_gateway_timeout_at_the_deadline() {
    let silent = endpoint(EndpointStep::Silence).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&silent]);
    let answer = gateway
        .send(request(&[("x-oatpier-deadline-ms", "2000")]))
        .await;
    assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
}

/// Guards against further requests to a frozen endpoint, which accepts requests and never responds. At-most-once
/// requests wait there until their deadline; later ones go to the healthy endpoint.
#[tokio::test]
async fn a_silent_endpoint_gets_no_later_requests_of_any_kind() {
    let frozen = ScriptedEndpoint::start(vec![EndpointStep::Silence; 20]).await;
    let healthy = ScriptedEndpoint::start(vec![complete_response(); 20]).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&frozen, &healthy]);
    let mut waiting = Vec::new();
    while frozen.requests().len() < 2 {
        let sending = Box::pin(gateway.send(request(&[])));
        let patience = std::time::Duration::from_millis(400);
        waiting.push(tokio::time::timeout(patience, sending).await);
    }
    for _ in 0..5 {
        assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
    }
    assert_eq!(frozen.requests().len(), 2);
}
