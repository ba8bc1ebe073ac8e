//! Endpoints that turn requests away and ask for rest.

use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::{Response, StatusCode};
use oatpier_serving::message::PermitGrant;
use oatpier_serving::site::RouteKind;
use tokio::time::sleep;

use crate::support::{
    EndpointStep, STREAM, STREAM_END, ScriptedEndpoint, TestGateway, not_run, own_answer, prompt,
    request, stream_start, with_headers,
};

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

fn answers(count: usize) -> Vec<EndpointStep> {
    vec![EndpointStep::Answer(own_answer("200 OK", "done")); count]
}

fn return_after(answer: &Response<Bytes>) -> f64 {
    answer.headers()["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap()
}

/// The caller's only endpoint rests for longer than the caller waits. Sent away for the usual 80 ms, it would come back
/// again and again in vain, and be told each time to come back at once.
#[tokio::test]
async fn a_caller_whose_only_endpoint_rests_is_told_when_it_is_back() {
    let endpoint = ScriptedEndpoint::start(refusals(1, "30")).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]);
    for _ in 0..2 {
        let answer = gateway.send(request(&[])).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        let after = return_after(&answer);
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
async fn while_one_endpoint_rests_another_one_serves() {
    let resting = ScriptedEndpoint::start(refusals(1, "30")).await;
    let other = ScriptedEndpoint::start(answers(4)).await;
    let gateway = TestGateway::before(RouteKind::Safe, 2, &[&resting, &other]);
    for _ in 0..4 {
        assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
    }
    assert!(resting.requests().len() <= 1);
}

/// A request that can wait is sent when the rest is over, and not before.
#[tokio::test]
async fn a_request_waits_for_a_short_rest_to_end() {
    let steps = [refusals(1, "0.2"), answers(1)].concat();
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]);
    let refused = gateway.send(request(&[])).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    let served = gateway.send(request(&[])).await;
    assert_eq!(served.status(), StatusCode::OK);
    assert_eq!(endpoint.requests().len(), 2);
}

/// What becomes of twenty requests that come at once after one that was turned away.
async fn twenty_after_a_refusal(gateway: &TestGateway) -> Vec<StatusCode> {
    gateway.send(request(&[])).await;
    let sending = (0..20).map(|_| gateway.send(request(&[])));
    let answers = join_all(sending).await;
    answers.iter().map(Response::status).collect()
}

/// Twenty requests wait for the end of a rest. All sent in its first millisecond, they are the next overload: here the
/// endpoint turns the first one away again, and the others must not have been sent beside it.
#[tokio::test]
async fn after_a_rest_one_request_goes_before_the_others() {
    let steps = [refusals(1, "0.1"), refusals(19, "30")].concat();
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]);
    let statuses = twenty_after_a_refusal(&gateway).await;
    assert_eq!(statuses, [StatusCode::SERVICE_UNAVAILABLE; 20]);
    assert_eq!(endpoint.requests().len(), 2);
}

/// As many requests as the endpoint takes follow each other soon after its rest.
#[tokio::test]
async fn after_a_rest_that_helped_all_requests_are_served() {
    let steps = [refusals(1, "0.05"), answers(20)].concat();
    let endpoint = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]);
    let statuses = twenty_after_a_refusal(&gateway).await;
    assert_eq!(statuses, [StatusCode::OK; 20]);
}

/// A prompt has its permit when an answer to another one asks for rest: the permit is not used.
#[tokio::test]
async fn a_request_with_a_permit_is_held_back_when_its_endpoint_asks_for_rest() {
    let stream = stream_start(&["id: 1\ndata: 1\n\n"]) + STREAM_END;
    let steps = [refusals(1, "30"), vec![EndpointStep::Answer(stream)]].concat();
    let engine = ScriptedEndpoint::start(steps).await;
    let gateway = TestGateway::before(STREAM, 1, &[&engine]);
    gateway.hear_engine(&engine, 0);
    let granting = async {
        while gateway.permit_asks().len() < 2 {
            sleep(Duration::from_millis(1)).await;
        }
        let ids = gateway.permit_asks();
        gateway.core.take_permit(PermitGrant { id: ids[0] });
        while engine.requests().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        // The first one is being turned away.
        sleep(Duration::from_millis(20)).await;
        gateway.core.take_permit(PermitGrant { id: ids[1] });
    };
    let (one, other, ()) = tokio::join!(gateway.send(prompt()), gateway.send(prompt()), granting);
    for answer in [one, other] {
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(return_after(&answer) >= 29.0);
    }
    assert_eq!(engine.requests().len(), 1);
}

/// The gateway is being stopped while a request waits for a rest to end. Kept until the process is killed, its caller
/// would see a closed connection.
#[tokio::test]
async fn a_request_that_waits_for_a_rest_is_refused_when_its_gateway_stops() {
    let endpoint = ScriptedEndpoint::start(refusals(1, "8")).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]);
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
