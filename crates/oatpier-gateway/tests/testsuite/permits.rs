//! Permits to send an engine a prompt.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use oatpier_serving::engine::HeldModel;
use oatpier_serving::message::{InnerMessage, PermitAsk, PermitGrant};
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

/// Prompts after which a gateway knows how long one takes to be read.
const LEARNED_AFTER: usize = 12;

fn prompt() -> Request<Bytes> {
    request(&[
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "4000,10"),
    ])
}

fn answers(count: usize) -> Vec<EndpointStep> {
    let stream = stream_start(&["id: 1\ndata: 1\n\n"]) + STREAM_END;
    vec![EndpointStep::Answer(stream); count]
}

/// A gateway that has sent an engine enough prompts, without permits, to know how long they take.
async fn learned(engine: &ScriptedEndpoint) -> TestGateway {
    let gateway = TestGateway::before(STREAM, 1, &[engine]);
    hear(&gateway, engine, 1);
    for _ in 0..LEARNED_AFTER {
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

fn hear(gateway: &TestGateway, engine: &ScriptedEndpoint, number: u64) {
    let held = HeldModel {
        model: ModelName::try_from("m1").unwrap(),
        adapters: Vec::new(),
    };
    gateway
        .core
        .take_pulse(pulse(number, engine.address, vec![held]));
}

fn asks(gateway: &TestGateway) -> Vec<PermitAsk> {
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
    if let Some(ask) = asks(gateway).last() {
        gateway.core.take_permit(PermitGrant { id: ask.id });
    }
}

/// The caller sees a later first piece, and streams at the engine go on without a pause: the prompt is
/// sent only with a permit, which is given back once it was read. The ask is repeated meanwhile.
#[tokio::test]
async fn a_prompt_is_sent_with_a_permit_that_is_given_back() {
    let engine = ScriptedEndpoint::start(answers(LEARNED_AFTER + 1)).await;
    let gateway = learned(&engine).await;
    let before = asks(&gateway).len();
    let sending = gateway.send(prompt());
    let granting = async {
        while asks(&gateway).len() < before + 2 {
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(engine.requests().len(), LEARNED_AFTER);
        grant_last(&gateway);
    };
    let (answer, ()) = tokio::join!(sending, granting);
    assert_eq!(answer.status(), StatusCode::OK);
    let ask = asks(&gateway)[before];
    assert!(ask.reading_us > 0);
    assert_eq!(ask.pause_ms, 300);
    assert_eq!(asks(&gateway)[before + 1].id, ask.id);
    let done = InnerMessage::PermitDone(PermitGrant { id: ask.id });
    let given_back = |row: &(std::net::SocketAddr, InnerMessage)| row.1 == done;
    assert!(gateway.outlet.sent().iter().any(given_back));
}

/// The sidecar is not heard any more: its VM is cut off from the gateway, or it is being restarted. There is
/// nobody to give permits, and the engine may be well: the prompt is sent without one.
#[tokio::test]
async fn a_prompt_goes_without_a_permit_where_nobody_gives_one() {
    let engine = ScriptedEndpoint::start(answers(1)).await;
    let gateway = TestGateway::before(STREAM, 1, &[&engine]);
    let mut listed = crate::support::record(1, engine.address);
    listed.models = vec![HeldModel {
        model: ModelName::try_from("m1").unwrap(),
        adapters: Vec::new(),
    }];
    gateway.core.take_records(None, vec![listed]);
    let answer = gateway.send(prompt()).await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert!(asks(&gateway).is_empty());
}

/// All processes were killed, and callers come back together. The gateway does not know how long prompts take;
/// sent at once they would hold up each other and every stream. Each is asked for as if it took a whole
/// pause, so that the sidecar lets them be read one after the other.
#[tokio::test]
async fn a_gateway_that_has_just_started_asks_for_one_prompt_after_the_other() {
    let engine = ScriptedEndpoint::start(answers(1)).await;
    let gateway = TestGateway::before(STREAM, 1, &[&engine]);
    hear(&gateway, &engine, 1);
    let sending = gateway.send(prompt());
    let granting = async {
        while asks(&gateway).is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        grant_last(&gateway);
    };
    let (answer, ()) = tokio::join!(sending, granting);
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(asks(&gateway)[0].reading_us, 300_000);
}

/// A caller leaves while its prompt waits for a permit. The ask is withdrawn at once, so that the next
/// prompt need not wait until a permit for nobody lapses.
#[tokio::test]
async fn an_ask_is_withdrawn_when_its_caller_leaves() {
    let engine = ScriptedEndpoint::start(answers(1)).await;
    let gateway = TestGateway::before(STREAM, 1, &[&engine]);
    hear(&gateway, &engine, 1);
    tokio::select! {
        _ = gateway.send(prompt()) => panic!("nobody gave a permit"),
        () = sleep(Duration::from_millis(20)) => {}
    }
    let done = InnerMessage::PermitDone(PermitGrant {
        id: asks(&gateway)[0].id,
    });
    assert!(gateway.outlet.sent().iter().any(|row| row.1 == done));
    assert!(engine.requests().is_empty());
}
