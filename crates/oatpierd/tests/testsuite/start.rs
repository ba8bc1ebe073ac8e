//! Processes that start while the platform's key-value store is unavailable.

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

/// An entry and an agent start on new VMs while the store is unavailable. Both must get the configuration from the
/// running processes: the new entry serves callers, and the new agent's engine receives requests.
#[tokio::test]
async fn entry_and_agent_get_the_configuration_from_peers() {
    let mut fleet = Fleet::start_part(SIZE, BOTH).await;
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
        let outcomes = futures::future::join_all(calls).await;
        let is_whole = outcomes
            .iter()
            .all(|outcome| *outcome == Some(StreamEnd::Whole));
        is_whole && !fleet.events_of(&fleet.engines[1]).await.is_empty()
    })
    .await;
    assert_eq!(log.breaches(&fleet).await, []);
}
