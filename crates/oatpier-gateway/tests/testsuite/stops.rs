//! Tests of requests that wait in a gateway that is being stopped.

use std::time::Duration;

use http::StatusCode;
use oatpier_serving::engine::{EndpointLoad, HeldModel};
use oatpier_serving::message::EngineStatus;
use oatpier_serving::site::RouteKind;
use oatpier_types::names::ModelName;
use tokio::time::{Instant, sleep};

use crate::support::{ScriptedEndpoint, TestGateway, request, status};

/// The time until a stopped process is killed, in the settings of the tests.
const GRACE: Duration = Duration::from_secs(8);

fn model(name: &str) -> ModelName {
    ModelName::try_from(name).unwrap()
}

fn held(name: &str) -> HeldModel {
    HeldModel {
        model: model(name),
        adapters: Vec::new(),
    }
}

/// Sends a request for `weights` that must wait at the gateway, and closes the gateway meanwhile.
async fn close_while_waiting(status: impl Fn(&ScriptedEndpoint) -> EngineStatus, weights: &str) {
    let engine = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&engine]);
    gateway.core.apply_status(status(&engine));
    let weights: &'static str = weights.to_owned().leak();
    let sending = gateway.send(request(&[("x-oatpier-model", weights)]));
    let closing = async {
        sleep(Duration::from_millis(50)).await;
        gateway.core.close();
        Instant::now()
    };
    let (answer, closed_at) = tokio::join!(sending, closing);
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(answer.body().as_ref(), b"leaving\n");
    assert!(closed_at.elapsed() < GRACE / 8);
    assert!(engine.requests().is_empty(), "a refused request was sent");
}

/// Guards against connections that are closed without a response. The request waits for a model that an engine is
/// loading, the gateway gets SIGTERM, and the process is killed while the request still waits.
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_for_its_model_is_refused_before_the_process_ends() {
    let loading = |engine: &ScriptedEndpoint| EngineStatus {
        loading: Some(model("m1")),
        ..status(1, engine.address, vec![held("m2")])
    };
    close_while_waiting(loading, "m1").await;
}

/// As above with a request that waits for an adapter, because the engine's sidecar does not respond.
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_for_its_adapter_is_refused_before_the_process_ends() {
    let without = |engine: &ScriptedEndpoint| status(1, engine.address, vec![held("m1")]);
    close_while_waiting(without, "m1/a1").await;
}

/// As above with a request that waits for a slot, because all slots of the engine are taken.
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_for_a_slot_is_refused_before_the_process_ends() {
    let full = |engine: &ScriptedEndpoint| EngineStatus {
        load: EndpointLoad {
            running: 12,
            waiting: 0,
        },
        ..status(1, engine.address, vec![held("m1")])
    };
    close_while_waiting(full, "m1").await;
}
