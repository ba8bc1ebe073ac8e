//! Tests of requests in a gateway that is being stopped.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use oatpier_duty::duty::{StopPhase, StopSignal};
use oatpier_gateway::gateway::stopping::stop_requests;
use oatpier_serving::engine::{EndpointLoad, HeldModel};
use oatpier_serving::message::EngineStatus;
use oatpier_serving::site::RouteKind;
use oatpier_types::names::ModelName;
use tokio::time::{Instant, sleep};

use crate::support::{
    EndpointStep, RESUMABLE_STREAM, STREAM, ScriptedEndpoint, TestGateway, request, status,
};

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

/// Stops a gateway while an endpoint works on a request, and returns the answer and the time from the stop to it.
async fn stop_while_sent(kind: RouteKind) -> (Response<Bytes>, Duration) {
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Silence]).await;
    let gateway = TestGateway::with_endpoints(kind, 1, &[&engine]);
    let stop = StopSignal::default();
    let sending = gateway.send(request(&[]));
    let stopping = async {
        while engine.requests().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        stop.advance(StopPhase::Draining);
        Instant::now()
    };
    let answering = async { tokio::join!(sending, stopping) };
    tokio::select! {
        () = stop_requests(&gateway.core, &stop) => unreachable!("the stop goes on until the process ends"),
        (answer, stopped_at) = answering => (answer, stopped_at.elapsed()),
    }
}

/// Guards against a connection that is closed without a response when a stopped process is killed, while an endpoint still
/// works on its request. The caller could not tell that from a request that was never read.
#[tokio::test(start_paused = true)]
async fn a_request_at_an_endpoint_is_answered_before_the_process_is_killed() {
    for kind in [RouteKind::Unsafe, RouteKind::Safe, STREAM, RESUMABLE_STREAM] {
        let (answer, after) = stop_while_sent(kind).await;
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "{kind:?}");
        assert_eq!(answer.body().as_ref(), b"stopped\n");
        assert!(!answer.headers().contains_key("retry-after"));
        assert!(after < GRACE, "{kind:?}: answered {after:?} after the stop");
        // Until then the endpoint may still respond.
        assert!(
            after > GRACE * 5 / 6,
            "{kind:?}: answered {after:?} after the stop"
        );
    }
}
