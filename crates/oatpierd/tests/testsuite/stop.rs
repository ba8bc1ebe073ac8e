//! Planned stops.

use http::StatusCode;
use nix::sys::signal::Signal;

use crate::support::fleet::{Fleet, FleetSize, eventually};
use crate::support::http::{StreamEnd, chat, get};

const SIZE: FleetSize = FleetSize {
    entries: 1,
    engines: 2,
    services: 0,
};
const LONG: u32 = 200;

/// A caller's answer is half-way when the entry is told to stop. The entry says first that it is
/// not ready, goes on with the answer to its end, and only then ends, by itself and with 0.
#[tokio::test]
async fn a_stopping_entry_finishes_what_is_in_flight() {
    let mut fleet = Fleet::start(SIZE).await;
    let entry = &fleet.entries[0];
    let calling = chat(&fleet.client, entry.serve, "tables", "long", LONG);
    let stopping = async {
        eventually("the request runs", async || {
            !fleet.engine_runs().await.is_empty() && in_flight(&fleet).await
        })
        .await;
        entry.process.signal(Signal::SIGTERM);
        eventually("the entry is not ready", async || {
            let answer = get(&fleet.client, entry.observe, "/ready").await;
            answer.status() == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
    };
    let (answer, ()) = tokio::join!(calling, stopping);
    assert_eq!(answer.unwrap().stream_end("long", LONG), StreamEnd::Whole);
    let status = fleet.entries[0].process.ended().await;
    assert!(status.success());
}

async fn in_flight(fleet: &Fleet) -> bool {
    let text = fleet.metrics(&fleet.entries[0]).await;
    text.lines().any(|line| line == "oatpier_in_flight 1")
}

/// Both agents are told to stop in turn while requests come in. Each finishes what it runs,
/// refuses what is new (which goes to the other), and ends by itself with 0.
#[tokio::test]
async fn a_stopping_agent_finishes_what_it_runs_and_takes_nothing_new() {
    let mut fleet = Fleet::start(SIZE).await;
    let entry = fleet.entries[0].serve;
    let prompts: Vec<_> = (0..20).map(|number| format!("table {number}")).collect();
    let calls = prompts
        .iter()
        .map(|prompt| chat(&fleet.client, entry, "tables", prompt, LONG));
    let calling = futures::future::join_all(calls);
    let stopping = async {
        eventually("requests run", async || {
            fleet.engine_runs().await.len() >= 20
        })
        .await;
        fleet.agents[0].process.signal(Signal::SIGTERM);
    };
    let (answers, ()) = tokio::join!(calling, stopping);
    for (answer, prompt) in answers.into_iter().zip(&prompts) {
        assert_eq!(answer.unwrap().stream_end(prompt, LONG), StreamEnd::Whole);
    }
    let status = fleet.agents[0].process.ended().await;
    assert!(status.success());
    let later = chat(&fleet.client, entry, "tables", "later", 5).await;
    assert_eq!(later.unwrap().stream_end("later", 5), StreamEnd::Whole);
}
