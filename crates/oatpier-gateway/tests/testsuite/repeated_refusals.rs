//! Tests of refusals that an endpoint sends twice, late, to the request that they are about.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use oatpier_serving::site::RouteKind;
use oatpier_types::names::EndpointName;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, endpoint_response, not_executed_response,
    other_instance_response, request, status,
};

/// Sends a request to an endpoint that refuses it and restarts meanwhile, so that the request is sent to its address
/// again. Returns the status that the caller gets.
async fn status_after_restart(refusal: String) -> StatusCode {
    let may_answer = Arc::new(Notify::new());
    let endpoint = ScriptedEndpoint::start(vec![
        EndpointStep::AnswerTwice(refusal, Arc::clone(&may_answer)),
        EndpointStep::Answer(endpoint_response("200 OK", "world")),
    ])
    .await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 2, &[&endpoint]);
    let restart = async {
        while endpoint.requests().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        let mut update = status(1, endpoint.address, Vec::new());
        update.instance = EndpointName::try_from("i-new").ok();
        gateway.core.apply_status(update);
        may_answer.notify_one();
    };
    let (answer, ()) = tokio::join!(gateway.send(request(&[])), restart);
    let sends = endpoint.requests();
    assert_eq!(sends.len(), 2, "the request is sent to the address again");
    assert!(sends[1].contains("x-oatpier-expect-instance: i-new"));
    answer.status()
}

/// Guards against a request that runs although its caller is told that it did not, or that runs at another endpoint too:
/// a copy of the refusal of its first send is taken for the response to its second send.
#[tokio::test]
async fn a_copy_of_a_refusal_is_not_taken_for_the_response_to_the_next_send() {
    let statuses = [
        status_after_restart(other_instance_response("i-new")).await,
        status_after_restart(not_executed_response("421 Misdirected Request")).await,
        status_after_restart(not_executed_response("503 Service Unavailable")).await,
    ];
    assert_eq!(statuses, [StatusCode::OK; 3]);
}

/// Guards against a new connection for each refusal: other requests still use the connection on which one came.
#[tokio::test]
async fn a_refusal_leaves_its_connection_to_other_requests() {
    let refusal = not_executed_response("503 Service Unavailable");
    let endpoint = ScriptedEndpoint::start(vec![
        EndpointStep::Answer(refusal),
        EndpointStep::Answer(endpoint_response("200 OK", "world")),
    ])
    .await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    let first = gateway.send(request(&[])).await.status();
    let second = gateway.send(request(&[])).await.status();
    assert_eq!(
        [first, second],
        [StatusCode::SERVICE_UNAVAILABLE, StatusCode::OK]
    );
    assert_eq!(endpoint.connections(), 1);
}
