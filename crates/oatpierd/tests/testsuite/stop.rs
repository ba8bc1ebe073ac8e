//! Planned stops.

use std::net::SocketAddr;

use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use oatpier_types::clock::ClockTime;
use oatpier_types::event::FleetEvent;
use oatpier_types::names::DaemonName;

use crate::support::calls::{CallView, CallerLog, PlanCall};
use crate::support::fleet::{Fleet, FleetSize, Standin, eventually};
use crate::support::http::{StreamEnd, chat, get, send};

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

const LOAD_SIZE: FleetSize = FleetSize {
    entries: 2,
    engines: 3,
    services: 2,
};
/// Calls that each caller makes one after another.
const CALLS: usize = 12;
const CALLERS: usize = 16;

/// Each caller makes its calls in turn, until all are done.
async fn keep_calling(log: &CallerLog, entry: SocketAddr, caller: usize) -> Vec<CallView> {
    let mut views = Vec::new();
    for number in 0..CALLS {
        let prompt = format!("caller {caller} seat {number}");
        let plan = caller * CALLS + number;
        let call = PlanCall {
            plan,
            ..PlanCall::default()
        };
        views.push(log.chat(entry, &prompt, 60).await);
        views.push(log.apply_plan(entry, &call).await);
    }
    views
}

fn expect_whole(views: &[Vec<CallView>]) {
    for view in views.iter().flatten() {
        assert_eq!(*view, Some(StreamEnd::Whole));
    }
}

/// Callers keep calling through both entries while the agents of an engine and of a service are
/// told to stop. Nobody sees anything of it: what ran there ends there, what comes is refused by
/// the agent and goes elsewhere, and the processes end by themselves with 0. Nothing begins at a
/// leaving endpoint later than the bound after the word to leave.
#[tokio::test]
async fn the_planned_stop_of_agents_under_load_cuts_off_nothing() {
    let mut fleet = Fleet::start(LOAD_SIZE).await;
    let log = CallerLog::default();
    let stopped = [0, 3];
    let calls = (0..CALLERS).map(|caller| {
        let entry = fleet.entries[caller % 2].serve;
        keep_calling(&log, entry, caller)
    });
    let stopping = async {
        eventually("requests run", async || {
            fleet.engine_runs().await.len() >= CALLERS
        })
        .await;
        for (agent, endpoint) in [(0, &fleet.engines[0]), (3, &fleet.services[0])] {
            note_leave(&fleet, &log, endpoint).await;
            fleet.agents[agent].process.signal(Signal::SIGTERM);
        }
    };
    let (views, ()) = tokio::join!(futures::future::join_all(calls), stopping);
    expect_whole(&views);
    for agent in stopped {
        let daemon = &mut fleet.agents[agent];
        assert!(daemon.process.ended().await.success());
        let name = DaemonName::try_from(daemon.name.as_str()).unwrap();
        note_end(&log, name);
    }
    assert_eq!(log.breaches(&fleet).await, []);
}

/// Notes on the endpoint's own clock that it is told to leave: a call past the agent is the mark
/// in its record.
async fn note_leave(fleet: &Fleet, log: &CallerLog, endpoint: &Standin) {
    let is_engine = fleet
        .engines
        .iter()
        .any(|engine| engine.address == endpoint.address);
    let path = if is_engine {
        "/v1/completions"
    } else {
        "/mark"
    };
    let body = "{\"model\": \"tables\", \"prompt\": \"mark\", \"max_tokens\": 1}";
    let marked = send(&fleet.client, endpoint.address, Method::POST, path, body).await;
    assert_eq!(marked.status(), StatusCode::OK);
    let events = fleet.events_of(endpoint).await;
    let mark = events.iter().rev().find_map(|logged| match &logged.event {
        FleetEvent::RunStarted {
            attempt, endpoint, ..
        } if attempt.0 == 0 => Some((logged.at, endpoint.clone())),
        _ => None,
    });
    let (at, endpoint) = mark.expect("the mark is in the record");
    log.note(at, FleetEvent::LeaveStarted { endpoint });
}

/// The callers saw that all answers were whole, so nothing was cut off.
fn note_end(log: &CallerLog, name: DaemonName) {
    let event = FleetEvent::Ended {
        name,
        killed: false,
        cut_off: 0,
    };
    log.note(ClockTime::NEVER, event);
}

/// An entry is told to stop while its callers are in the middle of answers. Each answer comes to
/// its end, calls that come until the balancer has seen it are still taken, and the process ends
/// by itself with 0.
#[tokio::test]
async fn the_planned_stop_of_an_entry_under_load_cuts_off_nothing() {
    let mut fleet = Fleet::start(LOAD_SIZE).await;
    let log = CallerLog::default();
    let stopped = fleet.entries[0].serve;
    let calls = (0..CALLERS * 4).map(|caller| {
        let log = &log;
        async move { log.chat(stopped, &format!("seat {caller}"), LONG).await }
    });
    let others = (0..CALLERS).map(|caller| keep_calling(&log, fleet.entries[1].serve, caller));
    let stopping = async {
        eventually("requests run", async || {
            fleet.engine_runs().await.len() >= CALLERS * 4
        })
        .await;
        fleet.entries[0].process.signal(Signal::SIGTERM);
    };
    let calls = futures::future::join_all(calls);
    let others = futures::future::join_all(others);
    let (views, others, ()) = tokio::join!(calls, others, stopping);
    expect_whole(&[views]);
    expect_whole(&others);
    let daemon = &mut fleet.entries[0];
    assert!(daemon.process.ended().await.success());
    let name = DaemonName::try_from(daemon.name.as_str()).unwrap();
    note_end(&log, name);
    assert_eq!(log.breaches(&fleet).await, []);
}
