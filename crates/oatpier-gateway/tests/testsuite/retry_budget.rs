//! Tests of what attempts take from the budget of retries.

use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use oatpier_serving::site::RouteKind;

use crate::support::{
    EndpointStep, RESUMABLE_STREAM, STREAM_END, ScriptedEndpoint, TestGateway, config,
    endpoint_response, not_executed_response, record, request, route, service, settings,
    stream_start,
};

/// A window in which the budget is not refilled while a test runs.
const LONG_WINDOW: Duration = Duration::from_hours(10);

/// Retries in such a window of which a gateway alone has one at its start, and not two.
const SINGLE_RETRY_SLACK: f64 = 4.0;

/// Creates a gateway that may retry once, before three endpoints that take their steps from one script.
fn gateway_with_one_retry(
    kind: RouteKind,
    max_attempts: u32,
    script: &ScriptedEndpoint,
) -> TestGateway {
    let mut settings = settings();
    settings.bounds.retry_window = LONG_WINDOW;
    settings.bounds.retry_slack = SINGLE_RETRY_SLACK;
    let gateway = TestGateway::with_settings(settings);
    let records = (1..=3).map(|number| record(number, script.address));
    let config = config(vec![route(kind, max_attempts)]);
    gateway
        .core
        .apply_records(Some(config.into()), records.collect());
    gateway
}

/// Guards against retries beyond the budget. A stream breaks off, and the endpoint at which it is to be resumed fails.
#[tokio::test]
async fn a_failed_resumption_takes_the_next_one_from_the_budget() {
    let steps = vec![
        EndpointStep::AnswerAndClose(stream_start(&["id: 1\ndata: 1\n\n"])),
        EndpointStep::Answer(endpoint_response("500 Internal Server Error", "failed")),
        EndpointStep::Answer(stream_start(&["id: 2\ndata: 2\n\n"]) + STREAM_END),
    ];
    let script = ScriptedEndpoint::start(steps).await;
    let gateway = gateway_with_one_retry(RESUMABLE_STREAM, 3, &script);
    let reply = gateway.reply(request(&[])).await;
    assert_eq!(reply.status(), StatusCode::OK);
    let body = reply.into_body().collect().await;
    assert_eq!(script.requests().len(), 2);
    assert!(body.is_err());
}

/// Guards against a budget used up by requests that are not sent again, so that others can't be either.
#[tokio::test]
async fn a_request_without_further_attempts_takes_nothing_from_the_budget() {
    let refused = not_executed_response("503 Service Unavailable");
    let unstated = endpoint_response("503 Service Unavailable", "failed");
    for (kind, answer) in [(RouteKind::Unsafe, refused), (RouteKind::Safe, unstated)] {
        let script = ScriptedEndpoint::start(vec![EndpointStep::Answer(answer)]).await;
        let gateway = gateway_with_one_retry(kind, 1, &script);
        gateway.send(request(&[])).await;
        assert_eq!(script.requests().len(), 1);
        assert!(gateway.core.take_retry(&service()), "{kind:?}");
        assert!(!gateway.core.take_retry(&service()), "{kind:?}");
    }
}
