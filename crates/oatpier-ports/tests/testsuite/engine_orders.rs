//! Orders to an engine, and its reports.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_ports::engine::{EngineControl, OrderError};
use oatpier_ports::http::HttpEngine;
use oatpier_types::engine::{EngineOrder, EngineRole, OrderAction};
use oatpier_types::ids::{Epoch, OrderNumber};

use crate::support::{FixedServer, LONG_TIMEOUT, closed_address, raw_server, silent_server};

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

async fn send_order(address: SocketAddr, timeout: Duration) -> Result<(), OrderError> {
    HttpEngine::new(address, timeout).order(&order()).await
}

#[tokio::test]
async fn order_is_sent_as_json() {
    let server = FixedServer::start(202, &[], "").await;
    assert_eq!(send_order(server.address, LONG_TIMEOUT).await, Ok(()));
    let request = server.only_request();
    assert_eq!(request.line, "POST /orders");
    assert_eq!(
        serde_json::from_slice::<EngineOrder>(&request.body).unwrap(),
        order()
    );
}

/// An agent that was replaced while it was paused resumes and sends an order with its old number.
/// The engine's refusal must be reported as final, with the highest number.
#[tokio::test]
async fn outdated_order_is_reported_as_stale() {
    let body = r#"{"highest":{"epoch":4,"sequence":2}}"#;
    let server = FixedServer::start(409, &[], body).await;
    let highest = OrderNumber {
        epoch: Epoch(4),
        sequence: 2,
    };
    let stale = Err(OrderError::Stale { highest });
    assert_eq!(send_order(server.address, LONG_TIMEOUT).await, stale);
}

#[tokio::test]
async fn refused_and_unsent_orders_are_distinguished() {
    for status in [409, 422] {
        let server = FixedServer::start(status, &[], "no room").await;
        let refused = send_order(server.address, LONG_TIMEOUT).await;
        assert!(matches!(refused, Err(OrderError::Refused { .. })));
    }
    let unsent = send_order(closed_address().await, LONG_TIMEOUT).await;
    assert!(matches!(unsent, Err(OrderError::NotSent { .. })));
}

/// The engine accepts a load order and its answer is lost. The load may continue, so its memory
/// must stay reserved. If the order were reported as refused, the agent could fill the same memory
/// twice.
#[tokio::test]
async fn order_without_an_answer_has_unknown_result() {
    let short = Duration::from_millis(200);
    let broken = FixedServer::start(500, &[], "").await;
    let outcomes = [
        send_order(raw_server(b"").await, LONG_TIMEOUT).await,
        send_order(broken.address, LONG_TIMEOUT).await,
        send_order(silent_server().await, short).await,
    ];
    for outcome in outcomes {
        assert!(matches!(outcome, Err(OrderError::Unknown { .. })));
    }
}

/// An engine executes an order and fails with a status for which no refusal of orders is specified. If the order were
/// reported as refused, the agent would fill the memory of a load that continues.
#[tokio::test]
async fn unspecified_status_of_an_order_has_unknown_result() {
    for status in [400, 404, 408, 421, 429, 503] {
        let server = FixedServer::start(status, &[], "").await;
        let outcome = send_order(server.address, LONG_TIMEOUT).await;
        assert!(
            matches!(outcome, Err(OrderError::Unknown { .. })),
            "{status}: {outcome:?}"
        );
    }
}

#[tokio::test]
async fn reports_are_decoded() {
    let body = r#"{"held":[],"role":"decode","highest":null,"memory_mib":4096}"#;
    let server = FixedServer::start(200, &[], body).await;
    let state = HttpEngine::new(server.address, LONG_TIMEOUT)
        .state()
        .await
        .unwrap();
    assert_eq!((state.role, state.memory_mib), (EngineRole::Decode, 4096));
    let body = r#"{"running":3,"waiting":2,"waiting_tokens":90,"age_ms":400}"#;
    let server = FixedServer::start(200, &[], body).await;
    let load = HttpEngine::new(server.address, LONG_TIMEOUT)
        .load()
        .await
        .unwrap();
    assert_eq!((load.running, load.age_ms), (3, 400));
    let body = r#"[{"sequence":8,"block":77,"present":true}]"#;
    let server = FixedServer::start(200, &[], body).await;
    let engine = HttpEngine::new(server.address, LONG_TIMEOUT);
    let events = engine.cache_events(7).await.unwrap();
    assert_eq!(events[0].sequence, 8);
    assert_eq!(server.only_request().line, "GET /cache-events?after=7");
    assert!(engine.state().await.is_err());
}
