//! Requests while the platform's key-value store is unavailable.

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

/// The store drops every connection from before the first request until after the last. No caller may notice: chat
/// completions, and at-most-once calls without an idempotency key, depend only on state that the processes already
/// have.
#[tokio::test]
async fn requests_are_served_while_the_store_is_unavailable() {
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
    for outcome in chats.into_iter().chain(plans) {
        assert_eq!(outcome, Some(StreamEnd::Whole));
    }
    assert_eq!(log.breaches(&fleet).await, []);
}
