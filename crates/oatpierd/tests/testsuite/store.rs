//! The platform's key-value service is away.

use futures::future::join_all;
use serde_json::json;

use crate::support::calls::{CallerLog, PlanCall};
use crate::support::fleet::{Fleet, FleetSize};
use crate::support::http::StreamEnd;

const SIZE: FleetSize = FleetSize {
    entries: 2,
    engines: 2,
    services: 1,
};
const CALLS: usize = 40;

/// The store breaks every connection from before the first request until after the last. No
/// caller notices: chat completions, and calls without an idempotency key that may run only once,
/// need what the processes know already and nothing of the store.
#[tokio::test]
async fn requests_go_on_while_the_store_is_away() {
    let fleet = Fleet::start(SIZE).await;
    let log = CallerLog::default();
    fleet
        .set_faults(&fleet.store, json!({"down": "drop"}))
        .await;
    let entry_of = |number: usize| fleet.entries[number % 2].serve;
    let chats = (0..CALLS).map(|number| {
        let (log, entry) = (&log, entry_of(number));
        async move { log.chat(entry, &format!("seat {number}"), 20).await }
    });
    let plans = (0..CALLS).map(|plan| {
        let (log, entry) = (&log, entry_of(plan));
        let call = PlanCall {
            plan,
            ..PlanCall::default()
        };
        async move { log.apply_plan(entry, &call).await }
    });
    let (chats, plans) = tokio::join!(join_all(chats), join_all(plans));
    for view in chats.into_iter().chain(plans) {
        assert_eq!(view, Some(StreamEnd::Whole));
    }
    assert_eq!(log.breaches(&fleet).await, []);
}
