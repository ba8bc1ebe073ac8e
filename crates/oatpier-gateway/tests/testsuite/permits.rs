//! Tests of permits to send prompts to engines.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use oatpier_serving::capacity::host::HostPace;
use oatpier_serving::engine::HeldModel;
use oatpier_serving::message::{InnerMessage, PermitAsk, PermitGrant, RatedPermitAsk};
use oatpier_serving::site::RouteKind;
use oatpier_types::names::{EndpointName, ModelName};
use tokio::time::sleep;

use crate::support::{
    EndpointStep, STREAM_END, ScriptedEndpoint, TestGateway, request, status, stream_start,
};

const STREAM: RouteKind = RouteKind::Stream {
    resumable: false,
    pause: Duration::from_millis(300),
};

/// The number of prompts after which a gateway knows how long an engine takes to process one.
const PROMPTS_TO_LEARN: usize = 12;

fn prompt() -> Request<Bytes> {
    request(&[
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "4000,10"),
    ])
}

fn stream_responses(count: usize) -> Vec<EndpointStep> {
    let stream = stream_start(&["id: 1\ndata: 1\n\n"]) + STREAM_END;
    vec![EndpointStep::Answer(stream); count]
}

/// Creates a gateway that has sent an engine enough prompts to know how long they take. Every permit request is
/// granted at once.
async fn gateway_with_learned_times(engine: &ScriptedEndpoint) -> TestGateway {
    let gateway = TestGateway::with_endpoints(STREAM, 1, &[engine]);
    report_engine(&gateway, engine, 1);
    for _ in 0..PROMPTS_TO_LEARN {
        let sending = gateway.send(prompt());
        let granting = async {
            loop {
                sleep(Duration::from_millis(1)).await;
                grant_last(&gateway);
            }
        };
        tokio::select! {
            answer = sending => assert_eq!(answer.status(), StatusCode::OK),
            () = granting => {}
        }
    }
    gateway
}

fn report_engine(gateway: &TestGateway, engine: &ScriptedEndpoint, number: u64) {
    let held = HeldModel {
        model: ModelName::try_from("m1").unwrap(),
        adapters: Vec::new(),
    };
    gateway
        .core
        .apply_status(status(number, engine.address, vec![held]));
}

fn permit_requests(gateway: &TestGateway) -> Vec<PermitAsk> {
    let ask = |message: &InnerMessage| match message {
        InnerMessage::PermitAsk(ask) => Some(*ask),
        _ => None,
    };
    let sent = gateway.outlet.sent();
    sent.iter()
        .filter_map(|(_, message)| ask(message))
        .collect()
}

fn grant_last(gateway: &TestGateway) {
    if let Some(ask) = permit_requests(gateway).last() {
        gateway.core.apply_permit(PermitGrant { id: ask.id });
    }
}

/// Guards against prompts that are sent without a permit and interrupt the streams at the engine. The prompt is
/// sent only with a permit, which is returned after the prompt was processed. The permit request is repeated
/// meanwhile.
#[tokio::test]
async fn a_prompt_is_sent_with_a_permit_that_is_returned() {
    let engine = ScriptedEndpoint::start(stream_responses(PROMPTS_TO_LEARN + 1)).await;
    let gateway = gateway_with_learned_times(&engine).await;
    let before = permit_requests(&gateway).len();
    let sending = gateway.send(prompt());
    let granting = async {
        while permit_requests(&gateway).len() < before + 2 {
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(engine.requests().len(), PROMPTS_TO_LEARN);
        grant_last(&gateway);
    };
    let (answer, ()) = tokio::join!(sending, granting);
    assert_eq!(answer.status(), StatusCode::OK);
    let ask = permit_requests(&gateway)[before];
    assert!(ask.reading_us > 0);
    assert_eq!(ask.pause_ms, 300);
    assert_eq!(permit_requests(&gateway)[before + 1].id, ask.id);
    let done = InnerMessage::PermitDone(PermitGrant { id: ask.id });
    let is_returned = |row: &(std::net::SocketAddr, InnerMessage)| row.1 == done;
    assert!(gateway.outlet.sent().iter().any(is_returned));
}

/// Guards against requests that wait for a permit that cannot come. The sidecar no longer reports, because its VM
/// is cut off from the gateway or it is being restarted, so no permits are granted. The engine may be healthy: the
/// prompt is sent without one.
#[tokio::test]
async fn a_prompt_is_sent_without_a_permit_if_no_sidecar_reports() {
    let engine = ScriptedEndpoint::start(stream_responses(1)).await;
    let gateway = TestGateway::with_endpoints(STREAM, 1, &[&engine]);
    let mut listed = crate::support::record(1, engine.address);
    listed.models = vec![HeldModel {
        model: ModelName::try_from("m1").unwrap(),
        adapters: Vec::new(),
    }];
    gateway.core.apply_records(None, vec![listed]);
    let answer = gateway.send(prompt()).await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert!(permit_requests(&gateway).is_empty());
}

/// Guards against prompts that are sent together after a restart of all processes and delay each other and every
/// stream. The gateway does not know yet how long prompts take. It requests each permit as if the prompt took a
/// whole allowed pause, so that the sidecar lets them be processed one after the other.
#[tokio::test]
async fn a_gateway_that_has_just_started_requests_permits_for_whole_pauses() {
    let engine = ScriptedEndpoint::start(stream_responses(1)).await;
    let gateway = TestGateway::with_endpoints(STREAM, 1, &[&engine]);
    report_engine(&gateway, &engine, 1);
    let sending = gateway.send(prompt());
    let granting = async {
        while permit_requests(&gateway).is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        grant_last(&gateway);
    };
    let (answer, ()) = tokio::join!(sending, granting);
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(permit_requests(&gateway)[0].reading_us, 300_000);
}

/// Guards against permits granted to callers that have disconnected. The caller disconnects while its prompt waits
/// for a permit. The permit request is withdrawn at once, so that the next prompt need not wait until an unused
/// permit expires.
#[tokio::test]
async fn a_permit_request_is_withdrawn_when_its_caller_disconnects() {
    let engine = ScriptedEndpoint::start(stream_responses(1)).await;
    let gateway = TestGateway::with_endpoints(STREAM, 1, &[&engine]);
    report_engine(&gateway, &engine, 1);
    tokio::select! {
        _ = gateway.send(prompt()) => panic!("the prompt was sent without a permit"),
        () = sleep(Duration::from_millis(20)) => {}
    }
    let done = InnerMessage::PermitDone(PermitGrant {
        id: permit_requests(&gateway)[0].id,
    });
    assert!(gateway.outlet.sent().iter().any(|row| row.1 == done));
    assert!(engine.requests().is_empty());
}

/// Records that the engine's response reported a disturbance of its VM.
fn report_disturbance(gateway: &TestGateway) {
    let pace = HostPace::try_from(250).unwrap();
    let name = EndpointName::try_from("i-1").unwrap();
    gateway.core.record_host_pace(&name, pace);
}

fn rated_requests(gateway: &TestGateway) -> Vec<RatedPermitAsk> {
    let rated = |message: &InnerMessage| match message {
        InnerMessage::RatedPermitAsk(rated) => Some(*rated),
        _ => None,
    };
    let sent = gateway.outlet.sent();
    sent.iter()
        .filter_map(|(_, message)| rated(message))
        .collect()
}

/// Guards against requests that wait in vain after a sidecar was replaced by one of an earlier version. Where the VMs of
/// engines are disturbed, a sidecar is told what its engine will do for the request, and every other repetition is one
/// that each version knows.
#[tokio::test]
async fn a_sidecar_at_a_disturbed_service_is_told_the_work_of_the_prompt() {
    let engine = ScriptedEndpoint::start(stream_responses(1)).await;
    let gateway = TestGateway::with_endpoints(STREAM, 1, &[&engine]);
    report_engine(&gateway, &engine, 1);
    report_disturbance(&gateway);
    let hinted = request(&[
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "4000,300"),
        ("x-oatpier-length-hint", "120"),
    ]);
    let sending = gateway.send(hinted);
    let granting = async {
        while permit_requests(&gateway).is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        grant_last(&gateway);
    };
    let (answer, ()) = tokio::join!(sending, granting);
    assert_eq!(answer.status(), StatusCode::OK);
    let rated = rated_requests(&gateway)[0];
    assert_eq!((rated.prefill_tokens, rated.output_tokens), (4_000, 120));
    assert_eq!(rated.ask.id, permit_requests(&gateway)[0].id);
}

/// Guards against prompts that wait for a whole pause although the engine has all of their parts. No prefill is not an
/// unknown prefill.
#[tokio::test]
async fn a_cached_prompt_is_not_taken_for_an_unknown_one() {
    let engine = ScriptedEndpoint::start(stream_responses(PROMPTS_TO_LEARN + 2)).await;
    let gateway = gateway_with_learned_times(&engine).await;
    for _ in 0..2 {
        let cached = request(&[
            ("x-oatpier-model", "m1"),
            ("x-oatpier-token-usage", "800,10"),
            ("x-oatpier-prompt-prefix", "5c1e07a2:800"),
        ]);
        let before = permit_requests(&gateway).len();
        let sending = gateway.send(cached);
        let granting = async {
            while permit_requests(&gateway).len() == before {
                sleep(Duration::from_millis(1)).await;
            }
            grant_last(&gateway);
        };
        let (answer, ()) = tokio::join!(sending, granting);
        assert_eq!(answer.status(), StatusCode::OK);
    }
    let last = permit_requests(&gateway).last().copied().unwrap();
    assert!(last.reading_us < 1_000, "{}", last.reading_us);
}
