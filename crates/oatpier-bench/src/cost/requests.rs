//! Cost of the decisions that entries and agents make about requests.

use std::hint::black_box;
use std::time::Duration;

use oatpier_admission::event::{AdmissionLimits, AdmissionTicket, AgentEvent};
use oatpier_admission::policy::AgentPolicy;
use oatpier_policy::entry::{EntryPolicy, EntrySettings};
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::router::{ProbeUse, RequestRouter, RouteQuery, RouteView, RouterSettings};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{AttemptId, BootId, RequestId};
use oatpier_types::names::ClassName;
use oatpier_types::request::{AttemptSpec, PrefixChain, RequestGoal, TokenDemand};
use oatpier_types::verdict::Repeat;

use super::CostMeter;
use super::fleet::{CostFleet, zone};
use crate::load::deployment::{ENGINE_SLOTS, model_name, name};

const SEED: u64 = 3;
const ROUNDS: u32 = 20_000;
/// Token counts of every request.
const TOKENS: TokenDemand = TokenDemand {
    prompt: 400,
    output: 350,
};
/// Number of blocks in the prefix chain of a prompt.
const PREFIX_BLOCKS: u64 = 6;
/// Interval between two requests at one entry at the design target (8,500 requests per second at 340 entries).
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

pub(super) fn measure(fleet: &CostFleet, meter: &mut CostMeter<'_>) {
    measure_routing(fleet, meter);
    measure_entry_request(fleet, meter);
    measure_agent_admission(fleet, meter);
}

fn measure_routing(fleet: &CostFleet, meter: &mut CostMeter<'_>) {
    let now = ClockTime::from_millis(1_000);
    let policy = entry(fleet, now);
    let mut router = RequestRouter::new(RouterSettings::default(), SEED);
    let view = RouteView {
        table: policy.table(),
        health: policy.health(),
        prefix: policy.prefix(),
    };
    let goals: Vec<_> = (0..fleet.size.models)
        .filter_map(|model| policy.table().find_goal(&goal(model)))
        .collect();
    let prefixes = prefixes(0);
    let mut turn = 0;
    meter.measure("routing-choice", ROUNDS, || {
        turn = (turn + 1) % goals.len();
        let query = RouteQuery {
            goal: goals[turn],
            tokens: TOKENS,
            prefixes: &prefixes,
            is_whole_answer: false,
            remaining: Duration::from_millis(320),
            excluded: &[],
            probe: ProbeUse::Repeatable,
        };
        black_box(router.choose(view, &query, now)).expect("idle endpoints can serve");
    });
}

/// Measures the start and end of a request: it arrives, its endpoint is chosen and its caller disconnects.
fn measure_entry_request(fleet: &CostFleet, meter: &mut CostMeter<'_>) {
    let mut now = ClockTime::from_millis(1_000);
    let mut policy = entry(fleet, now);
    let mut number: u128 = 0;
    let intakes: Vec<RequestIntake> = (0..fleet.size.models).map(intake).collect();
    meter.measure("entry-request", ROUNDS, || {
        number += 1;
        now = now + REQUEST_INTERVAL;
        let request = RequestId(number);
        let index = usize::try_from(number).unwrap_or(0) % intakes.len();
        let intake = RequestIntake {
            request,
            ..intakes[index].clone()
        };
        black_box(policy.start(intake, now));
        black_box(policy.handle(request, &EntryEvent::CallerGone, now));
    });
}

/// Measures an attempt that arrives, starts immediately, produces its first token and ends.
fn measure_agent_admission(fleet: &CostFleet, meter: &mut CostMeter<'_>) {
    let mut now = ClockTime::from_millis(1_000);
    let boot = BootId(1);
    let mut policy = AgentPolicy::new(boot, AdmissionLimits::for_slots(ENGINE_SLOTS));
    let classes = fleet.config.classes.clone();
    policy.step(AgentEvent::ClassesChanged { classes }, now);
    let ready = fleet.statuses[0].ready.to_vec();
    let model = ready[0].model.clone();
    let loading = Vec::new();
    policy.step(AgentEvent::WeightsChanged { ready, loading }, now);
    let mut number: u128 = 0;
    meter.measure("agent-admission", ROUNDS, || {
        number += 1;
        now = now + REQUEST_INTERVAL;
        let attempt = AttemptId(number);
        let ticket = AdmissionTicket::of(&policy.queue_report(now));
        let goal = RequestGoal::Model {
            model: model.clone(),
            adapter: None,
        };
        let spec = spec(attempt, goal);
        black_box(policy.step(AgentEvent::Arrive { spec, ticket }, now));
        policy.step(AgentEvent::EndpointFirstToken { attempt }, now);
        black_box(policy.step(AgentEvent::EndpointEnded { attempt }, now));
    });
}

fn entry(fleet: &CostFleet, now: ClockTime) -> EntryPolicy {
    let mut policy = EntryPolicy::new(EntrySettings::default(), zone(0), SEED);
    policy.apply_config(&fleet.config);
    for status in &fleet.statuses {
        policy.on_status(status, now);
    }
    policy
}

fn goal(model: usize) -> RequestGoal {
    RequestGoal::Model {
        model: model_name(model),
        adapter: None,
    }
}

fn class() -> ClassName {
    name("explaining")
}

fn prefixes(model: usize) -> PrefixChain {
    (0..PREFIX_BLOCKS)
        .map(|block| (model as u64) << 8 | block)
        .collect()
}

fn intake(model: usize) -> RequestIntake {
    RequestIntake {
        request: RequestId(0),
        goal: goal(model),
        class: class(),
        caller: name("caller"),
        repeat: Repeat::Idempotent,
        key: None,
        tokens: TOKENS,
        prefixes: prefixes(model),
        resumable: true,
    }
}

fn spec(attempt: AttemptId, goal: RequestGoal) -> AttemptSpec {
    AttemptSpec {
        attempt,
        request: RequestId(attempt.0),
        goal,
        class: class(),
        caller: name("caller"),
        repeat: Repeat::Idempotent,
        remaining: Duration::from_millis(320),
        tokens: TOKENS,
        resume_after: 0,
    }
}
