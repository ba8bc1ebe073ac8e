//! Tests of refusals by the forecast of a request's wait.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use oatpier_serving::capacity::EnginePace;
use oatpier_serving::engine::HeldModel;
use oatpier_serving::message::{
    EngineStatus, EngineUpdate, InnerMessage, MessageNumber, PaceStatus,
};
use oatpier_serving::site::RouteKind;
use oatpier_types::names::ModelName;
use tokio::time::{sleep, timeout};

use crate::support::{ScriptedEndpoint, TestGateway, request, status};

const STREAM: RouteKind = RouteKind::Stream {
    resumable: false,
    pause: Duration::from_millis(300),
};

/// Rate of permits that the sidecar reports, per second.
const PERMITS_PER_S: u32 = 10;

fn prompt(number: u32) -> Request<Bytes> {
    let mut prompt = request(&[
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "4000,10"),
    ]);
    *prompt.body_mut() = Bytes::from(number.to_string());
    prompt
}

/// Reports that `waiting` requests wait for permits at an engine.
fn report_queue(gateway: &TestGateway, engine: &ScriptedEndpoint, number: u64, waiting: u32) {
    let held = HeldModel {
        model: ModelName::try_from("m1").unwrap(),
        adapters: Vec::new(),
    };
    gateway.core.apply_status(EngineStatus {
        permits_waiting: waiting,
        ..status(number, engine.address, vec![held])
    });
}

fn report_pace(gateway: &TestGateway, engine: &ScriptedEndpoint) {
    let pace = EnginePace {
        permits_per_ks: PERMITS_PER_S * 1_000,
        ..EnginePace::default()
    };
    gateway
        .core
        .apply_relayed(vec![EngineUpdate::Pace(PaceStatus {
            number: MessageNumber { boot: 1, number: 1 },
            engine: engine.address,
            start: None,
            pace,
        })]);
}

fn retry_after(answer: &Response<Bytes>) -> f64 {
    let value = answer.headers().get("retry-after").unwrap();
    value.to_str().unwrap().parse().unwrap()
}

fn has_asked_for_permit(gateway: &TestGateway) -> bool {
    let sent = gateway.outlet.sent();
    sent.iter()
        .any(|(_, message)| matches!(message, InnerMessage::PermitAsk(_)))
}

/// Guards against callers who wait for most of their patience and are then refused, although the queue showed on
/// their arrival that they would. A twentieth of them may wait as probes.
#[tokio::test]
async fn a_request_without_a_chance_is_refused_at_once_and_told_when_to_return() {
    let engine = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = TestGateway::with_endpoints(STREAM, 1, &[&engine]);
    report_queue(&gateway, &engine, 1, 500);
    report_pace(&gateway, &engine);
    let mut refused = Vec::new();
    for number in 0..20 {
        let sending = gateway.send(prompt(number));
        if let Ok(answer) = timeout(Duration::from_millis(200), sending).await {
            refused.push(answer);
        }
    }
    assert!(refused.len() >= 10, "{}", refused.len());
    let is_refusal = |answer: &Response<Bytes>| answer.status() == StatusCode::SERVICE_UNAVAILABLE;
    assert!(refused.iter().all(is_refusal));
    assert!(refused.iter().all(|answer| retry_after(answer) > 0.05));
    assert!(engine.requests().is_empty());
    let metrics = gateway.core.metrics.encode();
    assert!(
        metrics.contains("room_refusals_total{cause=\"arrival\"}"),
        "{metrics}"
    );
}

/// Guards against refusals where sidecars of an earlier version report no pace.
#[tokio::test]
async fn a_request_waits_for_its_permit_where_no_pace_is_known() {
    let engine = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = TestGateway::with_endpoints(STREAM, 1, &[&engine]);
    report_queue(&gateway, &engine, 1, 500);
    let waiting = timeout(Duration::from_millis(50), gateway.send(prompt(1))).await;
    assert!(waiting.is_err());
    assert!(has_asked_for_permit(&gateway));
}

/// Guards against a late request that waits on behind a queue that is served before it.
#[tokio::test]
async fn a_request_that_has_become_late_is_refused_when_the_queue_grows() {
    let engine = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = TestGateway::with_endpoints(STREAM, 1, &[&engine]);
    report_queue(&gateway, &engine, 1, 0);
    report_pace(&gateway, &engine);
    let growing = async {
        for number in 2.. {
            sleep(Duration::from_millis(20)).await;
            report_queue(&gateway, &engine, number, 500);
        }
    };
    let answer = tokio::select! {
        answer = gateway.send(prompt(1)) => answer,
        () = growing => unreachable!("the reports do not end"),
    };
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(has_asked_for_permit(&gateway));
    let metrics = gateway.core.metrics.encode();
    assert!(
        metrics.contains("room_refusals_total{cause=\"late\"} 1"),
        "{metrics}"
    );
}
