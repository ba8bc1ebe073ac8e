//! Tests of endpoints that refuse requests and ask for a rest period with `Retry-After`.

use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::{Response, StatusCode};
use oatpier_serving::message::PermitGrant;
use oatpier_serving::site::RouteKind;
use tokio::time::sleep;

use crate::support::{
    EndpointStep, STREAM, STREAM_END, ScriptedEndpoint, TestGateway, endpoint_response,
    not_executed_response, prompt, request, stream_start, with_headers,
};

/// Returns responses that refuse a request and ask for a rest period of this many seconds.
fn refusals(count: usize, seconds: &str) -> Vec<EndpointStep> {
    let answer = not_executed_response("503 Service Unavailable");
    let answer = with_headers(&answer, &[("retry-after", seconds)]);
    vec![EndpointStep::Answer(answer); count]
}

/// Guards against requests that overload an endpoint during its rest period. Each caller's request would go to the
/// endpoint that has just refused one, because it is idle.
#[tokio::test]
async fn an_endpoint_gets_no_requests_during_its_rest_period() {
    let endpoint = ScriptedEndpoint::start(refusals(20, "30")).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    for _ in 0..20 {
        let answer = gateway.send(request(&[])).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    }
    let reached = endpoint.requests().len();
    assert!(reached <= 2, "{reached} requests, 2 are allowed");
}

fn answers(count: usize) -> Vec<EndpointStep> {
    vec![EndpointStep::Answer(endpoint_response("200 OK", "done")); count]
}

fn retry_after_seconds(answer: &Response<Bytes>) -> f64 {
    answer.headers()["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap()
}

/// Guards against useless retries. The rest period of the only endpoint is longer than the caller waits. If the caller
/// were asked to retry after the usual 80 ms, it would retry again and again in vain, and be asked each time to
/// retry at once.
#[tokio::test]
async fn a_caller_gets_the_rest_period_of_its_only_endpoint_as_retry_after() {
    let endpoint = ScriptedEndpoint::start(refusals(1, "30")).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    for _ in 0..2 {
        let answer = gateway.send(request(&[])).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        let after = retry_after_seconds(&answer);
        assert!((29.0..=31.0).contains(&after), "{after}");
    }
    assert_eq!(endpoint.requests().len(), 1);
    let lines = gateway.logged("answer").join("");
    for part in [
        "endpoint-rests",
        "\"held_by\":\"i-1\"",
        "\"held_for\":\"rest\"",
    ] {
        assert!(lines.contains(part), "{part} in {lines}");
    }
}

#[tokio::test]
async fn another_endpoint_serves_during_a_rest_period() {
    let refusing = ScriptedEndpoint::start(refusals(1, "30")).await;
    let other = ScriptedEndpoint::start(answers(4)).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Safe, 2, &[&refusing, &other]);
    for _ in 0..4 {
        assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
    }
    assert!(refusing.requests().len() <= 1);
}

/// A request that can wait is sent when the rest period ends, and not earlier.
#[tokio::test]
async fn a_request_waits_for_a_short_rest_period_to_end() {
    let steps = [refusals(1, "0.2"), answers(1)].concat();
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    let refused = gateway.send(request(&[])).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    let served = gateway.send(request(&[])).await;
    assert_eq!(served.status(), StatusCode::OK);
    assert_eq!(endpoint.requests().len(), 2);
}

/// Returns the statuses of twenty requests that are sent together after one that was refused.
async fn send_twenty_after_a_refusal(gateway: &TestGateway) -> Vec<StatusCode> {
    gateway.send(request(&[])).await;
    let sending = (0..20).map(|_| gateway.send(request(&[])));
    let answers = join_all(sending).await;
    answers.iter().map(Response::status).collect()
}

/// Guards against an overload at the end of a rest period. Twenty requests wait for that moment and would all be sent
/// in its first millisecond. Here the endpoint refuses the first one again, and the others must not have been sent
/// together with it.
#[tokio::test]
async fn after_a_rest_period_one_request_is_sent_before_the_others() {
    let steps = [refusals(1, "0.1"), refusals(19, "30")].concat();
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    let statuses = send_twenty_after_a_refusal(&gateway).await;
    assert_eq!(statuses, [StatusCode::SERVICE_UNAVAILABLE; 20]);
    assert_eq!(endpoint.requests().len(), 2);
}

/// Once the endpoint serves a request after its rest period, the other requests follow soon.
#[tokio::test]
async fn after_a_successful_rest_period_all_requests_are_served() {
    let steps = [refusals(1, "0.05"), answers(20)].concat();
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    let statuses = send_twenty_after_a_refusal(&gateway).await;
    assert_eq!(statuses, [StatusCode::OK; 20]);
}

/// Guards against prompts that are sent to an endpoint during its rest period. The prompt already has a permit when
/// the response to another one asks for the rest period; the permit is not used.
#[tokio::test]
async fn a_request_with_a_permit_is_not_sent_when_its_endpoint_asks_for_a_rest_period() {
    let stream = stream_start(&["id: 1\ndata: 1\n\n"]) + STREAM_END;
    let steps = [refusals(1, "30"), vec![EndpointStep::Answer(stream)]].concat();
    let engine = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::with_endpoints(STREAM, 1, &[&engine]);
    gateway.report_engine(&engine, 0);
    let granting = async {
        while gateway.permit_request_ids().len() < 2 {
            sleep(Duration::from_millis(1)).await;
        }
        let ids = gateway.permit_request_ids();
        gateway.core.apply_permit(PermitGrant { id: ids[0] });
        while engine.requests().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        // The first request is being refused meanwhile.
        sleep(Duration::from_millis(20)).await;
        gateway.core.apply_permit(PermitGrant { id: ids[1] });
    };
    let (one, other, ()) = tokio::join!(gateway.send(prompt()), gateway.send(prompt()), granting);
    for answer in [one, other] {
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(retry_after_seconds(&answer) >= 29.0);
    }
    assert_eq!(engine.requests().len(), 1);
}

/// Guards against connections that are closed without a response. The gateway is stopped while a request waits for
/// the end of a rest period. If the request were kept until the process is killed, its caller would see a closed
/// connection.
#[tokio::test]
async fn a_request_that_waits_for_a_rest_period_is_refused_when_its_gateway_stops() {
    let endpoint = ScriptedEndpoint::start(refusals(1, "8")).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    gateway.send(request(&[])).await;
    let closing = async {
        sleep(Duration::from_millis(20)).await;
        gateway.core.close();
    };
    let (answer, ()) = tokio::join!(gateway.send(request(&[])), closing);
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let lines = gateway.logged("answer").join("");
    assert!(lines.contains("\"outcome\":\"leaving\""), "{lines}");
    assert_eq!(endpoint.requests().len(), 1);
}
