//! Processes that are killed under a mixed load, with all events verified by the checker.

use std::net::SocketAddr;

use futures::future::{join, join_all};
use nix::sys::signal::Signal;
use oatpier_types::event::FleetEvent;
use serde_json::json;

use crate::support::calls::{CallOutcome, CallerLog, PlanCall};
use crate::support::fleet::{Daemon, Fleet, FleetSize, eventually};
use crate::support::http::StreamEnd;

const SIZE: FleetSize = FleetSize {
    entries: 2,
    engines: 4,
    services: 2,
};
const CHATS: usize = 60;
const PLANS: usize = 60;
const TOKENS: u32 = 40;
/// Time that the service takes per call, so that calls are running when a process is killed.
const SERVICE_DELAY_MS: u64 = 2000;
/// Minimum number of calls that have started at each kind of endpoint when a process is killed.
const MIN_STARTED: usize = 10;

struct MixedLoad {
    fleet: Fleet,
    log: CallerLog,
}

impl MixedLoad {
    async fn new() -> Self {
        let fleet = Fleet::start(SIZE).await;
        for service in &fleet.services {
            let faults = json!({"delay-ms": SERVICE_DELAY_MS});
            fleet.set_faults(service, faults).await;
        }
        Self {
            fleet,
            log: CallerLog::default(),
        }
    }

    fn entry_of(&self, number: usize) -> &Daemon {
        &self.fleet.entries[number % self.fleet.entries.len()]
    }

    /// Sends all requests at once. Callers of `killed` may get no answer.
    async fn run(&self, killed: Option<SocketAddr>) -> Vec<(SocketAddr, CallOutcome)> {
        let chats = (0..CHATS).map(|number| async move {
            let entry = self.entry_of(number).serve;
            let prompt = format!("arrange hall {number}");
            let outcome = if killed == Some(entry) {
                self.log
                    .chat_with_killed_entry(entry, &prompt, TOKENS)
                    .await
            } else {
                self.log.chat(entry, &prompt, TOKENS).await
            };
            (entry, outcome)
        });
        let plans = (0..PLANS).map(|plan| async move {
            let entry = self.entry_of(plan).serve;
            let call = PlanCall {
                plan,
                ..PlanCall::default()
            };
            (entry, self.log.apply_plan(entry, &call).await)
        });
        let (mut outcomes, plan_outcomes) = join(join_all(chats), join_all(plans)).await;
        outcomes.extend(plan_outcomes);
        outcomes
    }

    async fn run_and_kill(&self, daemon: &Daemon) -> Vec<(SocketAddr, CallOutcome)> {
        let killing = async {
            eventually("calls run at the endpoints", async || {
                let first_service = self.fleet.events_of(&self.fleet.services[0]).await.len();
                let engines = self.fleet.engine_runs().await.len();
                first_service >= MIN_STARTED && engines >= MIN_STARTED
            })
            .await;
            daemon.process.signal(Signal::SIGKILL);
        };
        let (outcomes, ()) = tokio::join!(self.run(Some(daemon.serve)), killing);
        outcomes
    }

    async fn expect_no_breach(&self) {
        self.fleet.wait_until_idle().await;
        let events = self.fleet.endpoint_events().await;
        let is_run = |event: &FleetEvent| matches!(event, FleetEvent::RunStarted { .. });
        let runs = events.iter().filter(|logged| is_run(&logged.event)).count();
        assert!(
            runs >= CHATS,
            "the load must run on the engines, so that the checker has events to verify"
        );
        assert_eq!(self.log.breaches(&self.fleet).await, []);
    }
}

/// The agent of a plain service is killed while it runs calls that may run only once. Calls that had started must get
/// "may have run" and must not be retried elsewhere. A "not run" must be true. All other calls get complete answers.
#[tokio::test]
async fn killed_service_agent_runs_no_call_twice() {
    let load = MixedLoad::new().await;
    let agents = &load.fleet.agents;
    let killed = agents.iter().find(|agent| agent.name == "agent-plan-api-1");
    let outcomes = load.run_and_kill(killed.unwrap()).await;
    let is_whole = |outcome: &CallOutcome| *outcome == Some(StreamEnd::Whole);
    assert!(
        outcomes[..CHATS]
            .iter()
            .all(|(_, outcome)| is_whole(outcome))
    );
    let may_have_run = |outcome: &CallOutcome| matches!(outcome, Some(StreamEnd::Error(error)) if error.verdict == "may-have-run");
    let plans = &outcomes[CHATS..];
    let may_have_run_count = plans
        .iter()
        .filter(|(_, outcome)| may_have_run(outcome))
        .count();
    assert!(
        may_have_run_count >= MIN_STARTED,
        "too few calls were running at the agent: {plans:?}"
    );
    let complete_plans = plans
        .iter()
        .filter(|(_, outcome)| is_whole(outcome))
        .count();
    assert_eq!(may_have_run_count + complete_plans, PLANS, "{plans:?}");
    load.expect_no_breach().await;
}

/// The agent of an engine is killed under the same load. Chat completions continue on other engines, and calls that may
/// run only once are not affected.
#[tokio::test]
async fn killed_engine_agent_violates_no_guarantee() {
    let load = MixedLoad::new().await;
    let outcomes = load.run_and_kill(&load.fleet.agents[0]).await;
    for (_, outcome) in &outcomes[CHATS..] {
        assert_eq!(*outcome, Some(StreamEnd::Whole));
    }
    load.expect_no_breach().await;
}

/// An entry is killed under the same load. Its callers' connections break, and no process can answer them. Calls that
/// it had sent to services run to completion and run nowhere else. The callers of the other entry get all their
/// answers.
#[tokio::test]
async fn killed_entry_violates_no_guarantee() {
    let load = MixedLoad::new().await;
    let killed = &load.fleet.entries[0];
    let outcomes = load.run_and_kill(killed).await;
    for (entry, outcome) in &outcomes {
        let is_lost = outcome.is_none() && *entry == killed.serve;
        assert!(is_lost || *outcome == Some(StreamEnd::Whole), "{outcome:?}");
    }
    load.expect_no_breach().await;
}
