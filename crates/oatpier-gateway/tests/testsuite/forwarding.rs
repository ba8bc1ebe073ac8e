//! Tests of the requests that are forwarded to an endpoint and the responses that are returned.

use http::StatusCode;
use oatpier_serving::site::RouteKind;

use crate::support::{
    EndpointStep, REQUEST_ID, ScriptedEndpoint, TestGateway, endpoint_response, request,
};

#[tokio::test]
async fn a_request_is_forwarded_unchanged_and_its_response_is_returned() {
    let answer = EndpointStep::Answer(endpoint_response("200 OK", "world"));
    let endpoint = ScriptedEndpoint::start(vec![answer]).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    let answer = gateway.send(request(&[("x-other", "kept")])).await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.headers()["x-oatpier-response-stamp"], "s1");
    assert_eq!(&answer.body()[..], b"world");
    let sent = &endpoint.requests()[0];
    assert!(sent.starts_with("POST /draft/7?x=1 HTTP/1.1\r\n"), "{sent}");
    assert!(sent.contains("host: a.example\r\n") && sent.contains("x-other: kept\r\n"));
    assert!(sent.contains(&format!("x-oatpier-request-id: {REQUEST_ID}\r\n")));
    assert!(sent.contains("x-oatpier-expect-instance: i-1\r\n"));
    assert!(sent.ends_with("\r\n\r\nhello"), "{sent}");
}

/// Guards against callers that send headers for placing or prioritizing requests. The endpoint must see only those
/// of the gateway.
#[tokio::test]
async fn forged_headers_never_reach_an_endpoint() {
    let answer = EndpointStep::Answer(endpoint_response("200 OK", ""));
    let endpoint = ScriptedEndpoint::start(vec![answer]).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    let forged = [
        ("x-oatpier-hold", "h1"),
        ("kv-from", "10.0.0.1:1/2"),
        ("x-oatpier-expect-instance", "i-9"),
        ("x-oatpier-request-priority", "0"),
    ];
    gateway.send(request(&forged)).await;
    let sent = &endpoint.requests()[0];
    assert!(!sent.contains("x-oatpier-hold") && !sent.contains("kv-from"));
    assert!(!sent.contains("i-9") && !sent.contains("x-oatpier-request-priority"));
}

#[tokio::test]
async fn the_endpoint_gets_the_shorter_of_caller_and_route_timeout() {
    let answer = EndpointStep::Answer(endpoint_response("200 OK", ""));
    let endpoint = ScriptedEndpoint::start(vec![answer]).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    gateway
        .send(request(&[("x-oatpier-deadline-ms", "3000")]))
        .await;
    let sent = &endpoint.requests()[0];
    let remaining = sent
        .lines()
        .find_map(|line| line.strip_prefix("x-oatpier-deadline-ms: "))
        .unwrap();
    assert!(remaining.trim().parse::<u32>().unwrap() <= 3_000);
}

#[tokio::test]
async fn an_endpoint_error_is_returned_unchanged() {
    for error in [
        "400 Bad Request",
        "500 Internal Server Error",
        "504 Gateway Timeout",
    ] {
        let answer = EndpointStep::Answer(endpoint_response(error, "own"));
        let endpoint = ScriptedEndpoint::start(vec![answer]).await;
        let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
        let answer = gateway.send(request(&[])).await;
        assert!(error.starts_with(answer.status().as_str()), "{error}");
        assert_eq!(answer.headers()["x-oatpier-response-stamp"], "s1");
        assert_eq!(answer.body().as_ref(), b"own");
    }
}
