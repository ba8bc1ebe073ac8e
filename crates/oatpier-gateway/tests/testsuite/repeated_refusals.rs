//! Tests of refusals that an endpoint sends twice, late, to the request that they are about.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use oatpier_serving::site::RouteKind;
use oatpier_types::names::EndpointName;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::support::{
    EndpointStep, RESUMABLE_STREAM, STREAM_END, ScriptedEndpoint, TestGateway, endpoint_response,
    not_executed_response, other_instance_response, record, request, status, stream_start,
};

async fn await_request(endpoint: &ScriptedEndpoint) {
    while endpoint.requests().is_empty() {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Reports that the endpoint has restarted under another name.
fn name_successor(gateway: &TestGateway, endpoint: &ScriptedEndpoint) {
    let mut update = status(1, endpoint.address, Vec::new());
    update.instance = EndpointName::try_from("i-new").ok();
    gateway.core.apply_status(update);
}

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
        await_request(&endpoint).await;
        name_successor(&gateway, &endpoint);
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

/// Guards against a stream that is cut because a copy of a refusal is taken for the response to its next send: it broke off
/// and is resumed at an endpoint that refuses it and is listed under another name meanwhile.
#[tokio::test]
async fn a_copy_of_a_refusal_does_not_end_a_resumed_stream() {
    let (may_break, may_refuse) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let no_chunk = "no length\r\n";
    let first = stream_start(&["id: 1\ndata: a\n\n"]) + no_chunk;
    let breaking = ScriptedEndpoint::start(vec![EndpointStep::AnswerTwice(
        first,
        Arc::clone(&may_break),
    )])
    .await;
    let rest = stream_start(&["id: 2\ndata: b\n\n"]) + STREAM_END;
    let restarting = ScriptedEndpoint::start(vec![
        EndpointStep::AnswerTwice(other_instance_response("i-3"), Arc::clone(&may_refuse)),
        EndpointStep::Answer(rest),
    ])
    .await;
    let gateway = TestGateway::with_endpoints(RESUMABLE_STREAM, 2, &[&breaking]);
    let faults = async {
        await_request(&breaking).await;
        let records = vec![record(1, breaking.address), record(2, restarting.address)];
        gateway.core.apply_records(None, records);
        may_break.notify_one();
        await_request(&restarting).await;
        let records = vec![record(1, breaking.address), record(3, restarting.address)];
        gateway.core.apply_records(None, records);
        may_refuse.notify_one();
    };
    let (answer, ()) = tokio::join!(gateway.send(request(&[])), faults);
    assert_eq!(answer.body(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!(restarting.connections(), 2);
}
