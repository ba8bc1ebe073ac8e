//! Endpoints that say in their answers that they leave.

use http::StatusCode;
use oatpier_serving::message::{InnerMessage, LeavingWord};
use oatpier_serving::site::RouteKind;
use oatpier_types::names::EndpointName;

use crate::support::{
    EndpointStep, STREAM, STREAM_END, ScriptedEndpoint, TestGateway, own_answer, prompt, pulse,
    record, request, stream_start, with_headers,
};

/// Answers that say that their endpoint leaves.
fn leaving_answers(count: usize) -> Vec<EndpointStep> {
    let answer = own_answer("200 OK", "done");
    let answer = with_headers(&answer, &[("server-leaving", "1")]);
    vec![EndpointStep::Answer(answer); count]
}

fn answers(count: usize) -> Vec<EndpointStep> {
    vec![EndpointStep::Answer(own_answer("200 OK", "done")); count]
}

/// The store is silent, and the registry's last word is that the endpoint is ready: it gets requests until it is gone.
#[tokio::test]
async fn an_endpoint_that_said_that_it_leaves_gets_no_more_requests() {
    let leaving = ScriptedEndpoint::start(leaving_answers(5)).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&leaving]);
    assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
    let staying = ScriptedEndpoint::start(answers(4)).await;
    // The registry lists it as ready, in this read as in the last one.
    let records = vec![record(1, leaving.address), record(2, staying.address)];
    gateway.core.take_records(None, records);
    for _ in 0..4 {
        assert_eq!(gateway.send(request(&[])).await.status(), StatusCode::OK);
    }
    assert_eq!(leaving.requests().len(), 1);
    assert_eq!(staying.requests().len(), 4);
}

fn word() -> LeavingWord {
    LeavingWord {
        endpoint: EndpointName::try_from("i-1").unwrap(),
        start: None,
    }
}

/// Only one gateway had a request there when the endpoint said so; the others would send it theirs until the registry
/// is read.
#[tokio::test]
async fn other_gateways_are_told_that_an_endpoint_leaves() {
    let leaving = ScriptedEndpoint::start(leaving_answers(1)).await;
    let teller = TestGateway::before(RouteKind::Unsafe, 1, &[&leaving]);
    let mut named = pulse(1, leaving.address, Vec::new());
    named.gateways = vec!["10.0.0.9:7380".parse().unwrap()];
    teller.core.take_pulse(named);
    teller.send(request(&[])).await;
    let told = teller.outlet.sent().into_iter();
    let told = told.filter(|(_, message)| matches!(message, InnerMessage::LeavingSeen(_)));
    assert_eq!(
        told.map(|(_, message)| message).collect::<Vec<_>>(),
        [InnerMessage::LeavingSeen(word())]
    );

    let listener = TestGateway::before(RouteKind::Unsafe, 1, &[&leaving]);
    listener.core.take_leaving_word(&word());
    listener.send(request(&[])).await;
    assert_eq!(leaving.requests().len(), 1);
}

/// All endpoints of a service leave. A caller that was kept waiting would learn it at its deadline.
#[tokio::test]
async fn where_all_endpoints_leave_callers_are_refused_at_once() {
    let leaving = ScriptedEndpoint::start(leaving_answers(1)).await;
    let gateway = TestGateway::before(RouteKind::Safe, 2, &[&leaving]);
    gateway.send(request(&[])).await;
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    let line = gateway.logged("answer").join("");
    assert!(line.contains("no-endpoint"), "{line}");
}

/// A prompt waits for its permit at an engine when the word comes that the engine leaves, and its permit comes all the
/// same: it goes to the other engine.
#[tokio::test]
async fn a_request_that_waits_when_its_endpoint_leaves_goes_elsewhere() {
    let stream = stream_start(&["id: 1\ndata: 1\n\n"]) + STREAM_END;
    let leaving = ScriptedEndpoint::start(Vec::new()).await;
    let staying = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = TestGateway::before(STREAM, 1, &[&leaving, &staying]);
    gateway.hear_engine(&leaving, 0);
    gateway.hear_engine(&staying, 5);
    let answer = tokio::select! {
        answer = gateway.send(prompt()) => answer,
        () = gateway.give_permits(|| gateway.core.take_leaving_word(&word())) => {
            unreachable!("permits are given for ever")
        }
    };
    assert_eq!(answer.status(), StatusCode::OK);
    assert!(leaving.requests().is_empty());
    assert_eq!(staying.requests().len(), 1);
}
