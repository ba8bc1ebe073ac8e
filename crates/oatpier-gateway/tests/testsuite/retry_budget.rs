//! Tests of what attempts take from the budget of retries.

use std::time::Duration;

use oatpier_serving::site::RouteKind;

use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, config, endpoint_response, not_executed_response,
    record, request, route, service, settings,
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
