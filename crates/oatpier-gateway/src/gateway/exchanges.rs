//! What gateways and sidecars tell each other, and the planner's rounds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{RingReceiver, StopPhase, StopSignal};
use oatpier_serving::directory::EndpointRow;
use oatpier_serving::message::{InnerMessage, MessageNumber, PeerReport};
use oatpier_serving::planner::{BlockedLoad, FleetDemand, PlannedLoad};
use oatpier_serving::site::{EngineRule, SiteConfig};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, PoolName};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::core::{GatewayCore, SidecarGreeting};
use crate::decisions::{DecisionLine, LineWeight};
use crate::exchange::InnerSocket;
use crate::records::StoreNews;

/// From one greeting to the next of a sidecar that is not heard: after a start of all processes, sidecars
/// that come up a moment later than gateways are heard this soon.
const UNHEARD_EVERY: Duration = Duration::from_millis(125);

/// Greetings of unheard sidecars for each greeting of all, every half a second. A sidecar forgets a gateway
/// after three of these.
const UNHEARD_GREETINGS: u64 = 4;

/// From one report to peers to the next.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// Reports of demand for each report to the gateways that do not need it: 0.75 s.
const RARE_REPORTS: u64 = 3;

/// Demand that can't be served is reported this soon, so that requests which come together are told
/// of together.
const PRESSED_PAUSE: Duration = Duration::from_millis(10);

/// From one round of the planner to the next while nothing changes.
const PLAN_EVERY: Duration = Duration::from_millis(150);

/// The least time between two rounds. An engine that is done with a load gets the next one this soon;
/// after a restart each has three to do in a row.
const PLAN_PAUSE: Duration = Duration::from_millis(50);

/// Rounds of the planner between two pictures of the engines in the log: three seconds.
const PICTURE_ROUNDS: u64 = 20;

/// Rounds of the planner between two accounts of loads that are not possible: 0.6 s.
const BLOCKED_ROUNDS: u64 = 4;

/// Exchanges messages until the process ends.
pub async fn run(
    core: Arc<GatewayCore>,
    socket: &InnerSocket,
    news: RingReceiver<StoreNews>,
    stop: &StopSignal,
) {
    let reporter = PeerReporter::new(&core, stop);
    tokio::join!(
        hear(&core, socket),
        take_news(&core, &news),
        greet(&core),
        report(&reporter),
        plan(&core, stop),
    );
}

async fn hear(core: &GatewayCore, socket: &InnerSocket) {
    loop {
        let (from, message) = socket.receive().await;
        match message {
            InnerMessage::Pulse(pulse) => core.take_pulse(*pulse),
            InnerMessage::Load(load) => core.take_load_pulse(&load),
            InnerMessage::Peer(report) => {
                let now = core.clock.now();
                core.lock().peers.take_report(from, *report, now);
            }
            InnerMessage::Permit(grant) => core.take_permit(grant),
            // For sidecars.
            InnerMessage::Greeting(_)
            | InnerMessage::AdapterWanted(_)
            | InnerMessage::Advice(_)
            | InnerMessage::PermitAsk(_)
            | InnerMessage::PermitDone(_) => {}
        }
    }
}

async fn take_news(core: &GatewayCore, news: &RingReceiver<StoreNews>) {
    while let Some(news) = news.receive().await {
        match news {
            StoreNews::Read { config, endpoints } => core.take_records(config, endpoints),
            StoreNews::Failed => core.note_store_failure(),
        }
    }
    std::future::pending::<()>().await;
}

async fn greet(core: &GatewayCore) {
    let mut ticks = interval(UNHEARD_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut number: u64 = 0;
    loop {
        // An endpoint that has just appeared is greeted at once: until its sidecar answers, nothing
        // can be loaded there.
        let everyone = tokio::select! {
            _ = ticks.tick() => {
                number += 1;
                number.is_multiple_of(UNHEARD_GREETINGS)
            }
            () = core.appeared.notified() => true,
        };
        for due in greetings(core, everyone) {
            due.send(core);
        }
    }
}

/// The greetings that are due, one for each engine's sidecar, or for each that is not heard.
fn greetings(core: &GatewayCore, everyone: bool) -> Vec<SidecarGreeting> {
    let now = core.clock.now();
    let mut state = core.lock();
    let Some(config) = state.config.clone() else {
        return Vec::new();
    };
    let mut greetings = Vec::new();
    for (service, _) in engine_services(&config) {
        let rows = state.directory.service(service);
        let due = rows.filter(|row| everyone || row.pulse(now).is_none());
        let engines: Vec<EndpointName> = due.map(|row| row.record.name.clone()).collect();
        for engine in engines {
            greetings.extend(core.greeting(&mut state, service, &engine));
        }
    }
    greetings
}

fn engine_services(config: &SiteConfig) -> impl Iterator<Item = (&PoolName, &EngineRule)> {
    let services = config.services.iter();
    services.filter_map(|service| Some((&service.name, service.engine.as_ref()?)))
}

/// Reports demand to peers.
struct PeerReporter<'a> {
    core: &'a GatewayCore,
    stop: &'a StopSignal,
    boot: u64,
}

impl<'a> PeerReporter<'a> {
    fn new(core: &'a GatewayCore, stop: &'a StopSignal) -> Self {
        Self {
            core,
            stop,
            boot: rand::random(),
        }
    }

    fn send(&self, number: u64) {
        let now = self.core.clock.now();
        let mut state = self.core.lock();
        let demand = state.demand.summary(now);
        state.urgent = false;
        let uses = state.directory.model_uses();
        let peers = state.peers.addresses(now);
        let engines_heard = state.directory.engines_heard(now);
        let count = state.peers.count(now);
        let read_at = state.store_read_at.unwrap_or_default();
        let store_age = now.since(read_at).as_millis();
        let bounds = self.core.settings.borrow().bounds;
        state
            .allowance
            .set_bounds(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window);
        state.allowance.share_among(count);
        drop(state);
        let store_age = i64::try_from(store_age).unwrap_or(i64::MAX);
        self.core.metrics.store_age_ms.set(store_age);
        self.core
            .metrics
            .gateways
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        let report = PeerReport {
            number: MessageNumber {
                boot: self.boot,
                number,
            },
            name: self.core.name.clone(),
            zone: self.core.zone.clone(),
            leaving: self.stop.phase() != StopPhase::Serving,
            engines_heard,
            demand,
            uses,
        };
        if number.is_multiple_of(RARE_REPORTS) {
            let short = PeerReport {
                demand: Vec::new(),
                uses: Vec::new(),
                ..report.clone()
            };
            self.tell(&peers.others, short);
        }
        self.tell(&peers.readers, report);
    }

    fn tell(&self, peers: &[SocketAddr], report: PeerReport) {
        let report = InnerMessage::Peer(Box::new(report));
        for peer in peers {
            self.core.outlet.send(*peer, &report);
        }
    }
}

async fn report(reporter: &PeerReporter<'_>) {
    for number in 1.. {
        reporter.send(number);
        tokio::select! {
            () = sleep(REPORT_EVERY) => {}
            () = reporter.core.pressed.notified() => sleep(PRESSED_PAUSE).await,
        }
    }
}

async fn plan(core: &GatewayCore, stop: &StopSignal) {
    let mut rounds: u64 = 0;
    let mut ticks = interval(PLAN_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.changed.notified() => sleep(PLAN_PAUSE).await,
        }
        if stop.phase() != StopPhase::Serving {
            continue;
        }
        rounds += 1;
        if rounds.is_multiple_of(PICTURE_ROUNDS) {
            log_picture(core);
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

/// A load, and the sidecar that is advised.
struct AdvisedLoad {
    sidecar: SocketAddr,
    planned: PlannedLoad,
}

/// What a round of the planner came to.
#[derive(Default)]
struct PlannedRound {
    loads: Vec<AdvisedLoad>,
    blocked: Vec<BlockedLoad>,
}

/// The loads to advise now, if this gateway plans.
fn plan_round(core: &GatewayCore) -> PlannedRound {
    let now: ClockTime = core.clock.now();
    let mut state = core.lock();
    if !state.is_planner(now) {
        return PlannedRound::default();
    }
    let Some(config) = state.config.clone() else {
        return PlannedRound::default();
    };
    let own = state.demand.summary(now);
    let models = state.peers.total(&own, now);
    let uses = state.peers.uses(&state.directory.model_uses(), now);
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
        for load in outcome.planned {
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
        let line = DecisionLine::new(LineWeight::Notable, "load not possible")
            .with("model", load.model.as_str())
            .with("reason", load.reason.as_str())
            .with("want", (load.want * 100.0).round() / 100.0)
            .with("holders", load.holders)
            .with("rate_spent", load.rate_spent)
            .with("busy", load.busy)
            .with("paced", load.paced)
            .with("full", load.full)
            .with("no_gain", load.idle);
        core.log.write(line);
    }
}

/// Logs what the planner sees of each engine, for whoever asks later why a model was where it was.
fn log_picture(core: &GatewayCore) {
    let now = core.clock.now();
    let state = core.lock();
    if !state.is_planner(now) {
        return;
    }
    let rows = state
        .directory
        .all()
        .filter(|row| !row.models(now).is_empty());
    let lines: Vec<DecisionLine> = rows.map(|row| picture_line(row, now)).collect();
    drop(state);
    for line in lines {
        core.log.write(line);
    }
}

fn picture_line(row: &EndpointRow, now: ClockTime) -> DecisionLine {
    let models = row.models(now).iter().map(|held| {
        let adapters = held.adapters.len();
        format!("{}+{adapters}", held.model)
    });
    DecisionLine::new(LineWeight::Notable, "engine seen")
        .with("endpoint", row.record.name.as_str())
        .with("requests", row.present())
        .with("waiting", row.waiting())
        .with("hold_ms", row.hold.mean_ms().round())
        .with("first_ms", row.first.mean_ms().round())
        .with("memory", (row.memory_share(0, now) * 100.0).round())
        .with("failures", (row.failure_share(now) * 100.0).round())
        .with("models", models.collect::<Vec<_>>())
}

fn log_plan(core: &GatewayCore, planned: &PlannedLoad) {
    let reason = planned.reason.as_str();
    let unload = planned.advice.unload.iter().map(ToString::to_string);
    let line = DecisionLine::new(LineWeight::Notable, "load advised")
        .with("endpoint", planned.endpoint.as_str())
        .with("model", planned.advice.load.as_str())
        .with("unload", unload.collect::<Vec<_>>())
        .with("reason", reason);
    core.log.write(line);
    core.metrics.advised(reason);
}
