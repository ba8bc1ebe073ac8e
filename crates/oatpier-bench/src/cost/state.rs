//! Cost of the decisions about state: memory, membership and the placement plan.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use oatpier_membership::members::{
    MemberFacts, MemberKind, MemberPhase, MemberRow, MemberTable, Reachability, TableLimits,
    WitnessVote,
};
use oatpier_membership::messages::{AgentHeartbeat, HeartbeatBody};
use oatpier_membership::registrar::RegistrarTable;
use oatpier_placement::demand::{DemandKey, DemandRate, DemandRow, DemandSummary};
use oatpier_placement::ledger::MemoryLedger;
use oatpier_placement::planner::{
    EndpointView, FleetPlanner, PlacementPlanner, PlannerInput, PlannerSettings,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::{EngineRole, EngineState, HeldWeights, WeightsState};
use oatpier_types::ids::{Generation, Term};
use oatpier_types::names::DaemonName;
use oatpier_types::plan::PlacementPlan;
use oatpier_types::status::EndpointStatus;

use super::CostMeter;
use super::fleet::{CostFleet, pool, queue_report, zone};
use crate::load::deployment::{ENGINE_MEMORY_MIB, MODEL_MEMORY_MIB, model_name, name};
use crate::units::size_f64;

const ROUNDS: u32 = 20_000;
const PLAN_ROUNDS: u32 = 3;
/// Requests per second in the whole fleet, per endpoint.
const RATE_PER_ENDPOINT: f64 = 8_500.0 / 3_500.0;

pub(super) fn measure(fleet: &CostFleet, meter: &mut CostMeter<'_>) {
    measure_ledger_check(fleet, meter);
    measure_membership_delta(fleet, meter);
    measure_heartbeat(fleet, meter);
    measure_plan_step(fleet, meter);
}

/// Measures the check whether one more model fits beside all weights that an engine may hold.
fn measure_ledger_check(fleet: &CostFleet, meter: &mut CostMeter<'_>) {
    let now = ClockTime::from_millis(1_000);
    let mut ledger = MemoryLedger::new(ENGINE_MEMORY_MIB);
    let state = EngineState {
        held: held(&fleet.statuses[0]),
        role: EngineRole::Both,
        highest: None,
        memory_mib: ENGINE_MEMORY_MIB,
    };
    ledger.observe(&state, &fleet.config, now);
    let other = fleet.statuses[1].ready[0].clone();
    meter.measure("ledger-check", ROUNDS, || {
        black_box(ledger.fits(black_box(&other), MODEL_MEMORY_MIB, now));
    });
}

/// Measures merging a row from a peer that changes an agent's ready weights.
fn measure_membership_delta(fleet: &CostFleet, meter: &mut CostMeter<'_>) {
    let now = ClockTime::from_millis(1_000);
    let mut table = table(fleet, now);
    let mut rows: Vec<MemberRow> = (0..fleet.statuses.len())
        .map(|index| row(fleet, index))
        .collect();
    let mut turn = 0;
    meter.measure("membership-delta", ROUNDS, || {
        turn = (turn + 1) % rows.len();
        let row = &mut rows[turn];
        if let MemberKind::Agent(status) = &mut row.facts.kind {
            status.ready_sequence += 1;
        }
        assert!(
            table.merge(black_box(row), now),
            "the row is newer than the table"
        );
    });
}

/// Measures how a registrar processes a heartbeat that carries an agent's queue report.
fn measure_heartbeat(fleet: &CostFleet, meter: &mut CostMeter<'_>) {
    let mut now = ClockTime::from_millis(1_000);
    let mut table = table(fleet, now);
    let mut registrar = RegistrarTable::default();
    let mut messages: Vec<AgentHeartbeat> = (0..fleet.statuses.len())
        .map(|index| heartbeat_message(fleet, index))
        .collect();
    let mut turn = 0;
    let mut sequence = 1;
    meter.measure("heartbeat", ROUNDS, || {
        turn = (turn + 1) % messages.len();
        sequence += 1;
        now = now + Duration::from_millis(1);
        let message = &mut messages[turn];
        if let HeartbeatBody::QueueReport { report, .. } = &mut message.body {
            report.sequence = sequence;
        }
        black_box(registrar.handle_heartbeat(message, &mut table, now));
    });
}

/// Measures one planner step with a previous plan and changing demand.
fn measure_plan_step(fleet: &CostFleet, meter: &mut CostMeter<'_>) {
    let mut planner = PlacementPlanner::new(PlannerSettings::default());
    let endpoints: Vec<EndpointView> = fleet.statuses.iter().map(view).collect();
    let mut previous: Option<PlacementPlan> = None;
    let mut step = 0;
    meter.measure("plan-step", PLAN_ROUNDS, || {
        step += 1;
        let demand = demand(fleet, step);
        let input = PlannerInput {
            config: &fleet.config,
            generation: Generation(1),
            term: Term(1),
            demand: &demand,
            endpoints: &endpoints,
            previous: previous.as_ref(),
        };
        let now = ClockTime::from_start(Duration::from_secs(10) * step);
        previous = Some(planner.plan(&input, now).plan);
    });
}

fn held(status: &EndpointStatus) -> smallvec::SmallVec<[HeldWeights; 8]> {
    let ready = status.ready.iter().cloned();
    ready
        .map(|weights| HeldWeights {
            weights,
            state: WeightsState::Ready,
        })
        .collect()
}

fn view(status: &EndpointStatus) -> EndpointView {
    EndpointView {
        endpoint: status.endpoint.clone(),
        pool: pool(),
        zone: status.zone.clone(),
        alive: true,
        leaving: false,
        held: held(status),
        role: EngineRole::Both,
        prompt_token_ns: status.queue.prompt_token_ns,
        step_us: status.queue.step_us,
    }
}

/// Returns demand in which one model in ten gets eleven times the demand of the others.
/// The set of these models changes every ten steps.
fn demand(fleet: &CostFleet, step: u32) -> DemandSummary {
    let all = RATE_PER_ENDPOINT * size_f64(fleet.size.endpoints);
    let mean = all / size_f64(fleet.size.models);
    let shift = 37 * (step as usize / 10);
    let mut rows: Vec<DemandRow> = (0..fleet.size.models)
        .map(|model| {
            let hot = (model + shift).is_multiple_of(10);
            let requests = mean * if hot { 5.5 } else { 0.5 };
            let key = DemandKey {
                model: model_name(model),
                adapter: None,
            };
            let rate = DemandRate {
                requests,
                prompt_tokens: requests * 400.0,
                output_tokens: requests * 350.0,
            };
            DemandRow { key, rate }
        })
        .collect();
    rows.sort_by(|left, right| left.key.cmp(&right.key));
    DemandSummary { rows }
}

fn agent(index: usize) -> DaemonName {
    name(&format!("agent-{index:04}"))
}

fn registrar() -> DaemonName {
    name("entry-0000")
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index + 1).unwrap_or(u16::MAX);
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), port))
}

fn table(fleet: &CostFleet, now: ClockTime) -> MemberTable {
    let mut table = MemberTable::new(registrar(), TableLimits::default());
    for index in 0..fleet.statuses.len() {
        table.merge(&row(fleet, index), now);
    }
    table
}

fn row(fleet: &CostFleet, index: usize) -> MemberRow {
    let status = &fleet.statuses[index];
    let facts = MemberFacts {
        daemon: agent(index),
        zone: status.zone.clone(),
        address: address(index),
        boot: status.queue.boot,
        incarnation: 1,
        phase: MemberPhase::Serving,
        generation: Generation(1),
        kind: MemberKind::Agent(Box::new(status.clone())),
    };
    let vote = WitnessVote {
        witness: registrar(),
        about: 1,
        order: (1, 1),
        reachability: Reachability::Reachable,
    };
    MemberRow {
        facts,
        votes: smallvec::smallvec![vote],
    }
}

fn heartbeat_message(fleet: &CostFleet, index: usize) -> AgentHeartbeat {
    let status = &fleet.statuses[index];
    AgentHeartbeat {
        daemon: agent(index),
        zone: zone(index % fleet.size.zones),
        address: address(index),
        boot: status.queue.boot,
        incarnation: 1,
        phase: MemberPhase::Serving,
        generation: Generation(1),
        entries_digest: 0,
        body: HeartbeatBody::QueueReport {
            ready_sequence: status.ready_sequence,
            report: queue_report(index, 1),
        },
    }
}
