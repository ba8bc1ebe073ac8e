//! Endpoints that say in their answers that they leave.

use http::StatusCode;
use oatpier_serving::site::RouteKind;

use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, own_answer, record, request, with_headers,
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
