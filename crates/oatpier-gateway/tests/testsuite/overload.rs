//! Tests of a gateway that has more work than its processor can do.

use std::time::Duration;

use oatpier_gateway::gateway::overload;
use oatpier_serving::site::RouteKind;
use tokio::task::JoinSet;
use tokio::time::{advance, sleep};

use crate::support::TestGateway;

/// The processor time that a connection takes each time it is polled.
const POLL_TIME: Duration = Duration::from_millis(2);

/// Enough connections that each waits over half a second for its turn.
const CROWD: usize = 400;

/// Few enough connections that each is polled soon.
const USUAL: usize = 20;

/// Lets this many connections compete for the processor for some seconds, and returns whether the gateway considered
/// itself overloaded at the end.
async fn is_overloaded_with(connections: usize) -> bool {
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[]);
    let mut busy = JoinSet::new();
    for _ in 0..connections {
        busy.spawn(async {
            loop {
                advance(POLL_TIME).await;
            }
        });
    }
    tokio::select! {
        () = overload::watch(&gateway.core) => {}
        () = sleep(Duration::from_secs(5)) => {}
    }
    gateway.core.is_behind()
}

/// Guards against a gateway that takes on more and more connections although each waits seconds for its turn, so that
/// it learns of callers that have left long after that: its timers alone still fire in time.
#[tokio::test(start_paused = true)]
async fn a_gateway_whose_connections_wait_for_the_processor_is_overloaded() {
    assert!(is_overloaded_with(CROWD).await);
}

/// Guards against a gateway that refuses requests although it keeps up.
#[tokio::test(start_paused = true)]
async fn a_gateway_whose_connections_are_served_at_once_is_not_overloaded() {
    assert!(!is_overloaded_with(USUAL).await);
}
