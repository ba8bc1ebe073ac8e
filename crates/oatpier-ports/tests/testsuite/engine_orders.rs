//! Orders to an engine and its reports.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_ports::engine::{EngineControl, OrderError};
use oatpier_ports::http::HttpEngine;
use oatpier_types::engine::{EngineOrder, EngineRole, OrderAction};
use oatpier_types::ids::{Epoch, OrderNumber};

use crate::support::{FixedServer, LONG, closed_address, raw_server, silent_server};

fn order() -> EngineOrder {
    EngineOrder {
        number: OrderNumber {
            epoch: Epoch(3),
            sequence: 1,
        },
        action: OrderAction::SetRole {
            role: EngineRole::Prefill,
        },
    }
}

async fn give(address: SocketAddr, timeout: Duration) -> Result<(), OrderError> {
    HttpEngine::new(address, timeout).order(&order()).await
}

#[tokio::test]
async fn an_order_is_sent_as_json() {
    let server = FixedServer::start(202, &[], "").await;
    assert_eq!(give(server.address, LONG).await, Ok(()));
    let request = server.only_request();
    assert_eq!(request.line, "POST /orders");
    assert_eq!(
        serde_json::from_slice::<EngineOrder>(&request.body).unwrap(),
        order()
    );
}

/// An agent that was replaced while it was paused wakes up and orders under its old number. The
/// engine's refusal must reach it as final, with the number that won.
#[tokio::test]
async fn an_old_order_is_told_as_stale() {
    let body = r#"{"highest":{"epoch":4,"sequence":2}}"#;
    let server = FixedServer::start(409, &[], body).await;
    let highest = OrderNumber {
        epoch: Epoch(4),
        sequence: 2,
    };
    let stale = Err(OrderError::Stale { highest });
    assert_eq!(give(server.address, LONG).await, stale);
}

#[tokio::test]
async fn refused_orders_changed_nothing() {
    for status in [409, 422, 429, 503] {
        let server = FixedServer::start(status, &[], "no room").await;
        let refused = give(server.address, LONG).await;
        assert!(matches!(refused, Err(OrderError::Refused { .. })));
    }
    let unsent = give(closed_address().await, LONG).await;
    assert!(matches!(unsent, Err(OrderError::NotSent { .. })));
}

/// The engine takes a load order and its answer is lost. The load may go on, so its memory must
/// stay charged: "refused" here would let the agent fill the same memory twice.
#[tokio::test]
async fn an_order_without_an_answer_may_be_carried_out() {
    let short = Duration::from_millis(200);
    let broken = FixedServer::start(500, &[], "").await;
    let outcomes = [
        give(raw_server(b"").await, LONG).await,
        give(broken.address, LONG).await,
        give(silent_server().await, short).await,
    ];
    for outcome in outcomes {
        assert!(matches!(outcome, Err(OrderError::Unknown { .. })));
    }
}

#[tokio::test]
async fn reports_are_read() {
    let body = r#"{"held":[],"role":"decode","highest":null,"memory_mib":4096}"#;
    let server = FixedServer::start(200, &[], body).await;
    let state = HttpEngine::new(server.address, LONG).state().await.unwrap();
    assert_eq!((state.role, state.memory_mib), (EngineRole::Decode, 4096));
    let body = r#"{"running":3,"waiting":2,"waiting_tokens":90,"age_ms":400}"#;
    let server = FixedServer::start(200, &[], body).await;
    let load = HttpEngine::new(server.address, LONG).load().await.unwrap();
    assert_eq!((load.running, load.age_ms), (3, 400));
    let body = r#"[{"sequence":8,"block":77,"present":true}]"#;
    let server = FixedServer::start(200, &[], body).await;
    let engine = HttpEngine::new(server.address, LONG);
    let events = engine.cache_events(7).await.unwrap();
    assert_eq!(events[0].sequence, 8);
    assert_eq!(server.only_request().line, "GET /cache-events?after=7");
    assert!(engine.state().await.is_err());
}
