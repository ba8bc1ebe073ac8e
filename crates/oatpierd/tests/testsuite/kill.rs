//! Processes that die under a mixed load, judged by the checker.

use std::net::SocketAddr;

use futures::future::{join, join_all};
use nix::sys::signal::Signal;
use oatpier_types::event::FleetEvent;
use serde_json::json;

use crate::support::calls::{CallView, CallerLog, PlanCall};
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
/// How long the service works on a call: long enough for calls to be there when a process dies.
const SERVICE_DELAY_MS: u64 = 2000;
/// So many calls have begun at each kind of endpoint when a process dies.
const BEGUN: usize = 10;

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

    /// Sends everything at once; callers of `dying` expect no word once it is dead.
    async fn run(&self, dying: Option<SocketAddr>) -> Vec<(SocketAddr, CallView)> {
        let chats = (0..CHATS).map(|number| async move {
            let entry = self.entry_of(number).serve;
            let prompt = format!("arrange hall {number}");
            let view = if dying == Some(entry) {
                self.log.chat_at_dying(entry, &prompt, TOKENS).await
            } else {
                self.log.chat(entry, &prompt, TOKENS).await
            };
            (entry, view)
        });
        let plans = (0..PLANS).map(|plan| async move {
            let entry = self.entry_of(plan).serve;
            let call = PlanCall {
                plan,
                ..PlanCall::default()
            };
            (entry, self.log.apply_plan(entry, &call).await)
        });
        let (mut views, plan_views) = join(join_all(chats), join_all(plans)).await;
        views.extend(plan_views);
        views
    }

    async fn run_and_kill(&self, daemon: &Daemon) -> Vec<(SocketAddr, CallView)> {
        let killing = async {
            eventually("calls run at the endpoints", async || {
                let first_service = self.fleet.events_of(&self.fleet.services[0]).await.len();
                let engines = self.fleet.engine_runs().await.len();
                first_service >= BEGUN && engines >= BEGUN
            })
            .await;
            daemon.process.signal(Signal::SIGKILL);
        };
        let (views, ()) = tokio::join!(self.run(Some(daemon.serve)), killing);
        views
    }

    async fn expect_no_breach(&self) {
        self.fleet.wait_until_idle().await;
        let events = self.fleet.endpoint_events().await;
        let is_run = |event: &FleetEvent| matches!(event, FleetEvent::RunStarted { .. });
        let runs = events.iter().filter(|logged| is_run(&logged.event)).count();
        assert!(runs >= CHATS, "the checker has something to judge");
        assert_eq!(self.log.breaches(&self.fleet).await, []);
    }
}

/// The agent of a plain service dies while calls are at it that may run only once. Those that had
/// begun are told "may have run" and are never tried elsewhere; a "not run" is true; everything
/// else is answered whole.
#[tokio::test]
async fn the_death_of_a_services_agent_runs_nothing_twice() {
    let load = MixedLoad::new().await;
    let agents = &load.fleet.agents;
    let dying = agents.iter().find(|agent| agent.name == "agent-plan-api-1");
    let views = load.run_and_kill(dying.unwrap()).await;
    let whole = |view: &CallView| *view == Some(StreamEnd::Whole);
    assert!(views[..CHATS].iter().all(|(_, view)| whole(view)));
    let is_told = |view: &CallView| matches!(view, Some(StreamEnd::Error(told)) if told.verdict == "may-have-run");
    let plans = &views[CHATS..];
    let told = plans.iter().filter(|(_, view)| is_told(view)).count();
    assert!(told >= BEGUN, "calls were at the agent: {plans:?}");
    let whole_plans = plans.iter().filter(|(_, view)| whole(view)).count();
    assert_eq!(told + whole_plans, PLANS, "{plans:?}");
    load.expect_no_breach().await;
}

/// The agent of an engine dies under the same load: chat completions go on elsewhere, and calls
/// that may run only once don't notice.
#[tokio::test]
async fn the_death_of_an_engines_agent_breaks_no_promise() {
    let load = MixedLoad::new().await;
    let views = load.run_and_kill(&load.fleet.agents[0]).await;
    for (_, view) in &views[CHATS..] {
        assert_eq!(*view, Some(StreamEnd::Whole));
    }
    load.expect_no_breach().await;
}

/// An entry dies under the same load. Its callers' connections break: nobody is left to tell them
/// anything. What it had sent to services goes on to its end, and runs nowhere else. The other
/// entry's callers get all their answers.
#[tokio::test]
async fn the_death_of_an_entry_breaks_no_promise() {
    let load = MixedLoad::new().await;
    let dying = &load.fleet.entries[0];
    let views = load.run_and_kill(dying).await;
    for (entry, view) in &views {
        let is_lost = view.is_none() && *entry == dying.serve;
        assert!(is_lost || *view == Some(StreamEnd::Whole), "{view:?}");
    }
    load.expect_no_breach().await;
}
