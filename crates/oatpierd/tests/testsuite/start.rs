//! Processes that start while the platform's key-value service is away.

use serde_json::json;

use crate::support::calls::CallerLog;
use crate::support::fleet::{Fleet, FleetSize, eventually};
use crate::support::http::StreamEnd;

const SIZE: FleetSize = FleetSize {
    entries: 1,
    engines: 1,
    services: 0,
};
const BOTH: FleetSize = FleetSize {
    entries: 2,
    engines: 2,
    services: 0,
};

/// The store has been away for a while when a VM with an entry and one with an agent start. Both
/// get the configuration from the processes that are there: the new entry serves callers, and the
/// new agent's engine takes requests.
#[tokio::test]
async fn an_entry_and_an_agent_start_from_their_peers() {
    let mut fleet = Fleet::start_some(SIZE, BOTH).await;
    fleet
        .set_faults(&fleet.store, json!({"down": "drop"}))
        .await;
    fleet.start_entry(2);
    fleet.start_engine(2);
    fleet.list_vms().await;
    let log = CallerLog::default();
    let entry = fleet.entries[1].serve;
    eventually("the new entry answers, with the new engine", async || {
        let calls = (0..8).map(|_| log.chat(entry, "seat", 5));
        let views = futures::future::join_all(calls).await;
        let is_whole = views.iter().all(|view| *view == Some(StreamEnd::Whole));
        is_whole && !fleet.events_of(&fleet.engines[1]).await.is_empty()
    })
    .await;
    assert_eq!(log.breaches(&fleet).await, []);
}
