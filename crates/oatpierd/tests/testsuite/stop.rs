//! Planned stops.

use std::net::SocketAddr;

use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use oatpier_types::clock::ClockTime;
use oatpier_types::event::FleetEvent;
use oatpier_types::names::DaemonName;

use crate::support::calls::{CallOutcome, CallerLog, PlanCall};
use crate::support::fleet::{Fleet, FleetSize, Standin, eventually};
use crate::support::http::{StreamEnd, chat, get, send};

const SIZE: FleetSize = FleetSize {
    entries: 1,
    engines: 2,
    services: 0,
};
const LONG_TOKENS: u32 = 200;

/// An entry is asked to stop in the middle of an answer. It must first report that it is not ready, then complete the
/// answer, and only then exit by itself with 0.
#[tokio::test]
async fn stopping_entry_finishes_in_flight_requests() {
    let mut fleet = Fleet::start(SIZE).await;
    let entry = &fleet.entries[0];
    let calling = chat(&fleet.client, entry.serve, "tables", "long", LONG_TOKENS);
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
    assert_eq!(
        answer.unwrap().stream_end("long", LONG_TOKENS),
        StreamEnd::Whole
    );
    let status = fleet.entries[0].process.wait_for_exit().await;
    assert!(status.success());
}

async fn in_flight(fleet: &Fleet) -> bool {
    let text = fleet.metrics(&fleet.entries[0]).await;
    text.lines().any(|line| line == "oatpier_in_flight 1")
}

/// One of two agents is asked to stop while requests run on both. It must finish its running requests, refuse new ones,
/// which then go to the other agent, and exit by itself with 0.
#[tokio::test]
async fn stopping_agent_finishes_running_requests_and_refuses_new_ones() {
    let mut fleet = Fleet::start(SIZE).await;
    let entry = fleet.entries[0].serve;
    let prompts: Vec<_> = (0..20).map(|number| format!("table {number}")).collect();
    let calls = prompts
        .iter()
        .map(|prompt| chat(&fleet.client, entry, "tables", prompt, LONG_TOKENS));
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
        assert_eq!(
            answer.unwrap().stream_end(prompt, LONG_TOKENS),
            StreamEnd::Whole
        );
    }
    let status = fleet.agents[0].process.wait_for_exit().await;
    assert!(status.success());
    let later = chat(&fleet.client, entry, "tables", "later", 5).await;
    assert_eq!(later.unwrap().stream_end("later", 5), StreamEnd::Whole);
}

const LOAD_SIZE: FleetSize = FleetSize {
    entries: 2,
    engines: 3,
    services: 2,
};
/// Consecutive calls per caller.
const CALLS: usize = 12;
const CALLERS: usize = 16;

/// Makes the calls of one caller, one after another.
async fn keep_calling(log: &CallerLog, entry: SocketAddr, caller: usize) -> Vec<CallOutcome> {
    let mut outcomes = Vec::new();
    for number in 0..CALLS {
        let prompt = format!("caller {caller} seat {number}");
        let plan = caller * CALLS + number;
        let call = PlanCall {
            plan,
            ..PlanCall::default()
        };
        outcomes.push(log.chat(entry, &prompt, 60).await);
        outcomes.push(log.apply_plan(entry, &call).await);
    }
    outcomes
}

fn expect_whole(outcomes: &[Vec<CallOutcome>]) {
    for outcome in outcomes.iter().flatten() {
        assert_eq!(*outcome, Some(StreamEnd::Whole));
    }
}

/// Callers keep sending calls through both entries while the agents of an engine and of a service are asked to stop. No
/// caller may notice: running calls finish there, new calls are refused by the agent and go elsewhere, and the
/// processes exit by themselves with 0. No call may start at a leaving endpoint later than the checker's bound after
/// the stop request.
#[tokio::test]
async fn planned_stop_of_agents_under_load_cuts_off_no_request() {
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
            record_leave(&fleet, &log, endpoint).await;
            fleet.agents[agent].process.signal(Signal::SIGTERM);
        }
    };
    let (outcomes, ()) = tokio::join!(futures::future::join_all(calls), stopping);
    expect_whole(&outcomes);
    for agent in stopped {
        let daemon = &mut fleet.agents[agent];
        assert!(daemon.process.wait_for_exit().await.success());
        let name = DaemonName::try_from(daemon.name.as_str()).unwrap();
        record_exit(&log, name);
    }
    assert_eq!(log.breaches(&fleet).await, []);
}

/// Logs, on the endpoint's own clock, that the endpoint is asked to leave. A call that bypasses the agent marks the
/// time in the endpoint's record.
async fn record_leave(fleet: &Fleet, log: &CallerLog, endpoint: &Standin) {
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
    log.record_event(at, FleetEvent::LeaveStarted { endpoint });
}

/// Logs the exit of a process without cut-off requests, since the callers have seen that all answers were complete.
fn record_exit(log: &CallerLog, name: DaemonName) {
    let event = FleetEvent::Ended {
        name,
        killed: false,
        cut_off: 0,
    };
    log.record_event(ClockTime::NEVER, event);
}

/// An entry is asked to stop while its callers are receiving answers. Each answer must complete, calls that arrive
/// until the load balancer has noticed the stop must still be accepted, and the process must exit by itself with 0.
#[tokio::test]
async fn planned_stop_of_an_entry_under_load_cuts_off_no_request() {
    let mut fleet = Fleet::start(LOAD_SIZE).await;
    let log = CallerLog::default();
    let stopped = fleet.entries[0].serve;
    let calls = (0..CALLERS * 4).map(|caller| {
        let log = &log;
        async move {
            log.chat(stopped, &format!("seat {caller}"), LONG_TOKENS)
                .await
        }
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
    let (outcomes, others, ()) = tokio::join!(calls, others, stopping);
    expect_whole(&[outcomes]);
    expect_whole(&others);
    let daemon = &mut fleet.entries[0];
    assert!(daemon.process.wait_for_exit().await.success());
    let name = DaemonName::try_from(daemon.name.as_str()).unwrap();
    record_exit(&log, name);
    assert_eq!(log.breaches(&fleet).await, []);
}
