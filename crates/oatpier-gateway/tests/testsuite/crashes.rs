//! Tests of requests that crash the endpoints that run them.

use bytes::Bytes;
use http::{Request, StatusCode};
use oatpier_serving::crashes::CrashRecord;
use oatpier_serving::crashes::changes::CrashChange;
use oatpier_serving::directory::EndpointRecord;
use oatpier_serving::fingerprint::{RequestContent, RequestFingerprint};
use oatpier_serving::message::EngineStatus;
use oatpier_serving::site::RouteKind;

use crate::fragile::FragileFleet;
use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, endpoint_response, record, request, status,
};

/// The body that crashes an endpoint.
const CRASHING: &str = "crash";

/// The number of crashes before the request must be recognized, and the number of sends allowed after that.
const CRASHES_ALLOWED: u32 = 3;
const SENDS_ALLOWED_AFTER: u32 = 3;

/// Returns whether a request has the body that crashes endpoints.
fn is_crashing(request: &str) -> bool {
    request.ends_with(CRASHING)
}

fn crashing_request(id: &'static str) -> Request<Bytes> {
    let mut request = request(&[]);
    request
        .headers_mut()
        .insert("x-oatpier-request-id", http::HeaderValue::from_static(id));
    *request.body_mut() = Bytes::from_static(CRASHING.as_bytes());
    request
}

/// Guards against one request that crashes endpoint after endpoint while its caller sends it again under new ids.
/// If the gateway counted each crash only against the endpoint, every repetition would go to an endpoint that is
/// still healthy: of twelve repetitions under twelve ids, all would reach and crash one.
#[tokio::test]
async fn a_request_that_crashed_three_endpoints_reaches_at_most_three_more() {
    let mut fleet = FragileFleet::start(is_crashing).await;
    let ids = [
        "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9", "b1", "b2", "b3",
    ];
    for id in ids {
        fleet.send(crashing_request(id)).await;
    }
    assert!(
        fleet.reached <= CRASHES_ALLOWED + SENDS_ALLOWED_AFTER,
        "{} sends reached endpoints",
        fleet.reached
    );
}

fn queued_crashes(gateway: &TestGateway) -> Vec<CrashRecord> {
    std::iter::from_fn(|| gateway.crash_changes.try_receive())
        .filter_map(|change| match change {
            CrashChange::Put(record) => Some(record),
            _ => None,
        })
        .collect()
}

/// Creates a fleet whose gateway has seen one request crash three endpoints.
async fn fleet_with_barred_request() -> FragileFleet {
    let mut fleet = FragileFleet::start(is_crashing).await;
    for id in ["a1", "a2", "a3"] {
        fleet.send(crashing_request(id)).await;
    }
    fleet
}

/// Guards against callers that are asked to retry a request that crashes endpoints, as a 503 would do. After three
/// crashes the caller gets a final response at once, and the current endpoint keeps serving other requests.
#[tokio::test]
async fn a_barred_request_gets_a_final_answer_at_once() {
    let mut fleet = fleet_with_barred_request().await;
    let answer = fleet.send(crashing_request("a4")).await;
    assert_eq!(answer.status(), StatusCode::INTERNAL_SERVER_ERROR);
    assert!(!answer.headers().contains_key("retry-after"));
    assert_eq!(fleet.reached, CRASHES_ALLOWED);
    assert_eq!(fleet.send(request(&[])).await.status(), StatusCode::OK);
}

/// Guards against barred requests that are repeated at another gateway, either one that was informed by the others,
/// or one that has just started and only read the store. Neither forwards the request.
#[tokio::test]
async fn a_request_is_barred_at_gateways_that_never_saw_it() {
    let fleet = fleet_with_barred_request().await;
    let crashes = queued_crashes(&fleet.gateway);
    assert_eq!(crashes.len(), 3);
    let informed = FragileFleet::start(is_crashing).await;
    informed.gateway.core.apply_crashes(&crashes);
    let started = FragileFleet::start(is_crashing).await;
    started.gateway.core.apply_stored_crashes(&crashes, false);
    for mut fleet in [informed, started] {
        let answer = fleet.send(crashing_request("b1")).await;
        assert_eq!(answer.status(), StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(fleet.reached, 0);
    }
}

/// An operator lifts the bar, or the planner expires an old suspicion, so the store no longer lists the crashes.
/// The request is sent again.
#[tokio::test]
async fn a_request_that_the_store_no_longer_lists_is_sent_again() {
    let mut fleet = fleet_with_barred_request().await;
    let crashes = queued_crashes(&fleet.gateway);
    fleet.gateway.core.apply_stored_crashes(&crashes, false);
    fleet.gateway.core.apply_stored_crashes(&[], false);
    fleet.send(crashing_request("a4")).await;
    assert_eq!(fleet.reached, CRASHES_ALLOWED + 1);
}

/// Guards against requests that stay suspect without a reason. The request was at two endpoints that crashed for
/// another reason, and its caller sends it again. When it completes, its suspicion is removed, both here and in the
/// store.
#[tokio::test]
async fn a_request_that_completes_is_no_longer_suspect() {
    let mut fleet = fleet_with_barred_request().await;
    let mut crashes = queued_crashes(&fleet.gateway);
    crashes.truncate(2);
    let unrelated = RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: "a.example",
        path: "/draft/7?x=1",
        body: b"hello",
    });
    for crash in &mut crashes {
        crash.fingerprint = unrelated;
    }
    fleet.gateway.core.apply_stored_crashes(&crashes, false);
    assert_eq!(fleet.send(request(&[])).await.status(), StatusCode::OK);
    let removed: Vec<CrashChange> =
        std::iter::from_fn(|| fleet.gateway.crash_changes.try_receive()).collect();
    let expected: Vec<CrashChange> = crashes.into_iter().map(CrashChange::Remove).collect();
    assert_eq!(removed, expected);
}

/// Guards against suspicions caused by an endpoint that sends invalid responses, or by a link that resets
/// connections. Requests are cut off, but their endpoint keeps running, so they do not become suspect however often
/// it happens.
#[tokio::test]
async fn a_request_that_is_cut_off_at_a_running_endpoint_is_not_suspect() {
    let complete = || EndpointStep::Answer(endpoint_response("200 OK", "world"));
    let steps = (0..8).flat_map(|_| [EndpointStep::Close, complete()]);
    let endpoint = ScriptedEndpoint::start(steps.collect()).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    for _ in 0..8 {
        let cut = gateway.send(crashing_request("a1")).await;
        assert_eq!(cut.status(), StatusCode::BAD_GATEWAY);
        let other = gateway.send(request(&[])).await;
        assert_eq!(other.status(), StatusCode::OK);
    }
    assert!(queued_crashes(&gateway).is_empty());
}

/// The sidecar reports the loss of its engine three seconds before the registry removes the engine. The crash must
/// count at once: a request that is repeated within these seconds would crash two or three more engines.
#[tokio::test]
async fn a_crash_counts_as_soon_as_the_sidecar_reports_it() {
    let fleet = FragileFleet::start(is_crashing).await;
    let core = &fleet.gateway.core;
    let engine = fleet.address();
    core.apply_status(status(1, engine, Vec::new()));
    fleet.gateway.send(crashing_request("a1")).await;
    assert!(queued_crashes(&fleet.gateway).is_empty());
    core.apply_status(EngineStatus {
        answers: false,
        ..status(2, engine, Vec::new())
    });
    assert_eq!(queued_crashes(&fleet.gateway).len(), 1);
}

/// An endpoint that is removed at short notice ends while it runs requests. The requests did not cause it and do
/// not become suspect.
#[tokio::test]
async fn the_end_of_a_leaving_endpoint_makes_no_request_suspect() {
    let silent = ScriptedEndpoint::start(vec![EndpointStep::Silence]).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&silent]);
    let leaving = EndpointRecord {
        draining: true,
        ..record(1, silent.address)
    };
    let reply = gateway.send(crashing_request("a1"));
    let leave = async {
        while silent.requests().is_empty() {
            tokio::task::yield_now().await;
        }
        gateway.core.apply_records(None, vec![leaving]);
        silent.end();
    };
    let (answer, ()) = tokio::join!(reply, leave);
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    gateway.core.apply_records(None, Vec::new());
    assert!(queued_crashes(&gateway).is_empty());
}
