//! Tests of prompt parts that crash the endpoints that run requests with them.

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use oatpier_serving::call::PromptPartId;
use oatpier_serving::crashes::changes::CrashChange;
use oatpier_serving::crashes::prompt_parts::PartCrash;
use oatpier_serving::crashes::{CrashSite, RequestOrigin};
use oatpier_serving::message::InnerMessage;
use oatpier_types::names::{ClassName, EndpointName};

use crate::fragile::FragileFleet;
use crate::support::{
    EndpointStep, STREAM, STREAM_END, ScriptedEndpoint, TestGateway, request, stream_start,
};

/// The part that crashes endpoints.
const CRASHING_PART: &str = "bad1:40";

/// The number of crashes under a part before it must be recognized, and the number of sends allowed after that.
const CRASHES_ALLOWED: u32 = 5;
const SENDS_ALLOWED_AFTER: u32 = 3;

/// Returns whether a request contains the part that crashes endpoints.
fn is_crashing(request: &str) -> bool {
    request.contains(CRASHING_PART)
}

/// Returns the request with this number, with a body and a last part that no other request has.
fn numbered(number: u32, shared_parts: &str) -> Request<Bytes> {
    let mut request = request(&[]);
    let parts = format!("{shared_parts},e{number:x}:100");
    let headers = request.headers_mut();
    headers.insert(
        "x-oatpier-prompt-prefix",
        HeaderValue::from_str(&parts).unwrap(),
    );
    *request.body_mut() = Bytes::from(format!("text {number}"));
    request
}

/// Sends a request with the crashing part.
async fn send_crashing(fleet: &mut FragileFleet, number: u32) -> Response<Bytes> {
    let shared = format!("f1:500,{CRASHING_PART}");
    fleet.send(numbered(number, &shared)).await
}

/// Sends a request that shares all other parts.
async fn send_sound(fleet: &mut FragileFleet, number: u32) -> Response<Bytes> {
    fleet.send(numbered(number, "f1:500,c2:40")).await
}

/// Guards against a prompt part that crashes endpoint after endpoint under requests that are otherwise different. If
/// the gateway identified a request by its whole content, each of them would be new: of twenty requests with the part,
/// all would reach and crash an endpoint. Requests without the part are served throughout.
#[tokio::test]
async fn a_part_that_crashed_five_endpoints_reaches_at_most_three_more() {
    let mut fleet = FragileFleet::start(is_crashing).await;
    for number in 0..20 {
        let sound = send_sound(&mut fleet, 100 + number).await;
        assert_eq!(sound.status(), StatusCode::OK, "sound request {number}");
        send_crashing(&mut fleet, number).await;
    }
    assert!(
        fleet.reached <= CRASHES_ALLOWED + SENDS_ALLOWED_AFTER,
        "{} sends reached endpoints",
        fleet.reached
    );
}

/// Returns the records of two successive crashes under the part.
fn crashes() -> Vec<PartCrash> {
    let crash = |generation: u32| PartCrash {
        part: PromptPartId(0xbad1),
        generation,
        is_trial: false,
        origin: RequestOrigin {
            host: "a.example".into(),
            workspace: None,
            route: ClassName::try_from("draft").unwrap(),
        },
        site: CrashSite {
            endpoint: EndpointName::try_from(format!("i-{generation}").as_str()).unwrap(),
            started_ms: None,
        },
        seen_ms: 1_700_000_000_000,
    };
    vec![crash(1), crash(2)]
}

/// Sends a request with the part and one without it, and checks that only the second one reaches an endpoint.
async fn check_barred(fleet: &mut FragileFleet) {
    let refused = send_crashing(fleet, 1).await;
    assert_eq!(refused.status(), StatusCode::INTERNAL_SERVER_ERROR);
    assert!(refused.body().starts_with(b"part-barred"));
    assert_eq!(fleet.reached, 0);
    let served = send_sound(fleet, 2).await;
    assert_eq!(served.status(), StatusCode::OK);
}

/// Guards against a part that is barred at one gateway only and crashes endpoints through each of the others.
#[tokio::test]
async fn a_part_that_other_gateways_report_is_barred() {
    let mut fleet = FragileFleet::start(is_crashing).await;
    fleet.gateway.core.apply_part_crashes(&crashes());
    check_barred(&mut fleet).await;
}

/// Guards against a part that crashes endpoints anew through each gateway that has lost its state.
#[tokio::test]
async fn a_part_that_the_store_lists_is_barred() {
    let mut fleet = FragileFleet::start(is_crashing).await;
    let core = &fleet.gateway.core;
    core.apply_stored_part_crashes(&crashes(), false);
    check_barred(&mut fleet).await;
    fleet.gateway.core.apply_stored_part_crashes(&[], false);
    send_crashing(&mut fleet, 3).await;
    assert_eq!(fleet.reached, 1, "the bar was lifted");
}

/// Returns the parts in all reports of crashes that the gateway has sent.
fn reported_parts(gateway: &TestGateway) -> Vec<PromptPartId> {
    let sent = gateway.outlet.sent().into_iter();
    let crashes = sent.filter_map(|(_, message)| match message {
        InnerMessage::PartCrashesSeen(crashes) => Some(crashes),
        _ => None,
    });
    crashes.flatten().map(|crash| crash.part).collect()
}

/// Guards against crashes that only the gateway that saw them knows of: they are reported to the others and written to the
/// store. The parts that sound requests have, too, are not.
#[tokio::test]
async fn a_crash_is_reported_and_stored_for_its_part_alone() {
    let mut fleet = FragileFleet::start(is_crashing).await;
    let other = "10.0.0.9:7000".parse().unwrap();
    fleet.gateway.meet_gateways(&[other]);
    send_sound(&mut fleet, 1).await;
    send_crashing(&mut fleet, 2).await;
    send_sound(&mut fleet, 3).await;
    tokio::time::sleep(std::time::Duration::from_millis(250)).await;
    send_sound(&mut fleet, 4).await;
    fleet.register();
    let part = PromptPartId(0xbad1);
    assert_eq!(reported_parts(&fleet.gateway), [part]);
    let changes = std::iter::from_fn(|| fleet.gateway.crash_changes.try_receive());
    let stored: Vec<PromptPartId> = changes
        .filter_map(|change| match change {
            CrashChange::PutPart(crash) => Some(crash.part),
            _ => None,
        })
        .collect();
    assert_eq!(stored, [part]);
}

/// Guards against a suspected part that is cleared by an endpoint that ended as it began to respond: a response that ends
/// with its connection looks the same.
#[tokio::test]
async fn a_response_that_ends_with_its_connection_at_its_beginning_clears_no_part() {
    let framed = stream_start(&["data: 1\n\n"]) + STREAM_END;
    let unframed = stream_start(&[]).replace("transfer-encoding: chunked\r\n", "") + "data: 1\n\n";
    for (answer, cleared) in [(unframed, 0), (framed, 1)] {
        let endpoint = ScriptedEndpoint::start(vec![EndpointStep::AnswerAndClose(answer)]).await;
        let gateway = TestGateway::with_endpoints(STREAM, 1, &[&endpoint]);
        gateway.meet_gateways(&["10.0.0.9:7000".parse().unwrap()]);
        gateway.core.apply_part_crashes(&crashes()[..1]);
        let shared = format!("f1:500,{CRASHING_PART}");
        let reply = gateway.send(numbered(1, &shared)).await;
        assert_eq!(reply.status(), StatusCode::OK);
        let sent = gateway.outlet.sent().into_iter();
        let answered =
            sent.filter(|(_, message)| matches!(message, InnerMessage::PartsAnswered(_)));
        assert_eq!(answered.count(), cleared);
    }
}
