//! Endpoints that turn requests away and ask for rest.

use http::StatusCode;
use oatpier_serving::site::RouteKind;

use crate::support::{EndpointStep, ScriptedEndpoint, TestGateway, not_run, request, with_headers};

/// Answers that turn a request away and ask for so many seconds of rest.
fn refusals(count: usize, seconds: &str) -> Vec<EndpointStep> {
    let answer = not_run("503 Service Unavailable");
    let answer = with_headers(&answer, &[("retry-after", seconds)]);
    vec![EndpointStep::Answer(answer); count]
}

/// Each caller's request goes to the endpoint that has just turned one away and asked for rest, since it is idle.
#[tokio::test]
async fn an_endpoint_that_asked_for_rest_is_left_alone() {
    let endpoint = ScriptedEndpoint::start(refusals(20, "30")).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]);
    for _ in 0..20 {
        let answer = gateway.send(request(&[])).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    }
    let reached = endpoint.requests().len();
    assert!(reached <= 2, "{reached} requests, 2 are allowed");
}
