//! Callers that are slow, or disconnect.

use std::os::fd::AsFd;

use nix::sys::socket::{setsockopt, sockopt};

use crate::support::calls::CallerLog;
use crate::support::fleet::{Fleet, FleetOptions, FleetSize, eventually};
use crate::support::http::{StreamEnd, endless_chat};
use crate::support::raw::RawCaller;

const SIZE: FleetSize = FleetSize {
    entries: 1,
    engines: 1,
    services: 0,
};
/// The receive buffer of a slow caller, in bytes.
const SMALL_BUFFER: usize = 4096;

/// Slow callers request endless answers and read nothing. Meanwhile other callers must get complete answers. When the
/// entry can't write to a slow caller for `write_time`, it must close the connection and free the engine's slot.
/// Otherwise a few such callers would occupy all slots.
#[tokio::test]
async fn callers_that_do_not_read_are_closed_and_free_their_slots() {
    let fleet = Fleet::start(FleetOptions {
        entry_limits: "write_time = \"500ms\"",
        engine_flags: &["--step-us", "500", "--step-request-us", "0"],
        ..SIZE.into()
    })
    .await;
    let entry = fleet.entries[0].serve;
    let slow: Vec<_> = (0..4)
        .map(|_| {
            let mut caller = RawCaller::connect(entry);
            setsockopt(&caller.stream.as_fd(), sockopt::RcvBuf, &SMALL_BUFFER).unwrap();
            caller.write(&endless_chat());
            caller
        })
        .collect();
    eventually("the slow callers' requests run", async || {
        fleet.engine_runs().await.len() >= slow.len()
    })
    .await;
    let log = CallerLog::default();
    let calls = (0..20).map(|number| {
        let (log, prompt) = (&log, format!("quick {number}"));
        async move { log.chat(entry, &prompt, 20).await }
    });
    for outcome in futures::future::join_all(calls).await {
        assert_eq!(outcome, Some(StreamEnd::Whole));
    }
    fleet.wait_until_idle().await;
    assert_eq!(log.breaches(&fleet).await, []);
    drop(slow);
}

/// A caller disconnects in the middle of an endless answer. The entry must cancel the attempt, and the agent must
/// cancel it at the engine, so that the engine's slot is freed.
#[tokio::test]
async fn request_of_a_disconnected_caller_is_cancelled_at_the_engine() {
    let fleet = Fleet::start(SIZE).await;
    let mut caller = RawCaller::connect(fleet.entries[0].serve);
    caller.write(&endless_chat());
    assert!(caller.read_some().starts_with("HTTP/1.1 200 "));
    drop(caller);
    fleet.wait_until_idle().await;
    assert_eq!(fleet.engine_runs().await.len(), 1);
    eventually("the entry has nothing in flight", async || {
        let text = fleet.metrics(&fleet.entries[0]).await;
        text.lines().any(|line| line == "oatpier_in_flight 0")
    })
    .await;
}
