//! Engine updates that reach a gateway through relays.

use std::time::Duration;

use http::StatusCode;
use oatpier_serving::engine::{EndpointLoad, HeldModel};
use oatpier_serving::message::{
    EngineUpdate, InnerMessage, LoadStatus, MessageNumber, PermitGrant,
};
use oatpier_serving::site::RouteKind;
use oatpier_types::names::ModelName;
use tokio::time::sleep;

use crate::support::{
    EndpointStep, STREAM_END, ScriptedEndpoint, TestGateway, request, status, stream_start,
};

const STREAM: RouteKind = RouteKind::Stream {
    resumable: false,
    pause: Duration::from_millis(300),
};

fn full_update(engine: &ScriptedEndpoint, number: u64, model: &str) -> EngineUpdate {
    let held = HeldModel {
        model: ModelName::try_from(model).unwrap(),
        adapters: Vec::new(),
    };
    EngineUpdate::Status(Box::new(status(number, engine.address, vec![held])))
}

fn load_update(engine: &ScriptedEndpoint, number: u64, running: u32) -> EngineUpdate {
    EngineUpdate::Load(LoadStatus {
        number: MessageNumber { boot: 1, number },
        engine: engine.address,
        answers: true,
        load: EndpointLoad {
            running,
            waiting: 0,
        },
        memory_used: 0,
        load_wait_ms: 0,
        permit_wait_ms: 0,
        permits_waiting: 0,
        failing_percent: 0,
    })
}

/// The gateway is not a relay of any sidecar. It knows an engine only by updates that another gateway of its
/// availability zone forwarded. It still gets a permit from the engine's sidecar and serves its caller.
#[tokio::test]
async fn a_request_is_served_by_an_engine_known_only_through_relays() {
    let stream = stream_start(&["id: 1\ndata: 1\n\n"]) + STREAM_END;
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = TestGateway::with_endpoints(STREAM, 1, &[&engine]);
    let updates = vec![full_update(&engine, 1, "m1"), load_update(&engine, 2, 3)];
    gateway.core.apply_relayed(updates);
    let sending = gateway.send(request(&[
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "400,10"),
    ]));
    let granting = async {
        loop {
            sleep(Duration::from_millis(1)).await;
            let sent = gateway.outlet.sent();
            let ask = sent.iter().find_map(|(_, message)| match message {
                InnerMessage::PermitAsk(ask) => Some(*ask),
                _ => None,
            });
            if let Some(ask) = ask {
                gateway.core.apply_permit(PermitGrant { id: ask.id });
            }
        }
    };
    let answer = tokio::select! {
        answer = sending => answer,
        () = granting => unreachable!("permits are granted without end"),
    };
    assert_eq!(answer.status(), StatusCode::OK);
}

/// All engines are full when a request arrives. The request waits at the sidecar of the best engine and not at the
/// gateway. The permit request states the number of slots and the urgency.
#[tokio::test]
async fn a_request_that_finds_no_slot_waits_at_the_sidecar() {
    let engine = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = TestGateway::with_endpoints(STREAM, 1, &[&engine]);
    let updates = vec![full_update(&engine, 1, "m1"), load_update(&engine, 2, 10)];
    gateway.core.apply_relayed(updates);
    let sending = gateway.send(request(&[
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "400,10"),
    ]));
    tokio::select! {
        _ = sending => panic!("no permit was granted"),
        () = sleep(Duration::from_millis(40)) => {}
    }
    let sent = gateway.outlet.sent();
    let ask = sent.iter().find_map(|(_, message)| match message {
        InnerMessage::PermitAsk(ask) => Some(*ask),
        _ => None,
    });
    let ask = ask.expect("the sidecar is asked");
    assert_eq!(ask.slots, 10);
    assert_eq!(ask.priority, 0);
    assert!(engine.requests().is_empty());
}
