//! Rounds of the load planner and their log lines.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_duty::duty::{StopPhase, StopSignal};
use oatpier_serving::directory::EndpointRow;
use oatpier_serving::message::InnerMessage;
use oatpier_serving::planner::{BlockedLoad, FleetDemand, PlannedLoad};
use oatpier_types::clock::ClockTime;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::core::GatewayCore;
use super::subscriptions::engine_services;
use crate::decisions::{DecisionLine, LinePriority};

/// Interval between planning rounds while nothing changes.
const PLAN_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum time between two rounds. An engine that has finished a load gets the next one within this time; after a
/// restart each engine has three loads to do in a row.
const MIN_PLAN_PAUSE: Duration = Duration::from_millis(50);

/// Rounds between two log snapshots of the engines: three seconds.
const SNAPSHOT_ROUNDS: u64 = 20;

/// Rounds between two log reports of blocked loads: 0.6 s.
const BLOCKED_ROUNDS: u64 = 4;

/// Plans loads in rounds while this gateway is the planner.
pub(super) async fn plan(core: &GatewayCore, stop: &StopSignal) {
    let mut rounds: u64 = 0;
    let mut ticks = interval(PLAN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.changed.notified() => sleep(MIN_PLAN_PAUSE).await,
        }
        if stop.phase() != StopPhase::Serving {
            continue;
        }
        rounds += 1;
        if rounds.is_multiple_of(SNAPSHOT_ROUNDS) {
            log_snapshot(core);
            core.expire_suspects();
            core.expire_part_suspects();
        }
        let round = plan_round(core);
        for load in round.loads {
            log_plan(core, &load.planned);
            let advice = InnerMessage::Advice(load.planned.advice);
            core.outlet.send(load.sidecar, &advice);
        }
        if rounds.is_multiple_of(BLOCKED_ROUNDS) {
            log_blocked(core, &round.blocked);
        }
    }
}

/// A planned load and the sidecar that receives the advice.
struct AdvisedLoad {
    sidecar: SocketAddr,
    planned: PlannedLoad,
}

/// Result of one planning round.
#[derive(Default)]
struct PlannedRound {
    loads: Vec<AdvisedLoad>,
    blocked: Vec<BlockedLoad>,
}

/// Returns the loads to advise now; empty if this gateway is not the planner.
fn plan_round(core: &GatewayCore) -> PlannedRound {
    let now: ClockTime = core.clock.now();
    let mut state = core.lock();
    if !state.peers.is_planner(now) {
        return PlannedRound::default();
    }
    let Some(config) = state.config.clone() else {
        return PlannedRound::default();
    };
    let own = state.demand.summary(now);
    let models = state.peers.total_demand(&own, now);
    let uses = state.peers.fleet_uses(&state.directory.model_uses(), now);
    let demand = FleetDemand {
        models: &models,
        uses: &uses,
    };
    let state = &mut *state;
    let mut round = PlannedRound::default();
    for (service, rule) in engine_services(&config) {
        let rows = state.directory.service(service);
        let outcome = state.planner.plan(rule, rows, demand, now);
        round.blocked.extend(outcome.blocked);
        for mut load in outcome.planned {
            for lender in &mut load.advice.lenders {
                lender.set_port(core.inner_port);
            }
            if let Some(row) = state.directory.row(&load.endpoint) {
                let sidecar = SocketAddr::new(row.record.address.ip(), core.inner_port);
                round.loads.push(AdvisedLoad {
                    sidecar,
                    planned: load,
                });
            }
        }
    }
    round
}

fn log_blocked(core: &GatewayCore, blocked: &[BlockedLoad]) {
    for load in blocked {
        let line = DecisionLine::new(LinePriority::Notable, "load not possible")
            .with("model", load.model.as_str())
            .with("reason", load.reason.as_str())
            .with("want", rounded(load.want))
            .with("holders", load.holders)
            .with("rate_spent", load.rate_spent)
            .with("rests", load.is_backed_off)
            .with("busy", load.busy)
            .with("paced", load.paced)
            .with("full", load.full)
            .with("no_gain", load.idle);
        core.log.write(line);
    }
}

/// Logs the planner's view of each engine, so that the placement of models can be explained afterwards.
fn log_snapshot(core: &GatewayCore) {
    let now = core.clock.now();
    let state = core.lock();
    if !state.peers.is_planner(now) {
        return;
    }
    let rows = state
        .directory
        .all()
        .filter(|row| !row.models(now).is_empty());
    let lines: Vec<DecisionLine> = rows.map(|row| snapshot_line(row, now)).collect();
    drop(state);
    for line in lines {
        core.log.write(line);
    }
}

fn snapshot_line(row: &EndpointRow, now: ClockTime) -> DecisionLine {
    let models = row.models(now).iter().map(|held| {
        let adapters = held.adapters.len();
        format!("{}+{adapters}", held.model)
    });
    DecisionLine::new(LinePriority::Notable, "engine seen")
        .with("endpoint", row.record.name.as_str())
        .with(
            "version",
            row.record.version.as_ref().map(ToString::to_string),
        )
        .with("requests", row.request_count())
        .with("waiting", row.waiting())
        .with("hold_ms", row.slot_time.mean_ms().round())
        .with("first_ms", row.first_chunk.mean_ms().round())
        .with("memory", (row.memory_share(0, now) * 100.0).round())
        .with("failures", (row.failure_share(now) * 100.0).round())
        .with("limit", row.limit().map(|limit| limit.rate.per_second()))
        .with("models", models.collect::<Vec<_>>())
}

/// Returns a figure with two decimal places.
fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

fn log_plan(core: &GatewayCore, planned: &PlannedLoad) {
    let reason = planned.reason.as_str();
    let unload = planned.advice.unload.iter().map(ToString::to_string);
    let line = DecisionLine::new(LinePriority::Notable, "load advised")
        .with("endpoint", planned.endpoint.as_str())
        .with("model", planned.advice.load.as_str())
        .with("unload", unload.collect::<Vec<_>>())
        .with("reason", reason)
        .with("gain", rounded(planned.figures.gain))
        .with("capacity", rounded(planned.figures.capacity))
        .with("late_share", rounded(planned.figures.late_share));
    core.log.write(line);
    core.metrics.count_advice(reason);
}
