//! Tests of requests that are not sent to any endpoint.

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use oatpier_serving::engine::HeldModel;
use oatpier_serving::message::InnerMessage;
use oatpier_serving::site::RouteKind;
use oatpier_types::names::ModelName;

use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, config, endpoint_response, request, route, status,
};

#[tokio::test]
async fn a_gateway_without_configuration_sends_retry_after() {
    let gateway = TestGateway::unconfigured();
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn a_path_without_route_is_not_found() {
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[]);
    let mut unknown = request(&[]);
    *unknown.uri_mut() = "/other/".parse().unwrap();
    assert_eq!(gateway.send(unknown).await.status(), StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_request_without_id_or_with_too_large_a_body_is_rejected() {
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[]);
    let mut without_id = request(&[]);
    without_id.headers_mut().remove("x-oatpier-request-id");
    assert_eq!(
        gateway.send(without_id).await.status(),
        StatusCode::BAD_REQUEST
    );
    let mut large = request(&[]);
    *large.body_mut() = Bytes::from(vec![0; 2_000]);
    assert_eq!(
        gateway.send(large).await.status(),
        StatusCode::PAYLOAD_TOO_LARGE
    );
}

#[tokio::test]
async fn a_request_to_a_service_without_endpoints_is_refused_at_once() {
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn a_closed_gateway_refuses_requests() {
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[]);
    gateway.core.close();
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against routes that disappear. An older configuration arrives after a newer one, from a store replica
/// that lags behind.
#[tokio::test]
async fn a_configuration_is_never_replaced_by_an_older_one() {
    let gateway = TestGateway::unconfigured();
    let mut newer = config(vec![route(RouteKind::Unsafe, 1)]);
    newer.version = 9;
    gateway
        .core
        .apply_records(Some(Arc::new(newer)), Vec::new());
    let mut older = config(Vec::new());
    older.version = 8;
    gateway
        .core
        .apply_records(Some(Arc::new(older)), Vec::new());
    assert_eq!(gateway.core.config().unwrap().version, 9);
}

/// Guards against refusals of requests whose adapter is not loaded yet. The gateway asks the sidecar to load the
/// adapter, waits for the report that it is loaded, and then sends the request. The caller sees neither a refusal
/// nor a retry.
#[tokio::test]
async fn a_request_waits_for_its_adapter() {
    let answer = EndpointStep::Answer(endpoint_response("200 OK", ""));
    let engine = ScriptedEndpoint::start(vec![answer]).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&engine]);
    let held = |adapters: &[&str]| HeldModel {
        model: ModelName::try_from("m1").unwrap(),
        adapters: adapters
            .iter()
            .map(|name| (*name).try_into().unwrap())
            .collect(),
    };
    gateway
        .core
        .apply_status(status(1, engine.address, vec![held(&[])]));
    let sending = gateway.send(request(&[("x-oatpier-model", "m1/a1")]));
    let loading = async {
        while gateway.outlet.sent().is_empty() {
            tokio::task::yield_now().await;
        }
        assert!(
            engine.requests().is_empty(),
            "the request was sent before its adapter was loaded"
        );
        gateway
            .core
            .apply_status(status(2, engine.address, vec![held(&["a1"])]));
    };
    let (answer, ()) = tokio::join!(sending, loading);
    assert_eq!(answer.status(), StatusCode::OK);
    let sent = gateway.outlet.sent();
    assert!(matches!(&sent[0].1, InnerMessage::AdapterWanted(request) if request.slots == 4));
}

/// No engine holds or loads the model. The caller is asked to retry well before its deadline, instead of waiting
/// until then.
#[tokio::test(start_paused = true)]
async fn a_request_for_a_model_that_is_not_loading_is_refused_in_time() {
    let engine = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&engine]);
    let begun = tokio::time::Instant::now();
    let answer = gateway.send(request(&[("x-oatpier-model", "m1")])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(begun.elapsed().as_secs() < 2);
    assert!(engine.requests().is_empty());
}
