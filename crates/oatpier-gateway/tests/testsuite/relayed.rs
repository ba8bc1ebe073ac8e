//! What a gateway hears of engines through relays.

use std::time::Duration;

use http::StatusCode;
use oatpier_serving::engine::{EndpointLoad, HeldModel};
use oatpier_serving::message::{EngineWord, InnerMessage, LoadPulse, MessageNumber, PermitGrant};
use oatpier_serving::site::RouteKind;
use oatpier_types::names::ModelName;
use tokio::time::sleep;

use crate::support::{
    EndpointStep, STREAM_END, ScriptedEndpoint, TestGateway, pulse, request, stream_start,
};

const STREAM: RouteKind = RouteKind::Stream {
    resumable: false,
    pause: Duration::from_millis(300),
};

fn word(engine: &ScriptedEndpoint, number: u64, model: &str) -> EngineWord {
    let held = HeldModel {
        model: ModelName::try_from(model).unwrap(),
        adapters: Vec::new(),
    };
    EngineWord::Pulse(Box::new(pulse(number, engine.address, vec![held])))
}

fn load(engine: &ScriptedEndpoint, number: u64, running: u32) -> EngineWord {
    EngineWord::Load(LoadPulse {
        number: MessageNumber { boot: 1, number },
        engine: engine.address,
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

/// The gateway is no relay of any sidecar. It knows an engine by what another gateway of its zone passed on, asks
/// that engine's sidecar for a permit, and its caller is served.
#[tokio::test]
async fn a_request_is_served_by_an_engine_that_only_relays_tell_of() {
    let stream = stream_start(&["id: 1\ndata: 1\n\n"]) + STREAM_END;
    let engine = ScriptedEndpoint::start(vec![EndpointStep::Answer(stream)]).await;
    let gateway = TestGateway::before(STREAM, 1, &[&engine]);
    let words = vec![word(&engine, 1, "m1"), load(&engine, 2, 3)];
    gateway.core.take_relayed(words);
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
                gateway.core.take_permit(PermitGrant { id: ask.id });
            }
        }
    };
    let answer = tokio::select! {
        answer = sending => answer,
        () = granting => unreachable!("it goes on for ever"),
    };
    assert_eq!(answer.status(), StatusCode::OK);
}

/// Every engine is full when a request comes. It waits at the sidecar of the best one and not at its gateway, and
/// the sidecar is told how many slots there are and how urgent it is.
#[tokio::test]
async fn a_request_that_finds_no_slot_waits_at_the_sidecar() {
    let engine = ScriptedEndpoint::start(Vec::new()).await;
    let gateway = TestGateway::before(STREAM, 1, &[&engine]);
    let words = vec![word(&engine, 1, "m1"), load(&engine, 2, 10)];
    gateway.core.take_relayed(words);
    let sending = gateway.send(request(&[
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "400,10"),
    ]));
    tokio::select! {
        _ = sending => panic!("nobody gave a permit"),
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
