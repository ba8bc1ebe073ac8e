//! Requests that no endpoint gets.

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use oatpier_serving::engine::HeldModel;
use oatpier_serving::message::InnerMessage;
use oatpier_serving::site::RouteKind;
use oatpier_types::names::ModelName;

use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, config, own_answer, pulse, request, route,
};

#[tokio::test]
async fn a_gateway_without_configuration_says_when_to_come_back() {
    let gateway = TestGateway::unconfigured();
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn a_path_without_route_is_not_found() {
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[]);
    let mut unknown = request(&[]);
    *unknown.uri_mut() = "/other/".parse().unwrap();
    assert_eq!(gateway.send(unknown).await.status(), StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_request_without_id_or_with_too_large_a_body_is_told_so() {
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[]);
    let mut nameless = request(&[]);
    nameless.headers_mut().remove("x-oatpier-request-id");
    assert_eq!(
        gateway.send(nameless).await.status(),
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
async fn a_service_without_endpoints_is_refused_at_once() {
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[]);
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn a_gateway_on_its_way_out_refuses() {
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[]);
    gateway.core.close();
    let answer = gateway.send(request(&[])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
}

/// An older configuration comes after a newer one, from a store that reads behind. Routes that the
/// newer one has must not vanish again.
#[tokio::test]
async fn a_configuration_never_gives_way_to_an_older_one() {
    let gateway = TestGateway::unconfigured();
    let mut newer = config(vec![route(RouteKind::Unsafe, 1)]);
    newer.version = 9;
    gateway.core.take_records(Some(Arc::new(newer)), Vec::new());
    let mut older = config(Vec::new());
    older.version = 8;
    gateway.core.take_records(Some(Arc::new(older)), Vec::new());
    assert_eq!(gateway.core.config().unwrap().version, 9);
}

/// The adapter is nowhere. The gateway tells the sidecar that it is needed, waits for the word that
/// it is ready, and sends the request then: the caller sees neither a refusal nor a second try.
#[tokio::test]
async fn a_request_waits_for_its_adapter() {
    let answer = EndpointStep::Answer(own_answer("200 OK", ""));
    let engine = ScriptedEndpoint::start(vec![answer]).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&engine]);
    let held = |adapters: &[&str]| HeldModel {
        model: ModelName::try_from("m1").unwrap(),
        adapters: adapters
            .iter()
            .map(|name| (*name).try_into().unwrap())
            .collect(),
    };
    gateway
        .core
        .take_pulse(pulse(1, engine.address, vec![held(&[])]));
    let sending = gateway.send(request(&[("x-oatpier-model", "m1/a1")]));
    let loading = async {
        while gateway.outlet.sent().is_empty() {
            tokio::task::yield_now().await;
        }
        assert!(
            engine.requests().is_empty(),
            "it was sent before its adapter was there"
        );
        gateway
            .core
            .take_pulse(pulse(2, engine.address, vec![held(&["a1"])]));
    };
    let (answer, ()) = tokio::join!(sending, loading);
    assert_eq!(answer.status(), StatusCode::OK);
    let wished = gateway.outlet.sent();
    assert!(matches!(&wished[0].1, InnerMessage::AdapterWanted(wish) if wish.slots == 4));
}

/// Nobody holds the model and nobody loads it. The caller is told to come back well before its time
/// is over, instead of waiting to the end.
#[tokio::test(start_paused = true)]
async fn a_model_that_nobody_loads_is_refused_in_time() {
    let engine = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&engine]);
    let begun = tokio::time::Instant::now();
    let answer = gateway.send(request(&[("x-oatpier-model", "m1")])).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(begun.elapsed().as_secs() < 2);
    assert!(engine.requests().is_empty());
}
